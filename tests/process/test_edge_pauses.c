#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <sys/socket.h>

#include "edge_steps.h"
#include "raw_socket.h"

/*
 * A target that refuses with 503 and Retry-After wants nothing from this VM for
 * so long. It went on getting requests as if it had said nothing.
 */

#define PAUSE_TEXT "3"
#define PAUSE (3 * MSP_SECOND)
#define REQUESTS 20
#define AT_ONCE (300 * MSP_MS)
#define LOG_DELAY_MAX (5 * MSP_SECOND)
#define FILLERS 4 /* connections that fill a listener without a queue */
#define CONNECT_TIME (50 * MSP_MS) /* less than a connect may take */
#define WAITING 3 /* requests that wait for a connection */
#define BURST 8 /* objects, so that each target gets some */

/* A route whose requests go to the target that is used least. */
#define ORDER_ROUTE                                                    \
	"\"routes\":[{\"name\":\"order\",\"host\":\"a.example\","      \
	"\"prefix\":\"/order/\",\"kind\":\"non_idempotent\","          \
	"\"timeoutMs\":4000,\"targetLatencyMs\":500,\"priority\":1,"   \
	"\"service\":\"desk\",\"maxAttempts\":2}],"                    \
	"\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\"," \
	"\"maxConns\":100,\"coldStartS\":3.0,\"coldPerS\":3.4}]"

static int
set_up(void **state)
{
	edge_fixture_t *fixture = new_edge_fixture();

	set_up_routes_and_targets(fixture);
	*state = fixture;
	return 0;
}

static int
tear_down(void **state)
{
	drop_edge_fixture(*state);
	return 0;
}

static void
set_all(
    edge_fixture_t *fixture, target_behaviour_t behaviour, const char *pause)
{
	unsigned int i;

	for (i = 0; i < EDGE_TARGETS; i++) {
		fixture->targets[i].behaviour = behaviour;
		fixture->targets[i].pause = pause;
		fixture->targets[i].request_count = 0;
		fixture->targets[i].probe_count = 0;
	}
}

/* Sends requests for several objects; returns how many got 200. */
static unsigned int
send_requests(edge_fixture_t *fixture, unsigned int count)
{
	caller_response_t response;
	unsigned int served = 0;
	unsigned int i;

	for (i = 0; i < count; i++) {
		fixture->object = i % BURST;
		send_edge_request(fixture, "GET", "/read/1", &response);
		served += response.http_status == 200;
	}
	return served;
}

/* Lets target 0 ask for a pause, and the others serve. */
static void
pause_first_target(
    edge_fixture_t *fixture, target_behaviour_t behaviour, const char *pause)
{
	edge_target_t *target = &fixture->targets[0];
	caller_response_t response;
	unsigned int i;

	set_all(fixture, TARGET_ANSWERS, NULL);
	target->behaviour = behaviour;
	target->pause = pause;
	for (i = 0; i < REQUESTS && target->request_count == 0; i++) {
		fixture->object = i;
		send_edge_request(fixture, "GET", "/read/1", &response);
	}
	assert_int_equal(target->request_count, 1);
}

/* Removes the rows of all targets but the first ones. */
static void
remove_targets(edge_fixture_t *fixture, unsigned int first)
{
	char line[64];
	unsigned int i;

	for (i = first; i < EDGE_TARGETS; i++) {
		put_edge_row(fixture, "servers", fixture->targets[i].id, NULL);
		snprintf(line, sizeof(line),
		    "target=%s service=desk place=north-a state=removed",
		    fixture->targets[i].id);
		run_edge_until_logged(fixture, line, LOG_DELAY_MAX);
	}
}

typedef struct form_case {
	const char *name;
	target_behaviour_t behaviour;
	const char *pause;
	bool binds;
} form_case_t;

