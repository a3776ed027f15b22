#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "server_fixture.h"

typedef struct request_case {
	const char *name;
	const char *request;
	const char *response; /* part of it; NULL: closed without a response */
	unsigned int served; /* requests that reach the handler */
	bool closes; /* the server closes the connection */
} request_case_t;

static const request_case_t request_cases[] = {
    {"plain", "GET /a HTTP/1.1\r\n" HOST "\r\n", "<GET /a 0>", 1, false},
    {"HTTP/1.0", "GET /a HTTP/1.0\r\n\r\n", "<GET /a 0>", 1, true},
    {"close", "GET /a HTTP/1.1\r\n" HOST "Connection: close\r\n\r\n",
	"<GET /a 0>", 1, true},
    {"HEAD", "HEAD /a HTTP/1.1\r\n" HOST "\r\n", "content-length: 11", 1,
	false},
    {"204", "GET /204 HTTP/1.1\r\n" HOST "\r\n", "HTTP/1.1 204 ", 1, false},
    {"body by length",
	"POST /a HTTP/1.1\r\n" HOST "Content-Length: 3\r\n\r\nabc",
	"<POST /a 3>", 1, false},
    {"body of length 0",
	"POST /a HTTP/1.1\r\n" HOST "Content-Length: 0\r\n\r\n", "<POST /a 0>",
	1, false},
    {"POST without length", "POST /a HTTP/1.1\r\n" HOST "\r\n", "<POST /a 0>",
	1, false},
    {"DELETE without length", "DELETE /a HTTP/1.1\r\n" HOST "\r\n",
	"<DELETE /a 0>", 1, false},
    {"chunked DELETE",
	"DELETE /a HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"
	"3\r\nabc\r\n0\r\n\r\n",
	"<DELETE /a 3>", 1, false},
    {"chunked GET",
	"GET /a HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"
	"3\r\nabc\r\n0\r\n\r\n",
	"<GET /a 3>", 1, false},
    {"escapes in path and query",
	"GET /a%2fb%20c?d=%2f&e=%20+f&&g HTTP/1.1\r\n" HOST "\r\n",
	"<GET /a%2fb%20c?d=%2f&e=%20+f&&g 0>", 1, false},
    {"dots and empty segments", "GET /a//b/../c/./d HTTP/1.1\r\n" HOST "\r\n",
	"<GET /a//b/../c/./d 0>", 1, false},
    {"upgrade",
	"GET /a HTTP/1.1\r\n" HOST
	"Connection: upgrade\r\nUpgrade: websocket\r\n\r\n",
	"<GET /a 0>", 1, false},
    {"fragment", "GET /a#b HTTP/1.1\r\n" HOST "\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"control character in the path", "GET /a\x7f HTTP/1.1\r\n" HOST "\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"high byte in the path", "GET /a\xff HTTP/1.1\r\n" HOST "\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"absolute form", "GET http://a/b HTTP/1.1\r\n" HOST "\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"CONNECT", "CONNECT a:80 HTTP/1.1\r\n" HOST "\r\n",
	"\"kind\":\"method-not-allowed\"", 0, true},
    {"HTTP/0.9", "GET /a\r\n\r\n", "\"kind\":\"bad-request\"", 0, true},
    {"HTTP/2", "GET /a HTTP/2.0\r\n" HOST "\r\n", "\"kind\":\"bad-request\"", 0,
	true},
    {"two hosts", "GET /a HTTP/1.1\r\n" HOST "Host: b\r\n\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"folded field", "GET /a HTTP/1.1\r\n" HOST "X-Request-ID: a\r\n b\r\n\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"blank before the colon",
	"POST /a HTTP/1.1\r\n" HOST "Content-Length : 3\r\n\r\nabc",
	"\"kind\":\"bad-request\"", 0, true},
    {"empty length", "POST /a HTTP/1.1\r\n" HOST "Content-Length:\r\n\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"signed length",
	"POST /a HTTP/1.1\r\n" HOST "Content-Length: +3\r\n\r\nabc",
	"\"kind\":\"bad-request\"", 0, true},
    {"list of lengths",
	"POST /a HTTP/1.1\r\n" HOST "Content-Length: 3, 3\r\n\r\nabc",
	"\"kind\":\"bad-request\"", 0, true},
    {"same length twice",
	"POST /a HTTP/1.1\r\n" HOST
	"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
	"\"kind\":\"bad-request\"", 0, true},
    {"two transfer encodings",
	"POST /a HTTP/1.1\r\n" HOST
	"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"chunked twice",
	"POST /a HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n"
	"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"chunks in HTTP/1.0",
	"POST /a HTTP/1.0\r\n" HOST
	"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"chunked",
	"POST /a HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"
	"3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n",
	"<POST /a 5>", 1, false},
    {"pipelined",
	"GET /a HTTP/1.1\r\n" HOST "\r\nGET /b HTTP/1.1\r\n" HOST "\r\n",
	"<GET /b 0>", 2, false},
    {"expect",
	"POST /a HTTP/1.1\r\n" HOST
	"Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
	"<POST /a 3>", 1, false},
    {"too large by length",
	"POST /a HTTP/1.1\r\n" HOST "Content-Length: 1001\r\n\r\n",
	"\"kind\":\"too-large\"", 0, true},
    {"length not a number",
	"POST /a HTTP/1.1\r\n" HOST "Content-Length: 3x\r\n\r\nabc",
	"\"kind\":\"bad-request\"", 0, true},
    {"negative length",
	"POST /a HTTP/1.1\r\n" HOST "Content-Length: -1\r\n\r\nabc",
	"\"kind\":\"bad-request\"", 0, true},
    {"two lengths",
	"POST /a HTTP/1.1\r\n" HOST
	"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
	"\"kind\":\"bad-request\"", 0, true},
    {"length and chunked",
	"POST /a HTTP/1.1\r\n" HOST
	"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"unsupported transfer encoding",
	"POST /a HTTP/1.1\r\n" HOST "Transfer-Encoding: gzip\r\n\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"bad chunk size",
	"POST /a HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"chunk longer than its size",
	"POST /a HTTP/1.1\r\n" HOST
	"Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"chunk size overflow",
	"POST /a HTTP/1.1\r\n" HOST
	"Transfer-Encoding: chunked\r\n\r\nfffffffffffff\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"too large in chunks",
	"POST /a HTTP/1.1\r\n" HOST
	"Transfer-Encoding: chunked\r\n\r\n3e9\r\n%1001",
	"\"kind\":\"too-large\"", 0, true},
    {"truncated body",
	"POST /a HTTP/1.1\r\n" HOST "Content-Length: 5\r\n\r\nabc",
	"\"kind\":\"request-timeout\"", 0, true},
    {"truncated chunked body",
	"POST /a HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n3\r\nab",
	"\"kind\":\"request-timeout\"", 0, true},
    {"truncated head", "GET /a HTTP/1.1\r\nHost",
	"\"kind\":\"request-timeout\"", 0, true},
    {"nothing sent", "", NULL, 0, true},
    {"header too large", "GET /a HTTP/1.1\r\n" HOST "X-Request-ID: %5000",
	"\"kind\":\"headers-too-large\"", 0, true},
    {"path too long", "GET /%5000", "\"kind\":\"headers-too-large\"", 0, true},
    {"header over the limit of the parser",
	"GET /a HTTP/1.1\r\n" HOST "X-Request-ID: %90000",
	"\"kind\":\"headers-too-large\"", 0, true},
    {"unknown method", "BREW /a HTTP/1.1\r\n" HOST "\r\n",
	"\"kind\":\"method-not-allowed\"", 0, true},
    {"garbage", "\x01\x02\x03 garbage\r\n\r\n", "\"kind\":\"bad-request\"", 0,
	true},
    {"no path", "GET\r\n\r\n", "\"kind\":\"bad-request\"", 0, true},
};

