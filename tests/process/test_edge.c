#include <inttypes.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "edge_fixture.h"
#include "raw_socket.h"

#define LOG_DELAY (500 * MSP_MS) /* until lines are in the log file */
#define STORM_REQUESTS 600
/* Half of the lines that the log takes at once. */
#define STORM_REQUESTS_LOGGED_MIN 200
#define LOG_DELAY_MAX (2 * MSP_SECOND) /* upper bound for this delay */
/* Required bounds from a change in the store until it is in force. */
#define DRAIN_TIME_MAX (2500 * MSP_MS)
#define ROUTES_TIME_MAX (2500 * MSP_MS)
#define EVACUATION_TIME_MAX (5 * MSP_SECOND)
/* The bound on the time until a head is complete is 10 s by default. */
#define HEAD_TIMEOUT_MAX (12 * MSP_SECOND)
#define RELOAD_TIME_MAX (3 * MSP_SECOND)
#define STORE_BACK_TIME_MAX (2500 * MSP_MS)

static int
set_up(void **state)
{
	*state = new_edge_fixture();
	return 0;
}

static int
tear_down(void **state)
{
	drop_edge_fixture(*state);
	return 0;
}

static void
set_behaviours(edge_fixture_t *fixture, target_behaviour_t behaviour)
{
	unsigned int i;

	for (i = 0; i < EDGE_TARGETS; i++)
		fixture->targets[i].behaviour = behaviour;
}

/* Returns the only target that has received requests. */
static edge_target_t *
find_busy_target(edge_fixture_t *fixture)
{
	unsigned int i;

	for (i = 0; i < EDGE_TARGETS; i++) {
		if (fixture->targets[i].request_count > 0)
			return &fixture->targets[i];
	}
	fail_msg("no target got the request");
	return NULL;
}

static int
get_readiness(edge_fixture_t *fixture)
{
	caller_response_t response;

	start_edge_request(fixture, fixture->readiness_port, "GET",
	    "/api/readiness", &response);
	run_edge_until(fixture, &response.done, 1);
	return response.http_status;
}

