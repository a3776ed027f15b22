#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <sys/socket.h>

#include "raw_socket.h"

/*
 * Requests that a client sends before it has received the responses to earlier
 * ones. Paths that begin with /hold are answered by the test; those with /once
 * may not run beside others.
 */

#define PENDING_MAX 64
#define TURNS 10 /* of the loop, for the server to read what was sent */
#define PIPELINE_MAX 4 /* requests */
#define PIPELINE_BYTES_MAX 3000
#define MAX_BODY 2000
#define HOST "Host: a\r\n"
#define GET(path) "GET " path " HTTP/1.1\r\n" HOST "\r\n"
#define CLOSE(path) "GET " path " HTTP/1.1\r\n" HOST "Connection: close\r\n\r\n"

typedef struct pipeline_test {
	msp_loop_t *loop;
	msp_http_server_t *server;
	uint16_t port;
	msp_exchange_t *pending[PENDING_MAX];
	size_t pending_count;
	unsigned int handled;
	unsigned int disconnects;
	unsigned int refusals;
	msp_buffer_t log; /* paths in the order in which they began */
	msp_rng_t rng;
} pipeline_test_t;

static void
answer(msp_exchange_t *exchange)
{
	const msp_request_t *request = msp_exchange_request(exchange);
	msp_response_t response = {.status = 200};

	msp_append_printf(&response.body, "<%s %s %zu>", request->method,
	    request->path, request->body.len);
	msp_send_exchange_response(exchange, &response);
}

static void
handle_request(void *ctx, msp_exchange_t *exchange)
{
	pipeline_test_t *test = ctx;
	const msp_request_t *request = msp_exchange_request(exchange);

	test->handled++;
	msp_append_printf(&test->log, "%s ", request->path);
	if (strncmp(request->path, "/hold", 5) != 0 &&
	    strncmp(request->path, "/once", 5) != 0) {
		answer(exchange);
		return;
	}
	assert_true(test->pending_count < PENDING_MAX);
	test->pending[test->pending_count++] = exchange;
}

static void
remove_pending(pipeline_test_t *test, size_t index)
{
	test->pending_count--;
	for (; index < test->pending_count; index++)
		test->pending[index] = test->pending[index + 1];
}

static void
handle_disconnect(void *ctx, msp_exchange_t *exchange)
{
	pipeline_test_t *test = ctx;
	size_t i;

	for (i = 0; test->pending[i] != exchange; i++)
		assert_true(i < test->pending_count);
	remove_pending(test, i);
	test->disconnects++;
}

static bool
may_overlap(void *ctx, const msp_request_t *request)
{
	(void)ctx;
	return strncmp(request->path, "/once", 5) != 0;
}

static void
handle_refusal(void *ctx, const msp_http_refusal_t *refusal)
{
	(void)refusal;
	((pipeline_test_t *)ctx)->refusals++;
}

static int
set_up(void **state)
{
	static pipeline_test_t test;
	msp_http_server_options_t options = {
	    .address = TEST_ADDRESS,
	    .limits =
		{
		    .max_body = MAX_BODY,
		    .max_pipeline = PIPELINE_MAX,
		    .max_pipeline_bytes = PIPELINE_BYTES_MAX,
		    .idle_timeout_ms = 1000,
		},
	    .handler =
		{
		    .on_request = handle_request,
		    .on_disconnect = handle_disconnect,
		    .may_overlap = may_overlap,
		    .on_refusal = handle_refusal,
		    .ctx = &test,
		},
	};

	test = (pipeline_test_t){.rng = {.state = 20261204}};
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
	pipeline_test_t *test = *state;

	msp_drop_http_server(test->server);
	msp_drop_loop(test->loop);
	msp_drop_buffer(&test->log);
	return 0;
}

static void
run_turns(pipeline_test_t *test)
{
	int i;

	for (i = 0; i < TURNS; i++)
		msp_step_loop(test->loop, 1);
}

static void
answer_pending(pipeline_test_t *test, size_t index)
{
	msp_exchange_t *exchange;

	assert_true(index < test->pending_count);
	exchange = test->pending[index];
	remove_pending(test, index);
	answer(exchange);
}

static void
clear_log(pipeline_test_t *test)
{
	msp_clear_buffer(&test->log);
}

/* Requests, the steps in which the handler answers, and what comes of it. */
typedef struct order_case {
	const char *name;
	const char *input;
	const char *begun; /* before the first answer */
	/* Indexes into the unanswered requests, one after the other. */
	const char *answers;
	const char *all; /* begun in the end */
	const char *responses; /* bodies in their order */
} order_case_t;

