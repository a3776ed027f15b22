#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "client_fixture.h"

static void
closed_port_is_reported_as_peer_down(void **state)
{
	client_test_t *test = *state;
	uint16_t port;
	raw_socket_t other = raw_listen(test->loop, &port);

	raw_close(&other);
	test->options.port = port;
	start_test_call(test, "POST", "/a", &test->outcome);
	wait_outcome(test, "closed port");
	assert_int_equal(test->outcome.status, MSP_E_PEER_DOWN);
	assert_false(test->outcome.maybe_sent);
	assert_int_equal(test->outcome.connection, 0);
}

/* With a full backlog, the kernel doesn't complete new connections. */
static void
connect_timeout_is_reported_as_peer_down(void **state)
{
	client_test_t *test = *state;
	raw_socket_t fillers[8];
	struct pollfd poll_fd;
	size_t i;
	size_t n = 0;

	assert_int_equal(listen(test->listener.fd, 0), 0);
	for (i = 0; i < 8; i++) {
		fillers[i] = (raw_socket_t){.loop = test->loop};
		fillers[i].fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		raw_begin_connect(&fillers[i], test->port);
	}
	start_test_call(test, "POST", "/a", &test->outcome);
	wait_outcome(test, "no connection");
	assert_int_equal(test->outcome.status, MSP_E_PEER_DOWN);
	assert_false(test->outcome.maybe_sent);
	assert_int_equal(test->outcome.connection, 0);
	for (i = 0; i < 8; i++) {
		poll_fd =
		    (struct pollfd){.fd = fillers[i].fd, .events = POLLOUT};
		n += poll(&poll_fd, 1, 0) == 0 ? 1 : 0;
		raw_close(&fillers[i]);
	}
	assert_true(n > 0); /* some didn't connect: the backlog was full */
}

static void
connection_is_reused(void **state)
{
	client_test_t *test = *state;
	raw_socket_t raw = {0};
	uint64_t number;
	int i;

	complete_one_call(test, &raw, true);
	assert_int_equal(test->outcome.responses_before, 0);
	number = test->outcome.connection;
	assert_int_not_equal(number, 0);
	for (i = 0; i < 5; i++) {
		complete_one_call(test, &raw, false);
		assert_int_equal(test->outcome.connection, number);
		assert_int_equal(test->outcome.responses_before, i + 1);
	}
	assert_false(has_pending_connection(test));
	raw_close(&raw);
}

/*
 * The server closes or resets an idle connection, and the next call starts
 * before the loop has handled that.
 */
static void
closed_connection_is_not_used(void **state)
{
	client_test_t *test = *state;
	raw_socket_t raw = {0};
	raw_socket_t next;
	int i;

	for (i = 0; i < 2; i++) {
		complete_one_call(test, &raw, true);
		if (i == 0)
			raw_reset(&raw);
		else
			raw_close(&raw);
		start_test_call(test, "POST", "/b", &test->outcome);
		next = raw_accept(&test->listener);
		assert_true(raw_expect(&next, "\r\n\r\nbody"));
		raw_send_text(&next, complete_response);
		wait_outcome(test, "closed while idle");
		assert_int_equal(test->outcome.status, MSP_OK);
		raw_close(&next);
		msp_step_loop(test->loop, 20);
	}
}

/* The server closes or resets the connection after it got the request. */
static void
request_is_never_sent_twice(void **state)
{
	client_test_t *test = *state;
	raw_socket_t raw = {0};
	int i;

	for (i = 0; i < 2; i++) {
		complete_one_call(test, &raw, true);
		raw_clear_input(&raw);
		start_test_call(test, "POST", "/b", &test->outcome);
		assert_true(raw_expect(&raw, "\r\n\r\nbody"));
		if (i == 0)
			raw_reset(&raw);
		else
			raw_close(&raw);
		wait_outcome(test, "closed after the request");
		assert_int_equal(
		    test->outcome.status, MSP_E_TRUNCATED_RESPONSE);
		assert_true(test->outcome.maybe_sent);
		msp_step_loop(test->loop, 20);
		assert_false(has_pending_connection(test));
		raw = (raw_socket_t){0};
	}
}

/* Guards against calls that wait where their caller can't decide again. */
static void
busy_client_refuses_if_it_is_told_to(void **state)
{
	client_test_t *test = *state;
	const msp_http_client_options_t options = {
	    .max_connections_per_server = 1, .refuses_when_busy = true};
	msp_http_client_t *client = msp_new_http_client(test->loop, &options);
	test_outcome_t outcomes[2] = {{0}};
	raw_socket_t raw;
	size_t i;

	for (i = 0; i < 2; i++) {
		msp_request_t request = new_request("POST", "/a", "body");

		assert_non_null(msp_start_call(client, &test->options, &request,
		    store_outcome, &outcomes[i]));
	}
	assert_true(run_until_count(test->loop, &outcomes[1].done_count, 1));
	assert_int_equal(outcomes[1].status, MSP_E_OVERLOAD);
	assert_false(outcomes[1].maybe_sent);
	raw = raw_accept(&test->listener);
	assert_true(raw_expect(&raw, "\r\n\r\nbody"));
	raw_send_text(&raw, complete_response);
	assert_true(run_until_count(test->loop, &outcomes[0].done_count, 1));
	assert_int_equal(outcomes[0].status, MSP_OK);
	for (i = 0; i < 2; i++)
		drop_outcome(&outcomes[i]);
	raw_close(&raw);
	msp_drop_http_client(client);
}