static void
answers_503_before_routes_are_known(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;

	send_edge_request(fixture, "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 503);
	assert_string_not_equal(response.retry_after, "");
	assert_int_equal(get_readiness(fixture), 503);
	run_edge_until_logged(fixture, "outcome=no-routes", LOG_DELAY_MAX);
}

static void
serves_requests_and_lists_itself_in_the_directory(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;
	char address[32];

	set_up_routes_and_targets(fixture);
	send_edge_request(fixture, "GET", "/read/1?q=2", &response);
	assert_int_equal(response.status, MSP_OK);
	assert_int_equal(response.http_status, 200);
	assert_string_equal(response.body, "the whole answer");
	assert_true(response.is_signed);
	assert_string_equal(find_busy_target(fixture)->seen_host, "a.example");
	assert_in_range(
	    find_busy_target(fixture)->seen_time_left_ms, 1500, 2000);
	send_edge_request(fixture, "GET", "/unknown/1", &response);
	assert_int_equal(response.http_status, 404);
	assert_int_equal(get_readiness(fixture), 200);
	start_edge_request(fixture, fixture->directory_port, "GET",
	    "/api/resolve?name=a.example&region=north&zone=north-a", &response);
	run_edge_until(fixture, &response.done, 1);
	snprintf(
	    address, sizeof(address), "127.0.0.1:%u", fixture->caller_port);
	assert_non_null(strstr(response.body, address));
	start_edge_request(
	    fixture, fixture->metrics_port, "GET", "/metrics", &response);
	run_edge_until(fixture, &response.done, 1);
	assert_non_null(strstr(response.body, "msp_"));
}

/* A request while all targets have the same behaviour. */
typedef struct failure_case {
	const char *name;
	target_behaviour_t behaviour;
	const char *method;
	const char *path;
	int http_status;
	unsigned int min_sent;
	unsigned int max_sent;
	bool retry_after;
} failure_case_t;

static void
maps_target_failures_to_http_statuses(void **state)
{
	static const failure_case_t cases[] = {
	    {"shed, read", TARGET_SHEDS, "GET", "/read/1", 503, 2, 2, true},
	    {"shed, write", TARGET_SHEDS, "POST", "/write/1", 503, 2, 2, true},
	    {"cut, read", TARGET_CLOSES_CONNECTION, "GET", "/read/2", 502, 2, 2,
		false},
	    {"cut, write", TARGET_CLOSES_CONNECTION, "POST", "/write/2", 502, 1,
		1, false},
	    {"another request's response, read", TARGET_SENDS_WRONG_ID, "GET",
		"/read/3", 502, 2, 2, false},
	    {"another request's response, write", TARGET_SENDS_WRONG_ID, "POST",
		"/write/3", 502, 1, 1, false},
	    {"not signed, read", TARGET_OMITS_SIGNATURE, "GET", "/read/4", 502,
		2, 2, false},
	    {"not signed, write", TARGET_OMITS_SIGNATURE, "POST", "/write/4",
		502, 1, 1, false},
	    {"fails, read", TARGET_FAILS, "GET", "/read/5", 500, 2, 2, false},
	    {"fails, write", TARGET_FAILS, "POST", "/write/5", 500, 1, 1,
		false},
	    {"503 that may have run, read", TARGET_SENDS_BARE_503, "GET",
		"/read/7", 502, 2, 2, false},
	    {"503 that may have run, write", TARGET_SENDS_BARE_503, "POST",
		"/write/7", 502, 1, 1, false},
	    {"429 that may have run, write", TARGET_SENDS_BARE_429, "POST",
		"/write/8", 502, 1, 1, false},
	    {"200 that says \"not executed\", read", TARGET_CONTRADICTS_ITSELF,
		"GET", "/read/9", 502, 2, 2, false},
	    {"200 that says \"not executed\", write", TARGET_CONTRADICTS_ITSELF,
		"POST", "/write/9", 502, 1, 1, false},
	    {"503 with another value, read", TARGET_DENIES_NOT_EXECUTED, "GET",
		"/read/10", 502, 2, 2, false},
	    {"503 with another value, write", TARGET_DENIES_NOT_EXECUTED,
		"POST", "/write/10", 502, 1, 1, false},
	    {"another target, write", TARGET_IS_REPLACED, "POST", "/write/6",
		503, 2, 2, true},
	};
	edge_fixture_t *fixture = *state;
	caller_response_t response;
	unsigned int sent;
	unsigned int k;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		set_up_routes_and_targets(fixture);
		/* Successful requests fill the retry budget. */
		for (k = 0; k < 20; k++)
			send_edge_request(
			    fixture, "GET", "/read/well", &response);
		for (k = 0; k < EDGE_TARGETS; k++)
			fixture->targets[k].request_count = 0;
		set_behaviours(fixture, cases[i].behaviour);
		send_edge_request(
		    fixture, cases[i].method, cases[i].path, &response);
		sent = count_target_requests(fixture);
		set_behaviours(fixture, TARGET_ANSWERS);
		if (response.http_status != cases[i].http_status ||
		    sent < cases[i].min_sent || sent > cases[i].max_sent ||
		    (response.retry_after[0] != '\0') != cases[i].retry_after)
			fail_msg("%s: %d, sent %u, Retry-After \"%s\"",
			    cases[i].name, response.http_status, sent,
			    response.retry_after);
		/* Suspect targets recover after a health check. */
		run_edge_for(fixture, 1500 * MSP_MS);
	}
}

/* A request while all targets have the same behaviour, and its attempt line. */
typedef struct attempt_case {
	const char *name;
	target_behaviour_t behaviour;
	bool stopped; /* the targets accept no connection */
	uint32_t deadline_ms;
	const char *fields; /* part of the line; NULL: there is no line */
	bool connected; /* the line names a connection */
	const char *counter; /* grows by 1 or more */
} attempt_case_t;

#define RESPONSES(labels_) "msp_target_responses_total{" labels_ "}"
#define ATTEMPTS(labels_) "msp_edge_attempts_total{" labels_ "}"

