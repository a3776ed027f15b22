#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "edge_fixture.h"

/* Requests that come to a VM after it was told to stop. */

#define GRACE_MS 3000 /* of the fixture's settings */
#define DEADLINE_MS 20000
#define LOG_DELAY_MAX (2 * MSP_SECOND)
#define SETTLE_TIME (300 * MSP_MS)

typedef struct stop_case {
	const char *method;
	const char *path;
} stop_case_t;

static const stop_case_t cases[] = {{"GET", "/read/1"}, {"POST", "/write/1"}};

/* The longest time that a target was given; 0: none got the request. */
static uint32_t
get_longest_time(const edge_fixture_t *fixture)
{
	uint32_t longest = 0;
	size_t i;

	for (i = 0; i < EDGE_TARGETS; i++) {
		if (fixture->targets[i].seen_time_left_ms > longest)
			longest = fixture->targets[i].seen_time_left_ms;
	}
	return longest;
}

/*
 * Guards against requests that a stopping VM passes on with more time than it
 * has left, so that they are cut off when it ends.
 */
static void
targets_get_no_time_beyond_the_stop(void **state)
{
	edge_fixture_t *fixture;
	caller_response_t response;
	uint32_t time_ms;
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		fixture = new_edge_fixture();
		set_up_routes_and_targets(fixture);
		put_edge_routes_with(fixture, 9, ",\"timeoutMs\":30000");
		run_edge_for(fixture, SETTLE_TIME);
		fixture->deadline_ms = DEADLINE_MS;
		send_edge_request(
		    fixture, cases[i].method, cases[i].path, &response);
		assert_true(get_longest_time(fixture) > GRACE_MS);
		kill(fixture->pid, SIGTERM);
		run_edge_until_logged(fixture, "event=leaving", LOG_DELAY_MAX);
		for (k = 0; k < EDGE_TARGETS; k++)
			fixture->targets[k].seen_time_left_ms = 0;
		send_edge_request(
		    fixture, cases[i].method, cases[i].path, &response);
		assert_int_equal(response.http_status, 200);
		time_ms = get_longest_time(fixture);
		print_message("%s: %u ms\n", cases[i].method, time_ms);
		assert_in_range(time_ms, 1, GRACE_MS);
		assert_int_equal(wait_edge_exit(fixture), 0);
		drop_edge_fixture(fixture);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(targets_get_no_time_beyond_the_stop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
