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

#include "../../source/net/connection.h"
#include "raw_socket.h"

#define MAX_BODY 1000
#define MAX_HEADERS 4000
#define MAX_CONNECTIONS 8
#define LARGE_ANSWER (8 * 1024 * 1024) /* past what sockets hold */

typedef struct server_test {
	msp_loop_t *loop;
	msp_http_server_t *server;
	uint16_t port;
	unsigned int requests;
	unsigned int gone;
	msp_exchange_t *held; /* of a path that starts with /hold */
} server_test_t;

static void
answer_large(msp_exchange_t *exchange)
{
	msp_response_t response = {.status = 200};
	char block[4096];
	size_t i;

	memset(block, 'x', sizeof(block));
	for (i = 0; i < LARGE_ANSWER / sizeof(block); i++)
		msp_append_buffer(&response.body, block, sizeof(block));
	msp_append_buffer(&response.body, "end", 3);
	msp_answer_exchange(exchange, &response);
}

static void
on_request(void *ctx, msp_exchange_t *exchange)
{
	server_test_t *test = ctx;
	const msp_request_t *request = msp_exchange_request(exchange);
	msp_response_t response = {.status = 200};

	test->requests++;
	if (strncmp(request->path, "/hold", 5) == 0) {
		test->held = exchange;
		return;
	}
	if (strcmp(request->path, "/large") == 0) {
		answer_large(exchange);
		return;
	}
	if (strcmp(request->path, "/204") == 0)
		response.status = 204;
	else
		msp_print_buffer(&response.body, "<%s %s %zu>", request->method,
		    request->path, request->body.len);
	msp_answer_exchange(exchange, &response);
}

static void
on_gone(void *ctx, msp_exchange_t *exchange)
{
	server_test_t *test = ctx;

	assert_ptr_equal(test->held, exchange);
	test->held = NULL;
	test->gone++;
}

static int
set_up(void **state)
{
	static server_test_t test;
	msp_http_server_options_t options = {
	    .address = TEST_ADDRESS,
	    .limits =
		{
		    .max_body = MAX_BODY,
		    .max_headers = MAX_HEADERS,
		    .max_connections = MAX_CONNECTIONS,
		    .head_timeout_ms = 200,
		    .body_timeout_ms = 200,
		    .send_timeout_ms = 300,
		    .idle_timeout_ms = 400,
		},
	    .handler =
		{
		    .on_request = on_request,
		    .on_gone = on_gone,
		    .ctx = &test,
		},
	};

	test = (server_test_t){0};
	test.loop = msp_new_loop(64);
	test.server = msp_new_http_server(test.loop, &options);
	if (test.server == NULL)
		return -1;
	test.port = msp_http_server_port(test.server);
	*state = &test;
	return 0;
}

static int
tear_down(void **state)
{
	server_test_t *test = *state;

	msp_drop_http_server(test->server);
	msp_drop_loop(test->loop);
	return 0;
}

/* The server answers a good request on a new connection. */
static void
assert_serving(server_test_t *test, const char *name)
{
	raw_socket_t raw = raw_connect(test->loop, test->port);

	raw_say(&raw, "GET /good HTTP/1.1\r\nHost: a\r\n\r\n");
	if (!raw_expect(&raw, "<GET /good 0>"))
		fail_msg("%s: no longer serving", name);
	raw_close(&raw);
}

typedef struct answer_case {
	const char *name;
	const char *request;
	const char *answer; /* part of it; NULL: closed without one */
	unsigned int served; /* requests that reach the handler */
	bool closes;
} answer_case_t;

#define HOST "Host: a\r\n"