static void
idle_connections_are_closed_on_request(void **state)
{
	client_test_t *test = *state;
	raw_socket_t raw = {0};
	raw_socket_t next = {0};

	complete_one_call(test, &raw, true);
	msp_close_idle_connections(test->client, TEST_ADDRESS, test->port);
	complete_one_call(test, &next, true);
	assert_true(raw_expect_close(&raw));
	raw_close(&raw);
	raw_close(&next);
}

/* A call after one whose connection ended, or that ends without a response. */
typedef struct connection_case {
	const char *name;
	const char *response; /* to the second call; NULL: closes */
	msp_status_t status; /* of the second call */
	uint32_t responses_before; /* of the second call */
	bool resets; /* the first connection, after its first response */
	bool third_connects; /* the third call opens a connection */
} connection_case_t;

/*
 * Guards against results that name another connection than the one that
 * carried the response, or another number of responses.
 */
static void
results_name_the_connection(void **state)
{
	static const connection_case_t cases[] = {
	    {"kept", OK_LINE "Content-Length: 2\r\n\r\nok", MSP_OK, 1, false,
		false},
	    {"error status", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		MSP_OK, 1, false, false},
	    {"chunked",
		OK_LINE "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
			"0\r\n\r\n",
		MSP_OK, 1, false, false},
	    {"without a body", "HTTP/1.1 204 No Content\r\n\r\n", MSP_OK, 1,
		false, true},
	    {"announces its close",
		OK_LINE "Connection: close\r\nContent-Length: 2\r\n\r\nok",
		MSP_OK, 1, false, true},
	    {"closed without a response", NULL, MSP_E_TRUNCATED_RESPONSE, 1,
		false, true},
	    {"reset while idle", OK_LINE "Content-Length: 2\r\n\r\nok", MSP_OK,
		0, true, false},
	};
	client_test_t *test = *state;
	uint64_t first;
	uint64_t second;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const connection_case_t *c = &cases[i];
		raw_socket_t raw = {0};

		complete_one_call(test, &raw, true);
		assert_int_equal(test->outcome.responses_before, 0);
		first = test->outcome.connection;
		if (c->resets)
			raw_reset(&raw);
		start_test_call(test, "POST", "/b", &test->outcome);
		if (c->resets)
			raw = raw_accept(&test->listener);
		raw_clear_input(&raw);
		if (!raw_expect(&raw, "\r\n\r\n"))
			fail_msg("%s: second call not sent", c->name);
		if (c->response == NULL)
			raw_close(&raw);
		else
			raw_send_text(&raw, c->response);
		wait_outcome(test, c->name);
		second = test->outcome.connection;
		if (test->outcome.status != c->status ||
		    test->outcome.responses_before != c->responses_before ||
		    (second == first) == c->resets)
			fail_msg("%s: %s, connection %" PRIu64 " after %" PRIu64
				 ", %u responses before",
			    c->name, msp_status_name(test->outcome.status),
			    second, first, test->outcome.responses_before);
		if (c->third_connects)
			raw_close(&raw);
		complete_one_call(test, &raw, c->third_connects);
		if ((test->outcome.connection == second) == c->third_connects ||
		    (test->outcome.responses_before == 0) != c->third_connects)
			fail_msg("%s: third call on connection %" PRIu64
				 " after %" PRIu64 ", %u responses before",
			    c->name, test->outcome.connection, second,
			    test->outcome.responses_before);
		raw_close(&raw);
		msp_step_loop(test->loop, 20);
	}
}

static void
make_connections_old(client_test_t *test)
{
	msp_origin_t *origin =
	    msp_find_origin(test->client, TEST_ADDRESS, test->port);
	msp_client_connection_t *connection;

	for (connection = LIST_FIRST(&origin->connections); connection != NULL;
	     connection = LIST_NEXT(connection, all_link))
		connection->last_active -= 2 * MSP_SECOND;
}

static void
fresh_call_avoids_old_connections(void **state)
{
	client_test_t *test = *state;
	raw_socket_t raw = {0};
	raw_socket_t next = {0};
	int i;

	complete_one_call(test, &raw, true);
	test->options.fresh_connection = true;
	/* The connection was active in the last second. */
	complete_one_call(test, &raw, false);
	for (i = 0; i < 3; i++) {
		make_connections_old(test);
		complete_one_call(test, &next, true);
		complete_one_call(test, &next, false);
		raw_close(&next);
	}
	raw_close(&raw);
}

