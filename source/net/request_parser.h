#ifndef MONSOONSPINDLE_NET_REQUEST_PARSER_H
#define MONSOONSPINDLE_NET_REQUEST_PARSER_H

#include "monsoonspindle/net/http.h"

/* Splits a stream of bytes into HTTP/1.x requests. Does no I/O. */
typedef struct msp_request_parser msp_request_parser_t;

/* What has been read of the current request. */
typedef enum msp_parse_phase {
	MSP_PARSE_NOTHING,
	MSP_PARSE_HEAD, /* a part of the head */
	MSP_PARSE_BODY, /* the head and perhaps a part of the body */
	MSP_PARSE_DONE, /* all */
} msp_parse_phase_t;

/*
 * Requests are limited to `max_headers` bytes of path and header fields, and
 * `max_body` bytes of body, whose memory is taken from `budget` (borrowed; may
 * be NULL). Returns NULL if memory runs out.
 */
msp_request_parser_t *msp_new_request_parser(
    size_t max_headers, size_t max_body, msp_memory_budget_t *budget);
void msp_drop_request_parser(msp_request_parser_t *parser);

/*
 * Parses bytes up to the end of the current request at most; sets *used to the
 * number of bytes consumed. Once the phase is MSP_PARSE_DONE, the request must
 * be taken before the next call. After an error the parser can't go on:
 *
 * MSP_E_BAD_REQUEST
 *	The request is malformed, or its length is ambiguous.
 * MSP_E_METHOD
 *	The method is not supported.
 * MSP_E_HEADERS_TOO_LARGE
 *	The path or the header fields exceed a limit.
 * MSP_E_TOO_LARGE
 *	The body exceeds max_body.
 * MSP_E_NO_MEMORY
 *	Also if the body is announced to be larger than what is left.
 */
msp_status_t msp_parse_request(
    msp_request_parser_t *parser, const char *data, size_t len, size_t *used);

msp_parse_phase_t msp_get_parse_phase(const msp_request_parser_t *parser);

/*
 * What was read of the current request, owned by the parser; NULL if no path
 * was read.
 */
const msp_request_t *msp_get_partial_request(
    const msp_request_parser_t *parser);

/*
 * Whether the client waits for "100 Continue" before it sends the body; false
 * from then on.
 */
bool msp_take_expected_continue(msp_request_parser_t *parser);

/*
 * Moves the complete request to `out` and begins the next one. Sets *keep_alive
 * to whether the client can use the connection again.
 */
void msp_take_request(
    msp_request_parser_t *parser, msp_request_t *out, bool *keep_alive);

#endif
