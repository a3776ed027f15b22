#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include <cmocka.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "client_fixture.h"

typedef enum cancel_point {
	CANCEL_AT_ONCE,
	CANCEL_SENT,
	CANCEL_RECEIVING,
	CANCEL_ENDED, /* response complete, `done` not called yet */
	CANCEL_WAITING, /* for a connection */
	CANCEL_COUNT
} cancel_point_t;

static void
cancel_at(client_test_t *test, cancel_point_t point)
{
	test_outcome_t others[CLIENT_CONNECTIONS_MAX] = {{0}};
	raw_socket_t raw = {.fd = -1};
	msp_call_t *call;
	int i;

	for (i = 0; point == CANCEL_WAITING && i < CLIENT_CONNECTIONS_MAX; i++)
		start_test_call(test, "GET", "/other", &others[i]);
	call = start_test_call(test, "POST", "/a", &test->outcome);
	if (point != CANCEL_AT_ONCE && point != CANCEL_WAITING) {
		raw = raw_accept(&test->listener);
		assert_true(raw_expect(&raw, "\r\n\r\nbody"));
		assert_true(msp_call_maybe_sent(call));
	}
	if (point == CANCEL_RECEIVING)
		raw_send_text(&raw, OK_LINE "Content-Length: 5\r\n\r\nabc");
	if (point == CANCEL_ENDED)
		raw_send_text(&raw, complete_response);
	for (i = 0; i < 100 && point == CANCEL_RECEIVING &&
	     call->state != MSP_CALL_RECEIVING;
	     i++)
		msp_step_loop(test->loop, 10);
	for (i = 0;
	     i < 100 && point == CANCEL_ENDED && call->state != MSP_CALL_ENDED;
	     i++)
		msp_step_loop(test->loop, 0);
	msp_cancel_call(call);
	if (point == CANCEL_SENT || point == CANCEL_RECEIVING)
		assert_true(raw_expect_close(&raw));
	for (i = 0; i < 3; i++)
		msp_step_loop(test->loop, 5);
	assert_int_equal(test->outcome.done_count, 0);
	raw_close(&raw);
	for (i = 0; i < CLIENT_CONNECTIONS_MAX; i++)
		drop_outcome(&others[i]);
}

static void
cancelled_call_has_no_callback(void **state)
{
	cancel_point_t point;

	for (point = 0; point < CANCEL_COUNT; point++) {
		cancel_at(*state, point);
		tear_down_client(state);
		assert_int_equal(set_up_client(state), 0);
	}
}

/* Bytes received after a response must not be taken for the next response. */
static void
late_bytes_are_not_used_as_response(void **state)
{
	client_test_t *test = *state;
	raw_socket_t raw = {0};
	raw_socket_t next;
	int i;

	for (i = 0; i < 4; i++) {
		complete_one_call(test, &raw, true);
		raw_send_text(&raw,
		    i < 2 ? OK_LINE "Content-Length: 5\r\n\r\nwrong" : "x");
		/* Lets the loop handle the late bytes in every other round. */
		if (i % 2 == 0)
			msp_step_loop(test->loop, 20);
		start_test_call(test, "POST", "/b", &test->outcome);
		next = raw_accept(&test->listener);
		assert_true(raw_expect(&next, "\r\n\r\nbody"));
		raw_send_text(&next, complete_response);
		wait_outcome(test, "late bytes");
		assert_int_equal(test->outcome.status, MSP_OK);
		assert_string_equal(
		    msp_buffer_text(&test->outcome.response.body), "ok");
		raw_close(&next);
		raw_close(&raw);
		msp_step_loop(test->loop, 20);
	}
}

/* What end_call_with_extra() waits for. */
typedef struct reuse_wait {
	client_test_t *test;
	raw_socket_t *used; /* the connection that got the extra bytes */
} reuse_wait_t;

/* Whether the waiting call has used the connection, or opens another one. */
static bool
has_request_or_connection(void *ctx)
{
	reuse_wait_t *wait = ctx;

	raw_read(wait->used);
	return wait->used->input.len > 0 || has_pending_connection(wait->test);
}

/*
 * Ends the first of several calls with `response`, followed by `extra`
 * in the same write, while one more call waits for a connection.
 */