/*
 * Guards against a response to an earlier request being taken for that of a
 * call whose response does not tell: the call gets a connection of its own.
 */
static void
call_with_unused_connection_reuses_none(void **state)
{
	client_test_t *test = *state;
	raw_socket_t raw = {0};
	raw_socket_t next = {0};
	int i;

	complete_one_call(test, &raw, true);
	for (i = 0; i < 3; i++) {
		/* The kept connection was active in the last second. */
		test->options.unused_connection = true;
		complete_one_call(test, &next, true);
		assert_int_equal(test->outcome.responses_before, 0);
		assert_true(raw_expect_close(&raw));
		raw_close(&raw);
		raw = next;
		/* Other calls may use it afterwards. */
		test->options.unused_connection = false;
		complete_one_call(test, &raw, false);
		assert_int_equal(test->outcome.responses_before, 1);
	}
	raw_close(&raw);
}

static void
calls_wait_for_free_connection(void **state)
{
	client_test_t *test = *state;
	test_outcome_t outcomes[CLIENT_CONNECTIONS_MAX + 3] = {{0}};
	raw_socket_t raws[CLIENT_CONNECTIONS_MAX];
	raw_socket_t *raw;
	unsigned int done = 0;
	char path[16];
	size_t i;

	for (i = 0; i < CLIENT_CONNECTIONS_MAX + 3; i++) {
		snprintf(path, sizeof(path), "/n%zu", i);
		/* The last one times out while it waits. */
		test->options.timeout_ms =
		    i == CLIENT_CONNECTIONS_MAX + 2 ? 50 : 2000;
		start_test_call(test, "GET", path, &outcomes[i]);
	}
	for (i = 0; i < CLIENT_CONNECTIONS_MAX; i++) {
		raws[i] = raw_accept(&test->listener);
		assert_true(raw_expect(&raws[i], "\r\n\r\n"));
	}
	assert_true(run_until_count(
	    test->loop, &outcomes[CLIENT_CONNECTIONS_MAX + 2].done_count, 1));
	assert_int_equal(
	    outcomes[CLIENT_CONNECTIONS_MAX + 2].status, MSP_E_DEADLINE);
	assert_false(outcomes[CLIENT_CONNECTIONS_MAX + 2].maybe_sent);
	assert_false(outcomes[CLIENT_CONNECTIONS_MAX + 2].no_first_byte);
	for (i = 0; i < CLIENT_CONNECTIONS_MAX + 2; i++) {
		raw = &raws[i % CLIENT_CONNECTIONS_MAX];
		snprintf(path, sizeof(path), "/n%zu ", i);
		assert_true(raw_expect(raw, path));
		assert_true(raw_expect(raw, "\r\n\r\n"));
		raw_clear_input(raw);
		raw_send_text(raw, complete_response);
		assert_true(
		    run_until_count(test->loop, &outcomes[i].done_count, 1));
		assert_int_equal(outcomes[i].status, MSP_OK);
		done += outcomes[i].done_count;
	}
	assert_int_equal(done, CLIENT_CONNECTIONS_MAX + 2);
	assert_false(has_pending_connection(test));
	for (i = 0; i < CLIENT_CONNECTIONS_MAX + 3; i++)
		drop_outcome(&outcomes[i]);
	for (i = 0; i < CLIENT_CONNECTIONS_MAX; i++)
		raw_close(&raws[i]);
}

/*
 * The client is dropped in the same turn of the loop in which a call reused an
 * open connection. The leak checker reports what was not freed when the test
 * ends.
 */
static void
client_dropped_after_start_frees_everything(void **state)
{
	client_test_t *test = *state;
	raw_socket_t raw = {0};

	complete_one_call(test, &raw, true);
	start_test_call(test, "POST", "/b", &test->outcome);
	raw_close(&raw);
}

int
main(void)
{
#define CASE(name) \
	cmocka_unit_test_setup_teardown(name, set_up_client, tear_down_client)
	const struct CMUnitTest tests[] = {
	    CASE(closed_port_is_reported_as_peer_down),
	    CASE(connect_timeout_is_reported_as_peer_down),
	    CASE(connection_is_reused),
	    CASE(results_name_the_connection),
	    CASE(closed_connection_is_not_used),
	    CASE(request_is_never_sent_twice),
	    CASE(idle_connections_are_closed_on_request),
	    CASE(fresh_call_avoids_old_connections),
	    CASE(call_with_unused_connection_reuses_none),
	    CASE(calls_wait_for_free_connection),
	    CASE(busy_client_refuses_if_it_is_told_to),
	    CASE(client_dropped_after_start_frees_everything),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
