#ifndef COORD_NOTE_LOG_H
#define COORD_NOTE_LOG_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/base/status.h"

/* One accepted note, in its canonical text. */
typedef struct logged_note {
	uint64_t version;
	msp_digest_t chain_digest; /* of the chain with it */
	char *text; /* owned */
	size_t len;
} logged_note_t;

/* The last notes of the chain, without gaps. Zero-initialise. */
typedef struct note_log {
	logged_note_t *notes; /* a ring */
	size_t capacity;
	size_t first;
	size_t count;
	size_t bytes; /* of all texts */
	size_t count_max; /* notes */
	size_t bytes_max;
} note_log_t;

void drop_note_log(note_log_t *log);

/* Appends the note after the last, copying `text`; evicts the oldest past the
 * bounds. MSP_E_NO_MEMORY. */
msp_status_t append_note_log(note_log_t *log, uint64_t version,
    msp_digest_t digest, const char *text, size_t len);

/* Returns the note of `version`, or NULL if it is not kept. */
const logged_note_t *find_logged_note(const note_log_t *log, uint64_t version);

#endif