static const answer_case_t answers[] = {
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
	1, true},
    {"chunked",
	"POST /a HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"
	"3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n",
	"<POST /a 5>", 1, true},
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
    {"unknown coding",
	"POST /a HTTP/1.1\r\n" HOST "Transfer-Encoding: gzip\r\n\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"bad chunk size",
	"POST /a HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"chunk longer than its size",
	"POST /a HTTP/1.1\r\n" HOST
	"Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"chunk size past any bound",
	"POST /a HTTP/1.1\r\n" HOST
	"Transfer-Encoding: chunked\r\n\r\nfffffffffffff\r\n",
	"\"kind\":\"bad-request\"", 0, true},
    {"chunk past the bound of a body",
	"POST /a HTTP/1.1\r\n" HOST
	"Transfer-Encoding: chunked\r\n\r\n3e9\r\n%1001",
	"\"kind\":\"too-large\"", 0, true},
    {"body cut", "POST /a HTTP/1.1\r\n" HOST "Content-Length: 5\r\n\r\nabc",
	"\"kind\":\"request-timeout\"", 0, true},
    {"chunked body cut",
	"POST /a HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n3\r\nab",
	"\"kind\":\"request-timeout\"", 0, true},
    {"head cut", "GET /a HTTP/1.1\r\nHost", "\"kind\":\"request-timeout\"", 0,
	true},
    {"nothing sent", "", NULL, 0, true},
    {"header too large", "GET /a HTTP/1.1\r\n" HOST "X-Request-ID: %5000",
	"\"kind\":\"headers-too-large\"", 0, true},
    {"path too long", "GET /%5000", "\"kind\":\"headers-too-large\"", 0, true},
    {"header past the library's bound",
	"GET /a HTTP/1.1\r\n" HOST "X-Request-ID: %70000", NULL, 0, true},
    {"unknown method", "BREW /a HTTP/1.1\r\n" HOST "\r\n",
	"\"kind\":\"method-not-allowed\"", 0, true},
    {"garbage", "\x01\x02\x03 garbage\r\n\r\n", "\"kind\":\"bad-request\"", 0,
	true},
    {"no path", "GET\r\n\r\n", "\"kind\":\"bad-request\"", 0, true},
};

/* Sends the request; "%N" at its end stands for N bytes and an end of line. */
static void
send_request(raw_socket_t *raw, const char *request)
{
	const char *mark = strchr(request, '%');
	size_t fill;
	char *text;

	if (mark == NULL) {
		raw_say(raw, request);
		return;
	}
	fill = strtoul(mark + 1, NULL, 10);
	raw_send(raw, request, (size_t)(mark - request));
	text = malloc(fill);
	assert_non_null(text);
	memset(text, 'a', fill);
	raw_send(raw, text, fill);
	raw_say(raw, "\r\n\r\n");
	free(text);
}

static void
run_answer_case(server_test_t *test, const answer_case_t *c)
{
	raw_socket_t raw = raw_connect(test->loop, test->port);
	unsigned int before = test->requests;

	send_request(&raw, c->request);
	if (c->answer != NULL && !raw_expect(&raw, c->answer))
		fail_msg("%s: got \"%s\"", c->name, msp_buffer_text(&raw.in));
	if (c->answer == NULL) {
		raw_expect_end(&raw);
		assert_int_equal(raw.in.len, 0);
	}
	if (strstr(msp_buffer_text(&raw.in), "\"kind\"") != NULL &&
	    strstr(msp_buffer_text(&raw.in), "application/problem+json") ==
		NULL)
		fail_msg("%s: not a problem document", c->name);
	if (c->closes && !raw_expect_end(&raw))
		fail_msg("%s: not closed", c->name);
	if (!c->closes) {
		raw_forget(&raw);
		raw_say(&raw, "GET /again HTTP/1.1\r\n" HOST "\r\n");
		if (!raw_expect(&raw, "<GET /again 0>"))
			fail_msg("%s: not kept", c->name);
		before++;
	}
	if (test->requests != before + c->served)
		fail_msg("%s: %u served", c->name, test->requests - before);
	raw_close(&raw);
}

static void
each_request_gets_its_answer(void **state)
{
	size_t i;

	for (i = 0; i < sizeof(answers) / sizeof(*answers); i++) {
		run_answer_case(*state, &answers[i]);
		assert_serving(*state, answers[i].name);
	}
}

/* After a first request: nothing more, or a head that does not end. */
static void
a_kept_connection_does_not_stay_for_ever(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw;
	int i;

	for (i = 0; i < 2; i++) {
		raw = raw_connect(test->loop, test->port);
		raw_say(&raw, "GET /a HTTP/1.1\r\n" HOST "\r\n");
		assert_true(raw_expect(&raw, "<GET /a 0>"));
		raw_forget(&raw);
		if (i == 1) {
			raw_say(&raw, "GET /b HTTP/1.1\r\nHo");
			assert_true(
			    raw_expect(&raw, "\"kind\":\"request-timeout\""));
		}
		assert_true(raw_expect_end(&raw));
		if (i == 0)
			assert_int_equal(raw.in.len, 0);
		raw_close(&raw);
	}
	assert_int_equal(test->requests, 2);
}

