#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "edge_fixture.h"
#include "raw_target.h"

/*
 * Responses of targets that belong to another request than the one that waits
 * on their connection.
 */

#define TARGET_WORK (4 * MSP_MS)
/* So long that the next request is sent before the late response arrives. */
#define SERIES_WORK (20 * MSP_MS)
#define WARM_UP_REQUESTS 30 /* they also fill the retry budget */
#define CASE_REQUESTS 12 /* in a row, with the extra response among them */
#define WAITING_REQUESTS 6
#define SERIES_REQUESTS 100
#define BURST_REQUESTS 600
#define BURST_IN_FLIGHT 20
/* More than the daemon opens connections to a target: some wait for one. */
#define QUEUED_IN_FLIGHT 50
#define SHED_ONE_IN 3
#define REQUESTS_MAX 1000
#define ARRIVAL_DELAY (30 * MSP_MS) /* until sent data is at its receiver */
/* An extra response costs at most the one request that met it. */
#define WRONG_MAX 1

typedef struct test_request {
	char id[RAW_ID_SIZE];
	bool idempotent;
	unsigned int done;
	bool complete; /* the response */
	int http_status;
	char response_id[RAW_ID_SIZE]; /* "": none */
	bool is_signed;
	char body[RAW_ID_SIZE];
} test_request_t;

/* What the callers got, judged by the targets' counts. */
typedef struct tally {
	unsigned int refused; /* not idempotent, executed and yet refused */
	unsigned int twice; /* not idempotent, executed more than once */
	unsigned int mixed; /* response of another request */
	unsigned int wrong; /* any other response than the request's own 200 */
	unsigned int failed; /* of these, all but true refusals */
} tally_t;

typedef struct response_test {
	edge_fixture_t *edge;
	raw_targets_t *targets;
	test_request_t requests[REQUESTS_MAX];
	unsigned int request_count;
	unsigned int done_count;
} response_test_t;

static const extra_response_t extras[] = {
    {.name = "copy",
	.status_line = "200 OK",
	.id = EXTRA_ID_PREVIOUS,
	.is_signed = true,
	.is_copy = true},
    {.name = "503 not executed, previous id",
	.status_line = "503 Busy",
	.id = EXTRA_ID_PREVIOUS,
	.not_executed = true},
    {.name = "503 not executed, no id",
	.status_line = "503 Busy",
	.id = EXTRA_ID_NONE,
	.not_executed = true},
    {.name = "503 not executed, foreign id",
	.status_line = "503 Busy",
	.id = EXTRA_ID_FOREIGN,
	.not_executed = true},
    {.name = "421, previous id",
	.status_line = "421 Misdirected",
	.id = EXTRA_ID_PREVIOUS},
    {.name = "421, no id",
	.status_line = "421 Misdirected",
	.id = EXTRA_ID_NONE},
    {.name = "400 not executed, no id",
	.status_line = "400 Bad Request",
	.id = EXTRA_ID_NONE,
	.not_executed = true},
    {.name = "400, no id",
	.status_line = "400 Bad Request",
	.id = EXTRA_ID_NONE},
    {.name = "200, no id",
	.status_line = "200 OK",
	.id = EXTRA_ID_NONE,
	.is_signed = true,
	.is_copy = true},
    {.name = "500, previous id",
	.status_line = "500 Error",
	.id = EXTRA_ID_PREVIOUS,
	.is_signed = true},
};

#define EXTRA_COUNT (sizeof(extras) / sizeof(*extras))

static const char *const time_names[] = {
    [EXTRA_WITH_RESPONSE] = "with the response",
    [EXTRA_BEFORE_REQUEST] = "before the request",
    [EXTRA_AFTER_REQUEST] = "after the request",
    [EXTRA_AFTER_SAME_ID] = "after the next attempt",
};

static void
copy_field(char *out, size_t size, const char *value)
{
	snprintf(out, size, "%s", value == NULL ? "" : value);
}

static void
record_test_response(void *ctx, msp_call_result_t *result)
{
	test_request_t *request = ctx;
	const msp_headers_t *headers = &result->response->headers;

	request->done = 1;
	request->complete = result->status == MSP_OK;
	request->http_status = result->response->status;
	copy_field(request->response_id, sizeof(request->response_id),
	    msp_find_header(headers, "Request-Id"));
	copy_field(request->body, sizeof(request->body),
	    msp_buffer_text(&result->response->body));
	request->is_signed =
	    msp_find_header(headers, "Response-Signature") != NULL;
}

