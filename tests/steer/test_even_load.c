#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "target_sim.h"

/*
 * How even the load of targets is, and how many responses are in time, by who
 * chooses a request's target and by what VMs know of each other's requests: the
 * balancer as it is, with many VMs, on a virtual clock. Two regions have nine
 * tenths of the targets; each has a third of the requests.
 *
 * With EVEN_LOAD=all all sizes are played, otherwise one, shortly.
 */

#define WARM_UP (6 * MSP_SECOND)
#define END (16 * MSP_SECOND)
#define SHORT_WARM_UP MSP_SECOND
#define SHORT_END (3 * MSP_SECOND)
#define SEEDS 2

typedef struct way {
	const char *name;
	target_sim_choosers_t choosers;
	msp_time_t hop;
	msp_time_t told_after;
} way_t;

static const way_t ways[] = {
    {"each VM, by its own responses", TARGET_SIM_ENTRY_VM, 0, 0},
    {"the same, told after 1 s", TARGET_SIM_ENTRY_VM, 0, MSP_SECOND},
    {"the same, told after 0.25 s", TARGET_SIM_ENTRY_VM, 0, 250 * MSP_MS},
    {"the VM of the object", TARGET_SIM_OBJECT_VM, 2 * MSP_MS, 0},
    {"the same, told after 0.25 s", TARGET_SIM_OBJECT_VM, 2 * MSP_MS,
	250 * MSP_MS},
};

static const unsigned int vms[] = {3, 10, 28}; /* of each region */

static void
add(target_sim_result_t *sum, const target_sim_result_t *result)
{
	sum->sent += result->sent;
	sum->in_time += result->in_time;
	sum->late += result->late;
	sum->refused += result->refused;
	sum->remote += result->remote;
	sum->cache_misses += result->cache_misses;
	sum->busiest += result->busiest / SEEDS;
	sum->idle += result->idle;
	if (result->worst_shift > sum->worst_shift)
		sum->worst_shift = result->worst_shift;
}

static target_sim_result_t
play(const way_t *way, unsigned int vm_count, uint64_t seed, bool is_short)
{
	target_sim_config_t config = {.regions = 3,
	    .targets = {53, 12, 53},
	    .vms = vm_count,
	    .slots = 3,
	    .queue_max = 9,
	    .cache_size = 16,
	    .objects = 113,
	    .service_time = 160 * MSP_MS,
	    .rtt = 110 * MSP_MS,
	    .goal_ms = 500,
	    .timeout_ms = 3000,
	    .choosers = way->choosers,
	    .hop = way->hop,
	    .told_after = way->told_after};
	target_sim_load_t load = {.end = END, .per_second = 213, .region = -1};
	target_sim_t *sim = new_target_sim(&config, seed);
	target_sim_result_t result;

	run_target_sim(sim, &load, 1, is_short ? SHORT_WARM_UP : WARM_UP);
	take_target_sim_result(sim);
	run_target_sim(sim, &load, 1, is_short ? SHORT_END : END);
	result = take_target_sim_result(sim);
	drop_target_sim(sim);
	return result;
}

static void
print_way(const way_t *way, unsigned int vm_count, bool is_short)
{
	target_sim_result_t sum = {0};
	target_sim_result_t result;
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		result = play(way, vm_count, seed, is_short);
		add(&sum, &result);
		assert_true(result.in_time > 0);
		assert_true(result.busiest >= 1);
	}
	print_message("| %u | %s | %.1f | %.1f | %.1f | %.1f | %.1f | %.2f | "
		      "%.1f | %.2f |\n",
	    3 * vm_count, way->name, 100.0 * sum.in_time / sum.sent,
	    100.0 * sum.late / sum.sent, 100.0 * sum.refused / sum.sent,
	    100.0 * sum.remote / sum.sent, 100.0 * sum.cache_misses / sum.sent,
	    sum.busiest, (double)sum.idle / SEEDS, sum.worst_shift);
}

static void
ways_of_choosing_are_compared(void **state)
{
	bool is_short = getenv("EVEN_LOAD") == NULL;
	size_t sizes = is_short ? 1 : sizeof(vms) / sizeof(*vms);
	size_t i;
	size_t j;

	(void)state;
	print_message("| VMs | who chooses, and what it knows | in time %% | "
		      "late %% | refused %% | other region %% | cold %% | "
		      "busiest of mean | targets without work | worst shift "
		      "|\n|---|---|---|---|---|---|---|---|---|---|\n");
	for (i = 0; i < sizes; i++) {
		for (j = 0; j < sizeof(ways) / sizeof(*ways); j++)
			print_way(&ways[j], vms[i], is_short);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(ways_of_choosing_are_compared),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
