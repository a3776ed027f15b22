#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "fault_run.h"
#include "fleet_group.h"
#include "order_traffic.h"

#define FAULT_MS 2500 /* longer than the suspicion timeout */
#define INITIAL_RESPONSES 40
#define FINAL_RESPONSES 40 /* that must arrive after the fault */

typedef enum fault_kind {
	FAULT_NONE,
	FAULT_KILL_VM, /* and start it again */
	FAULT_FREEZE_VM,
	FAULT_KILL_TARGET,
	FAULT_FREEZE_TARGET,
	FAULT_STORE_DOWN,
	FAULT_STORE_SLOW,
	FAULT_STORE_LOSES_REPLIES,
	FAULT_STORE_LOSES_CALLS,
	FAULT_TARGETS_CLOSE_CONNECTIONS
} fault_kind_t;

typedef struct fault_case {
	const char *name;
	fault_kind_t first;
	fault_kind_t second;
} fault_case_t;

static const fault_case_t cases[] = {
    {"kill-vm", FAULT_KILL_VM, FAULT_NONE},
    {"freeze-vm", FAULT_FREEZE_VM, FAULT_NONE},
    {"kill-target", FAULT_KILL_TARGET, FAULT_NONE},
    {"freeze-target", FAULT_FREEZE_TARGET, FAULT_NONE},
    {"store-down", FAULT_STORE_DOWN, FAULT_NONE},
    {"store-slow", FAULT_STORE_SLOW, FAULT_NONE},
    {"store-loses-replies", FAULT_STORE_LOSES_REPLIES, FAULT_NONE},
    {"store-loses-calls", FAULT_STORE_LOSES_CALLS, FAULT_NONE},
    {"targets-close", FAULT_TARGETS_CLOSE_CONNECTIONS, FAULT_NONE},
    {"kill-vm-store-slow", FAULT_KILL_VM, FAULT_STORE_SLOW},
    {"freeze-vm-store-down", FAULT_FREEZE_VM, FAULT_STORE_DOWN},
    {"freeze-vm-targets-close", FAULT_FREEZE_VM,
	FAULT_TARGETS_CLOSE_CONNECTIONS},
    {"kill-target-store-loses", FAULT_KILL_TARGET, FAULT_STORE_LOSES_REPLIES},
    {"freeze-target-kill-vm", FAULT_FREEZE_TARGET, FAULT_KILL_VM},
};

static const fleet_place_t places[] = {
    {"a", "north", 3, 2}, {"b", "north", 1, 1}, {0}};

static void
start_fault(fleet_t *fleet, fault_kind_t kind, size_t vm)
{
	switch (kind) {
	case FAULT_NONE:
		break;
	case FAULT_KILL_VM:
		signal_fleet_process(&fleet->vms[vm], SIGKILL);
		wait_fleet_process_exit(fleet, &fleet->vms[vm]);
		break;
	case FAULT_FREEZE_VM:
		signal_fleet_process(&fleet->vms[vm], SIGSTOP);
		break;
	case FAULT_KILL_TARGET:
		signal_fleet_process(&fleet->targets[0], SIGKILL);
		wait_fleet_process_exit(fleet, &fleet->targets[0]);
		break;
	case FAULT_FREEZE_TARGET:
		signal_fleet_process(&fleet->targets[0], SIGSTOP);
		break;
	case FAULT_STORE_DOWN:
		assert_true(
		    set_fleet_platform_faults(fleet, "{\"down\":true}"));
		break;
	case FAULT_STORE_SLOW:
		assert_true(
		    set_fleet_platform_faults(fleet, "{\"latency_ms\":700}"));
		break;
	case FAULT_STORE_LOSES_REPLIES:
		assert_true(set_fleet_platform_faults(
		    fleet, "{\"lose_answer_pct\":30}"));
		break;
	case FAULT_STORE_LOSES_CALLS:
		assert_true(
		    set_fleet_platform_faults(fleet, "{\"lose_call_pct\":30}"));
		break;
	case FAULT_TARGETS_CLOSE_CONNECTIONS:
		assert_true(
		    set_fleet_target_faults(fleet, "{\"mode\":\"cut\"}"));
		break;
	}
}

