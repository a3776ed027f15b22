#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "edge_fixture.h"
#include "net_fixture.h"

/*
 * Targets that hold all requests. What they can't take must be refused at once:
 * a request that waits inside the VM is out of reach of each later decision,
 * such as a stop of the VM, a drain of its target or the end of its caller.
 */

#define CALLERS 100
#define DEADLINE_MS 20000
#define DECISION_TIME (500 * MSP_MS)

typedef struct waits_test {
	edge_fixture_t *fixture;
	msp_http_client_t *client; /* of the callers */
	msp_call_t *calls[CALLERS];
	test_outcome_t outcomes[CALLERS];
	msp_exchange_t *held[CALLERS]; /* at targets */
	unsigned int held_count;
	unsigned int arrived_count;
	unsigned int gone_count; /* of the held ones */
} waits_test_t;

static void
hold_request(void *ctx, edge_target_t *target, msp_exchange_t *exchange)
{
	waits_test_t *test = ctx;

	(void)target;
	assert_true(test->held_count < CALLERS);
	test->held[test->held_count++] = exchange;
	test->arrived_count++;
}

static void
forget_request(void *ctx, msp_exchange_t *exchange)
{
	waits_test_t *test = ctx;
	unsigned int i;

	for (i = 0; i < test->held_count; i++) {
		if (test->held[i] == exchange) {
			test->held[i] = test->held[--test->held_count];
			test->gone_count++;
			return;
		}
	}
}

static int
set_up(void **state)
{
	const msp_http_client_options_t options = {
	    .max_connections_per_server = CALLERS};
	waits_test_t *test = calloc(1, sizeof(*test));

	assert_non_null(test);
	test->fixture = new_edge_fixture();
	set_up_routes_and_targets(test->fixture);
	test->client = msp_new_http_client(test->fixture->loop, &options);
	assert_non_null(test->client);
	test->fixture->handler_ctx = test;
	test->fixture->handle_request = hold_request;
	test->fixture->handle_disconnect = forget_request;
	*state = test;
	return 0;
}

static int
tear_down(void **state)
{
	waits_test_t *test = *state;
	size_t i;

	msp_drop_http_client(test->client);
	test->fixture->handle_request = NULL;
	drop_edge_fixture(test->fixture);
	for (i = 0; i < CALLERS; i++)
		drop_outcome(&test->outcomes[i]);
	free(test);
	return 0;
}

static void
send_requests(waits_test_t *test, const char *method, const char *path)
{
	msp_call_options_t options = {.address = "127.0.0.1",
	    .port = test->fixture->caller_port,
	    .timeout_ms = DEADLINE_MS};
	size_t i;

	for (i = 0; i < CALLERS; i++) {
		msp_request_t request = new_request(
		    method, path, strcmp(method, "POST") == 0 ? "x" : NULL);

		strcpy(request.host, "a.example");
		msp_print_header(&request.headers, "Request-Id", "w-%zu", i);
		msp_print_header(
		    &request.headers, "Deadline-Ms", "%u", DEADLINE_MS);
		test->calls[i] = msp_start_call(test->client, &options,
		    &request, store_outcome, &test->outcomes[i]);
		assert_non_null(test->calls[i]);
	}
}

/* Returns the number of refused requests; there must be no other answers. */
static unsigned int
count_refused(const waits_test_t *test)
{
	unsigned int refused = 0;
	size_t i;

	for (i = 0; i < CALLERS; i++) {
		const test_outcome_t *outcome = &test->outcomes[i];

		if (outcome->done_count == 0)
			continue;
		assert_int_equal(outcome->status, MSP_OK);
		assert_int_equal(outcome->http_status, 503);
		assert_non_null(
		    msp_find_header(&outcome->response.headers, "retry-after"));
		refused++;
	}
	return refused;
}

typedef struct waits_case {
	const char *method;
	const char *path;
} waits_case_t;

/*
 * Guards against orders that wait for a connection to a target, and that the
 * end of a stop drops without an answer.
 */
static void
what_targets_cannot_take_is_refused_at_once(void **state)
{
	static const waits_case_t cases[] = {
	    {"POST", "/write/1"}, {"GET", "/read/1"}};
	waits_test_t *test;
	unsigned int refused;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		test = *state;
		send_requests(test, cases[i].method, cases[i].path);
		run_edge_for(test->fixture, DECISION_TIME);
		refused = count_refused(test);
		print_message("%s: %u at targets, %u refused\n",
		    cases[i].method, test->held_count, refused);
		assert_true(refused > 0);
		assert_true(test->held_count > 0);
		assert_int_equal(refused + test->held_count, CALLERS);
		tear_down(state);
		set_up(state);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		what_targets_cannot_take_is_refused_at_once, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
