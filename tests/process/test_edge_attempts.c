#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sys/socket.h>

#include <cmocka.h>

#include "edge_fixture.h"
#include "raw_socket.h"

/*
 * Targets on plain sockets that treat the first and the second attempt of a
 * request in any two ways. The caller may be promised that its request has not
 * run (408, 421, 429 or 503) only if each target that was reached said so.
 */

#define TARGETS EDGE_TARGETS
#define CONNECTIONS_MAX 256
#define GOOD_REQUESTS 8 /* fill the retry budget for one retry */
#define SHORT_DEADLINE_MS 250
#define DEADLINE_MS 1500
#define WAIT_MAX (10 * MSP_SECOND)

typedef enum attempt_end {
	END_ANSWER,
	END_NOT_EXECUTED, /* 503 */
	END_NOT_EXECUTED_429,
	END_WRONG_TARGET, /* 421 */
	END_FAILURE, /* 500 */
	END_TIME_OVER, /* 504 */
	END_BARE_503,
	END_BARE_429,
	END_BARE_408,
	END_WRONG_ID, /* 200 */
	END_TRUNCATED, /* 503 with Not-Executed, the body is too short */
	END_HALF_HEAD, /* of a 503 with Not-Executed */
	END_GARBAGE,
	END_INTERIM, /* 100, then 503 with Not-Executed */
	END_CLOSE,
	END_RESET,
	END_SILENCE,
	END_COUNT
} attempt_end_t;

typedef struct end_info {
	const char *name;
	bool says_not_run; /* so that the edge may believe it */
	const char *response; /* ID_MARK stands for the request's id */
	bool closes;
} end_info_t;

#define ID_MARK "$id"
#define NOT_EXECUTED "Not-Executed: 1\r\nRequest-Id: " ID_MARK "\r\n"
#define SIGNED "Response-Signature: x\r\nRequest-Id: " ID_MARK "\r\n"
#define EMPTY "Content-Length: 0\r\n\r\n"

static const end_info_t ends[END_COUNT] = {
    [END_ANSWER] = {"200", false, "HTTP/1.1 200 OK\r\n" SIGNED EMPTY, false},
    [END_NOT_EXECUTED] = {"503 not executed", true,
	"HTTP/1.1 503 Full\r\n" NOT_EXECUTED EMPTY, false},
    [END_NOT_EXECUTED_429] = {"429 not executed", true,
	"HTTP/1.1 429 Many\r\n" NOT_EXECUTED EMPTY, false},
    [END_WRONG_TARGET] = {"421", true,
	"HTTP/1.1 421 Other\r\nRequest-Id: " ID_MARK "\r\n" EMPTY, false},
    [END_FAILURE] = {"500", false, "HTTP/1.1 500 Bad\r\n" SIGNED EMPTY, false},
    [END_TIME_OVER] = {"504", false, "HTTP/1.1 504 Late\r\n" SIGNED EMPTY,
	false},
    [END_BARE_503] = {"503", false, "HTTP/1.1 503 Full\r\n" SIGNED EMPTY,
	false},
    [END_BARE_429] = {"429", false, "HTTP/1.1 429 Many\r\n" SIGNED EMPTY,
	false},
    [END_BARE_408] = {"408", false, "HTTP/1.1 408 Slow\r\n" SIGNED EMPTY,
	false},
    [END_WRONG_ID] = {"wrong id", false,
	"HTTP/1.1 200 OK\r\nResponse-Signature: x\r\nRequest-Id: "
	"not-" ID_MARK "\r\n" EMPTY,
	false},
    [END_TRUNCATED] = {"truncated", false,
	"HTTP/1.1 503 Full\r\n" NOT_EXECUTED "Content-Length: 9\r\n\r\nabc",
	true},
    [END_HALF_HEAD] = {"half a head", false,
	"HTTP/1.1 503 Full\r\n" NOT_EXECUTED, true},
    [END_GARBAGE] = {"garbage", false, "\x01\x02 garbage " ID_MARK "\r\n\r\n",
	true},
    [END_INTERIM] = {"interim", false,
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\n" NOT_EXECUTED EMPTY,
	false},
    [END_CLOSE] = {"close", false, NULL, true},
    [END_RESET] = {"reset", false, NULL, true},
    [END_SILENCE] = {"silence", false, NULL, false},
};

typedef struct target_connection {
	raw_socket_t raw; /* fd -1: unused */
	unsigned int target;
} target_connection_t;