static void
end_fault(fleet_t *fleet, fault_kind_t kind, size_t vm)
{
	switch (kind) {
	case FAULT_NONE:
		break;
	case FAULT_KILL_VM:
		assert_int_equal(spawn_fleet_vm(fleet, vm), 0);
		break;
	case FAULT_FREEZE_VM:
		signal_fleet_process(&fleet->vms[vm], SIGCONT);
		break;
	case FAULT_KILL_TARGET:
		assert_int_equal(spawn_fleet_target(fleet, 0), 0);
		break;
	case FAULT_FREEZE_TARGET:
		signal_fleet_process(&fleet->targets[0], SIGCONT);
		break;
	case FAULT_STORE_DOWN:
		assert_true(
		    set_fleet_platform_faults(fleet, "{\"down\":false}"));
		break;
	case FAULT_STORE_SLOW:
		assert_true(
		    set_fleet_platform_faults(fleet, "{\"latency_ms\":0}"));
		break;
	case FAULT_STORE_LOSES_REPLIES:
		assert_true(set_fleet_platform_faults(
		    fleet, "{\"lose_answer_pct\":0}"));
		break;
	case FAULT_STORE_LOSES_CALLS:
		assert_true(
		    set_fleet_platform_faults(fleet, "{\"lose_call_pct\":0}"));
		break;
	case FAULT_TARGETS_CLOSE_CONNECTIONS:
		assert_true(
		    set_fleet_target_faults(fleet, "{\"mode\":\"ok\"}"));
		break;
	}
}

/*
 * Prints the prefix of a case's keys: its name, after a prefix issued by
 * another VM if `issued`.
 */
static void
print_key_prefix(fleet_t *fleet, const fault_case_t *fault, bool issued,
    size_t vm, char *out, size_t size)
{
	char prefix[64] = "";

	if (issued)
		assert_true(get_fleet_key_prefix(
		    fleet, (vm + 1) % 3, prefix, sizeof(prefix)));
	snprintf(out, size, "%s%s", prefix, fault->name);
}

static void
run_case(fleet_t *fleet, const fault_case_t *fault, bool issued)
{
	order_traffic_t *traffic = calloc(1, sizeof(*traffic));
	size_t vm = find_fleet_dispatcher(fleet, 3);
	char violation[200];
	char key_prefix[100];
	int violations;

	assert_non_null(traffic);
	print_key_prefix(
	    fleet, fault, issued, vm, key_prefix, sizeof(key_prefix));
	start_order_traffic(traffic, fleet, key_prefix);
	if (!wait_for_responses(traffic, INITIAL_RESPONSES))
		fail_msg("%s: no responses before the fault", fault->name);
	start_fault(fleet, fault->first, vm);
	start_fault(fleet, fault->second, vm);
	run_order_traffic(traffic, FAULT_MS);
	end_fault(fleet, fault->first, vm);
	end_fault(fleet, fault->second, vm);
	if (!wait_for_responses(traffic, FINAL_RESPONSES))
		fail_msg("%s: no responses after the fault", fault->name);
	assert_true(stop_order_traffic(traffic));
	violations = check_order_traffic(traffic, violation, sizeof(violation));
	print_message(
	    "%-24s %-6s %4zu orders, %4zu answered, %4zu reported as not run, "
	    "%4zu unknown, %d violations\n",
	    fault->name, issued ? "issued" : "chosen", traffic->order_count,
	    traffic->answered, traffic->not_run_count, traffic->unknown_count,
	    violations);
	free(traffic);
	if (violations > 0)
		fail_msg("%s", violation);
	assert_true(wait_fleet_convergence(fleet));
}

void
run_fault_cases(fleet_t *fleet, bool issued)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(fleet, &cases[i], issued);
}

int
start_fault_fleet(void **state)
{
	static const char *const target_args[] = {
	    "--service-time-ms", "10", NULL};
	fleet_options_t options = {.places = places,
	    .service = "desk",
	    .slots = 4,
	    .target_args = target_args};

	return start_fleet_group(state, &options);
}

int
stop_fault_fleet(void **state)
{
	return stop_fleet_group(state);
}
