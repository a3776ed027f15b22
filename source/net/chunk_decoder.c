#include "chunk_decoder.h"

#include <ctype.h>

#define SIZE_DIGITS_MAX 8
#define LINE_MAX_BYTES 4096 /* of a size line, or of all trailers */

enum chunk_state {
	CHUNK_SIZE,
	CHUNK_EXTENSION,
	CHUNK_SIZE_LF,
	CHUNK_DATA,
	CHUNK_DATA_CR,
	CHUNK_DATA_LF,
	CHUNK_TRAILER, /* at the start of a trailer line */
	CHUNK_TRAILER_TEXT,
	CHUNK_END_LF, /* LF of the empty line that ends the body */
};

static msp_status_t
bad_chunk(void)
{
	return msp_fail(MSP_E_BAD_REQUEST, "malformed chunked encoding");
}

static msp_status_t
decode_size(msp_chunk_decoder_t *decoder, char c)
{
	if (isxdigit((unsigned char)c)) {
		if (++decoder->size_digits > SIZE_DIGITS_MAX)
			return bad_chunk();
		decoder->chunk_left = decoder->chunk_left * 16 +
		    (size_t)(isdigit((unsigned char)c) ? c - '0'
						       : (c | 0x20) - 'a' + 10);
		return MSP_OK;
	}
	if (decoder->size_digits == 0)
		return bad_chunk();
	if (c == ';')
		decoder->state = CHUNK_EXTENSION;
	else if (c == '\r')
		decoder->state = CHUNK_SIZE_LF;
	else
		return bad_chunk();
	return MSP_OK;
}

/* Handles a byte that is not payload. */
static msp_status_t
decode_framing(msp_chunk_decoder_t *decoder, char c, bool *done)
{
	if (++decoder->line_len > LINE_MAX_BYTES)
		return bad_chunk();
	switch (decoder->state) {
	case CHUNK_SIZE:
		return decode_size(decoder, c);
	case CHUNK_EXTENSION:
		if (c == '\r')
			decoder->state = CHUNK_SIZE_LF;
		return c == '\n' ? bad_chunk() : MSP_OK;
	case CHUNK_SIZE_LF:
		decoder->state =
		    decoder->chunk_left == 0 ? CHUNK_TRAILER : CHUNK_DATA;
		decoder->size_digits = 0;
		decoder->line_len = 0;
		return c == '\n' ? MSP_OK : bad_chunk();
	case CHUNK_DATA_CR:
		decoder->state = CHUNK_DATA_LF;
		return c == '\r' ? MSP_OK : bad_chunk();
	case CHUNK_DATA_LF:
		decoder->state = CHUNK_SIZE;
		decoder->line_len = 0;
		return c == '\n' ? MSP_OK : bad_chunk();
	case CHUNK_TRAILER:
		decoder->state = c == '\r' ? CHUNK_END_LF : CHUNK_TRAILER_TEXT;
		return MSP_OK;
	case CHUNK_TRAILER_TEXT:
		if (c == '\n')
			decoder->state = CHUNK_TRAILER;
		return MSP_OK;
	default:
		*done = c == '\n';
		return *done ? MSP_OK : bad_chunk();
	}
}

msp_status_t
msp_decode_chunks(msp_chunk_decoder_t *decoder, const char *data, size_t len,
    msp_buffer_t *body, bool *done)
{
	msp_status_t status;
	size_t used;

	while (len > 0 && !*done) {
		used = 1;
		if (decoder->state == CHUNK_DATA) {
			used = len < decoder->chunk_left ? len
							 : decoder->chunk_left;
			status = msp_append_data(body, data, used);
			decoder->chunk_left -= used;
			if (decoder->chunk_left == 0)
				decoder->state = CHUNK_DATA_CR;
		} else {
			status = decode_framing(decoder, *data, done);
		}
		if (status != MSP_OK)
			return status;
		data += used;
		len -= used;
	}
	return MSP_OK;
}
