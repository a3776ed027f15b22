#ifndef MONSOONSPINDLE_NET_CHUNK_DECODER_H
#define MONSOONSPINDLE_NET_CHUNK_DECODER_H

#include "monsoonspindle/base/buffer.h"

/*
 * Takes a chunked request body apart, which libwebsockets does for answers
 * only. Zero-initialise.
 */
typedef struct msp_chunk_decoder {
	int state;
	size_t chunk_left; /* bytes of the chunk still to come */
	unsigned int size_digits;
	unsigned int line_len; /* bytes of the present line */
} msp_chunk_decoder_t;

/*
 * Appends the payload in `data` to `body`. Sets *done at the end of the last
 * chunk. MSP_E_BAD_REQUEST, or an error of msp_append_data().
 */
msp_status_t msp_decode_chunks(msp_chunk_decoder_t *chunks, const char *data,
    size_t len, msp_buffer_t *body, bool *done);

#endif
