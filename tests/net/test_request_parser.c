#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <cmocka.h>

#include "../../source/net/request_parser.h"
#include "monsoonspindle/base.h"

/*
 * The same bytes must give the same requests, and end with the same error,
 * however they are cut into pieces. Otherwise a client could smuggle a request
 * by its segments.
 */

#define SEED 20261204
#define ROUNDS 4000 /* streams; more with the program's first argument */
#define CUTS 4 /* ways to cut each stream */
#define REQUESTS_MAX 5
#define STREAM_MAX 4096
#define MAX_HEADERS 300
#define MAX_BODY 60

static unsigned long rounds = ROUNDS;

static const char *const messages[] = {
    "GET /a?b=%2f&c HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\n\r\n",
    "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\nGET /x HTTP/",
    "PUT /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4;x=y\r\n0\r\n\r\n1\r\nz\r\n0\r\nTrailer: 1\r\n\r\n",
    "DELETE /d HTTP/1.1\r\nHost: a\r\nConnection: x-a, close\r\nX-A: 1\r\n\r\n",
    "\r\nHEAD /e HTTP/1.0\r\nA: \t b c \t\r\nEmpty:\r\n\r\n",
    "OPTIONS /f HTTP/1.1\nHost: a\nUpgrade: h2c\nConnection: upgrade\n\n",
    "POST /g HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 2\r\n"
    "\r\nab",
    "POST /h HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "GET /i HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\r\n",
    "GET /j HTTP/1.1\r\nHost : a\r\n\r\n",
    "POST /k HTTP/1.1\r\nHost: a\r\nContent-Length: 61\r\n\r\n",
};

static size_t
random_below(msp_rng_t *rng, size_t bound)
{
	return (size_t)(msp_next_random(rng) % bound);
}

/* Replaces, removes or doubles a byte, in some streams. */
static size_t
change_stream(msp_rng_t *rng, char *stream, size_t len)
{
	static const char odd[] = "\r\n\t :;,0\x01\x7f\xff#/%G";
	size_t at = random_below(rng, len);

	switch (random_below(rng, 6)) {
	case 0:
		stream[at] = odd[random_below(rng, sizeof(odd) - 1)];
		return len;
	case 1:
		memmove(stream + at, stream + at + 1, len - at - 1);
		return len - 1;
	case 2:
		memmove(stream + at + 1, stream + at, len - at);
		return len + 1;
	default:
		return len;
	}
}

static size_t
make_stream(msp_rng_t *rng, char *stream)
{
	size_t count = 1 + random_below(rng, REQUESTS_MAX);
	size_t kinds = sizeof(messages) / sizeof(*messages);
	size_t len = 0;

	for (; count > 0; count--)
		len += strlcpy(stream + len, messages[random_below(rng, kinds)],
		    STREAM_MAX - len);
	return change_stream(rng, stream, len);
}

static void
describe_request(
    const msp_request_t *request, bool keep_alive, msp_buffer_t *out)
{
	size_t i;

	msp_append_printf(out, "%s %s host=%s keep=%d", request->method,
	    request->path, request->host, keep_alive);
	for (i = 0; i < request->headers.count; i++)
		msp_append_printf(out, " %s=%s",
		    request->headers.fields[i].name,
		    request->headers.fields[i].value);
	msp_append_printf(out, " body=");
	msp_append_data(out, request->body.data, request->body.len);
	msp_append_printf(out, "\n");
}

/* Parses a stream in pieces of up to `piece_max` bytes; 0: in one piece. */
static void
parse_stream(msp_rng_t *rng, const char *stream, size_t len, size_t piece_max,
    msp_buffer_t *out)
{
	msp_request_parser_t *parser =
	    msp_new_request_parser(MAX_HEADERS, MAX_BODY, NULL);
	msp_status_t status = MSP_OK;
	msp_request_t request;
	bool keep_alive;
	size_t at = 0;
	size_t part;
	size_t used;
	char *piece;

	assert_non_null(parser);
	msp_clear_buffer(out);
	while (at < len && status == MSP_OK) {
		part = piece_max == 0 ? len - at
				      : 1 + random_below(rng, piece_max);
		if (part > len - at)
			part = len - at;
		/* Of its own, so that the sanitizer finds reads past it. */
		piece = malloc(part);
		assert_non_null(piece);
		memcpy(piece, stream + at, part);
		status = msp_parse_request(parser, piece, part, &used);
		free(piece);
		assert_true(used <= part);
		at += used;
		if (status != MSP_OK ||
		    msp_get_parse_phase(parser) != MSP_PARSE_DONE)
			continue;
		msp_take_request(parser, &request, &keep_alive);
		describe_request(&request, keep_alive, out);
		msp_drop_request(&request);
	}
	msp_append_printf(out, "%s\n", msp_status_name(status));
	msp_drop_request_parser(parser);
}

static void
pieces_do_not_change_the_requests(void **state)
{
	msp_rng_t rng = {.state = SEED};
	msp_buffer_t whole = {0};
	msp_buffer_t cut = {0};
	char stream[STREAM_MAX];
	unsigned long round;
	unsigned int i;
	size_t len;

	(void)state;
	for (round = 0; round < rounds; round++) {
		len = make_stream(&rng, stream);
		parse_stream(&rng, stream, len, 0, &whole);
		for (i = 0; i < CUTS; i++) {
			parse_stream(
			    &rng, stream, len, i == 0 ? 1 : 8U << i, &cut);
			if (strcmp(msp_buffer_text(&whole),
				msp_buffer_text(&cut)) != 0)
				fail_msg("seed %d, round %lu: %s instead of "
					 "%s, from %.*s",
				    SEED, round, msp_buffer_text(&cut),
				    msp_buffer_text(&whole), (int)len, stream);
		}
	}
	msp_drop_buffer(&whole);
	msp_drop_buffer(&cut);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(pieces_do_not_change_the_requests),
	};

	if (argc > 1)
		rounds = strtoul(argv[1], NULL, 10);
	return cmocka_run_group_tests_name("request parser", tests, NULL, NULL);
}
