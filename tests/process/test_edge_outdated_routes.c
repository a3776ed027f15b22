#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "edge_fixture.h"

/*
 * A VM that knows from gossip that another VM has newer routes, and can't get
 * them. The VMs have different stores; vm-1 reads its own for both.
 */

#define LOG_DELAY_MAX (20 * MSP_SECOND)
#define OLD_VERSION 10U
#define NEW_VERSION 20U
#define SETTLE_TIME (600 * MSP_MS) /* two updates of the lag and more */
#define ROUTE(name_, homes_)                                                  \
	"{\"name\":\"" name_ "\",\"host\":\"a.example\",\"prefix\":\"/" name_ \
	"/\",\"kind\":\"idempotent\",\"timeoutMs\":20000,"                    \
	"\"targetLatencyMs\":5000,\"service\":\"desk\",\"maxAttempts\":2"     \
	"" homes_ "}"

typedef struct pair {
	edge_fixture_t *old; /* vm-1 */
	edge_fixture_t *new; /* vm-2; NULL once it has ended */
} pair_t;

static void
print_manifest(char *text, size_t size, unsigned int version)
{
	snprintf(text, size,
	    "{\"version\":\"r%u\",\"routes\":[%s],"
	    "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\","
	    "\"maxConns\":100,\"coldStartS\":3.0,\"coldPerS\":3.4}]}",
	    version,
	    ROUTE("home", ",\"homeRegions\":[\"north\"]") "," ROUTE("any", ""));
}

static void
set_up(pair_t *pair)
{
	char text[2048];
	char line[64];

	pair->old = new_edge_fixture();
	set_up_routes_and_targets(pair->old);
	print_manifest(text, sizeof(text), OLD_VERSION);
	put_edge_row(pair->old, "op", "config", text);
	snprintf(line, sizeof(line), "state=in-force version=%u ", OLD_VERSION);
	run_edge_until_logged(pair->old, line, LOG_DELAY_MAX);
}

static int
get_status(pair_t *pair, const char *path)
{
	caller_response_t response = {0};

	send_edge_request(pair->old, "GET", path, &response);
	return response.http_status;
}

/* Starts the VM with newer routes, and waits until the first one knows it. */
static void
start_newer_vm(pair_t *pair)
{
	msp_time_t end;
	char text[2048];
	char line[64];

	print_manifest(text, sizeof(text), NEW_VERSION);
	pair->new = new_edge_neighbour(pair->old, text);
	snprintf(line, sizeof(line), "state=in-force version=%u ", NEW_VERSION);
	run_edge_until_logged(pair->new, line, LOG_DELAY_MAX);
	run_edge_until_logged(pair->new, "event=vms rows=2", LOG_DELAY_MAX);
	end = msp_now(&pair->old->env) + LOG_DELAY_MAX;
	while (get_status(pair, "/home/1") == 200 &&
	    msp_now(&pair->old->env) < end)
		continue;
	run_edge_until_logged(
	    pair->old, "outcome=routes-outdated", LOG_DELAY_MAX);
}

static void
tear_down(pair_t *pair)
{
	if (pair->new != NULL)
		drop_edge_fixture(pair->new);
	drop_edge_fixture(pair->old);
}

/* Only routes with home regions are refused. */
static void
requests_with_homes_are_refused(void **state)
{
	pair_t pair;

	(void)state;
	set_up(&pair);
	assert_int_equal(get_status(&pair, "/home/1"), 200);
	start_newer_vm(&pair);
	assert_int_equal(get_status(&pair, "/home/1"), 503);
	assert_int_equal(get_status(&pair, "/any/1"), 200);
	tear_down(&pair);
}

/* The change of state had no log line, except when it fell between two reads of
 * the clock. */
static void
outdated_state_is_logged(void **state)
{
	pair_t pair;

	(void)state;
	set_up(&pair);
	start_newer_vm(&pair);
	run_edge_until_logged(
	    pair.old, "event=routes state=outdated", LOG_DELAY_MAX);
	tear_down(&pair);
}

static edge_target_t *
start_pending_request(pair_t *pair, caller_response_t *response)
{
	edge_target_t *first = NULL;
	unsigned int i;

	for (i = 0; i < EDGE_TARGETS; i++)
		pair->old->targets[i].behaviour = TARGET_DELAYS;
	pair->old->deadline_ms = 20000;
	start_edge_request(
	    pair->old, pair->old->caller_port, "GET", "/home/1", response);
	while (first == NULL && response->done == 0) {
		step_edge_fixture(pair->old);
		for (i = 0; i < EDGE_TARGETS; i++) {
			if (pair->old->targets[i].pending != NULL)
				first = &pair->old->targets[i];
		}
	}
	assert_non_null(first);
	for (i = 0; i < EDGE_TARGETS; i++)
		pair->old->targets[i].behaviour = TARGET_ANSWERS;
	return first;
}

/* A retry was sent by home regions that may have changed. */
static void
retry_with_homes_is_not_sent(void **state)
{
	caller_response_t response = {0};
	edge_target_t *first;
	unsigned int before;
	pair_t pair;

	(void)state;
	set_up(&pair);
	first = start_pending_request(&pair, &response);
	start_newer_vm(&pair);
	before = count_target_requests(pair.old);
	assert_int_equal(response.done, 0);
	fail_pending_request(first);
	run_edge_until(pair.old, &response.done, 1);
	assert_int_equal(count_target_requests(pair.old), before);
	tear_down(&pair);
}

/*
 * A VM forgot that newer routes exist when the VM that had them was lost, and
 * served by the old ones again.
 */
static void
newer_routes_stay_known_without_their_vm(void **state)
{
	pair_t pair;
	msp_time_t end;

	(void)state;
	set_up(&pair);
	start_newer_vm(&pair);
	drop_edge_fixture(pair.new);
	pair.new = NULL;
	run_edge_until_logged(pair.old,
	    "chosen_vm=vm-2 place=north-a reason=dead", 60 * MSP_SECOND);
	end = msp_now(&pair.old->env) + SETTLE_TIME;
	while (msp_now(&pair.old->env) < end)
		assert_int_equal(get_status(&pair, "/home/1"), 503);
	tear_down(&pair);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(requests_with_homes_are_refused),
	    cmocka_unit_test(outdated_state_is_logged),
	    cmocka_unit_test(retry_with_homes_is_not_sent),
	    cmocka_unit_test(newer_routes_stay_known_without_their_vm),
	};

	return cmocka_run_group_tests_name(
	    "outdated routes", tests, NULL, NULL);
}