static const order_case_t order_cases[] = {
    {"answered last first", GET("/hold1") GET("/hold2") GET("/hold3"),
	"/hold1 /hold2 /hold3 ", "210", "/hold1 /hold2 /hold3 ",
	"<GET /hold1 0><GET /hold2 0><GET /hold3 0>"},
    {"answered at once behind one that is not", GET("/hold1") GET("/b"),
	"/hold1 /b ", "0", "/hold1 /b ", "<GET /hold1 0><GET /b 0>"},
    {"one that may not overlap, behind others",
	GET("/hold1") GET("/hold2") GET("/once"), "/hold1 /hold2 ", "100",
	"/hold1 /hold2 /once ", "<GET /hold1 0><GET /hold2 0><GET /once 0>"},
    {"others behind one that may not overlap",
	GET("/once") GET("/hold1") GET("/hold2"), "/once ", "010",
	"/once /hold1 /hold2 ", "<GET /once 0><GET /hold1 0><GET /hold2 0>"},
    {"several that may not overlap", GET("/once1") GET("/once2") GET("/b"),
	"/once1 ", "00", "/once1 /once2 /b ",
	"<GET /once1 0><GET /once2 0><GET /b 0>"},
    {"more than the limit",
	GET("/hold1") GET("/hold2") GET("/hold3") GET("/hold4") GET("/hold5")
	    GET("/hold6"),
	"/hold1 /hold2 /hold3 /hold4 ", "000000",
	"/hold1 /hold2 /hold3 /hold4 /hold5 /hold6 ",
	"<GET /hold1 0><GET /hold2 0><GET /hold3 0><GET /hold4 0>"
	"<GET /hold5 0><GET /hold6 0>"},
    {"ready ones count for the limit",
	GET("/hold1") GET("/b") GET("/c") GET("/d") GET("/e"),
	"/hold1 /b /c /d ", "0", "/hold1 /b /c /d /e ",
	"<GET /hold1 0><GET /b 0><GET /c 0><GET /d 0><GET /e 0>"},
    {"bodies",
	"POST /hold1 HTTP/1.1\r\n" HOST "Content-Length: 3\r\n\r\nabc"
	"POST /hold2 HTTP/1.1\r\n" HOST
	"Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n" GET("/c"),
	"/hold1 /hold2 /c ", "10", "/hold1 /hold2 /c ",
	"<POST /hold1 3><POST /hold2 2><GET /c 0>"},
};

/* Collects the bodies of the responses that were received. */
static void
collect_bodies(const raw_socket_t *raw, msp_buffer_t *out)
{
	const char *at = msp_buffer_text(&raw->input);
	const char *end;

	msp_clear_buffer(out);
	while ((at = strchr(at, '<')) != NULL) {
		end = strchr(at, '>');
		if (end == NULL)
			return;
		msp_append_data(out, at, (size_t)(end + 1 - at));
		at = end;
	}
}

static void
responses_keep_the_order_of_requests(void **state)
{
	pipeline_test_t *test = *state;
	msp_buffer_t bodies = {0};
	size_t i;
	const char *at;

	for (i = 0; i < sizeof(order_cases) / sizeof(*order_cases); i++) {
		const order_case_t *c = &order_cases[i];
		raw_socket_t raw = raw_connect(test->loop, test->port);

		clear_log(test);
		raw_send_text(&raw, c->input);
		run_turns(test);
		raw_read(&raw);
		assert_int_equal(raw.input.len, 0);
		if (strcmp(msp_buffer_text(&test->log), c->begun) != 0)
			fail_msg("%s: begun %s", c->name,
			    msp_buffer_text(&test->log));
		for (at = c->answers; *at != '\0'; at++) {
			answer_pending(test, (size_t)(*at - '0'));
			run_turns(test);
		}
		raw_read(&raw);
		collect_bodies(&raw, &bodies);
		if (strcmp(msp_buffer_text(&test->log), c->all) != 0 ||
		    strcmp(msp_buffer_text(&bodies), c->responses) != 0)
			fail_msg("%s: begun %s, got %s", c->name,
			    msp_buffer_text(&test->log),
			    msp_buffer_text(&bodies));
		assert_false(raw.closed);
		assert_int_equal(msp_count_open_exchanges(test->server), 0);
		raw_close(&raw);
	}
	msp_drop_buffer(&bodies);
}

