#ifndef MONSOONSPINDLE_BASE_BUFFER_H
#define MONSOONSPINDLE_BASE_BUFFER_H

#include <stddef.h>
#include <stdio.h>

#include "monsoonspindle/base/memory_budget.h"
#include "monsoonspindle/base/status.h"

/*
 * A growable byte array with an optional size limit. Zero-initialise it, then
 * set `limit` if needed. After the first append data[len] is always 0, so the
 * contents can be read as a C string.
 */
typedef struct msp_buffer {
	char *data; /* owned; NULL while empty */
	size_t len; /* bytes in use */
	size_t capacity; /* bytes allocated */
	size_t limit; /* maximum of `len`; 0: unlimited */
	/* That its memory is taken from; set it while empty. NULL: none. */
	msp_memory_budget_t *budget; /* borrowed */
} msp_buffer_t;

/*
 * Append bytes or formatted text. On MSP_E_TOO_LARGE (past the limit) and
 * MSP_E_NO_MEMORY (the budget's or the machine's) nothing is appended.
 */
msp_status_t msp_append_data(
    msp_buffer_t *buffer, const void *data, size_t len);
msp_status_t msp_append_printf(msp_buffer_t *buffer, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/*
 * Appends what is left of a stream. MSP_E_IO: it can't be read; the message has
 * `path`. What was read before an error stays.
 */
msp_status_t msp_append_stream(
    msp_buffer_t *buffer, FILE *file, const char *path);

/* Empties the buffer but keeps its memory for reuse. */
void msp_clear_buffer(msp_buffer_t *buffer);

/* Frees the bytes and empties the buffer, but doesn't free the struct. */
void msp_drop_buffer(msp_buffer_t *buffer);

/* Returns the contents as a string, "" while empty; owned by the buffer. */
const char *msp_buffer_text(const msp_buffer_t *buffer);

#endif
