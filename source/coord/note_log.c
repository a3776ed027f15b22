#include "note_log.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 16

static logged_note_t *
note_at(const note_log_t *log, size_t index)
{
	return &log->notes[(log->first + index) % log->capacity];
}

static void
evict_oldest(note_log_t *log)
{
	logged_note_t *oldest = note_at(log, 0);

	log->bytes -= oldest->len;
	free(oldest->text);
	log->first = (log->first + 1) % log->capacity;
	log->count--;
}

void
drop_note_log(note_log_t *log)
{
	while (log->count > 0)
		evict_oldest(log);
	free(log->notes);
	log->notes = NULL;
	log->capacity = 0;
	log->first = 0;
}

static msp_status_t
grow(note_log_t *log)
{
	size_t capacity =
	    log->capacity == 0 ? INITIAL_CAPACITY : log->capacity * 2;
	logged_note_t *notes = calloc(capacity, sizeof(*notes));
	size_t i;

	if (notes == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for notes");
	for (i = 0; i < log->count; i++)
		notes[i] = *note_at(log, i);
	free(log->notes);
	log->notes = notes;
	log->capacity = capacity;
	log->first = 0;
	return MSP_OK;
}

msp_status_t
append_note_log(note_log_t *log, uint64_t version, msp_digest_t digest,
    const char *text, size_t len)
{
	logged_note_t note = {
	    .version = version, .chain_digest = digest, .len = len};

	if (log->count == log->capacity && grow(log) != MSP_OK)
		return MSP_E_NO_MEMORY;
	note.text = malloc(len + 1);
	if (note.text == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a note");
	memcpy(note.text, text, len);
	note.text[len] = '\0';
	log->count++;
	log->bytes += len;
	*note_at(log, log->count - 1) = note;
	while (log->count > 1 &&
	    (log->count > log->count_max || log->bytes > log->bytes_max))
		evict_oldest(log);
	return MSP_OK;
}

const logged_note_t *
find_logged_note(const note_log_t *log, uint64_t version)
{
	uint64_t oldest;

	if (log->count == 0)
		return NULL;
	oldest = note_at(log, 0)->version;
	if (version < oldest || version - oldest >= log->count)
		return NULL;
	return note_at(log, (size_t)(version - oldest));
}