/* Guards against a pause that is not kept, whatever response asks for it. */
static void
a_target_that_asks_for_a_pause_gets_no_more_requests(void **state)
{
	static const form_case_t cases[] = {
	    {"with the request's id", TARGET_SHEDS, PAUSE_TEXT, true},
	    {"with a fraction", TARGET_SHEDS, "2.75", true},
	    {"with another request's id", TARGET_SHEDS_ANOTHER, PAUSE_TEXT,
		true},
	    {"without an id", TARGET_SHEDS_WITHOUT_ID, PAUSE_TEXT, true},
	    {"that may have run", TARGET_SENDS_BARE_503, PAUSE_TEXT, true},
	    {"not denying that it ran", TARGET_DENIES_NOT_EXECUTED, PAUSE_TEXT,
		true},
	    {"years", TARGET_SHEDS, "315360000", true},
	    {"none", TARGET_SHEDS, NULL, false},
	    {"zero", TARGET_SHEDS, "0", false},
	    {"negative", TARGET_SHEDS, "-3", false},
	    {"a date", TARGET_SHEDS, "Sun, 06 Nov 2044 08:49:37 GMT", false},
	    {"a word", TARGET_SHEDS, "later", false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		edge_fixture_t *fixture = new_edge_fixture();
		edge_target_t *target = &fixture->targets[0];

		print_message("%s\n", cases[i].name);
		set_up_routes_and_targets(fixture);
		pause_first_target(fixture, cases[i].behaviour, cases[i].pause);
		target->behaviour = TARGET_ANSWERS;
		/* Longer than a target that is full is avoided. */
		run_edge_for(fixture, 600 * MSP_MS);
		assert_int_equal(send_requests(fixture, REQUESTS), REQUESTS);
		if (cases[i].binds)
			assert_int_equal(target->request_count, 1);
		remove_targets(fixture, 1);
		assert_int_equal(send_requests(fixture, REQUESTS),
		    cases[i].binds ? 0 : REQUESTS);
		if (cases[i].binds)
			assert_int_equal(target->request_count, 1);
		drop_edge_fixture(fixture);
	}
}

/*
 * Guards against requests that are held, or sent to targets that want none,
 * where no target is left; and against callers that are told to come back too
 * early.
 */
static void
requests_are_refused_at_once_if_all_targets_want_none(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;
	unsigned int told;
	msp_time_t paused_at;
	msp_time_t start;

	set_all(fixture, TARGET_SHEDS, PAUSE_TEXT);
	paused_at = msp_now(&fixture->env);
	send_requests(fixture, REQUESTS);
	told = count_target_requests(fixture);
	assert_in_range(told, EDGE_TARGETS, EDGE_TARGETS + 2);
	set_all(fixture, TARGET_ANSWERS, NULL);
	start = msp_now(&fixture->env);
	send_edge_request(fixture, "POST", "/write/1", &response);
	assert_int_equal(response.http_status, 503);
	assert_true(msp_now(&fixture->env) < start + AT_ONCE);
	assert_true(atof(response.retry_after) * (double)MSP_SECOND >=
	    (double)(paused_at + PAUSE - msp_now(&fixture->env)));
	run_edge_until_logged(fixture, "outcome=target-pause", LOG_DELAY_MAX);
	assert_int_equal(count_target_requests(fixture), 0);
	assert_int_equal(
	    read_edge_counter(
		fixture, "msp_target_sends_in_pause_total{kind=\"request\"}"),
	    0);
	run_edge_for(fixture, PAUSE);
	assert_int_equal(send_requests(fixture, REQUESTS), REQUESTS);
}

/* Guards against health checks of a target that wants nothing. */
static void
a_target_that_asks_for_a_pause_gets_no_health_checks(void **state)
{
	edge_fixture_t *fixture = *state;
	edge_target_t *target = &fixture->targets[0];

	target->sheds_probes = true;
	pause_first_target(fixture, TARGET_CLOSES_CONNECTION, PAUSE_TEXT);
	target->behaviour = TARGET_ANSWERS;
	run_edge_until_logged(fixture, "event=target-pause", LOG_DELAY_MAX);
	target->probe_count = 0;
	target->request_count = 0;
	run_edge_for(fixture, PAUSE - AT_ONCE);
	assert_int_equal(target->probe_count, 0);
	assert_int_equal(send_requests(fixture, REQUESTS), REQUESTS);
	assert_int_equal(target->request_count, 0);
}

static void
put_first_target_again(edge_fixture_t *fixture, unsigned int born)
{
	const edge_target_t *target = &fixture->targets[0];
	char text[512];

	snprintf(text, sizeof(text),
	    "{\"service\":\"desk\",\"address\":\"127.0.0.1:%u\","
	    "\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":5,"
	    "\"state\":\"ready\",\"seq\":1000,\"coldRemainingMs\":0,"
	    "\"born\":%u}",
	    target->port, born);
	put_edge_row(fixture, "servers", target->id, text);
}

/*
 * Guards against a pause that is forgotten with the target's load when its row
 * lapses, and one that binds a process that never asked for it.
 */
static void
a_pause_goes_with_the_process_and_not_with_its_row(void **state)
{
	static const struct {
		const char *name;
		unsigned int born;
		bool binds;
	} cases[] = {{"the same process", 1, true}, {"a new one", 2, false}};
	char line[64];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		edge_fixture_t *fixture = new_edge_fixture();
		edge_target_t *target = &fixture->targets[0];

		print_message("%s\n", cases[i].name);
		set_up_routes_and_targets(fixture);
		pause_first_target(fixture, TARGET_SHEDS, "10");
		target->behaviour = TARGET_ANSWERS;
		put_edge_row(fixture, "servers", target->id, NULL);
		run_edge_until_logged(fixture, "state=removed", LOG_DELAY_MAX);
		put_first_target_again(fixture, cases[i].born);
		snprintf(line, sizeof(line), "state=listed reason=%s",
		    cases[i].binds ? "heartbeat" : "registered");
		run_edge_until_logged(fixture, line, LOG_DELAY_MAX);
		run_edge_for(fixture, 600 * MSP_MS);
		assert_int_equal(send_requests(fixture, REQUESTS), REQUESTS);
		if (cases[i].binds)
			assert_int_equal(target->request_count, 1);
		else
			assert_true(target->request_count > 1);
		drop_edge_fixture(fixture);
	}
}