/*
 * Guards against a connection that stays open for ever: its pipeline is full,
 * an empty line arrives, and all responses are sent at once.
 */
static void
connection_is_idle_after_all_responses(void **state)
{
	pipeline_test_t *test = *state;
	raw_socket_t raw = raw_connect(test->loop, test->port);

	raw_send_text(
	    &raw, GET("/hold1") GET("/hold2") GET("/hold3") GET("/hold4"));
	run_turns(test);
	assert_int_equal(test->pending_count, PIPELINE_MAX);
	raw_send_text(&raw, "\r\n");
	run_turns(test);
	while (test->pending_count > 0)
		answer_pending(test, 0);
	assert_true(raw_expect(&raw, "<GET /hold4 0>"));
	assert_true(raw_expect_close(&raw));
	raw_close(&raw);
}

/* Guards against memory that one client fills with requests in a pipeline. */
static void
bytes_of_a_pipeline_are_bounded(void **state)
{
	pipeline_test_t *test = *state;
	raw_socket_t raw = raw_connect(test->loop, test->port);
	char body[MAX_BODY];
	int i;

	memset(body, 'x', sizeof(body));
	for (i = 0; i < 4; i++) {
		raw_send_text(&raw,
		    "POST /hold HTTP/1.1\r\n" HOST
		    "Content-Length: 2000\r\n\r\n");
		raw_send(&raw, body, sizeof(body));
	}
	run_turns(test);
	/* The second one reaches the limit. */
	assert_int_equal(test->handled, 2);
	answer_pending(test, 0);
	run_turns(test);
	assert_int_equal(test->handled, 3);
	while (test->pending_count > 0) {
		answer_pending(test, 0);
		run_turns(test);
	}
	assert_int_equal(test->handled, 4);
	raw_close(&raw);
}

/* How a connection with requests in progress comes to its end. */
typedef enum ending {
	ENDING_CLOSE, /* the client asks for it */
	ENDING_NO_KEEP_ALIVE,
	ENDING_LISTENER_CLOSED,
	ENDING_COUNT
} ending_t;

/*
 * Guards against requests that were passed to the handler and get no response,
 * and against ones that run though the connection has told the client that they
 * were not read.
 */
static void
check_ending(pipeline_test_t *test, ending_t ending)
{
	static const char *const inputs[ENDING_COUNT] = {
	    GET("/hold1") CLOSE("/hold2") GET("/c"),
	    GET("/hold1") GET("/hold2") GET("/once"),
	    GET("/hold1") GET("/hold2") GET("/once") GET("/c"),
	};
	raw_socket_t raw;
	const char *first;

	raw = raw_connect(test->loop, test->port);
	raw_send_text(&raw, inputs[ending]);
	run_turns(test);
	if (ending == ENDING_NO_KEEP_ALIVE)
		msp_disable_keep_alive(test->server);
	if (ending == ENDING_LISTENER_CLOSED)
		msp_close_http_listener(test->server);
	/* What comes now is not read, either. */
	raw_send_text(&raw, GET("/d"));
	run_turns(test);
	answer_pending(test, 0);
	run_turns(test);
	raw_read(&raw);
	first = msp_buffer_text(&raw.input);
	assert_non_null(strstr(first, "<GET /hold1 0>"));
	assert_null(strstr(first, "connection: close"));
	answer_pending(test, 0);
	assert_true(raw_expect(&raw, "connection: close"));
	assert_true(raw_expect(&raw, "<GET /hold2 0>"));
	assert_true(raw_expect_close(&raw));
	if (strcmp(msp_buffer_text(&test->log), "/hold1 /hold2 ") != 0)
		fail_msg(
		    "ending %d: begun %s", ending, msp_buffer_text(&test->log));
	assert_int_equal(msp_count_open_exchanges(test->server), 0);
	raw_close(&raw);
}

static void
closing_client_gets_what_has_begun(void **state)
{
	check_ending(*state, ENDING_CLOSE);
}

static void
responses_come_without_keep_alive(void **state)
{
	check_ending(*state, ENDING_NO_KEEP_ALIVE);
}

static void
responses_come_after_the_listener_closed(void **state)
{
	check_ending(*state, ENDING_LISTENER_CLOSED);
}