static test_request_t *
start_test_request(response_test_t *test, bool idempotent)
{
	static unsigned int number;
	test_request_t *record = &test->requests[test->request_count++];
	msp_call_options_t options = {.address = "127.0.0.1",
	    .port = test->edge->caller_port,
	    .timeout_ms = 8000};
	msp_request_t request = {.host = "a.example"};

	assert_true(test->request_count <= REQUESTS_MAX);
	*record = (test_request_t){0};
	snprintf(record->id, sizeof(record->id), "id-%u", ++number);
	record->idempotent = idempotent;
	strcpy(request.method, record->idempotent ? "GET" : "POST");
	snprintf(request.path, sizeof(request.path), "/%s/%u",
	    record->idempotent ? "read" : "write", number);
	msp_add_header(&request.headers, "Request-Id", record->id);
	msp_add_header(&request.headers, "Deadline-Ms", "2000");
	if (!record->idempotent)
		msp_append_data(&request.body, "order", 5);
	assert_non_null(msp_start_call(test->edge->client, &options, &request,
	    record_test_response, record));
	return record;
}

static void
send_test_request(response_test_t *test)
{
	/* Every other request is idempotent. */
	test_request_t *request =
	    start_test_request(test, test->request_count % 2 == 0);

	run_edge_until(test->edge, &request->done, 1);
}

static bool
is_own_response(const test_request_t *request)
{
	return request->complete && request->http_status == 200 &&
	    strcmp(request->response_id, request->id) == 0 &&
	    strcmp(request->body, request->id) == 0;
}

static bool
is_promise(int http_status)
{
	return http_status == 408 || http_status == 421 || http_status == 429 ||
	    http_status == 503;
}

/* A response to another request, or a target's with a changed status. */
static bool
is_mixed(const test_request_t *request)
{
	if (!request->complete)
		return false;
	if (request->response_id[0] != '\0' &&
	    strcmp(request->response_id, request->id) != 0)
		return true;
	return (request->http_status == 200 || request->is_signed) &&
	    !is_own_response(request);
}

static tally_t
judge_requests(const response_test_t *test)
{
	tally_t tally = {0};
	unsigned int i;

	for (i = 0; i < test->request_count; i++) {
		const test_request_t *request = &test->requests[i];
		unsigned int executions =
		    count_executions(test->targets, request->id);

		tally.mixed += is_mixed(request) ? 1 : 0;
		tally.wrong += is_own_response(request) ? 0 : 1;
		if (!is_own_response(request) &&
		    !(executions == 0 && is_promise(request->http_status)))
			tally.failed++;
		if (request->idempotent)
			continue;
		tally.twice += executions > 1 ? 1 : 0;
		if (executions > 0 && is_promise(request->http_status))
			tally.refused++;
	}
	return tally;
}

static void
put_target(response_test_t *test, const char *id, uint16_t port)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "{\"service\":\"desk\",\"address\":\"127.0.0.1:%u\","
	    "\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":100,"
	    "\"state\":\"ready\",\"seq\":1,\"coldRemainingMs\":0,"
	    "\"born\":1}",
	    port);
	put_edge_row(test->edge, "servers", id, text);
}

static void
put_targets(response_test_t *test, unsigned int count)
{
	char id[16];
	unsigned int i;

	for (i = 0; i < count; i++) {
		snprintf(id, sizeof(id), "i-raw-%u", i);
		put_target(test, id, test->targets->ports[i]);
	}
}

/* Waits until requests are served, and fills the retry budget. */
static void
warm_up(response_test_t *test, unsigned int target_count)
{
	unsigned int served = 0;

	put_edge_routes(test->edge, 2);
	put_targets(test, target_count);
	while (served < WARM_UP_REQUESTS) {
		test->request_count = 0;
		send_test_request(test);
		if (test->requests[0].http_status == 200)
			served++;
		else
			run_edge_for(test->edge, 20 * MSP_MS);
	}
	test->request_count = 0;
}

static response_test_t *
new_response_test(unsigned int target_count)
{
	response_test_t *test = calloc(1, sizeof(*test));

	assert_non_null(test);
	test->edge = new_edge_fixture();
	test->targets = new_raw_targets(test->edge->loop);
	test->targets->work = TARGET_WORK;
	warm_up(test, target_count);
	return test;
}

static void
drop_response_test(response_test_t *test)
{
	drop_raw_targets(test->targets);
	drop_edge_fixture(test->edge);
	free(test);
}

