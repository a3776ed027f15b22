#include <stdio.h>
#include <stdlib.h>

#include "rate_sim.h"

/*
 * What each way of sharing an organisation's limit over VMs costs: requests
 * beyond the limit, needless refusals, messages and waits, without faults and
 * with each.
 *
 *   rate_limits [first seed]
 */

#define SEEDS 20
#define SLACK 20
#define PLAY_S 28.0 /* with the time before the first request */

typedef struct load {
	const char *name;
	double per_second;
	unsigned int callers;
	double demand;
	double hot;
} load_t;

static const load_t loads[] = {
    {"3 callers, usual", 8, 3, 0.6, 1},
    {"10 callers, usual", 8, 10, 0.6, 1},
    {"10 callers, hot", 8, 10, 0.6, 7.5},
    {"200 callers, usual", 180, 200, 0.6, 1},
    {"200 callers, hot", 180, 200, 0.6, 7.5},
};

static const char *const ways[] = {
    [RATE_SIM_EVEN] = "even part of each VM",
    [RATE_SIM_EVEN_PLACES] = "owners, even parts",
    [RATE_SIM_DEMAND] = "owners, by demand",
};

static void
print_way(const load_t *load, rate_sim_way_t way, rate_sim_fault_t fault,
    uint64_t first_seed)
{
	rate_sim_options_t options = {.way = way,
	    .fault = fault,
	    .places = 6,
	    .vms = 16,
	    .callers = load->callers,
	    .per_second = load->per_second,
	    .burst = load->per_second,
	    .demand = load->demand,
	    .hot = load->hot,
	    .slack = SLACK};
	rate_sim_result_t sum = {0};
	rate_sim_result_t result;
	double worst = 0;
	unsigned int i;

	for (i = 0; i < SEEDS; i++) {
		options.seed = first_seed + i;
		run_rate_sim(&options, &result);
		sum.requests += result.requests;
		sum.refused += result.refused;
		sum.refused_below += result.refused_below;
		sum.asks += result.asks;
		sum.demand_messages += result.demand_messages;
		sum.added_ms += result.added_ms;
		if (result.worst_share > worst)
			worst = result.worst_share;
	}
	printf("| %s | %s | %s | %.1f | %.2f | %.2f | %.2f | %.0f | %.1f |\n",
	    load->name, ways[way], rate_sim_fault_name(fault),
	    100.0 * sum.refused / sum.requests,
	    100.0 * sum.refused_below / sum.requests, worst,
	    (double)sum.asks / sum.requests,
	    sum.demand_messages / PLAY_S / SEEDS, sum.added_ms / SEEDS);
}

int
main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	rate_sim_fault_t fault;
	rate_sim_way_t way;
	size_t i;

	printf("| load | way | fault | refused %% | below the limit %% | "
	       "worst window | questions a request | messages about demand, "
	       "1/s | wait ms |\n"
	       "|---|---|---|---|---|---|---|---|---|\n");
	for (i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
		for (way = RATE_SIM_EVEN; way <= RATE_SIM_DEMAND; way++)
			print_way(&loads[i], way, RATE_SIM_NO_FAULT, seed);
	}
	for (fault = 1; fault < RATE_SIM_FAULT_COUNT; fault++) {
		print_way(&loads[2], RATE_SIM_DEMAND, fault, seed);
		print_way(&loads[4], RATE_SIM_DEMAND, fault, seed);
	}
	return 0;
}
