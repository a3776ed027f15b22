#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch_sim.h"

/*
 * Compares the dispatcher with static shares of the slots and with random
 * targets, on the same requests. Usage: policy [seed [setting=value ...]]; with
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
apply_setting(msp_dispatch_policy_t *policy, const char *setting)
{
	const char *value = strchr(setting, '=');
	uint32_t number;

	if (value == NULL) {
		fprintf(
		    stderr, "policy: setting \"%s\" has no value\n", setting);
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
get_quantile_ms(const msp_histogram_t *histogram, double q)
{
	return (double)msp_quantile(histogram, q) / (double)MSP_MS;
}

static void
print_row(const dispatch_sim_t *sim, const deployment_t *deployment,
    const char *name, double load)
{
	const dispatch_sim_results_t *results = &sim->results;
	uint64_t completed = results->completed[0] + results->completed[1] +
	    results->completed[2];
	uint64_t requests =
	    results->requests[0] + results->requests[1] + results->requests[2];
	int i;

	printf("%-16s %4.2f %-10s", deployment->service, load, name);
	for (i = 0; i < MSP_CLASS_COUNT; i++)
		printf(" %5.0f %5.0f %5.0f",
		    get_quantile_ms(&results->latency[i], 0.5),
		    get_quantile_ms(&results->latency[i], 0.99),
		    get_quantile_ms(&results->latency[i], 0.999));
	printf(" %3d %3d %3d %3d %5.1f %6.0f",
	    (int)msp_quantile(&results->target_use, 0.99),
	    (int)results->target_use.max,
	    (int)msp_quantile(&results->region_use, 0.99),
	    (int)(100 * results->full_samples /
		(results->region_use.count + 1)),
	    results->attempts > 0 ? 100.0 * (double)results->shed_attempts /
		    (double)results->attempts
				  : 0,
	    (double)completed / ((double)(DURATION - WARM_UP) / 1e6));
	for (i = 0; i < MSP_CLASS_COUNT; i++)
		printf(" %5.1f",
		    100.0 *
			(double)(results->requests[i] - results->completed[i]) /
			(double)results->requests[i]);
	printf(" %5.1f\n", 100.0 * (double)results->shifted / (double)requests);
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
		apply_setting(&config.policy, settings[i]);
	return config;
}

static void
compare_modes(
    const deployment_t *deployment, double load, double skew, uint64_t seed)
{
	int modes = setting_count > 0 ? 1 : 3;
	int mode;

	for (mode = 0; mode < modes; mode++) {
		dispatch_sim_config_t config =
		    configure(deployment, load, seed);
		dispatch_sim_t *sim;

		config.skew = skew;
		config.mode = (sim_mode_t)mode;
		sim = new_dispatch_sim(&config);
		run_dispatch_sim(sim);
		print_row(sim, deployment, mode_names[mode], load);
		drop_dispatch_sim(sim);
	}
}

/* Runs the same service with each preference. */
static void
compare_preferences(const deployment_t *deployment, double load, uint64_t seed)
{
	int i;

	for (i = 0; i < MSP_PREFERENCE_COUNT; i++) {
		deployment_t other = *deployment;
		dispatch_sim_config_t config;
		dispatch_sim_t *sim;

		other.preference = (msp_preference_t)i;
		config = configure(&other, load, seed);
		sim = new_dispatch_sim(&config);
		run_dispatch_sim(sim);
		print_row(sim, deployment,
		    msp_preference_name(other.preference), load);
		drop_dispatch_sim(sim);
	}
}

static void
handle_drain_start(dispatch_sim_t *sim, void *arg)
{
	uint32_t count = *(uint32_t *)arg;
	uint32_t i;

	for (i = 0; i < count; i++) {
		sim->targets[i].leaving = true;
		update_target_list(&sim->places[sim->targets[i].place]);
	}
}

/*
 * Drains `count` targets; prints the time until they are idle and the share of
 * refused requests.
 */
static void
measure_drain(const deployment_t *deployment, const char *scope, uint32_t count,
    uint64_t seed)
{
	dispatch_sim_config_t config = configure(deployment, DRAIN_LOAD, seed);
	dispatch_sim_t *sim = new_dispatch_sim(&config);
	msp_time_t idle_at = 0;
	uint64_t refused, requests;
	uint32_t in_use, i;

	schedule_sim_event(sim, DRAIN_AT, handle_drain_start, &count);
	for (; idle_at == 0;
	     run_dispatch_sim_until(sim, sim->venv.now + MSP_MS)) {
		in_use = sim->venv.now <= DRAIN_AT;
		for (i = 0; i < count; i++)
			in_use += sim->targets[i].in_use;
		if (in_use == 0)
			idle_at = sim->venv.now;
	}
	run_dispatch_sim(sim);
	refused = sim->results.refused[0] + sim->results.refused[1];
	requests = sim->results.requests[0] + sim->results.requests[1];
	printf("%-16s %-11s idle after %4.0f ms; reads and commits: refused "
	       "%.2f%%, p99 %.0f ms; shifted %llu\n",
	    deployment->service, scope, (double)(idle_at - DRAIN_AT) / 1e3,
	    100.0 * (double)refused / (double)requests,
	    get_quantile_ms(&sim->results.latency[0], 0.99),
	    (unsigned long long)sim->results.shifted);
	drop_dispatch_sim(sim);
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
	       "p99, %% of the time over 95; shed %% of attempts; completed/s; "
	       "failed %% by class; shifted %%\n",
	    (unsigned long long)seed);
	for (d = 0; d < COUNT(deployments); d++) {
		for (l = 0; l < COUNT(loads); l++)
			compare_modes(&deployments[d], loads[l], 0, seed);
		puts("half of the load in one region:");
		compare_modes(&deployments[d], 0.7, 0.5, seed);
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
		measure_drain(&deployments[d], "target", 1, seed);
		measure_drain(&deployments[d], "data centre",
		    deployments[d].targets / 6, seed);
		measure_drain(&deployments[d], "region",
		    deployments[d].targets / 3, seed);
	}
	return 0;
}