static void
check_attempt(edge_fixture_t *fixture, const attempt_case_t *c, unsigned int i)
{
	caller_response_t response;
	uint64_t before;
	uint64_t after;
	char path[32];

	set_up_routes_and_targets(fixture);
	before = read_edge_counter(fixture, c->counter);
	set_behaviours(fixture, c->behaviour);
	if (c->stopped)
		stop_targets(fixture);
	fixture->deadline_ms = c->deadline_ms;
	snprintf(path, sizeof(path), "/write/attempt-%u", i);
	send_edge_request(fixture, "POST", path, &response);
	fixture->deadline_ms = 3000;
	run_edge_for(fixture, LOG_DELAY);
	set_behaviours(fixture, TARGET_ANSWERS);
	restart_targets(fixture);
	after = read_edge_counter(fixture, c->counter);
	if (after <= before)
		fail_msg("%s: %s stays %" PRIu64, c->name, c->counter, after);
	if (edge_log_has_event(fixture, "attempt", response.id,
		c->fields == NULL ? "" : c->fields) != (c->fields != NULL))
		fail_msg("%s: no line with %s, or one too many", c->name,
		    c->fields == NULL ? "-" : c->fields);
	if (c->fields != NULL &&
	    edge_log_has_event(fixture, "attempt", response.id, " conn=0 ") ==
		c->connected)
		fail_msg("%s: wrong number of a connection", c->name);
}

/*
 * Guards against a log from which nobody can tell which response made the edge
 * conclude that a request was not executed.
 */
static void
each_attempt_without_its_own_success_is_logged(void **state)
{
	static const attempt_case_t cases[] = {
	    {"success", TARGET_ANSWERS, false, 3000, NULL, true,
		RESPONSES("id=\"own\",not_executed=\"0\"")},
	    {"shed", TARGET_SHEDS, false, 3000,
		" concluded=not-executed status=503 response_id=own "
		"response_of=- not_executed=1 signed=0 wrong_target=0 ",
		true, ATTEMPTS("result=\"not-executed\",maybe_sent=\"1\"")},
	    {"another request's refusal", TARGET_SHEDS_ANOTHER, false, 3000,
		" status=503 response_id=other response_of=another "
		"not_executed=1 signed=0 ",
		true, RESPONSES("id=\"other\",not_executed=\"1\"")},
	    {"refusal without id", TARGET_SHEDS_WITHOUT_ID, false, 3000,
		" status=503 response_id=missing response_of=- "
		"not_executed=1 signed=0 ",
		true, RESPONSES("id=\"missing\",not_executed=\"1\"")},
	    {"another request's success", TARGET_SENDS_WRONG_ID, false, 3000,
		" concluded=unknown status=200 response_id=other "
		"response_of=another not_executed=0 signed=1 ",
		true, ATTEMPTS("result=\"unknown\",maybe_sent=\"1\"")},
	    {"not signed", TARGET_OMITS_SIGNATURE, false, 3000,
		" concluded=unknown status=200 response_id=own response_of=- "
		"not_executed=0 signed=0 ",
		true, RESPONSES("id=\"own\",not_executed=\"0\"")},
	    {"error of the target", TARGET_FAILS, false, 3000,
		" concluded=executed status=500 response_id=own ", true,
		ATTEMPTS("result=\"executed\",maybe_sent=\"1\"")},
	    {"503 that may have run", TARGET_SENDS_BARE_503, false, 3000,
		" concluded=unknown status=503 response_id=own response_of=- "
		"not_executed=0 signed=1 ",
		true, RESPONSES("id=\"own\",not_executed=\"0\"")},
	    {"another target", TARGET_IS_REPLACED, false, 3000,
		" concluded=not-executed status=421 response_id=own "
		"response_of=- not_executed=1 signed=0 wrong_target=1 ",
		true, RESPONSES("id=\"own\",not_executed=\"1\"")},
	    {"cut", TARGET_CLOSES_CONNECTION, false, 3000,
		" concluded=unknown error=cut-answer maybe_sent=1 "
		"no_first_byte=0 ",
		true, ATTEMPTS("result=\"cut-answer\",maybe_sent=\"1\"")},
	    {"no answer in time", TARGET_DELAYS, false, 100,
		" concluded=unknown error=deadline maybe_sent=1 "
		"no_first_byte=1 ",
		true, ATTEMPTS("result=\"deadline\",maybe_sent=\"1\"")},
	    {"no connection", TARGET_ANSWERS, true, 3000,
		" concluded=not-executed error=peer-down maybe_sent=0 "
		"no_first_byte=0 ",
		false, ATTEMPTS("result=\"peer-down\",maybe_sent=\"0\"")},
	};
	unsigned int i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		check_attempt(*state, &cases[i], i);
}