typedef struct attempts_test {
	edge_fixture_t *fixture;
	raw_socket_t listeners[TARGETS];
	target_connection_t connections[CONNECTIONS_MAX];
	attempt_end_t script[2];
	unsigned int attempts; /* of the request that the script is for */
} attempts_test_t;

static void
accept_connections(attempts_test_t *test)
{
	unsigned int target;
	unsigned int i;
	int fd;

	for (target = 0; target < TARGETS; target++) {
		fd = accept(test->listeners[target].fd, NULL, NULL);
		if (fd < 0)
			continue;
		for (i = 0; test->connections[i].raw.fd >= 0; i++)
			assert_true(i + 1 < CONNECTIONS_MAX);
		test->connections[i] = (target_connection_t){
		    .raw = {.loop = test->fixture->loop, .fd = fd},
		    .target = target};
	}
}

/* Copies the value of a field of the head; "" if there is none. */
static void
copy_field(const char *text, const char *name, char *out, size_t size)
{
	const char *at = strstr(text, name);

	out[0] = '\0';
	if (at != NULL)
		snprintf(out, size, "%.*s",
		    (int)strcspn(at + strlen(name), "\r\n"), at + strlen(name));
}

static void
end_attempt(target_connection_t *connection, attempt_end_t end, const char *id)
{
	const char *response = ends[end].response;
	const char *mark = response == NULL ? NULL : strstr(response, ID_MARK);

	if (mark != NULL) {
		raw_send(&connection->raw, response, (size_t)(mark - response));
		raw_send_text(&connection->raw, id);
		raw_send_text(&connection->raw, mark + sizeof(ID_MARK) - 1);
	}
	if (end == END_RESET)
		raw_reset(&connection->raw);
	else if (ends[end].closes)
		raw_close(&connection->raw);
}

static void
serve_request(attempts_test_t *test, target_connection_t *connection)
{
	const char *text = msp_buffer_text(&connection->raw.input);
	bool is_scripted = strstr(text, "/scripted-") != NULL;
	char health[160];
	char id[64];

	copy_field(text, "equest-id: ", id, sizeof(id));
	if (id[0] == '\0')
		copy_field(text, "equest-Id: ", id, sizeof(id));
	if (strncmp(text, "GET /health", 11) == 0) {
		snprintf(health, sizeof(health),
		    "HTTP/1.1 200 OK\r\nInstance-Id: i-%u\r\n" EMPTY,
		    connection->target);
		raw_send_text(&connection->raw, health);
		raw_clear_input(&connection->raw);
		return;
	}
	raw_clear_input(&connection->raw);
	if (!is_scripted) {
		end_attempt(connection, END_ANSWER, id);
		return;
	}
	assert_true(test->attempts < 2);
	end_attempt(connection, test->script[test->attempts++], id);
}

static bool
is_request_complete(const char *text)
{
	const char *end = strstr(text, "\r\n\r\n");
	char length[16];

	if (end == NULL)
		return false;
	copy_field(text, "ontent-length: ", length, sizeof(length));
	return strlen(end + 4) >= strtoul(length, NULL, 10);
}

static void
step_test(attempts_test_t *test)
{
	unsigned int i;

	step_edge_fixture(test->fixture);
	accept_connections(test);
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		target_connection_t *connection = &test->connections[i];

		if (connection->raw.fd < 0)
			continue;
		raw_read(&connection->raw);
		if (connection->raw.closed)
			raw_close(&connection->raw);
		else if (is_request_complete(
			     msp_buffer_text(&connection->raw.input)))
			serve_request(test, connection);
	}
}

static int
send_and_wait(attempts_test_t *test, const char *path)
{
	edge_fixture_t *fixture = test->fixture;
	msp_time_t end = msp_now(&fixture->env) + WAIT_MAX;
	caller_response_t response;

	start_edge_request(
	    fixture, fixture->caller_port, "POST", path, &response);
	while (response.done == 0 && msp_now(&fixture->env) < end)
		step_test(test);
	assert_int_equal(response.done, 1);
	return response.status == MSP_OK ? response.http_status : 0;
}

