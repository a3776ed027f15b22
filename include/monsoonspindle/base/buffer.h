#ifndef MONSOONSPINDLE_BASE_BUFFER_H
#define MONSOONSPINDLE_BASE_BUFFER_H

#include <stddef.h>

#include "monsoonspindle/base/status.h"

/*
 * A growing run of bytes with an upper bound. Zero-initialise it, or set
 * `limit`; data[len] is always 0 once something was appended, so text can be
 * read as a string.
 */
typedef struct msp_buffer {
	char *data; /* owned; NULL while empty */
	size_t len; /* bytes in use */
	size_t capacity; /* bytes allocated */
	size_t limit; /* most bytes it may hold; 0: no bound */
} msp_buffer_t;

/* MSP_E_TOO_LARGE past the limit (nothing is appended), or MSP_E_NO_MEMORY. */
msp_status_t msp_append_data(
    msp_buffer_t *buffer, const void *data, size_t len);
msp_status_t msp_append_printf(msp_buffer_t *buffer, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Empties the buffer, keeping its memory. */
void msp_clear_buffer(msp_buffer_t *buffer);

/* Frees the bytes and empties the buffer; the struct is the caller's. */
void msp_drop_buffer(msp_buffer_t *buffer);

/* Returns the text, or "" while the buffer is empty. Borrowed. */
const char *msp_buffer_text(const msp_buffer_t *buffer);

#endif