/*
 * Sends an extra response and a request, and has the daemon find both at the
 * same time.
 */
static void
send_extra_and_request(response_test_t *test)
{
	test_request_t *request;

	kill(test->edge->pid, SIGSTOP);
	send_extra_response(test->targets);
	request = start_test_request(
	    test, strcmp(test->targets->extra_method, "GET") == 0);
	run_edge_for(test->edge, ARRIVAL_DELAY);
	kill(test->edge->pid, SIGCONT);
	run_edge_until(test->edge, &request->done, 1);
}

static void
print_case(const response_test_t *test, extra_time_t time,
    const extra_response_t *extra, const tally_t *tally)
{
	const raw_target_connection_t *connection =
	    find_extra_connection(test->targets);

	print_message("%s, %s %s: refused %u, twice %u, mixed %u, wrong %u, "
		      "failed %u of %u; "
		      "connection %s, %s\n",
	    extra->name, time_names[time], test->targets->extra_method,
	    tally->refused, tally->twice, tally->mixed, tally->wrong,
	    tally->failed, test->request_count,
	    connection == NULL	     ? "not met"
		: connection->reused ? "used again"
				     : "not used again",
	    connection != NULL && connection->closed ? "closed" : "open");
}

static bool
is_acceptable(const response_test_t *test, const tally_t *tally)
{
	const raw_target_connection_t *connection =
	    find_extra_connection(test->targets);

	return tally->refused == 0 && tally->twice == 0 && tally->mixed == 0 &&
	    tally->wrong <= WRONG_MAX && test->targets->extra_count == 1 &&
	    connection != NULL && connection->closed;
}

/* Plays the case in a daemon of its own; false if a rule was broken. */
static bool
play_case(extra_time_t time, const extra_response_t *extra, const char *method)
{
	response_test_t *test = new_response_test(RAW_TARGETS);
	tally_t tally;
	bool ok;
	unsigned int i;

	arm_extra_response(test->targets, time, extra, method);
	if (time == EXTRA_BEFORE_REQUEST)
		send_extra_and_request(test);
	for (i = 0; i < CASE_REQUESTS; i++)
		send_test_request(test);
	run_edge_for(test->edge, ARRIVAL_DELAY);
	tally = judge_requests(test);
	print_case(test, time, extra, &tally);
	ok = is_acceptable(test, &tally);
	drop_response_test(test);
	return ok;
}

/* Keeps `in_flight` requests in flight until `count` have ended. */
static void
send_requests(response_test_t *test, unsigned int count, unsigned int in_flight)
{
	unsigned int pending;
	unsigned int i;

	for (;;) {
		pending = 0;
		for (i = 0; i < test->request_count; i++)
			pending += test->requests[i].done ? 0 : 1;
		if (pending == 0 && test->request_count == count)
			return;
		while (pending < in_flight && test->request_count < count) {
			start_test_request(test, test->request_count % 2 == 0);
			pending++;
		}
		run_edge_for(test->edge, 1);
	}
}

/*
 * An extra response is received in one read with a complete response, while the
 * next requests are there already.
 */
static bool
play_case_with_waiting_requests(const extra_response_t *extra)
{
	response_test_t *test = new_response_test(1);
	tally_t tally;
	bool ok;

	arm_extra_response(test->targets, EXTRA_WITH_RESPONSE, extra, "POST");
	start_test_request(test, false);
	while (test->targets->request_count <= WARM_UP_REQUESTS)
		run_edge_for(test->edge, 1);
	kill(test->edge->pid, SIGSTOP);
	while (test->request_count <= WAITING_REQUESTS)
		start_test_request(test, test->request_count % 2 == 0);
	run_edge_for(test->edge, ARRIVAL_DELAY);
	kill(test->edge->pid, SIGCONT);
	send_requests(test, CASE_REQUESTS, WAITING_REQUESTS);
	run_edge_for(test->edge, ARRIVAL_DELAY);
	tally = judge_requests(test);
	print_message("while requests wait: ");
	print_case(test, EXTRA_WITH_RESPONSE, extra, &tally);
	ok = is_acceptable(test, &tally);
	drop_response_test(test);
	return ok;
}

/* Guards against reuse while data is left over in the library's buffer. */
static void
extra_response_in_the_buffer_is_not_believed(void **state)
{
	unsigned int failed = 0;
	size_t i;

	(void)state;
	for (i = 0; i < EXTRA_COUNT; i++)
		failed += play_case_with_waiting_requests(&extras[i]) ? 0 : 1;
	if (failed > 0)
		fail_msg("%u of %zu cases", failed, EXTRA_COUNT);
}

