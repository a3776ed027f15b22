#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch_sim.h"

/*
 * Compares the dispatcher with static slot shares and random targets, with the
 * same requests for each. Usage: policy [seed [setting=value ...]]; with
 * settings, only the dispatcher runs.
 */

typedef struct deployment {
	const char *service;
	uint32_t targets;
	uint32_t slots;
	msp_preference_t preference;
} deployment_t;

static const deployment_t deployments[] = {
    {"mergedesk", 12, 9, MSP_PREFER_LATENCY},
    {"proofroom", 18, 9, MSP_PREFER_LATENCY},
    {"eligibility-desk", 16, 5, MSP_PREFER_HEADROOM},
    {"records-vault", 18, 4, MSP_PREFER_HEADROOM},
};

static const double loads[] = {0.5, 0.7, 0.85, 0.95, 1.1, 1.3};
static const char *const mode_names[] = {"dispatcher", "static", "random"};

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define DURATION (40 * MSP_SECOND)
#define WARM_UP (10 * MSP_SECOND)
#define START (100 * MSP_SECOND)
#define DRAIN_AT (START + 15 * MSP_SECOND)
#define DRAIN_LOAD 0.6

static char **settings;
static int setting_count;

static void
set_one(msp_dispatch_policy_t *policy, const char *setting)
{
	const char *value = strchr(setting, '=');
	uint32_t number;

	if (value == NULL) {
		fprintf(stderr, "policy: no value in \"%s\"\n", setting);
		exit(2);
	}
	number = (uint32_t)strtoul(value + 1, NULL, 10);
	if (strncmp(setting, "max_wait_ms=", 12) == 0)
		policy->max_wait = number * MSP_MS;
	else if (strncmp(setting, "hedge=", 6) == 0)
		policy->hedge = number != 0;
	else if (strncmp(setting, "reserve=", 8) == 0)
		policy->reserve_percent = number;
	else if (strncmp(setting, "retries=", 8) == 0)
		policy->retry_budget_percent = number;
	else {
		fprintf(stderr, "policy: unknown setting \"%s\"\n", setting);
		exit(2);
	}
}

static double
ms(const msp_histogram_t *histogram, double q)
{
	return (double)msp_quantile(histogram, q) / (double)MSP_MS;
}

static void
print_row(const dispatch_sim_t *world, const deployment_t *deployment,
    const char *name, double load)
{
	const dispatch_sim_results_t *r = &world->results;
	uint64_t whole = r->completed[0] + r->completed[1] + r->completed[2];
	uint64_t asked = r->requests[0] + r->requests[1] + r->requests[2];
	int i;

	printf("%-16s %4.2f %-10s", deployment->service, load, name);
	for (i = 0; i < MSP_CLASS_COUNT; i++)
		printf(" %5.0f %5.0f %5.0f", ms(&r->latency[i], 0.5),
		    ms(&r->latency[i], 0.99), ms(&r->latency[i], 0.999));
	printf(" %3d %3d %3d %3d %5.1f %6.0f",
	    (int)msp_quantile(&r->target_use, 0.99), (int)r->target_use.max,
	    (int)msp_quantile(&r->region_use, 0.99),
	    (int)(100 * r->full_samples / (r->region_use.count + 1)),
	    r->attempts > 0
		? 100.0 * (double)r->shed_attempts / (double)r->attempts
		: 0,
	    (double)whole / ((double)(DURATION - WARM_UP) / 1e6));
	for (i = 0; i < MSP_CLASS_COUNT; i++)
		printf(" %5.1f",
		    100.0 * (double)(r->requests[i] - r->completed[i]) /
			(double)r->requests[i]);
	printf(" %5.1f\n", 100.0 * (double)r->shifted / (double)asked);
}

static dispatch_sim_config_t
configure(const deployment_t *deployment, double load, uint64_t seed)
{
	dispatch_sim_config_t config = {
	    .seed = seed,
	    .regions = 3,
	    .data_centres = 2,
	    .targets = deployment->targets,
	    .slots = deployment->slots,
	    .load = load,
	    .spillover = true,
	    .cap = {.requests = 2000, .bytes = 100000000},
	    .policy = msp_default_policy(deployment->preference),
	    .duration = DURATION,
	    .warm_up = WARM_UP,
	};
	int i;

	for (i = 0; i < setting_count; i++)
		set_one(&config.policy, settings[i]);
	return config;
}