/*
 * Guards against requests to a target that has said in a response that it
 * leaves, while its row says that it is ready.
 */
static void
a_target_that_says_that_it_leaves_gets_no_more_requests(void **state)
{
	static const target_behaviour_t behaviours[] = {TARGET_ANSWERS,
	    TARGET_SHEDS, TARGET_SHEDS_WITHOUT_ID, TARGET_FAILS,
	    TARGET_SENDS_WRONG_ID, TARGET_CLOSES_CONNECTION};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(behaviours) / sizeof(*behaviours); i++) {
		edge_fixture_t *fixture = new_edge_fixture();
		edge_target_t *target = &fixture->targets[0];

		set_up_routes_and_targets(fixture);
		target->says_leaving = true;
		pause_first_target(fixture, behaviours[i], NULL);
		target->behaviour = TARGET_ANSWERS;
		run_edge_until_logged(
		    fixture, "state=draining reason=response", LOG_DELAY_MAX);
		put_edge_target(fixture, 0, false);
		run_edge_for(fixture, AT_ONCE);
		assert_int_equal(send_requests(fixture, REQUESTS), REQUESTS);
		assert_int_equal(target->request_count, 1);
		remove_targets(fixture, 1);
		assert_int_equal(send_requests(fixture, REQUESTS), 0);
		assert_int_equal(target->request_count, 1);
		target->says_leaving = false;
		put_first_target_again(fixture, 2);
		run_edge_until_logged(
		    fixture, " incarnation=2 cold_ms", LOG_DELAY_MAX);
		assert_int_equal(send_requests(fixture, REQUESTS), REQUESTS);
		drop_edge_fixture(fixture);
	}
}

/* A target on a plain socket that accepts one connection and no more. */
typedef struct narrow_target {
	raw_socket_t listener;
	raw_socket_t connection;
	raw_socket_t fillers[FILLERS];
	uint16_t port;
} narrow_target_t;

static void
open_narrow_target(edge_fixture_t *fixture, narrow_target_t *target)
{
	char text[512];

	target->listener = raw_listen(fixture->loop, &target->port);
	assert_int_equal(listen(target->listener.fd, 0), 0);
	snprintf(text, sizeof(text),
	    "{\"service\":\"desk\",\"address\":\"127.0.0.1:%u\","
	    "\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":500,"
	    "\"state\":\"ready\",\"seq\":1,\"coldRemainingMs\":0,"
	    "\"born\":1}",
	    target->port);
	put_edge_row(fixture, "servers", "i-narrow", text);
	run_edge_until_logged(
	    fixture, "target=i-narrow service=desk", LOG_DELAY_MAX);
}

static bool
has_request(narrow_target_t *target)
{
	raw_read(&target->connection);
	return strstr(msp_buffer_text(&target->connection.input), "\r\n\r\n") !=
	    NULL;
}

