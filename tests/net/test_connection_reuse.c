#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <linux/sockios.h>
#include <sched.h>
#include <sys/ioctl.h>

#include "client_fixture.h"

#define DELIVERY_TRIES 1000000

static bool
has_connection_or_outcome(void *ctx)
{
	client_test_t *test = ctx;

	return test->outcome.done_count > 0 || has_pending_connection(test);
}

/* Starts a POST and answers it on a connection that must be a new one. */
static void
complete_on_new_connection(client_test_t *test, const char *name)
{
	raw_socket_t next;

	start_test_call(test, "POST", "/next", &test->outcome);
	run_until(test->loop, has_connection_or_outcome, test);
	if (test->outcome.done_count > 0)
		fail_msg("%s: %s, response \"%s\"", name,
		    msp_status_name(test->outcome.status),
		    msp_buffer_text(&test->outcome.response.body));
	next = raw_accept(&test->listener);
	assert_true(raw_expect(&next, "\r\n\r\nbody"));
	raw_send_text(&next, complete_response);
	wait_outcome(test, name);
	assert_int_equal(test->outcome.status, MSP_OK);
	assert_string_equal(
	    msp_buffer_text(&test->outcome.response.body), "ok");
	raw_close(&next);
	msp_step_loop(test->loop, 20);
}

/* Whether the peer has received all that was sent, or has closed. */
static bool
is_delivered(raw_socket_t *raw)
{
	int bytes = 0;

	raw_read(raw);
	return raw->closed ||
	    (ioctl(raw->fd, SIOCOUTQ, &bytes) == 0 && bytes == 0);
}

/* Sends text; it has arrived when the function returns, unless closed. */
static void
deliver_text(raw_socket_t *raw, const char *text)
{
	int i;

	raw_send_text(raw, text);
	for (i = 0; i < DELIVERY_TRIES && !is_delivered(raw); i++)
		sched_yield();
	assert_true(is_delivered(raw));
}

/*
 * Completes a call with this method, on `raw` or on a new connection, and
 * returns the connection.
 */
static raw_socket_t
complete_with_method(client_test_t *test, raw_socket_t *raw, const char *method)
{
	raw_socket_t other = *raw;

	raw_clear_input(raw);
	start_test_call(test, method, "/other", &test->outcome);
	while (!has_pending_connection(test) && raw->input.len == 0) {
		msp_step_loop(test->loop, 1);
		raw_read(raw);
	}
	if (raw->input.len == 0)
		other = raw_accept(&test->listener);
	assert_true(raw_expect(&other, "\r\n\r\n"));
	raw_send_text(&other, OK_LINE "Content-Length: 0\r\n\r\n");
	wait_outcome(test, method);
	return other;
}

static const char *const methods[] = {
    "GET", "POST", "PUT", "HEAD", "DELETE", "PATCH", "OPTIONS"};

/*
 * Guards against responses that are taken for those of other requests:
 * libwebsockets opens a new connection for some methods even if one is idle,
 * and uses that one later, when another response may have arrived on it.
 */
static void
connection_passed_over_is_not_used_later(void **state)
{
	static const char late_response[] =
	    OK_LINE "Content-Length: 5\r\n\r\nwrong";
	client_test_t *test = *state;
	raw_socket_t raw;
	raw_socket_t other;
	size_t i;

	for (i = 0; i < 2 * sizeof(methods) / sizeof(*methods); i++) {
		raw = (raw_socket_t){0};
		complete_one_call(test, &raw, true);
		other = complete_with_method(test, &raw, methods[i / 2]);
		deliver_text(&raw, late_response);
		/* Lets the loop handle the late bytes in every other round. */
		if (i % 2 == 0)
			msp_step_loop(test->loop, 20);
		complete_on_new_connection(test, methods[i / 2]);
		if (other.fd != raw.fd)
			raw_close(&other);
		raw_close(&raw);
		tear_down_client(state);
		assert_int_equal(set_up_client(state), 0);
	}
}

/* Two responses that take turns on one connection; they differ in fields. */
static const char *const turns[] = {
    "HTTP/1.1 503 Busy\r\nX-Correlation-Id: first\r\nSunset: 1\r\n"
    "Retry-After: 2\r\nContent-Length: 0\r\n\r\n",
    OK_LINE "X-Correlation-Id: second\r\nContent-Length: 0\r\n\r\n",
};

/* Sends a response in two parts; the client reads the first by itself. */
static void
respond_in_two_parts(
    client_test_t *test, raw_socket_t *raw, const char *text, size_t first_len)
{
	char part[256];

	snprintf(part, sizeof(part), "%.*s", (int)first_len, text);
	deliver_text(raw, part);
	msp_step_loop(test->loop, 1);
	msp_step_loop(test->loop, 1);
	assert_int_equal(test->outcome.done_count, 0);
	raw_send_text(raw, text + first_len);
	wait_outcome(test, text);
	assert_int_equal(test->outcome.status, MSP_OK);
}

static void
assert_fields_of_turn(const msp_response_t *response, size_t turn, size_t at)
{
	const msp_headers_t *headers = &response->headers;
	const char *id = msp_find_header(headers, "x-correlation-id");
	bool is_first = turn == 0;

	if (response->status != (is_first ? 503 : 200) || id == NULL ||
	    strcmp(id, is_first ? "first" : "second") != 0 ||
	    (msp_find_header(headers, "sunset") != NULL) != is_first ||
	    (msp_find_header(headers, "retry-after") != NULL) != is_first)
		fail_msg("response %zu, split at %zu: %d, id \"%s\"", turn, at,
		    response->status, id == NULL ? "none" : id);
}

/*
 * Guards against "not executed" that a connection's earlier response stated,
 * and against fields that are lost or mixed where a head arrives in two parts.
 */
static void
each_response_has_its_own_fields_only(void **state)
{
	client_test_t *test = *state;
	raw_socket_t raw = {0};
	size_t turn;
	size_t at;

	complete_one_call(test, &raw, true);
	for (at = 1; at < strlen(turns[0]); at++) {
		for (turn = 0; turn < 2; turn++) {
			if (at >= strlen(turns[turn]))
				continue;
			raw_clear_input(&raw);
			start_test_call(test, "POST", "/b", &test->outcome);
			assert_true(raw_expect(&raw, "\r\n\r\nbody"));
			respond_in_two_parts(test, &raw, turns[turn], at);
			assert_fields_of_turn(
			    &test->outcome.response, turn, at);
		}
	}
	raw_close(&raw);
}

int
main(void)
{
#define CASE(name) \
	cmocka_unit_test_setup_teardown(name, set_up_client, tear_down_client)
	const struct CMUnitTest tests[] = {
	    CASE(connection_passed_over_is_not_used_later),
	    CASE(each_response_has_its_own_fields_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