/* An answer that is logged for each request, and not for a sample of them. */
typedef struct logged_answer_case {
	const char *name;
	target_behaviour_t behaviour;
	const char *path;
	const char *status;
	const char *source;
	const char *counter; /* counts each; NULL: none does */
} logged_answer_case_t;

#define ANSWERS 20 /* requests for each case */

/*
 * Guards against answers that callers take for a promise, or for an error of
 * theirs, and that are in no line and no counter.
 */
static void
each_4xx_and_refusal_is_logged_with_its_source(void **state)
{
	static const logged_answer_case_t cases[] = {
	    {"no route", TARGET_ANSWERS, "/unknown/1", " status=404 ",
		" from=edge\n", NULL},
	    {"404 of a target", TARGET_SENDS_404, "/write/1", " status=404 ",
		" from=target\n", NULL},
	    {"500 of a target", TARGET_FAILS, "/write/1", " status=500 ",
		" from=target\n", NULL},
	    {"shed", TARGET_SHEDS, "/write/1", " status=503 ", " from=edge\n",
		"msp_edge_refusals_total{source=\"edge\",status=\"503\"}"},
	};
	edge_fixture_t *fixture = *state;
	caller_response_t responses[ANSWERS];
	uint64_t before = 0;
	unsigned int k;
	size_t i;

	set_up_routes_and_targets(fixture);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		if (cases[i].counter != NULL)
			before = read_edge_counter(fixture, cases[i].counter);
		set_behaviours(fixture, cases[i].behaviour);
		for (k = 0; k < ANSWERS; k++)
			send_edge_request(
			    fixture, "POST", cases[i].path, &responses[k]);
		if (cases[i].counter != NULL)
			assert_int_equal(
			    read_edge_counter(fixture, cases[i].counter),
			    before + ANSWERS);
		run_edge_for(fixture, LOG_DELAY);
		for (k = 0; k < ANSWERS; k++) {
			if (!edge_log_has_event(fixture, "request",
				responses[k].id, cases[i].status) ||
			    !edge_log_has_event(fixture, "request",
				responses[k].id, cases[i].source))
				fail_msg("%s: no line of request %s",
				    cases[i].name, responses[k].id);
		}
	}
}

/* Bytes from a client that the HTTP server itself refuses. */
typedef struct refused_input_case {
	const char *input;
	const char *line; /* in the log; of the address of this host */
	const char *counter;
} refused_input_case_t;

/* Guards against refusals of the HTTP server that nobody can see. */
static void
refusals_of_the_http_server_are_logged_and_counted(void **state)
{
	static const refused_input_case_t cases[] = {
	    {"GET /read/1 HTTP/1.1\r\nHo",
		"event=server-refusal id=- status=408 reason=request-timeout "
		"client=127.0.0.1 request_read=0 body_bytes=0",
		"msp_edge_refusals_total{source=\"http-server\","
		"status=\"408\"}"},
	    {"BREW /read/1 HTTP/1.1\r\n\r\n",
		"event=server-refusal id=- status=405 "
		"reason=method-not-allowed "
		"client=127.0.0.1 request_read=0 body_bytes=0",
		"msp_server_refusals_total{reason=\"method-not-allowed\"}"},
	    {"POST /write/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: x 1\r\n"
	     "Content-Length: 999999999\r\n\r\nabc",
		"event=server-refusal id=x_1 status=413 reason=too-large "
		"client=127.0.0.1 request_read=1 body_bytes=0",
		"msp_server_refusals_total{reason=\"too-large\"}"},
	};
	raw_socket_t raws[sizeof(cases) / sizeof(*cases)];
	edge_fixture_t *fixture = *state;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		raws[i] = raw_connect(fixture->loop, fixture->caller_port);
		assert_true(raw_send_text(&raws[i], cases[i].input));
	}
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		run_edge_until_logged(fixture, cases[i].line, HEAD_TIMEOUT_MAX);
		assert_int_equal(
		    read_edge_counter(fixture, cases[i].counter), 1);
		raw_close(&raws[i]);
	}
}

