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

/* After the first request comes nothing, or a head that is never complete. */
static void
idle_connection_times_out(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw;
	int i;

	for (i = 0; i < 2; i++) {
		raw = raw_connect(test->loop, test->port);
		raw_send_text(&raw, "GET /a HTTP/1.1\r\n" HOST "\r\n");
		assert_true(raw_expect(&raw, "<GET /a 0>"));
		raw_clear_input(&raw);
		if (i == 1) {
			raw_send_text(&raw, "GET /b HTTP/1.1\r\nHo");
			assert_true(
			    raw_expect(&raw, "\"kind\":\"request-timeout\""));
		}
		assert_true(raw_expect_close(&raw));
		if (i == 0)
			assert_int_equal(raw.input.len, 0);
		raw_close(&raw);
	}
	assert_int_equal(test->request_count, 2);
}

static bool
has_pending_exchange(void *ctx)
{
	return ((server_test_t *)ctx)->pending_exchange != NULL;
}

static bool
has_no_open_exchanges(void *ctx)
{
	return msp_count_open_exchanges(((server_test_t *)ctx)->server) == 0;
}

/* Sends a request that the handler doesn't answer yet. */
static raw_socket_t
send_pending_request(server_test_t *test)
{
	raw_socket_t raw = raw_connect(test->loop, test->port);

	raw_send_text(&raw, "GET /hold HTTP/1.1\r\n" HOST "\r\n");
	assert_true(run_until(test->loop, has_pending_exchange, test));
	assert_int_equal(msp_count_open_exchanges(test->server), 1);
	return raw;
}

static void
answer_pending_exchange(server_test_t *test, const char *text)
{
	msp_response_t response = {.status = 200};

	msp_append_printf(&response.body, "%s", text);
	msp_send_exchange_response(test->pending_exchange, &response);
	test->pending_exchange = NULL;
}

typedef enum disconnect {
	DISCONNECT_CLOSE,
	DISCONNECT_RESET,
	DISCONNECT_HALF_CLOSE,
	/* Closes after it has sent the first bytes of the next request. */
	DISCONNECT_AFTER_MORE_DATA,
	DISCONNECT_COUNT
} disconnect_t;

static void
client_disconnect_is_detected(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw;
	unsigned int i;

	for (i = 0; i < DISCONNECT_COUNT; i++) {
		raw = send_pending_request(test);
		if (i == DISCONNECT_AFTER_MORE_DATA)
			raw_send_text(&raw, "GET /next HTTP/1.1\r\n");
		if (i == DISCONNECT_RESET)
			raw_reset(&raw);
		else if (i == DISCONNECT_HALF_CLOSE)
			shutdown(raw.fd, SHUT_WR);
		else
			raw_close(&raw);
		assert_true(run_until_count(
		    test->loop, &test->disconnect_count, i + 1));
		assert_int_equal(msp_count_open_exchanges(test->server), 0);
		assert_null(test->pending_exchange);
		raw_close(&raw);
		assert_serving(test, "after a client left");
	}
	assert_int_equal(test->disconnect_count, DISCONNECT_COUNT);
}

/*
 * The client closes the connection before the server has read its request, as
 * happens when the server is overloaded. The handler must not be called, since
 * nobody waits for the response.
 */
static void
request_of_disconnected_client_is_not_handled(void **state)
{
	static const char *const requests[] = {
	    "GET /hold HTTP/1.1\r\n" HOST "\r\n",
	    "POST /hold HTTP/1.1\r\n" HOST "Content-Length: 2\r\n\r\nab",
	    "POST /hold HTTP/1.1\r\n" HOST
	    "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
	};
	server_test_t *test = *state;
	raw_socket_t raw;
	unsigned int i;

	for (i = 0; i < 21; i++) {
		raw = raw_connect(test->loop, test->port);
		raw_send_text(&raw, requests[i % 3]);
		raw_close(&raw);
		assert_serving(test, "after a client closed at once");
	}
	/* Only the requests of assert_serving(). */
	assert_int_equal(test->request_count, 21);
	assert_int_equal(test->disconnect_count, 0);
	assert_int_equal(msp_count_open_exchanges(test->server), 0);
}

static void
response_may_be_sent_later(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw = send_pending_request(test);

	assert_serving(test, "while a request is pending");
	answer_pending_exchange(test, "<late>");
	assert_true(raw_expect(&raw, "<late>"));
	assert_true(run_until(test->loop, has_no_open_exchanges, test));
	assert_int_equal(test->disconnect_count, 0);
	raw_close(&raw);
}