/* Without keep-alive, a connection still serves the next request. */
static void
next_request_is_served_without_keep_alive(void **state)
{
	pipeline_test_t *test = *state;
	raw_socket_t raw = raw_connect(test->loop, test->port);

	raw_send_text(&raw, GET("/a"));
	assert_true(raw_expect(&raw, "<GET /a 0>"));
	msp_disable_keep_alive(test->server);
	raw_send_text(&raw, GET("/b") GET("/c"));
	assert_true(raw_expect(&raw, "<GET /b 0>"));
	assert_true(raw_expect(&raw, "connection: close"));
	assert_true(raw_expect_close(&raw));
	assert_int_equal(test->handled, 2);
	raw_close(&raw);
}

static void
client_that_leaves_cancels_all(void **state)
{
	pipeline_test_t *test = *state;
	raw_socket_t raw;
	int manner;

	for (manner = 0; manner < 3; manner++) {
		test->disconnects = 0;
		raw = raw_connect(test->loop, test->port);
		raw_send_text(
		    &raw, GET("/hold1") GET("/b") GET("/hold2") GET("/once"));
		run_turns(test);
		assert_int_equal(test->pending_count, 2);
		if (manner == 0)
			raw_close(&raw);
		else if (manner == 1)
			raw_reset(&raw);
		else
			shutdown(raw.fd, SHUT_WR);
		assert_true(run_until_count(test->loop, &test->disconnects, 2));
		run_turns(test);
		assert_int_equal(test->pending_count, 0);
		assert_int_equal(msp_count_open_exchanges(test->server), 0);
		raw_close(&raw);
	}
	assert_null(strstr(msp_buffer_text(&test->log), "/once"));
}

typedef struct bad_case {
	const char *name;
	const char *input; /* behind a request without a response */
	const char *kind;
} bad_case_t;

#define POST_HEAD(fields) "POST /p HTTP/1.1\r\n" HOST fields "\r\n"