/* Counts the lines of the log that contain the text. */
static unsigned int
count_log_lines(const edge_fixture_t *fixture, const char *text)
{
	FILE *file = fopen(fixture->log_path, "r");
	char line[1024];
	unsigned int count = 0;

	assert_non_null(file);
	while (fgets(line, sizeof(line), file) != NULL)
		count += strstr(line, text) != NULL ? 1 : 0;
	fclose(file);
	return count;
}

/*
 * Guards against refused requests that leave no line in the log, because lines
 * of ordinary refusals by targets took the room.
 */
static void
many_refusals_leave_room_for_the_lines_of_requests(void **state)
{
	static caller_response_t responses[STORM_REQUESTS];
	edge_fixture_t *fixture = *state;
	unsigned int attempts;
	unsigned int requests;
	size_t i;

	set_up_routes_and_targets(fixture);
	set_behaviours(fixture, TARGET_SHEDS);
	for (i = 0; i < STORM_REQUESTS; i++)
		start_edge_request(fixture, fixture->caller_port, "POST",
		    "/write/1", &responses[i]);
	for (i = 0; i < STORM_REQUESTS; i++)
		run_edge_until(fixture, &responses[i].done, 1);
	run_edge_for(fixture, LOG_DELAY);
	attempts = count_log_lines(fixture, "event=attempt");
	requests = count_log_lines(fixture, "event=request");
	print_message(
	    "%u lines of requests, %u of attempts\n", requests, attempts);
	if (requests < STORM_REQUESTS_LOGGED_MIN || requests <= attempts)
		fail_msg(
		    "%u lines of requests, %u of attempts", requests, attempts);
}

static void
silent_target_causes_504_at_the_route_timeout(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;
	msp_time_t start;

	set_up_routes_and_targets(fixture);
	set_behaviours(fixture, TARGET_DELAYS);
	start = msp_now(&fixture->env);
	send_edge_request(fixture, "POST", "/write/1", &response);
	assert_int_equal(response.http_status, 504);
	/* The route's timeout is 2 s. */
	assert_in_range(
	    msp_now(&fixture->env) - start, 1900 * MSP_MS, 2500 * MSP_MS);
	assert_int_equal(count_target_requests(fixture), 1);
}

/*
 * A target that does not answer within a caller's short deadline may be
 * healthy: it must not be treated as suspect.
 */