static void
client_may_disconnect_during_response(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw;
	int i;

	for (i = 0; i < 2; i++) {
		raw = raw_connect(test->loop, test->port);
		raw_send_text(&raw, "GET /large HTTP/1.1\r\n" HOST "\r\n");
		assert_true(raw_expect(&raw, "200 OK"));
		assert_int_equal(msp_count_open_exchanges(test->server), 1);
		if (i == 0)
			raw_close(&raw);
		else
			raw_reset(&raw);
		assert_true(run_until(test->loop, has_no_open_exchanges, test));
		assert_serving(test, "after a client left");
	}
	assert_int_equal(test->disconnect_count, 0);
}

static void
slow_reader_is_disconnected(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw = raw_connect(test->loop, test->port);

	raw_send_text(&raw, "GET /large HTTP/1.1\r\n" HOST "\r\n");
	assert_true(raw_expect(&raw, "200 OK"));
	assert_serving(test, "beside a slow reader");
	assert_true(run_until(test->loop, has_no_open_exchanges, test));
	raw_read(&raw);
	assert_true(raw.input.len < LARGE_RESPONSE);
	raw_close(&raw);
	assert_serving(test, "after a slow reader");
}

static void
large_response_is_sent_completely(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw = raw_connect(test->loop, test->port);

	raw_send_text(&raw, "GET /large HTTP/1.1\r\n" HOST "\r\n");
	assert_true(raw_expect(&raw, "xend"));
	assert_true(raw.input.len > LARGE_RESPONSE);
	raw_close(&raw);
}

static void
connections_over_limit_are_refused(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raws[MAX_CONNECTIONS];
	raw_socket_t raw;
	size_t i;

	for (i = 0; i < MAX_CONNECTIONS; i++) {
		raws[i] = raw_connect(test->loop, test->port);
		raw_send_text(&raws[i], "GET /a HTTP/1.1\r\n" HOST "\r\n");
		assert_true(raw_expect(&raws[i], "<GET /a 0>"));
	}
	for (i = 0; i < 3; i++) {
		raw = raw_connect(test->loop, test->port);
		raw_send_text(&raw, "GET /b HTTP/1.1\r\n" HOST "\r\n");
		assert_true(raw_expect(&raw, "\"kind\":\"overload\""));
		assert_true(raw_expect(&raw, "retry-after: 1"));
		assert_true(raw_expect_close(&raw));
		raw_close(&raw);
	}
	assert_int_equal(test->request_count, MAX_CONNECTIONS);
	assert_int_equal(test->refusal_count, 3);
	assert_int_equal(test->refusal_status, MSP_E_OVERLOAD);
	assert_string_equal(test->refused_path, "");
	raw_clear_input(&raws[0]);
	raw_send_text(&raws[0], "GET /c HTTP/1.1\r\n" HOST "\r\n");
	assert_true(raw_expect(&raws[0], "<GET /c 0>"));
	for (i = 0; i < MAX_CONNECTIONS; i++)
		raw_close(&raws[i]);
	msp_step_loop(test->loop, 20);
	assert_serving(test, "after too many connections");
}

typedef struct refusal_case {
	const char *name;
	const char *input;
	msp_status_t status; /* MSP_OK: not refused */
	const char *path; /* of the reported request; "": none */
	size_t body_len; /* of the reported request */
} refusal_case_t;

/*
 * Guards against refusals by the server itself that its owner can neither log
 * nor count.
 */
static void
own_refusals_are_reported_once(void **state)
{
	static const refusal_case_t cases[] = {
	    {"served", "GET /a HTTP/1.1\r\n" HOST "\r\n", MSP_OK, "", 0},
	    {"nothing sent", "", MSP_OK, "", 0},
	    {"unknown method", "BREW /a HTTP/1.1\r\n\r\n", MSP_E_METHOD, "", 0},
	    {"garbage", "\x01\x02\r\n\r\n", MSP_E_BAD_REQUEST, "", 0},
	    {"half a head", "GET /a HTTP/1.1\r\nHo", MSP_E_REQUEST_TIMEOUT, "",
		0},
	    {"half a body",
		"POST /a HTTP/1.1\r\n" HOST "Content-Length: 5\r\n\r\nab",
		MSP_E_REQUEST_TIMEOUT, "/a", 2},
	    {"body too large",
		"POST /a HTTP/1.1\r\n" HOST "Content-Length: 1001\r\n\r\nab",
		MSP_E_TOO_LARGE, "/a", 0},
	    {"invalid length",
		"POST /a HTTP/1.1\r\n" HOST "Content-Length: -1\r\n\r\nab",
		MSP_E_BAD_REQUEST, "/a", 0},
	    {"invalid chunk",
		"POST /a HTTP/1.1\r\n" HOST
		"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		MSP_E_BAD_REQUEST, "/a", 0},
	};
	server_test_t *test = *state;
	raw_socket_t raw;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const refusal_case_t *c = &cases[i];

		test->refusal_count = 0;
		raw = raw_connect(test->loop, test->port);
		raw_send_text(&raw, c->input);
		assert_true(raw_expect_close(&raw));
		if (test->refusal_count != (c->status == MSP_OK ? 0 : 1))
			fail_msg("%s: reported %u times", c->name,
			    test->refusal_count);
		if (c->status != MSP_OK &&
		    (test->refusal_status != c->status ||
			strcmp(test->refused_path, c->path) != 0 ||
			test->refused_body_len != c->body_len))
			fail_msg("%s: %s, path \"%s\", %zu bytes", c->name,
			    msp_status_name(test->refusal_status),
			    test->refused_path, test->refused_body_len);
		raw_close(&raw);
	}
}

