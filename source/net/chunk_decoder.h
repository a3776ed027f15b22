#ifndef MONSOONSPINDLE_NET_CHUNK_DECODER_H
#define MONSOONSPINDLE_NET_CHUNK_DECODER_H

#include "monsoonspindle/base/buffer.h"

/*
 * Decoder of a chunked request body. libwebsockets itself decodes chunked
 * responses only. Zero-initialise.
 */
typedef struct msp_chunk_decoder {
	int state; /* enum chunk_state */
	size_t chunk_left; /* bytes of the current chunk still to come */
	unsigned int size_digits; /* digits of the chunk size read so far */
	unsigned int line_len; /* bytes of the current line */
} msp_chunk_decoder_t;

/*
 * Decodes `data` and appends the payload to `body`. Sets *done when the body is
 * complete, including its trailers. Returns MSP_E_BAD_REQUEST if the encoding
 * is malformed, or an error of msp_append_data().
 */
msp_status_t msp_decode_chunks(msp_chunk_decoder_t *decoder, const char *data,
    size_t len, msp_buffer_t *body, bool *done);

#endif