static void
short_deadline_does_not_make_a_target_suspect(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;

	set_up_routes_and_targets(fixture);
	set_behaviours(fixture, TARGET_DELAYS);
	fixture->deadline_ms = 100;
	send_edge_request(fixture, "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 504);
	run_edge_for(fixture, LOG_DELAY);
	assert_false(edge_log_has(fixture, "state=suspect"));
	fixture->deadline_ms = 3000;
	send_edge_request(fixture, "POST", "/write/1", &response);
	assert_int_equal(response.http_status, 504);
	run_edge_until_logged(fixture, "state=suspect", LOG_DELAY_MAX);
}

static void
draining_target_gets_no_new_requests(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;
	edge_target_t *busy;
	unsigned int request_count;
	unsigned int i;

	set_up_routes_and_targets(fixture);
	send_edge_request(fixture, "GET", "/read/1", &response);
	busy = find_busy_target(fixture);
	put_edge_target(fixture, (unsigned int)(busy - fixture->targets), true);
	run_edge_until_logged(fixture, "state=draining", DRAIN_TIME_MAX);
	request_count = busy->request_count;
	for (i = 0; i < 20; i++) {
		send_edge_request(fixture, "GET", "/read/1", &response);
		assert_int_equal(response.http_status, 200);
	}
	assert_int_equal(busy->request_count, request_count);
}

static void
evacuated_place_gets_no_requests_until_evacuation_ends(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;

	set_up_routes_and_targets(fixture);
	put_edge_row(fixture, "op", "evacuate/north-a", "{}");
	run_edge_until_logged(fixture,
	    "event=evacuation place=north-a state=begun", EVACUATION_TIME_MAX);
	send_edge_request(fixture, "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 503);
	assert_int_equal(count_target_requests(fixture), 0);
	put_edge_row(fixture, "op", "evacuate/north-a", NULL);
	run_edge_until_logged(fixture,
	    "event=evacuation place=north-a state=ended", EVACUATION_TIME_MAX);
	send_edge_request(fixture, "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 200);
}

static void
only_newer_valid_routes_come_into_force(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;

	set_up_routes_and_targets(fixture);
	send_edge_request(fixture, "GET", "/more/1", &response);
	assert_int_equal(response.http_status, 404);
	put_edge_routes(fixture, 17);
	run_edge_until_logged(
	    fixture, "state=in-force version=17", ROUTES_TIME_MAX);
	send_edge_request(fixture, "GET", "/more/1", &response);
	assert_int_equal(response.http_status, 200);
	put_edge_routes(fixture, 3);
	run_edge_until_logged(
	    fixture, "event=routes state=older version=3", ROUTES_TIME_MAX);
	send_edge_request(fixture, "GET", "/more/1", &response);
	assert_int_equal(response.http_status, 200);
	put_edge_row(fixture, "op", "config", "{\"version\":\"r99\"");
	run_edge_until_logged(
	    fixture, "event=routes state=unusable", ROUTES_TIME_MAX);
	send_edge_request(fixture, "GET", "/more/1", &response);
	assert_int_equal(response.http_status, 200);
}

static void
caller_disconnect_cancels_the_target_request(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;
	edge_target_t *busy;
	msp_call_t *call;
	unsigned int i;

	set_up_routes_and_targets(fixture);
	set_behaviours(fixture, TARGET_DELAYS);
	call = start_edge_request(
	    fixture, fixture->caller_port, "GET", "/read/1", &response);
	for (i = 0; i < 1000 && count_target_requests(fixture) == 0; i++)
		run_edge_for(fixture, MSP_MS);
	busy = find_busy_target(fixture);
	msp_cancel_call(call);
	run_edge_until(fixture, &busy->closed_count, 1);
	assert_int_equal(count_target_requests(fixture), 1);
}

static void
store_outage_fails_no_request(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;
	unsigned int i;

	set_up_routes_and_targets(fixture);
	msp_memory_store_faults(fixture->memory_store)->down = true;
	for (i = 0; i < 20; i++) {
		run_edge_for(fixture, 150 * MSP_MS);
		send_edge_request(fixture, "POST", "/write/1", &response);
		assert_int_equal(response.http_status, 200);
	}
	assert_int_equal(get_readiness(fixture), 200);
	run_edge_until_logged(fixture, "event=store state=lost", LOG_DELAY_MAX);
	msp_memory_store_faults(fixture->memory_store)->down = false;
	run_edge_until_logged(
	    fixture, "event=store state=back", STORE_BACK_TIME_MAX);
}

/*
 * Sends a request that crashes the target that executes it. Then the targets
 * restart as new processes.
 */
static void
send_crashing_request(edge_fixture_t *fixture)
{
	caller_response_t response;
	unsigned int k;

	set_behaviours(fixture, TARGET_EXITS);
	send_edge_request(fixture, "POST", "/write/deadly", &response);
	for (k = 0; k < EDGE_TARGETS; k++)
		put_edge_row(fixture, "servers", fixture->targets[k].id, NULL);
	run_edge_for(fixture, 300 * MSP_MS);
	set_behaviours(fixture, TARGET_ANSWERS);
	restart_targets(fixture);
	set_up_routes_and_targets(fixture);
}

/* A request that crashed several targets must not be sent any more. */
static void
request_that_crashes_targets_is_quarantined(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;
	unsigned int i;

	set_up_routes_and_targets(fixture);
	for (i = 0; i < 4; i++)
		send_crashing_request(fixture);
	send_edge_request(fixture, "POST", "/write/deadly", &response);
	assert_int_equal(response.http_status, 503);
	run_edge_until_logged(fixture, "outcome=quarantined", LOG_DELAY_MAX);
	send_edge_request(fixture, "POST", "/write/harmless", &response);
	assert_int_equal(response.http_status, 200);
}

/*
 * Two VMs each sent a request that crashed a target. A third VM, which has
 * received their strikes, must not send the request.
 */
static void
strikes_from_other_vms_cause_quarantine(void **state)
{
	edge_fixture_t *third = *state;
	edge_fixture_t *fixture;
	caller_response_t response;
	unsigned int i;

	assert_int_equal(post_strikes(third, "malformed\n"), 400);
	for (i = 0; i < 2; i++) {
		fixture = new_edge_fixture_with_remote_vm();
		set_up_routes_and_targets(fixture);
		send_crashing_request(fixture);
		run_edge_until(fixture, &fixture->strike_message_count, 1);
		assert_int_equal(
		    post_strikes(third, msp_buffer_text(&fixture->strike_text)),
		    204);
		drop_edge_fixture(fixture);
	}
	set_up_routes_and_targets(third);
	send_edge_request(third, "POST", "/write/deadly", &response);
	assert_int_equal(response.http_status, 503);
	assert_int_equal(count_target_requests(third), 0);
	send_edge_request(third, "POST", "/write/harmless", &response);
	assert_int_equal(response.http_status, 200);
}

static void
sigterm_completes_requests_in_flight(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;
	caller_response_t late;
	unsigned int i;

	set_up_routes_and_targets(fixture);
	set_behaviours(fixture, TARGET_DELAYS);
	start_edge_request(
	    fixture, fixture->caller_port, "POST", "/write/1", &response);
	for (i = 0; i < 1000 && count_target_requests(fixture) == 0; i++)
		run_edge_for(fixture, MSP_MS);
	kill(fixture->pid, SIGTERM);
	run_edge_for(fixture, 300 * MSP_MS);
	assert_int_equal(get_readiness(fixture), 503);
	/* New requests are served until clients use other VMs. */
	answer_pending_request(find_busy_target(fixture));
	set_behaviours(fixture, TARGET_ANSWERS);
	send_edge_request(fixture, "POST", "/write/2", &late);
	assert_int_equal(late.http_status, 200);
	run_edge_until(fixture, &response.done, 1);
	assert_int_equal(response.http_status, 200);
	assert_int_equal(wait_edge_exit(fixture), 0);
	run_edge_until_logged(fixture, "event=stopped", LOG_DELAY_MAX);
}

static void
settings_are_reloaded_on_sighup_and_on_change(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;
	FILE *file;

	set_up_routes_and_targets(fixture);
	kill(fixture->pid, SIGHUP);
	run_edge_until_logged(
	    fixture, "event=settings state=reloaded", RELOAD_TIME_MAX);
	file = fopen(fixture->settings_path, "w");
	assert_non_null(file);
	fputs("{\"vm\":1}", file);
	fclose(file);
	/* Without a signal the file is checked every 2 s. */
	run_edge_until_logged(
	    fixture, "event=settings state=not-valid", RELOAD_TIME_MAX);
	send_edge_request(fixture, "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 200);
}

#define EDGE_TEST(name_) \
	cmocka_unit_test_setup_teardown(name_, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    EDGE_TEST(answers_503_before_routes_are_known),
	    EDGE_TEST(serves_requests_and_lists_itself_in_the_directory),
	    EDGE_TEST(maps_target_failures_to_http_statuses),
	    EDGE_TEST(each_attempt_without_its_own_success_is_logged),
	    EDGE_TEST(each_4xx_and_refusal_is_logged_with_its_source),
	    EDGE_TEST(refusals_of_the_http_server_are_logged_and_counted),
	    EDGE_TEST(many_refusals_leave_room_for_the_lines_of_requests),
	    EDGE_TEST(silent_target_causes_504_at_the_route_timeout),
	    EDGE_TEST(short_deadline_does_not_make_a_target_suspect),
	    EDGE_TEST(draining_target_gets_no_new_requests),
	    EDGE_TEST(evacuated_place_gets_no_requests_until_evacuation_ends),
	    EDGE_TEST(only_newer_valid_routes_come_into_force),
	    EDGE_TEST(caller_disconnect_cancels_the_target_request),
	    EDGE_TEST(store_outage_fails_no_request),
	    EDGE_TEST(request_that_crashes_targets_is_quarantined),
	    EDGE_TEST(strikes_from_other_vms_cause_quarantine),
	    EDGE_TEST(sigterm_completes_requests_in_flight),
	    EDGE_TEST(settings_are_reloaded_on_sighup_and_on_change),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
