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

#define FAULT_MS 2500 /* longer than suspicion takes */
#define WARM_ANSWERS 40
#define HEALED_ANSWERS 40 /* that must come after the fault */

typedef enum fault_kind {
	FAULT_NONE,
	FAULT_KILL_VM, /* and start it again */
	FAULT_FREEZE_VM,
	FAULT_KILL_TARGET,
	FAULT_FREEZE_TARGET,
	FAULT_STORE_DOWN,
	FAULT_STORE_SLOW,
	FAULT_STORE_LOSES_ANSWERS,
	FAULT_STORE_LOSES_CALLS,
	FAULT_TARGETS_CUT
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
    {"store-loses-answers", FAULT_STORE_LOSES_ANSWERS, FAULT_NONE},
    {"store-loses-calls", FAULT_STORE_LOSES_CALLS, FAULT_NONE},
    {"targets-cut", FAULT_TARGETS_CUT, FAULT_NONE},
    {"kill-vm-store-slow", FAULT_KILL_VM, FAULT_STORE_SLOW},
    {"freeze-vm-store-down", FAULT_FREEZE_VM, FAULT_STORE_DOWN},
    {"freeze-vm-targets-cut", FAULT_FREEZE_VM, FAULT_TARGETS_CUT},
    {"kill-target-store-loses", FAULT_KILL_TARGET, FAULT_STORE_LOSES_ANSWERS},
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
	case FAULT_STORE_LOSES_ANSWERS:
		assert_true(set_fleet_platform_faults(
		    fleet, "{\"lose_answer_pct\":30}"));
		break;
	case FAULT_STORE_LOSES_CALLS:
		assert_true(
		    set_fleet_platform_faults(fleet, "{\"lose_call_pct\":30}"));
		break;
	case FAULT_TARGETS_CUT:
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
	case FAULT_STORE_LOSES_ANSWERS:
		assert_true(set_fleet_platform_faults(
		    fleet, "{\"lose_answer_pct\":0}"));
		break;
	case FAULT_STORE_LOSES_CALLS:
		assert_true(
		    set_fleet_platform_faults(fleet, "{\"lose_call_pct\":0}"));
		break;
	case FAULT_TARGETS_CUT:
		assert_true(
		    set_fleet_target_faults(fleet, "{\"mode\":\"ok\"}"));
		break;
	}
}

/* The start of a case's keys: the caller's own, or issued by another VM. */
static void
name_keys(fleet_t *fleet, const fault_case_t *one, bool issued, size_t vm,
    char *out, size_t size)
{
	char prefix[64] = "";

	if (issued)
		assert_true(get_fleet_key_prefix(
		    fleet, (vm + 1) % 3, prefix, sizeof(prefix)));
	snprintf(out, size, "%s%s", prefix, one->name);
}

static void
run_case(fleet_t *fleet, const fault_case_t *one, bool issued)
{
	order_traffic_t *storm = calloc(1, sizeof(*storm));
	size_t vm = find_fleet_dispatcher(fleet, 3);
	char what[200];
	char name[100];
	int broken;

	assert_non_null(storm);
	name_keys(fleet, one, issued, vm, name, sizeof(name));
	start_order_traffic(storm, fleet, name);
	if (!wait_for_responses(storm, WARM_ANSWERS))
		fail_msg("%s: no answers before the fault", one->name);
	start_fault(fleet, one->first, vm);
	start_fault(fleet, one->second, vm);
	run_order_traffic(storm, FAULT_MS);
	end_fault(fleet, one->first, vm);
	end_fault(fleet, one->second, vm);
	if (!wait_for_responses(storm, HEALED_ANSWERS))
		fail_msg("%s: no answers after the fault", one->name);
	assert_true(stop_order_traffic(storm));
	broken = check_order_traffic(storm, what, sizeof(what));
	print_message(
	    "%-24s %-6s %4zu orders, %4zu answered, %4zu times not run, "
	    "%4zu times unknown, %d broken\n",
	    one->name, issued ? "issued" : "own", storm->order_count,
	    storm->answered, storm->not_run_count, storm->unknown_count,
	    broken);
	free(storm);
	if (broken > 0)
		fail_msg("%s", what);
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
