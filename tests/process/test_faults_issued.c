#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <signal.h>
#include <stdio.h>

#include <cmocka.h>

#include "fault_run.h"

static void
orders_with_issued_keys_run_at_most_once(void **state)
{
	run_fault_cases(*state, true);
}

/* A request whose key was issued by a killed VM never runs, at any VM. */
static void
requests_with_keys_of_a_killed_vm_never_run(void **state)
{
	fleet_t *fleet = *state;
	char prefix[64];
	char headers[160];
	fleet_reply_t reply;
	size_t vm;

	assert_true(get_fleet_key_prefix(fleet, 2, prefix, sizeof(prefix)));
	signal_fleet_process(&fleet->vms[2], SIGKILL);
	wait_fleet_process_exit(fleet, &fleet->vms[2]);
	assert_int_equal(spawn_fleet_vm(fleet, 2), 0);
	assert_true(wait_fleet_convergence(fleet));
	for (vm = 0; vm < fleet->vm_count; vm++) {
		snprintf(headers, sizeof(headers),
		    "Idempotency-Key: %sgone\nRequest-Timeout: 2000", prefix);
		send_fleet_request(fleet, fleet->vms[vm].port, "POST",
		    "/v1/services/desk/orders", headers, "x", &reply);
		assert_int_not_equal(reply.http_status, 200);
		msp_drop_response(&reply.response);
	}
	snprintf(headers, sizeof(headers), "%sgone", prefix);
	assert_int_equal(count_fleet_runs(fleet, headers), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(orders_with_issued_keys_run_at_most_once),
	    cmocka_unit_test(requests_with_keys_of_a_killed_vm_never_run),
	};

	return cmocka_run_group_tests(
	    tests, start_fault_fleet, stop_fault_fleet);
}