static const bad_case_t bad_cases[] = {
    {"garbage", "\x01\x02\r\n\r\n", "bad-request"},
    {"unknown method", "BREW /a HTTP/1.1\r\n\r\n", "method-not-allowed"},
    {"bad field", "GET /a HTTP/1.1\r\n" HOST "a b\r\n\r\n", "bad-request"},
    {"two lengths",
	POST_HEAD("Content-Length: 3\r\nContent-Length: 4\r\n") "abcd",
	"bad-request"},
    {"length and chunks",
	POST_HEAD(
	    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") "0\r\n\r\n",
	"bad-request"},
    {"length with a sign", POST_HEAD("Content-Length: -3\r\n") "abc",
	"bad-request"},
    {"other coding", POST_HEAD("Transfer-Encoding: x\r\n") "abc",
	"bad-request"},
    {"bad chunk", POST_HEAD("Transfer-Encoding: chunked\r\n") "zz\r\n",
	"bad-request"},
    {"chunk longer than its size",
	POST_HEAD("Transfer-Encoding: chunked\r\n") "1\r\nab\r\n0\r\n\r\n",
	"bad-request"},
    {"body too large", POST_HEAD("Content-Length: 2001\r\n"), "too-large"},
    {"chunks too large",
	POST_HEAD("Transfer-Encoding: chunked\r\n") "7d1\r\nabc", "too-large"},
    {"fold", "GET /a HTTP/1.1\r\n" HOST "X-A: b\r\n c\r\n\r\n", "bad-request"},
    {"blank before the colon",
	POST_HEAD("Transfer-Encoding : chunked\r\n") "0\r\n\r\n",
	"bad-request"},
};

/*
 * Guards against bytes of an invalid request, or what follows them, being taken
 * for a request, and against losing the responses before it.
 */
static void
invalid_request_ends_the_pipeline(void **state)
{
	pipeline_test_t *test = *state;
	raw_socket_t raw;
	size_t i;

	for (i = 0; i < sizeof(bad_cases) / sizeof(*bad_cases); i++) {
		const bad_case_t *c = &bad_cases[i];

		clear_log(test);
		test->refusals = 0;
		raw = raw_connect(test->loop, test->port);
		raw_send_text(&raw, GET("/hold"));
		raw_send_text(&raw, c->input);
		raw_send_text(&raw, GET("/behind"));
		run_turns(test);
		raw_read(&raw);
		assert_int_equal(raw.input.len, 0);
		answer_pending(test, 0);
		if (!raw_expect(&raw, "<GET /hold 0>") ||
		    !raw_expect(&raw, c->kind) ||
		    !raw_expect(&raw, "connection: close") ||
		    !raw_expect_close(&raw))
			fail_msg(
			    "%s: %s", c->name, msp_buffer_text(&raw.input));
		if (strcmp(msp_buffer_text(&test->log), "/hold ") != 0 ||
		    test->refusals != 1)
			fail_msg("%s: begun %s, refused %u times", c->name,
			    msp_buffer_text(&test->log), test->refusals);
		raw_close(&raw);
	}
}

#define FUZZ_ROUNDS 300
#define FUZZ_REQUESTS_MAX 12

static size_t
random_below(pipeline_test_t *test, size_t bound)
{
	return (size_t)(msp_next_random(&test->rng) % bound);
}

static void
append_random_request(pipeline_test_t *test, int number, msp_buffer_t *input,
    msp_buffer_t *responses)
{
	size_t len = random_below(test, 40);
	size_t first;
	size_t i;

	switch (random_below(test, 4)) {
	case 0:
		msp_append_printf(
		    input, "GET /%d HTTP/1.1\r\n" HOST "\r\n", number);
		msp_append_printf(responses, "<GET /%d 0>", number);
		return;
	case 1:
		msp_append_printf(
		    input, "DELETE /once%d HTTP/1.1\r\n" HOST "\r\n", number);
		msp_append_printf(responses, "<DELETE /once%d 0>", number);
		return;
	case 2:
		msp_append_printf(input,
		    "PUT /%d HTTP/1.1\r\n" HOST "Content-Length: %zu\r\n\r\n",
		    number, len);
		msp_append_printf(responses, "<PUT /%d %zu>", number, len);
		for (i = 0; i < len; i++)
			msp_append_data(
			    input, "GET /x HTTP/1.1\r\n\r\n" + i % 19, 1);
		return;
	default:
		first = 1 + random_below(test, 5);
		msp_append_printf(input,
		    "POST /%d HTTP/1.1\r\n" HOST
		    "Transfer-Encoding: chunked\r\n\r\n"
		    "%zx\r\n%.*s\r\n3;a=b\r\n\r\n0\r\n0\r\nX: y\r\n\r\n",
		    number, first, (int)first, "0\r\n\r\nabc");
		msp_append_printf(
		    responses, "<POST /%d %zu>", number, first + 3);
		return;
	}
}

/*
 * Guards against requests that are framed differently if they arrive in other
 * pieces: whatever the cuts, the same requests run and are answered in order.
 */
static void
pieces_do_not_change_what_runs(void **state)
{
	pipeline_test_t *test = *state;
	msp_buffer_t input = {0};
	msp_buffer_t expected = {0};
	msp_buffer_t got = {0};
	unsigned int round;

	for (round = 0; round < FUZZ_ROUNDS; round++) {
		raw_socket_t raw = raw_connect(test->loop, test->port);
		size_t count = 1 + random_below(test, FUZZ_REQUESTS_MAX);
		size_t sent = 0;
		size_t i;

		msp_clear_buffer(&input);
		msp_clear_buffer(&expected);
		for (i = 0; i < count; i++)
			append_random_request(test, (int)i, &input, &expected);
		do {
			size_t left = input.len - sent;
			size_t part = left == 0
			    ? 0
			    : 1 + random_below(test, left < 60 ? left : 60);

			if (part > 0)
				raw_send(&raw, input.data + sent, part);
			sent += part;
			msp_step_loop(test->loop, 0);
			while (test->pending_count > 0) {
				answer_pending(test, 0);
				msp_step_loop(test->loop, 0);
			}
			raw_read(&raw);
			collect_bodies(&raw, &got);
		} while (sent < input.len ||
		    (got.len < expected.len && !raw.closed));
		if (strcmp(msp_buffer_text(&got), msp_buffer_text(&expected)) !=
		    0)
			fail_msg("round %u: got %s instead of %s", round,
			    msp_buffer_text(&raw.input),
			    msp_buffer_text(&expected));
		raw_close(&raw);
	}
	msp_drop_buffer(&input);
	msp_drop_buffer(&expected);
	msp_drop_buffer(&got);
}

int
main(void)
{
#define CASE(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    CASE(responses_keep_the_order_of_requests),
	    CASE(connection_is_idle_after_all_responses),
	    CASE(bytes_of_a_pipeline_are_bounded),
	    CASE(closing_client_gets_what_has_begun),
	    CASE(responses_come_without_keep_alive),
	    CASE(responses_come_after_the_listener_closed),
	    CASE(next_request_is_served_without_keep_alive),
	    CASE(client_that_leaves_cancels_all),
	    CASE(invalid_request_ends_the_pipeline),
	    CASE(pieces_do_not_change_what_runs),
	};

	return cmocka_run_group_tests_name("pipelines", tests, NULL, NULL);
}
