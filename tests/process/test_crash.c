#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <sys/wait.h>

#include "fleet_group.h"

/*
 * A request that crashes each target that runs it must not take down all
 * targets, though its client resends it to all VMs. It is quarantined in all
 * data centres after a few crashes, and other requests are served.
 */

#define RESENDS 30
#define CRASHES_MAX 4 /* two strikes in each of two data centres */

static const fleet_place_t places[] = {
    {"a", "north", 2, 4}, {"b", "north", 1, 3}, {0}};

static int
start_fleet(void **state)
{
	fleet_options_t options = {
	    .places = places, .service = "desk", .slots = 4};

	return start_fleet_group(state, &options);
}

static int
count_crashed(fleet_t *fleet)
{
	int crashed = 0;
	size_t i;

	for (i = 0; i < fleet->target_count; i++) {
		fleet_process_t *target = &fleet->targets[i];

		if (target->pid != 0 &&
		    waitpid(target->pid, &target->status, WNOHANG) ==
			target->pid)
			target->pid = 0;
		crashed += target->pid == 0;
	}
	return crashed;
}

static bool
is_refused(fleet_t *fleet, size_t vm)
{
	fleet_reply_t reply;
	bool refused;

	send_fleet_request(fleet, fleet->vms[vm].port, "GET",
	    "/v1/services/desk/bad", "Request-Timeout: 3000", NULL, &reply);
	refused = strstr(msp_buffer_text(&reply.response.body),
		      "\"kind\":\"quarantined\"") != NULL;
	msp_drop_response(&reply.response);
	return refused;
}

/* Whether all VMs refuse the request as quarantined. */
static bool
is_quarantined(void *ctx)
{
	fleet_t *fleet = ctx;
	size_t vm;

	for (vm = 0; vm < fleet->vm_count; vm++) {
		if (!is_refused(fleet, vm))
			return false;
	}
	return true;
}

static void
crashing_request_is_quarantined(void **state)
{
	fleet_t *fleet = *state;
	fleet_reply_t reply;
	size_t vm;
	int crashed;
	int i;

	assert_true(
	    set_fleet_target_faults(fleet, "{\"crash_path\":\"/bad\"}"));
	for (i = 0; i < RESENDS; i++)
		is_refused(fleet, (size_t)i % fleet->vm_count);
	assert_true(wait_fleet_until(fleet, is_quarantined, fleet));
	crashed = count_crashed(fleet);
	if (crashed > CRASHES_MAX)
		fail_msg(
		    "%d targets crashed, not at most %d", crashed, CRASHES_MAX);
	print_message("%d targets crashed\n", crashed);
	for (vm = 0; vm < fleet->vm_count; vm++) {
		send_fleet_request(fleet, fleet->vms[vm].port, "GET",
		    "/v1/services/desk/good", NULL, NULL, &reply);
		assert_int_equal(reply.http_status, 200);
		msp_drop_response(&reply.response);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(crashing_request_is_quarantined),
	};

	return cmocka_run_group_tests(tests, start_fleet, stop_fleet_group);
}