static bool
is_held(void *ctx)
{
	return ((server_test_t *)ctx)->held != NULL;
}

static bool
is_not_busy(void *ctx)
{
	return msp_http_server_busy(((server_test_t *)ctx)->server) == 0;
}

/* Sends a request that the handler holds. */
static raw_socket_t
hold_request(server_test_t *test)
{
	raw_socket_t raw = raw_connect(test->loop, test->port);

	raw_say(&raw, "GET /hold HTTP/1.1\r\n" HOST "\r\n");
	assert_true(run_until(test->loop, is_held, test));
	assert_int_equal(msp_http_server_busy(test->server), 1);
	return raw;
}

static void
answer_held(server_test_t *test, const char *text)
{
	msp_response_t response = {.status = 200};

	msp_print_buffer(&response.body, "%s", text);
	msp_answer_exchange(test->held, &response);
	test->held = NULL;
}

typedef enum leave {
	LEAVE_CLOSE,
	LEAVE_RESET,
	LEAVE_HALF,
	LEAVE_AFTER_MORE, /* closes after the next request's first bytes */
	LEAVE_COUNT
} leave_t;

static void
a_client_that_leaves_is_noticed(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw;
	unsigned int i;

	for (i = 0; i < LEAVE_COUNT; i++) {
		raw = hold_request(test);
		if (i == LEAVE_AFTER_MORE)
			raw_say(&raw, "GET /next HTTP/1.1\r\n");
		if (i == LEAVE_RESET)
			raw_reset(&raw);
		else if (i == LEAVE_HALF)
			shutdown(raw.fd, SHUT_WR);
		else
			raw_close(&raw);
		assert_true(run_until_count(test->loop, &test->gone, i + 1));
		assert_int_equal(msp_http_server_busy(test->server), 0);
		assert_null(test->held);
		raw_close(&raw);
		assert_serving(test, "after a client left");
	}
	assert_int_equal(test->gone, LEAVE_COUNT);
}

static void
an_answer_may_come_later(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw = hold_request(test);

	assert_serving(test, "while a request waits");
	answer_held(test, "<late>");
	assert_true(raw_expect(&raw, "<late>"));
	assert_true(run_until(test->loop, is_not_busy, test));
	assert_int_equal(test->gone, 0);
	raw_close(&raw);
}

static void
a_client_may_leave_amid_its_answer(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw;
	int i;

	for (i = 0; i < 2; i++) {
		raw = raw_connect(test->loop, test->port);
		raw_say(&raw, "GET /large HTTP/1.1\r\n" HOST "\r\n");
		assert_true(raw_expect(&raw, "200 OK"));
		assert_int_equal(msp_http_server_busy(test->server), 1);
		if (i == 0)
			raw_close(&raw);
		else
			raw_reset(&raw);
		assert_true(run_until(test->loop, is_not_busy, test));
		assert_serving(test, "after a client left");
	}
	assert_int_equal(test->gone, 0);
}

static void
a_slow_reader_is_cut_off(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw = raw_connect(test->loop, test->port);

	raw_say(&raw, "GET /large HTTP/1.1\r\n" HOST "\r\n");
	assert_true(raw_expect(&raw, "200 OK"));
	assert_serving(test, "beside a slow reader");
	assert_true(run_until(test->loop, is_not_busy, test));
	raw_read(&raw);
	assert_true(raw.in.len < LARGE_ANSWER);
	raw_close(&raw);
	assert_serving(test, "after a slow reader");
}

static void
a_large_answer_arrives_whole(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw = raw_connect(test->loop, test->port);

	raw_say(&raw, "GET /large HTTP/1.1\r\n" HOST "\r\n");
	assert_true(raw_expect(&raw, "xend"));
	assert_true(raw.in.len > LARGE_ANSWER);
	raw_close(&raw);
}

