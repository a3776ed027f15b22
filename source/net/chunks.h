#ifndef MONSOONSPINDLE_NET_CHUNKS_H
#define MONSOONSPINDLE_NET_CHUNKS_H

#include "monsoonspindle/base/buffer.h"

/*
 * Takes a chunked request body apart, which libwebsockets does for answers
 * only. Zero-initialise.
 */
typedef struct msp_chunks {
	int state;
	size_t left; /* bytes of the chunk still to come */
	unsigned int digits;
	unsigned int line; /* bytes of the present line */
} msp_chunks_t;

/*
 * Appends the payload in `data` to `body`. Sets *done at the end of the last
 * chunk. MSP_E_BAD_REQUEST, or an error of msp_append_data().
 */
msp_status_t msp_feed_chunks(msp_chunks_t *chunks, const char *data, size_t len,
    msp_buffer_t *body, bool *done);

#endif