static void
play_cases(extra_time_t time)
{
	unsigned int failed = 0;
	size_t i;

	for (i = 0; i < EXTRA_COUNT; i++) {
		failed += play_case(time, &extras[i], "POST") ? 0 : 1;
		failed += play_case(time, &extras[i], "GET") ? 0 : 1;
	}
	if (failed > 0)
		fail_msg("%u of %zu cases", failed, 2 * EXTRA_COUNT);
}

/* Guards against a response that is left over in the library's buffer. */
static void
extra_response_with_the_response_is_not_believed(void **state)
{
	(void)state;
	play_cases(EXTRA_WITH_RESPONSE);
}

/* Guards against the reuse of a connection on which data waits. */
static void
extra_response_before_the_request_is_not_believed(void **state)
{
	(void)state;
	play_cases(EXTRA_BEFORE_REQUEST);
}

/* Guards against "not executed" and responses of an earlier request. */
static void
extra_response_after_the_request_is_not_believed(void **state)
{
	(void)state;
	play_cases(EXTRA_AFTER_REQUEST);
}

/* Many requests after one extra response. */
typedef struct series_case {
	const char *name;
	extra_time_t time;
	const char *method; /* of the request that meets the extra response */
	unsigned int target_count;
	unsigned int count;
	unsigned int in_flight;
	unsigned int shed_one_in; /* by the targets; 0: none */
	bool sheds_without_id;
} series_case_t;

static bool
play_series(const series_case_t *series, const extra_response_t *extra)
{
	response_test_t *test = new_response_test(series->target_count);
	tally_t tally;
	bool ok;

	test->targets->work = SERIES_WORK;
	test->targets->shed_one_in = series->shed_one_in;
	test->targets->sheds_without_id = series->sheds_without_id;
	arm_extra_response(test->targets, series->time, extra, series->method);
	send_requests(test, series->count, series->in_flight);
	run_edge_for(test->edge, ARRIVAL_DELAY);
	tally = judge_requests(test);
	print_message("%s: ", series->name);
	print_case(test, series->time, extra, &tally);
	/* Where targets shed, some requests are refused in any case. */
	if (series->shed_one_in > 0)
		tally.wrong = tally.failed;
	/* A shed without id does not say for certain which request it is of. */
	if (series->sheds_without_id)
		tally.wrong = 0;
	ok = is_acceptable(test, &tally);
	drop_response_test(test);
	return ok;
}

/*
 * Guards against a connection that stays one response behind: one extra
 * response must not spoil more than one request.
 */
static void
one_extra_response_spoils_one_request_at_most(void **state)
{
	static const series_case_t cases[] = {
	    {.name = "in a row",
		.method = "POST",
		.time = EXTRA_AFTER_REQUEST,
		.target_count = 1,
		.count = SERIES_REQUESTS,
		.in_flight = 1},
	    {.name = "in a row",
		.method = "GET",
		.time = EXTRA_AFTER_REQUEST,
		.target_count = 1,
		.count = SERIES_REQUESTS,
		.in_flight = 1},
	    {.name = "in flight",
		.method = "POST",
		.time = EXTRA_AFTER_REQUEST,
		.target_count = 1,
		.count = BURST_REQUESTS,
		.in_flight = BURST_IN_FLIGHT},
	    {.name = "in flight, 2 targets",
		.method = "POST",
		.time = EXTRA_AFTER_REQUEST,
		.target_count = 2,
		.count = BURST_REQUESTS,
		.in_flight = BURST_IN_FLIGHT},
	    {.name = "more than connections",
		.method = "POST",
		.time = EXTRA_WITH_RESPONSE,
		.target_count = 1,
		.count = BURST_REQUESTS,
		.in_flight = QUEUED_IN_FLIGHT},
	    {.name = "in a row, sheds",
		.method = "POST",
		.time = EXTRA_AFTER_REQUEST,
		.target_count = 1,
		.count = SERIES_REQUESTS,
		.in_flight = 1,
		.shed_one_in = SHED_ONE_IN},
	    {.name = "in flight, sheds",
		.method = "POST",
		.time = EXTRA_AFTER_REQUEST,
		.target_count = 2,
		.count = BURST_REQUESTS,
		.in_flight = BURST_IN_FLIGHT,
		.shed_one_in = SHED_ONE_IN},
	    {.name = "in flight, sheds without id",
		.method = "POST",
		.time = EXTRA_AFTER_REQUEST,
		.target_count = 2,
		.count = BURST_REQUESTS,
		.in_flight = BURST_IN_FLIGHT,
		.shed_one_in = SHED_ONE_IN,
		.sheds_without_id = true},
	};
	unsigned int failed = 0;
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		for (k = 0; k < 2; k++)
			failed += play_series(&cases[i], &extras[k]) ? 0 : 1;
	}
	if (failed > 0)
		fail_msg("%u cases", failed);
}