static void
end_call_with_extra(
    client_test_t *test, const char *response, const char *extra)
{
	test_outcome_t first[CLIENT_CONNECTIONS_MAX] = {{0}};
	raw_socket_t raw[CLIENT_CONNECTIONS_MAX];
	reuse_wait_t wait = {.test = test, .used = &raw[0]};
	raw_socket_t next;
	char text[256];
	int k;

	for (k = 0; k < CLIENT_CONNECTIONS_MAX; k++) {
		start_test_call(test, "GET", "/a", &first[k]);
		raw[k] = raw_accept(&test->listener);
		assert_true(raw_expect(&raw[k], "\r\n\r\n"));
		raw_clear_input(&raw[k]);
	}
	start_test_call(test, "POST", "/b", &test->outcome);
	snprintf(text, sizeof(text), "%s%s", response, extra);
	raw_send_text(&raw[0], text);
	assert_true(run_until(test->loop, has_request_or_connection, &wait));
	if (raw[0].input.len > 0)
		fail_msg(
		    "the connection was used after \"%s%s\"", response, extra);
	next = raw_accept(&test->listener);
	assert_true(raw_expect(&next, "\r\n\r\nbody"));
	raw_send_text(&next, complete_response);
	wait_outcome(test, extra);
	assert_int_equal(test->outcome.status, MSP_OK);
	assert_string_equal(
	    msp_buffer_text(&test->outcome.response.body), "ok");
	assert_int_equal(first[0].status, MSP_OK);
	raw_send_text(&raw[1], complete_response);
	assert_true(run_until_count(test->loop, &first[1].done_count, 1));
	for (k = 0; k < CLIENT_CONNECTIONS_MAX; k++) {
		raw_close(&raw[k]);
		drop_outcome(&first[k]);
	}
	raw_close(&next);
	msp_step_loop(test->loop, 20);
}

/*
 * Guards against bytes that the library has read together with a response, and
 * which the socket no longer shows, being used for a call that waits for the
 * connection.
 */
static void
buffered_bytes_are_not_used_as_response(void **state)
{
	static const char *const extras[] = {
	    OK_LINE "Content-Length: 5\r\n\r\nwrong",
	    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
	    "HTTP/1.1 503 Busy\r\nContent-Len",
	    "x",
	};
	static const char *const responses[] = {
	    complete_response,
	    OK_LINE "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
		    "0\r\n\r\n",
	    OK_LINE "Content-Length: 0\r\n\r\n",
	    OK_LINE "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	};
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(responses) / sizeof(*responses); i++) {
		for (k = 0; k < sizeof(extras) / sizeof(*extras); k++)
			end_call_with_extra(*state, responses[i], extras[k]);
	}
}

static bool
judge_by_status(void *ctx, const msp_call_result_t *result)
{
	(void)ctx;
	return result->status == MSP_OK && result->response->status == 200;
}

/*
 * Guards against a connection that stays one response behind: it must not be
 * used again after a response that is another request's.
 */
static void
connection_is_closed_after_a_foreign_response(void **state)
{
	static const struct {
		const char *response;
		bool closed;
	} cases[] = {
	    {OK_LINE "Content-Length: 2\r\n\r\nok", false},
	    {OK_LINE "Content-Length: 0\r\n\r\n", false},
	    {OK_LINE "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
		     "0\r\n\r\n",
		false},
	    {"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno", true},
	    {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", true},
	    {"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "2\r\nno\r\n0\r\n\r\n",
		true},
	    {"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "0\r\n\r\n",
		true},
	};
	client_test_t *test = *state;
	raw_socket_t raw;
	size_t i;

	test->options.judge = judge_by_status;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		start_test_call(test, "POST", "/a", &test->outcome);
		raw = raw_accept(&test->listener);
		assert_true(raw_expect(&raw, "\r\n\r\nbody"));
		raw_send_text(&raw, cases[i].response);
		wait_outcome(test, cases[i].response);
		assert_int_equal(test->outcome.status, MSP_OK);
		raw_clear_input(&raw);
		start_test_call(test, "POST", "/b", &test->outcome);
		if (cases[i].closed) {
			assert_true(raw_expect_close(&raw));
			assert_int_equal(raw.input.len, 0);
			raw_close(&raw);
			raw = raw_accept(&test->listener);
		}
		if (!raw_expect(&raw, "\r\n\r\nbody"))
			fail_msg("%s: the next call was not sent",
			    cases[i].response);
		raw_send_text(&raw, complete_response);
		wait_outcome(test, cases[i].response);
		assert_int_equal(test->outcome.status, MSP_OK);
		raw_close(&raw);
		msp_step_loop(test->loop, 20);
	}
}

static void
invalid_request_is_not_sent(void **state)
{
	static const char *const paths[] = {
	    "a", "", "/a b", "/a\r\nX: y", "/\x7f"};
	static const char *const values[] = {"a\r\nX: y", "a\nb", "\x01"};
	client_test_t *test = *state;
	msp_request_t request;
	size_t i;

	for (i = 0; i < sizeof(paths) / sizeof(*paths); i++) {
		start_test_call(test, "GET", paths[i], &test->outcome);
		wait_outcome(test, paths[i]);
		assert_int_equal(test->outcome.status, MSP_E_BAD_REQUEST);
		assert_false(test->outcome.maybe_sent);
	}
	for (i = 0; i < sizeof(values) / sizeof(*values); i++) {
		request = new_request("GET", "/", NULL);
		msp_add_header(&request.headers, "X-Request-ID", values[i]);
		drop_outcome(&test->outcome);
		test->outcome = (test_outcome_t){0};
		msp_start_call(test->client, &test->options, &request,
		    store_outcome, &test->outcome);
		wait_outcome(test, values[i]);
		assert_int_equal(test->outcome.status, MSP_E_BAD_REQUEST);
	}
	assert_false(has_pending_connection(test));
}

