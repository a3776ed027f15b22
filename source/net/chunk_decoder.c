#include "chunk_decoder.h"

#include <ctype.h>

#define SIZE_DIGITS_MAX 8
#define LINE_MAX_BYTES 4096 /* of a size line or trailer */

enum chunk_state {
	CHUNK_SIZE,
	CHUNK_EXTENSION,
	CHUNK_SIZE_LF,
	CHUNK_DATA,
	CHUNK_DATA_CR,
	CHUNK_DATA_LF,
	CHUNK_TRAILER, /* at the start of a line */
	CHUNK_TRAILER_TEXT,
	CHUNK_END_LF,
};

static msp_status_t
bad_chunk(void)
{
	return msp_fail(MSP_E_BAD_REQUEST, "bad chunk");
}

static msp_status_t
feed_size(msp_chunk_decoder_t *chunks, char c)
{
	if (isxdigit((unsigned char)c)) {
		if (++chunks->size_digits > SIZE_DIGITS_MAX)
			return bad_chunk();
		chunks->chunk_left = chunks->chunk_left * 16 +
		    (size_t)(isdigit((unsigned char)c) ? c - '0'
						       : (c | 0x20) - 'a' + 10);
		return MSP_OK;
	}
	if (chunks->size_digits == 0)
		return bad_chunk();
	if (c == ';')
		chunks->state = CHUNK_EXTENSION;
	else if (c == '\r')
		chunks->state = CHUNK_SIZE_LF;
	else
		return bad_chunk();
	return MSP_OK;
}

/* Takes one byte that is not payload. */
static msp_status_t
feed_frame(msp_chunk_decoder_t *chunks, char c, bool *done)
{
	if (++chunks->line_len > LINE_MAX_BYTES)
		return bad_chunk();
	switch (chunks->state) {
	case CHUNK_SIZE:
		return feed_size(chunks, c);
	case CHUNK_EXTENSION:
		if (c == '\r')
			chunks->state = CHUNK_SIZE_LF;
		return c == '\n' ? bad_chunk() : MSP_OK;
	case CHUNK_SIZE_LF:
		chunks->state =
		    chunks->chunk_left == 0 ? CHUNK_TRAILER : CHUNK_DATA;
		chunks->size_digits = 0;
		chunks->line_len = 0;
		return c == '\n' ? MSP_OK : bad_chunk();
	case CHUNK_DATA_CR:
		chunks->state = CHUNK_DATA_LF;
		return c == '\r' ? MSP_OK : bad_chunk();
	case CHUNK_DATA_LF:
		chunks->state = CHUNK_SIZE;
		chunks->line_len = 0;
		return c == '\n' ? MSP_OK : bad_chunk();
	case CHUNK_TRAILER:
		chunks->state = c == '\r' ? CHUNK_END_LF : CHUNK_TRAILER_TEXT;
		return MSP_OK;
	case CHUNK_TRAILER_TEXT:
		if (c == '\n')
			chunks->state = CHUNK_TRAILER;
		return MSP_OK;
	default:
		*done = c == '\n';
		return *done ? MSP_OK : bad_chunk();
	}
}

msp_status_t
msp_decode_chunks(msp_chunk_decoder_t *chunks, const char *data, size_t len,
    msp_buffer_t *body, bool *done)
{
	msp_status_t status;
	size_t take;

	while (len > 0 && !*done) {
		take = 1;
		if (chunks->state == CHUNK_DATA) {
			take =
			    len < chunks->chunk_left ? len : chunks->chunk_left;
			status = msp_append_data(body, data, take);
			chunks->chunk_left -= take;
			if (chunks->chunk_left == 0)
				chunks->state = CHUNK_DATA_CR;
		} else {
			status = feed_frame(chunks, *data, done);
		}
		if (status != MSP_OK)
			return status;
		data += take;
		len -= take;
	}
	return MSP_OK;
}