/*
 * Guards against "not executed" without id being believed where it may belong
 * to an earlier request.
 */
static void
shed_without_id_is_believed_on_a_new_connection_only(void **state)
{
	static const struct {
		bool idempotent;
		bool new_connection;
		int http_status;
	} cases[] = {
	    {false, true, 503},
	    {false, false, 502},
	    {true, true, 503},
	    {true, false, 502},
	};
	response_test_t *test;
	test_request_t *request;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		test = new_response_test(1);
		if (cases[i].new_connection) {
			close_target_connections(test->targets);
			run_edge_for(test->edge, ARRIVAL_DELAY);
		}
		test->targets->shed_one_in = 1;
		test->targets->sheds_without_id = true;
		request = start_test_request(test, cases[i].idempotent);
		run_edge_until(test->edge, &request->done, 1);
		if (request->http_status != cases[i].http_status)
			fail_msg("case %zu: %d", i, request->http_status);
		assert_int_equal(
		    count_executions(test->targets, request->id), 0);
		drop_response_test(test);
	}
}

#define SUCCESSOR "i-raw-new"

/*
 * A request is refused with 421 by the successor of its target, and is sent to
 * that successor at the same address, which executes it and sends the extra
 * response first.
 */
static void
play_successor_case(const extra_response_t *extra)
{
	response_test_t *test = new_response_test(1);
	test_request_t *request;
	tally_t tally;

	test->targets->instance = SUCCESSOR;
	test->targets->holds = true;
	arm_extra_response(test->targets, EXTRA_AFTER_SAME_ID, extra, "POST");
	request = start_test_request(test, false);
	run_edge_until(
	    test->edge, &test->targets->request_count, WARM_UP_REQUESTS + 1);
	put_target(test, SUCCESSOR, test->targets->ports[0]);
	run_edge_until_logged(
	    test->edge, "event=target target=" SUCCESSOR, 5 * MSP_SECOND);
	test->targets->holds = false;
	run_edge_until(test->edge, &request->done, 1);
	tally = judge_requests(test);
	print_message("%s: %d, executed %u\n", extra->name,
	    request->http_status, count_executions(test->targets, request->id));
	assert_int_equal(test->targets->request_count, WARM_UP_REQUESTS + 2);
	assert_int_equal(count_executions(test->targets, request->id), 1);
	assert_int_equal(tally.refused, 0);
	assert_int_equal(tally.mixed, 0);
	assert_int_equal(request->http_status, 200);
	drop_response_test(test);
}

/*
 * Guards against "not executed" that belongs to an earlier attempt of the same
 * request at the same address, and so bears the request's own id.
 */
static void
refusal_of_an_earlier_attempt_is_not_believed(void **state)
{
	static const extra_response_t refusals[] = {
	    {.name = "421 not executed",
		.status_line = "421 Misdirected",
		.id = EXTRA_ID_PREVIOUS,
		.not_executed = true},
	    {.name = "421",
		.status_line = "421 Misdirected",
		.id = EXTRA_ID_PREVIOUS},
	    {.name = "503 not executed",
		.status_line = "503 Busy",
		.id = EXTRA_ID_PREVIOUS,
		.not_executed = true},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(refusals) / sizeof(*refusals); i++)
		play_successor_case(&refusals[i]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(refusal_of_an_earlier_attempt_is_not_believed),
	    cmocka_unit_test(extra_response_with_the_response_is_not_believed),
	    cmocka_unit_test(extra_response_in_the_buffer_is_not_believed),
	    cmocka_unit_test(extra_response_before_the_request_is_not_believed),
	    cmocka_unit_test(extra_response_after_the_request_is_not_believed),
	    cmocka_unit_test(
		shed_without_id_is_believed_on_a_new_connection_only),
	    cmocka_unit_test(one_extra_response_spoils_one_request_at_most),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