static void
compare(const deployment_t *deployment, double load, double skew, uint64_t seed)
{
	int modes = setting_count > 0 ? 1 : 3;
	int mode;

	for (mode = 0; mode < modes; mode++) {
		dispatch_sim_config_t config =
		    configure(deployment, load, seed);
		dispatch_sim_t *world;

		config.skew = skew;
		config.mode = (sim_mode_t)mode;
		world = new_dispatch_sim(&config);
		run_dispatch_sim(world);
		print_row(world, deployment, mode_names[mode], load);
		drop_dispatch_sim(world);
	}
}

/* Both preferences on the same service. */
static void
compare_preferences(const deployment_t *deployment, double load, uint64_t seed)
{
	int i;

	for (i = 0; i < MSP_PREFERENCE_COUNT; i++) {
		deployment_t other = *deployment;
		dispatch_sim_config_t config;
		dispatch_sim_t *world;

		other.preference = (msp_preference_t)i;
		config = configure(&other, load, seed);
		world = new_dispatch_sim(&config);
		run_dispatch_sim(world);
		print_row(world, deployment,
		    msp_preference_name(other.preference), load);
		drop_dispatch_sim(world);
	}
}

static void
begin_drain(dispatch_sim_t *world, void *arg)
{
	uint32_t count = *(uint32_t *)arg;
	uint32_t i;

	for (i = 0; i < count; i++) {
		world->targets[i].leaving = true;
		update_target_list(&world->places[world->targets[i].place]);
	}
}

/* Prints how long the drained targets work on, and what is refused. */
static void
drain(const deployment_t *deployment, const char *what, uint32_t count,
    uint64_t seed)
{
	dispatch_sim_config_t config = configure(deployment, DRAIN_LOAD, seed);
	dispatch_sim_t *world = new_dispatch_sim(&config);
	msp_time_t empty = 0;
	uint64_t refused, asked;
	uint32_t busy, i;

	schedule_sim_event(world, DRAIN_AT, begin_drain, &count);
	for (; empty == 0;
	     run_dispatch_sim_until(world, world->venv.now + MSP_MS)) {
		busy = world->venv.now <= DRAIN_AT;
		for (i = 0; i < count; i++)
			busy += world->targets[i].in_use;
		if (busy == 0)
			empty = world->venv.now;
	}
	run_dispatch_sim(world);
	refused = world->results.refused[0] + world->results.refused[1];
	asked = world->results.requests[0] + world->results.requests[1];
	printf("%-16s %-11s empty after %4.0f ms; reads and commits: refused "
	       "%.2f%%, p99 %.0f ms; shifted %llu\n",
	    deployment->service, what, (double)(empty - DRAIN_AT) / 1e3,
	    100.0 * (double)refused / (double)asked,
	    ms(&world->results.latency[0], 0.99),
	    (unsigned long long)world->results.shifted);
	drop_dispatch_sim(world);
}

int
main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	size_t d, l;

	settings = argv + 2;
	setting_count = argc > 2 ? argc - 2 : 0;
	printf("seed %llu; latency in ms, p50 p99 p99.9 for interactive, "
	       "commit, background; slots in use %%: target p99 max, region "
	       "p99, %% of the time over 95; sheds %% of attempts; whole/s; "
	       "not answered %% by "
	       "class; shifted %%\n",
	    (unsigned long long)seed);
	for (d = 0; d < COUNT(deployments); d++) {
		for (l = 0; l < COUNT(loads); l++)
			compare(&deployments[d], loads[l], 0, seed);
		puts("half of the demand in one region:");
		compare(&deployments[d], 0.7, 0.5, seed);
	}
	if (setting_count > 0)
		return 0;
	puts("the two preferences:");
	for (d = 0; d < COUNT(deployments); d++) {
		compare_preferences(&deployments[d], 0.7, seed);
		compare_preferences(&deployments[d], 0.95, seed);
		compare_preferences(&deployments[d], 1.1, seed);
	}
	puts("drains at 0.6 of capacity:");
	for (d = 0; d < COUNT(deployments); d++) {
		drain(&deployments[d], "target", 1, seed);
		drain(&deployments[d], "data centre",
		    deployments[d].targets / 6, seed);
		drain(&deployments[d], "region", deployments[d].targets / 3,
		    seed);
	}
	return 0;
}