/*
 * Sends the request. "%N" at its end stands for N bytes and the end of the
 * head.
 */
static void
send_request(raw_socket_t *raw, const char *request)
{
	const char *mark = strrchr(request, '%');
	size_t fill;
	char *text;

	if (mark == NULL || mark[1 + strspn(mark + 1, "0123456789")] != '\0') {
		raw_send_text(raw, request);
		return;
	}
	fill = strtoul(mark + 1, NULL, 10);
	raw_send(raw, request, (size_t)(mark - request));
	text = malloc(fill);
	assert_non_null(text);
	memset(text, 'a', fill);
	raw_send(raw, text, fill);
	raw_send_text(raw, "\r\n\r\n");
	free(text);
}

static void
run_request_case(server_test_t *test, const request_case_t *c)
{
	raw_socket_t raw = raw_connect(test->loop, test->port);
	unsigned int before = test->request_count;

	send_request(&raw, c->request);
	if (c->response != NULL && !raw_expect(&raw, c->response))
		fail_msg(
		    "%s: got \"%s\"", c->name, msp_buffer_text(&raw.input));
	if (c->response == NULL) {
		raw_expect_close(&raw);
		assert_int_equal(raw.input.len, 0);
	}
	if (strstr(msp_buffer_text(&raw.input), "\"kind\"") != NULL &&
	    strstr(msp_buffer_text(&raw.input), "application/problem+json") ==
		NULL)
		fail_msg("%s: not a problem document", c->name);
	if (c->closes && !raw_expect_close(&raw))
		fail_msg("%s: not closed", c->name);
	if (!c->closes) {
		raw_clear_input(&raw);
		raw_send_text(&raw, "GET /again HTTP/1.1\r\n" HOST "\r\n");
		if (!raw_expect(&raw, "<GET /again 0>"))
			fail_msg("%s: connection was not kept open", c->name);
		before++;
	}
	if (test->request_count != before + c->served)
		fail_msg("%s: %u requests handled", c->name,
		    test->request_count - before);
	raw_close(&raw);
}

static void
requests_get_expected_response(void **state)
{
	size_t i;

	for (i = 0; i < sizeof(request_cases) / sizeof(*request_cases); i++) {
		run_request_case(*state, &request_cases[i]);
		assert_serving(*state, request_cases[i].name);
	}
}

int
main(void)
{
#define CASE(name) \
	cmocka_unit_test_setup_teardown(name, set_up_server, tear_down_server)
	const struct CMUnitTest tests[] = {
	    CASE(requests_get_expected_response),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