/* Waits for the first request; later connections are not accepted. */
static void
accept_one_request(edge_fixture_t *fixture, narrow_target_t *target)
{
	msp_time_t end = msp_now(&fixture->env) + LOG_DELAY_MAX;
	size_t i;
	int fd;

	do {
		run_edge_for(fixture, MSP_MS);
		fd = accept(target->listener.fd, NULL, NULL);
	} while (fd < 0 && msp_now(&fixture->env) < end);
	assert_true(fd >= 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	target->connection = (raw_socket_t){.loop = fixture->loop, .fd = fd};
	for (i = 0; i < FILLERS; i++) {
		target->fillers[i].loop = fixture->loop;
		raw_begin_connect(&target->fillers[i], target->port);
	}
	while (!has_request(target) && msp_now(&fixture->env) < end)
		run_edge_for(fixture, MSP_MS);
	assert_true(has_request(target));
}

static void
close_narrow_target(narrow_target_t *target)
{
	size_t i;

	for (i = 0; i < FILLERS; i++)
		raw_close(&target->fillers[i]);
	raw_close(&target->connection);
	raw_close(&target->listener);
}

static void
send_pause(narrow_target_t *target, const char *id)
{
	char text[256];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
	    "Retry-After: " PAUSE_TEXT "\r\nContent-Length: 0\r\n\r\n",
	    id);
	assert_true(raw_send_text(&target->connection, text));
}

/*
 * Guards against requests that reach a target within a pause, since they were
 * given to it before and waited for a connection.
 */
static void
requests_that_wait_for_a_connection_go_elsewhere(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t busy;
	caller_response_t first;
	caller_response_t waiting[WAITING];
	narrow_target_t target = {0};
	unsigned int served = 0;
	char line[64];
	unsigned int i;

	put_edge_config(fixture, 10, ORDER_ROUTE);
	/* Target 0 is used by a part, so that the other one is preferred. */
	remove_targets(fixture, 1);
	fixture->targets[0].behaviour = TARGET_DELAYS;
	start_edge_request(
	    fixture, fixture->caller_port, "POST", "/order/1", &busy);
	run_edge_until(fixture, &fixture->targets[0].request_count, 1);
	open_narrow_target(fixture, &target);
	start_edge_request(
	    fixture, fixture->caller_port, "POST", "/order/1", &first);
	accept_one_request(fixture, &target);
	fixture->targets[0].behaviour = TARGET_ANSWERS;
	for (i = 0; i < WAITING; i++)
		start_edge_request(fixture, fixture->caller_port, "POST",
		    "/order/1", &waiting[i]);
	run_edge_for(fixture, CONNECT_TIME);
	assert_int_equal(fixture->targets[0].request_count, 1);
	send_pause(&target, first.id);
	run_edge_for(fixture, AT_ONCE);
	for (i = 0; i < WAITING; i++)
		served += waiting[i].done == 1 && waiting[i].http_status == 200;
	/* The system may have connected one more than the target accepts. */
	assert_in_range(served, WAITING - 1, WAITING);
	snprintf(line, sizeof(line), " unsent=%u\n", served);
	run_edge_until_logged(fixture, line, LOG_DELAY_MAX);
	run_edge_until_logged(
	    fixture, "reason=target-pause target=i-narrow", LOG_DELAY_MAX);
	close_narrow_target(&target);
}

/*
 * Guards against a pause that is not heard, since the body of the response that
 * asks for it is cut.
 */
static void
a_pause_is_heard_from_the_head_of_a_response(void **state)
{
	static const char head[] =
	    "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
	    "Retry-After: " PAUSE_TEXT "\r\nContent-Length: 10\r\n\r\ncut";
	edge_fixture_t *fixture = *state;
	caller_response_t response;
	narrow_target_t target = {0};

	remove_targets(fixture, 0);
	open_narrow_target(fixture, &target);
	start_edge_request(
	    fixture, fixture->caller_port, "POST", "/write/1", &response);
	accept_one_request(fixture, &target);
	assert_true(raw_send_text(&target.connection, head));
	raw_close(&target.connection);
	run_edge_until(fixture, &response.done, 1);
	assert_int_equal(response.http_status, 502);
	run_edge_until_logged(
	    fixture, "event=target-pause target=i-narrow", LOG_DELAY_MAX);
	close_narrow_target(&target);
}

#define EDGE_TEST(name_) \
	cmocka_unit_test_setup_teardown(name_, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		a_target_that_asks_for_a_pause_gets_no_more_requests),
	    EDGE_TEST(requests_are_refused_at_once_if_all_targets_want_none),
	    EDGE_TEST(a_target_that_asks_for_a_pause_gets_no_health_checks),
	    cmocka_unit_test(
		a_target_that_says_that_it_leaves_gets_no_more_requests),
	    EDGE_TEST(a_pause_is_heard_from_the_head_of_a_response),
	    EDGE_TEST(requests_that_wait_for_a_connection_go_elsewhere),
	    cmocka_unit_test(
		a_pause_goes_with_the_process_and_not_with_its_row),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
