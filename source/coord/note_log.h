#ifndef COORD_NOTE_LOG_H
#define COORD_NOTE_LOG_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/base/status.h"

/* An accepted note in canonical text. */
typedef struct logged_note {
	uint64_t version;
	msp_digest_t chain_digest; /* of the chain up to the note */
	char *text; /* owned */
	size_t len; /* bytes */
} logged_note_t;

/* The latest notes of the chain, without gaps. Zero-initialise. */
typedef struct note_log {
	logged_note_t *notes; /* ring buffer */
	size_t capacity; /* notes */
	size_t first; /* index of the oldest note */
	size_t count; /* notes */
	size_t bytes; /* of all texts */
	size_t count_max;
	size_t bytes_max;
} note_log_t;

void drop_note_log(note_log_t *log);

/*
 * Appends the note that follows the last one, copying `text`, and evicts the
 * oldest notes if the log is over a bound. MSP_E_NO_MEMORY.
 */
msp_status_t append_note_log(note_log_t *log, uint64_t version,
    msp_digest_t digest, const char *text, size_t len);

/* Returns the note of `version`, or NULL if it is not in the log. */
const logged_note_t *find_logged_note(const note_log_t *log, uint64_t version);

#endif
