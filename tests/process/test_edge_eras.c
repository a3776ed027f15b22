#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "edge_fixture.h"

/*
 * The platform's store comes back from a copy that is some seconds old. What
 * the VM knew stays in force, and what is written then is applied at once,
 * though the store's versions are far below those before.
 */

#define WRITES 60 /* that the copy does not have */
#define REQUESTS 12
#define SETTLE_TIME (400 * MSP_MS)
#define RESTORE_TIME (1 * MSP_SECOND) /* until the VM follows */
#define ANNOUNCE_TIME_MAX (3 * MSP_SECOND)

static int
set_up(void **state)
{
	edge_fixture_t *fixture = new_edge_fixture();

	msp_keep_memory_store_copies(fixture->memory_store, 60 * MSP_SECOND);
	set_up_routes_and_targets(fixture);
	run_edge_for(fixture, SETTLE_TIME);
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
write_much(edge_fixture_t *fixture)
{
	char key[16];
	unsigned int i;

	for (i = 0; i < WRITES; i++) {
		snprintf(key, sizeof(key), "other%u", i);
		put_edge_row(fixture, "op", key, "{}");
	}
	run_edge_for(fixture, SETTLE_TIME);
}

/* The store goes back to its state at that time. */
static void
restore_store(edge_fixture_t *fixture, msp_time_t at)
{
	assert_int_equal(msp_restore_memory_store(fixture->memory_store,
			     msp_now(&fixture->env) - at),
	    MSP_OK);
	run_edge_for(fixture, RESTORE_TIME);
}

/* Sends some requests; returns how many were served. */
static unsigned int
send_requests(edge_fixture_t *fixture, const char *path)
{
	caller_response_t response;
	unsigned int served = 0;
	unsigned int i;

	for (i = 0; i < REQUESTS; i++) {
		fixture->object = i;
		send_edge_request(fixture, "GET", path, &response);
		served += response.http_status == 200;
	}
	return served;
}

/* Guards against a target that gets requests although it said that it leaves.
 */
static void
targets_leave_in_each_era(void **state)
{
	edge_fixture_t *fixture = *state;
	msp_time_t copied_at = msp_now(&fixture->env);

	run_edge_for(fixture, SETTLE_TIME);
	write_much(fixture);
	put_edge_target(fixture, 0, true);
	run_edge_for(fixture, SETTLE_TIME);
	restore_store(fixture, copied_at);
	fixture->targets[0].request_count = 0;
	assert_int_equal(send_requests(fixture, "/read/1"), REQUESTS);
	assert_int_equal(fixture->targets[0].request_count, 0);
	/* Another one, in the new era. */
	put_edge_target(fixture, 1, true);
	run_edge_for(fixture, SETTLE_TIME);
	fixture->targets[1].request_count = 0;
	assert_int_equal(send_requests(fixture, "/read/1"), REQUESTS);
	assert_int_equal(fixture->targets[0].request_count, 0);
	assert_int_equal(fixture->targets[1].request_count, 0);
}

/* Guards against routes that go back, and against later ones that come late. */
static void
routes_never_go_back(void **state)
{
	edge_fixture_t *fixture = *state;
	msp_time_t copied_at = msp_now(&fixture->env);

	run_edge_for(fixture, SETTLE_TIME);
	write_much(fixture);
	put_edge_routes(fixture, 5);
	run_edge_for(fixture, SETTLE_TIME);
	assert_int_equal(send_requests(fixture, "/more/1"), REQUESTS);
	restore_store(fixture, copied_at);
	assert_int_equal(send_requests(fixture, "/more/1"), REQUESTS);
	put_edge_routes(fixture, 4);
	run_edge_for(fixture, SETTLE_TIME);
	assert_int_equal(send_requests(fixture, "/more/1"), REQUESTS);
	put_edge_row(fixture, "op", "config",
	    "{\"version\":\"r6\",\"routes\":[],\"services\":[]}");
	run_edge_for(fixture, SETTLE_TIME);
	assert_int_equal(send_requests(fixture, "/more/1"), 0);
}

/* Guards against an evacuated data centre that gets requests again. */
static void
evacuations_stay_in_force(void **state)
{
	edge_fixture_t *fixture = *state;
	msp_time_t copied_at = msp_now(&fixture->env);

	run_edge_for(fixture, SETTLE_TIME);
	put_edge_row(fixture, "op", "evacuate/north-a", "{}");
	write_much(fixture);
	assert_int_equal(send_requests(fixture, "/read/1"), 0);
	restore_store(fixture, copied_at);
	assert_int_equal(send_requests(fixture, "/read/1"), 0);
	put_edge_row(fixture, "op", "evacuate/north-a", "{}");
	run_edge_for(fixture, SETTLE_TIME);
	put_edge_row(fixture, "op", "evacuate/north-a", NULL);
	run_edge_for(fixture, SETTLE_TIME);
	assert_int_equal(send_requests(fixture, "/read/1"), REQUESTS);
}

static bool
has_vm_row(edge_fixture_t *fixture)
{
	size_t len = 0;

	return msp_peek_memory_store_row(
		   fixture->memory_store, "vms|vm-1", &len) != NULL;
}

/* Guards against a VM that others can't find, since its row was lost. */
static void
vms_announce_themselves_again(void **state)
{
	edge_fixture_t *fixture = *state;
	msp_time_t end;

	assert_true(has_vm_row(fixture));
	put_edge_row(fixture, "vms", "vm-1", NULL);
	restore_store(fixture, msp_now(&fixture->env));
	end = msp_now(&fixture->env) + ANNOUNCE_TIME_MAX;
	while (!has_vm_row(fixture) && msp_now(&fixture->env) < end)
		step_edge_fixture(fixture);
	assert_true(has_vm_row(fixture));
}

#define ERA_TEST(name_) \
	cmocka_unit_test_setup_teardown(name_, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    ERA_TEST(targets_leave_in_each_era),
	    ERA_TEST(routes_never_go_back),
	    ERA_TEST(evacuations_stay_in_force),
	    ERA_TEST(vms_announce_themselves_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