static void
connections_past_the_limit_are_refused(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raws[MAX_CONNECTIONS];
	raw_socket_t raw;
	size_t i;

	for (i = 0; i < MAX_CONNECTIONS; i++) {
		raws[i] = raw_connect(test->loop, test->port);
		raw_say(&raws[i], "GET /a HTTP/1.1\r\n" HOST "\r\n");
		assert_true(raw_expect(&raws[i], "<GET /a 0>"));
	}
	for (i = 0; i < 3; i++) {
		raw = raw_connect(test->loop, test->port);
		raw_say(&raw, "GET /b HTTP/1.1\r\n" HOST "\r\n");
		assert_true(raw_expect(&raw, "\"kind\":\"overload\""));
		assert_true(raw_expect(&raw, "retry-after: 1"));
		assert_true(raw_expect_end(&raw));
		raw_close(&raw);
	}
	assert_int_equal(test->requests, MAX_CONNECTIONS);
	raw_forget(&raws[0]);
	raw_say(&raws[0], "GET /c HTTP/1.1\r\n" HOST "\r\n");
	assert_true(raw_expect(&raws[0], "<GET /c 0>"));
	for (i = 0; i < MAX_CONNECTIONS; i++)
		raw_close(&raws[i]);
	msp_step_loop(test->loop, 20);
	assert_serving(test, "after too many connections");
}

/* The library's own page: see http_server.h. */
static void
a_bad_later_request_is_not_served(void **state)
{
	static const char *const requests[] = {
	    "BREW /a HTTP/1.1\r\n\r\n", "\x01\x02\r\n\r\n", "GET\r\n\r\n"};
	server_test_t *test = *state;
	raw_socket_t raw;
	size_t i;

	for (i = 0; i < sizeof(requests) / sizeof(*requests); i++) {
		raw = raw_connect(test->loop, test->port);
		raw_say(&raw, "GET /a HTTP/1.1\r\n" HOST "\r\n");
		assert_true(raw_expect(&raw, "<GET /a 0>"));
		raw_forget(&raw);
		raw_say(&raw, requests[i]);
		assert_true(raw_expect(&raw, " 403 "));
		assert_true(raw_expect_end(&raw));
		raw_close(&raw);
		assert_int_equal(test->requests, i + 1);
	}
}

static void
a_closed_listener_ends_what_is_under_way(void **state)
{
	server_test_t *test = *state;
	raw_socket_t idle = raw_connect(test->loop, test->port);
	raw_socket_t raw = hold_request(test);
	raw_socket_t late;

	raw_say(&idle, "GET /a HTTP/1.1\r\n" HOST "\r\n");
	assert_true(raw_expect(&idle, "<GET /a 0>"));
	msp_close_http_listener(test->server);
	assert_true(raw_expect_end(&idle));
	late = raw_connect(test->loop, test->port);
	assert_true(late.closed);
	assert_int_equal(msp_http_server_busy(test->server), 1);
	answer_held(test, "<last>");
	assert_true(raw_expect(&raw, "<last>"));
	assert_true(raw_expect(&raw, "connection: close"));
	assert_true(raw_expect_end(&raw));
	assert_int_equal(msp_http_server_busy(test->server), 0);
	raw_close(&raw);
	raw_close(&idle);
	raw_close(&late);
}

static void
a_dropped_server_gives_up_what_waits(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw = hold_request(test);

	msp_drop_http_server(test->server);
	test->server = NULL;
	assert_int_equal(test->gone, 1);
	assert_true(raw_expect_end(&raw));
	raw_close(&raw);
}

static int
socket_option(int fd, int level, int name)
{
	int value = -1;
	socklen_t len = sizeof(value);

	getsockopt(fd, level, name, &value, &len);
	return value;
}

static void
a_dead_peer_is_found_out(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw = hold_request(test);
	int fd = test->held->connection->fd;

	assert_int_equal(socket_option(fd, SOL_SOCKET, SO_KEEPALIVE), 1);
	assert_in_range(socket_option(fd, IPPROTO_TCP, TCP_KEEPIDLE), 1, 10);
	assert_in_range(
	    socket_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT), 1, 20000);
	answer_held(test, "x");
	raw_close(&raw);
}

int
main(void)
{
#define CASE(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    CASE(each_request_gets_its_answer),
	    CASE(a_kept_connection_does_not_stay_for_ever),
	    CASE(a_client_that_leaves_is_noticed),
	    CASE(an_answer_may_come_later),
	    CASE(a_client_may_leave_amid_its_answer),
	    CASE(a_slow_reader_is_cut_off),
	    CASE(a_large_answer_arrives_whole),
	    CASE(connections_past_the_limit_are_refused),
	    CASE(a_bad_later_request_is_not_served),
	    CASE(a_closed_listener_ends_what_is_under_way),
	    CASE(a_dropped_server_gives_up_what_waits),
	    CASE(a_dead_peer_is_found_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