/* Guards against a response that the server's owner can't see or count. */
static void
malformed_later_request_is_refused(void **state)
{
	static const struct {
		const char *input;
		msp_status_t status;
		const char *response;
	} cases[] = {
	    {"BREW /a HTTP/1.1\r\n\r\n", MSP_E_METHOD,
		"\"kind\":\"method-not-allowed\""},
	    {"\x01\x02\r\n\r\n", MSP_E_BAD_REQUEST, "\"kind\":\"bad-request\""},
	    {"GET\r\n\r\n", MSP_E_BAD_REQUEST, "\"kind\":\"bad-request\""},
	};
	server_test_t *test = *state;
	raw_socket_t raw;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		raw = raw_connect(test->loop, test->port);
		raw_send_text(&raw, "GET /a HTTP/1.1\r\n" HOST "\r\n");
		assert_true(raw_expect(&raw, "<GET /a 0>"));
		raw_clear_input(&raw);
		raw_send_text(&raw, cases[i].input);
		assert_true(raw_expect(&raw, cases[i].response));
		assert_true(raw_expect(&raw, "connection: close"));
		assert_true(raw_expect_close(&raw));
		raw_close(&raw);
		assert_int_equal(test->request_count, i + 1);
		assert_int_equal(test->refusal_count, i + 1);
		assert_int_equal(test->refusal_status, cases[i].status);
	}
}

static void
closed_listener_finishes_requests_in_progress(void **state)
{
	server_test_t *test = *state;
	raw_socket_t idle = raw_connect(test->loop, test->port);
	raw_socket_t raw = send_pending_request(test);
	raw_socket_t late;

	raw_send_text(&idle, "GET /a HTTP/1.1\r\n" HOST "\r\n");
	assert_true(raw_expect(&idle, "<GET /a 0>"));
	msp_close_http_listener(test->server);
	assert_true(raw_expect_close(&idle));
	late = raw_connect(test->loop, test->port);
	assert_true(late.closed);
	assert_int_equal(msp_count_open_exchanges(test->server), 1);
	answer_pending_exchange(test, "<last>");
	assert_true(raw_expect(&raw, "<last>"));
	assert_true(raw_expect(&raw, "connection: close"));
	assert_true(raw_expect_close(&raw));
	assert_int_equal(msp_count_open_exchanges(test->server), 0);
	raw_close(&raw);
	raw_close(&idle);
	raw_close(&late);
}

static void
dropped_server_reports_pending_requests(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw = send_pending_request(test);

	msp_drop_http_server(test->server);
	test->server = NULL;
	assert_int_equal(test->disconnect_count, 1);
	assert_true(raw_expect_close(&raw));
	raw_close(&raw);
}

static int
get_socket_option(int fd, int level, int name)
{
	int value = -1;
	socklen_t len = sizeof(value);

	getsockopt(fd, level, name, &value, &len);
	return value;
}

static void
dead_peer_detection_is_enabled(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw = send_pending_request(test);
	int fd = test->pending_exchange->connection->fd;

	assert_int_equal(get_socket_option(fd, SOL_SOCKET, SO_KEEPALIVE), 1);
	assert_in_range(
	    get_socket_option(fd, IPPROTO_TCP, TCP_KEEPIDLE), 1, 10);
	assert_in_range(
	    get_socket_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT), 1, 20000);
	answer_pending_exchange(test, "x");
	raw_close(&raw);
}

int
main(void)
{
#define CASE(name) \
	cmocka_unit_test_setup_teardown(name, set_up_server, tear_down_server)
	const struct CMUnitTest tests[] = {
	    CASE(idle_connection_times_out),
	    CASE(client_disconnect_is_detected),
	    CASE(request_of_disconnected_client_is_not_handled),
	    CASE(response_may_be_sent_later),
	    CASE(client_may_disconnect_during_response),
	    CASE(slow_reader_is_disconnected),
	    CASE(large_response_is_sent_completely),
	    CASE(connections_over_limit_are_refused),
	    CASE(own_refusals_are_reported_once),
	    CASE(malformed_later_request_is_refused),
	    CASE(closed_listener_finishes_requests_in_progress),
	    CASE(dropped_server_reports_pending_requests),
	    CASE(dead_peer_detection_is_enabled),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