static void
drop_client(void *ctx, msp_call_result_t *result)
{
	client_test_t *test = ctx;

	(void)result;
	test->outcome.done_count++;
	msp_drop_http_client(test->client);
	test->client = NULL;
}

static void
client_may_be_dropped_in_callback(void **state)
{
	client_test_t *test = *state;
	msp_request_t request;
	raw_socket_t raw;
	int i;

	for (i = 0; i < CLIENT_CONNECTIONS_MAX + 2; i++) {
		request = new_request("GET", "/a", NULL);
		msp_start_call(
		    test->client, &test->options, &request, drop_client, test);
	}
	raw = raw_accept(&test->listener);
	assert_true(raw_expect(&raw, "\r\n\r\n"));
	raw_send_text(&raw, complete_response);
	wait_outcome(test, "dropped client");
	msp_step_loop(test->loop, 20);
	assert_int_equal(test->outcome.done_count, 1);
	raw_close(&raw);
}

static void
dead_peer_detection_is_enabled(void **state)
{
	client_test_t *test = *state;
	msp_call_t *call = start_test_call(test, "GET", "/a", &test->outcome);
	raw_socket_t raw = raw_accept(&test->listener);
	socklen_t len = sizeof(int);
	int value = 0;
	int fd;

	assert_true(raw_expect(&raw, "\r\n\r\n"));
	fd = lws_get_socket_fd(call->connection->wsi);
	getsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &value, &len);
	assert_int_equal(value, 1);
	getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, &len);
	assert_in_range(value, 1, 20000);
	raw_close(&raw);
}

/* Completes a call with a response that has these fields of its own. */
static void
complete_call_with_fields(client_test_t *test, const char *fields)
{
	char text[256];
	raw_socket_t raw;

	snprintf(
	    text, sizeof(text), OK_LINE "%sContent-Length: 0\r\n\r\n", fields);
	start_test_call(test, "POST", "/a", &test->outcome);
	raw = raw_accept(&test->listener);
	assert_true(raw_expect(&raw, "\r\n\r\nbody"));
	raw_send_text(&raw, text);
	wait_outcome(test, fields);
	assert_int_equal(test->outcome.status, MSP_OK);
	raw_close(&raw);
	msp_step_loop(test->loop, 20);
}

/*
 * Guards against a request's own response that is taken for another's, since
 * its id is followed by a blank, which doesn't belong to the value.
 */
static void
blanks_after_a_value_are_left_out(void **state)
{
	static const char *const cases[] = {
	    "X-Correlation-Id: abc\r\n",
	    "X-Correlation-Id:abc\r\n",
	    "X-Correlation-Id:  abc\r\n",
	    "X-Correlation-Id: abc \r\n",
	    "X-Correlation-Id: abc \t \r\n",
	};
	client_test_t *test = *state;
	const char *value;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		complete_call_with_fields(test, cases[i]);
		value = msp_find_header(
		    &test->outcome.response.headers, "x-correlation-id");
		if (value == NULL || strcmp(value, "abc") != 0)
			fail_msg("case %zu: \"%s\"", i,
			    value == NULL ? "none" : value);
	}
}

/*
 * Guards against a response with the ids of two requests that is taken for the
 * first one's: a field that is not in the library's list is copied once.
 */
static void
each_of_repeated_fields_is_copied(void **state)
{
	client_test_t *test = *state;
	const msp_headers_t *headers;
	size_t found = 0;
	size_t i;

	complete_call_with_fields(
	    test, "X-Correlation-Id: abc\r\nX-Correlation-Id: abd\r\n");
	headers = &test->outcome.response.headers;
	for (i = 0; i < headers->count; i++) {
		if (strcasecmp(headers->fields[i].name, "x-correlation-id") ==
		    0)
			found++;
	}
	assert_int_equal(found, 2);
}

int
main(void)
{
#define CASE(name) \
	cmocka_unit_test_setup_teardown(name, set_up_client, tear_down_client)
	const struct CMUnitTest tests[] = {
	    CASE(cancelled_call_has_no_callback),
	    CASE(late_bytes_are_not_used_as_response),
	    CASE(buffered_bytes_are_not_used_as_response),
	    CASE(connection_is_closed_after_a_foreign_response),
	    CASE(invalid_request_is_not_sent),
	    CASE(client_may_be_dropped_in_callback),
	    CASE(dead_peer_detection_is_enabled),
	    CASE(blanks_after_a_value_are_left_out),
	    CASE(each_of_repeated_fields_is_copied),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