/* Registers the targets again and sends requests until enough succeed. */
static void
restore_targets(attempts_test_t *test)
{
	unsigned int i;
	msp_time_t end = msp_now(&test->fixture->env) + WAIT_MAX;
	unsigned int count = 0;

	test->fixture->deadline_ms = DEADLINE_MS;
	/* A target whose address answered 421 is not used until then. */
	for (i = 0; i < TARGETS; i++)
		put_edge_target(test->fixture, i, false);
	while (count < GOOD_REQUESTS && msp_now(&test->fixture->env) < end)
		count += send_and_wait(test, "/read/good") == 200;
	assert_int_equal(count, GOOD_REQUESTS);
}

static bool
is_promise(int http_status)
{
	return http_status == 408 || http_status == 421 || http_status == 429 ||
	    http_status == 503;
}

static void
play_attempts(attempts_test_t *test, const char *route, attempt_end_t first,
    attempt_end_t second, unsigned int *second_count)
{
	static unsigned int number;
	bool not_run;
	char path[64];
	int http_status;

	restore_targets(test);
	test->script[0] = first;
	test->script[1] = second;
	test->attempts = 0;
	if (first == END_SILENCE || second == END_SILENCE)
		test->fixture->deadline_ms = SHORT_DEADLINE_MS;
	snprintf(path, sizeof(path), "/%s/scripted-%u", route, ++number);
	http_status = send_and_wait(test, path);
	*second_count += test->attempts == 2;
	not_run = test->attempts == 0 ||
	    (ends[first].says_not_run &&
		(test->attempts == 1 || ends[second].says_not_run));
	if (is_promise(http_status) != not_run || http_status == 0)
		fail_msg("%s, %s, then %s: %u attempts, answered %d", route,
		    ends[first].name, ends[second].name, test->attempts,
		    http_status);
	if (strcmp(route, "write") == 0 && test->attempts == 2 &&
	    !ends[first].says_not_run)
		fail_msg("%s, sent again: answered %d", ends[first].name,
		    http_status);
}

/*
 * Whether the pair is worth the time: a request that must not be repeated has
 * no second attempt after one that may have run; for others, few seconds do.
 */
static bool
is_played(bool is_repeatable, attempt_end_t first, attempt_end_t second)
{
	if (is_repeatable)
		return second == END_NOT_EXECUTED || second == END_BARE_503 ||
		    second == END_CLOSE;
	return ends[first].says_not_run || second == END_ANSWER;
}

static void
play_all(attempts_test_t *test, const char *route, bool is_repeatable)
{
	unsigned int second_count = 0;
	unsigned int count = 0;
	attempt_end_t first;
	attempt_end_t second;

	for (first = 0; first < END_COUNT; first++) {
		for (second = 0; second < END_COUNT; second++) {
			if (!is_played(is_repeatable, first, second))
				continue;
			play_attempts(
			    test, route, first, second, &second_count);
			count++;
		}
	}
	print_message("%s: %u pairs, %u with a second attempt\n", route, count,
	    second_count);
	/* Otherwise the second attempts would not be tested. */
	assert_true(second_count >= count / 4);
}

/*
 * Guards against a promise that the request has not run which any of its
 * attempts contradicts, and against a second attempt after one that may have
 * run.
 */
static void
promises_only_what_all_attempts_said(void **state)
{
	attempts_test_t *test = *state;

	play_all(test, "write", false);
	play_all(test, "read", true);
}

static int
set_up(void **state)
{
	static attempts_test_t test;
	edge_fixture_t *fixture = new_edge_fixture();
	unsigned int i;

	test = (attempts_test_t){.fixture = fixture};
	for (i = 0; i < CONNECTIONS_MAX; i++)
		test.connections[i].raw.fd = -1;
	put_edge_routes(fixture, 2);
	for (i = 0; i < TARGETS; i++) {
		uint16_t port;

		test.listeners[i] = raw_listen(fixture->loop, &port);
		msp_drop_http_server(fixture->targets[i].server);
		fixture->targets[i].server = NULL;
		fixture->targets[i].port = port;
		put_edge_target(fixture, i, false);
	}
	*state = &test;
	return 0;
}

static int
tear_down(void **state)
{
	attempts_test_t *test = *state;
	unsigned int i;

	drop_edge_fixture(test->fixture);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		raw_close(&test->connections[i].raw);
	for (i = 0; i < TARGETS; i++)
		raw_close(&test->listeners[i]);
	return 0;
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		promises_only_what_all_attempts_said, set_up, tear_down),
	};

	return cmocka_run_group_tests_name("edge attempts", tests, NULL, NULL);
}
