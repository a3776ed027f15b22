#include <stdio.h>
#include <stdlib.h>

#include "dispatch_sim.h"

/*
 * Effect of each fault on dispatchers with the targets and slots of two
 * services, at 0.7 of capacity. The fault starts after 10 s and lasts 10 s.
 * Usage: faults [seed].
 */

typedef struct deployment {
	const char *service;
	uint32_t targets;
	uint32_t slots;
	msp_preference_t preference;
} deployment_t;

static const deployment_t deployments[] = {
    {"mergedesk", 12, 9, MSP_PREFER_LATENCY},
    {"eligibility-desk", 16, 5, MSP_PREFER_HEADROOM},
};

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define START (100 * MSP_SECOND)
#define FAULT_AT (START + 10 * MSP_SECOND)
#define FAULT_DURATION (10 * MSP_SECOND)
#define DURATION (40 * MSP_SECOND)
#define WARM_UP (9 * MSP_SECOND)
#define CAP_REQUESTS 200
#define CAP_BYTES 6000000

static double
get_quantile_ms(const msp_histogram_t *histogram, double q)
{
	return (double)msp_quantile(histogram, q) / (double)MSP_MS;
}

/*
 * Returns the seconds from the end of the fault to the arrival of the last
 * interactive request or commit that failed.
 */
static double
get_recovery_time(const dispatch_sim_t *sim)
{
	const sim_request_t *request;
	msp_time_t last = FAULT_AT + FAULT_DURATION;

	TAILQ_FOREACH(request, &sim->requests, link) {
		if (!request->completed && !request->poison &&
		    request->job.class != MSP_CLASS_BACKGROUND &&
		    request->created_at > last)
			last = request->created_at;
	}
	return (double)(last - FAULT_AT - FAULT_DURATION) / (double)MSP_SECOND;
}

static void
run_fault(
    const deployment_t *deployment, const sim_fault_t *fault, uint64_t seed)
{
	dispatch_sim_config_t config = {
	    .seed = seed,
	    .regions = 3,
	    .data_centres = 2,
	    .targets = deployment->targets,
	    .slots = deployment->slots,
	    .load = 0.7,
	    .spillover = true,
	    .cap = {.requests = CAP_REQUESTS, .bytes = CAP_BYTES},
	    .policy = msp_default_policy(deployment->preference),
	    .duration = DURATION,
	    .warm_up = WARM_UP,
	};
	dispatch_sim_t *sim = new_dispatch_sim(&config);
	const dispatch_sim_results_t *results = &sim->results;
	uint64_t peak_requests = 0, peak_bytes = 0;
	uint32_t i, j;

	if (fault != NULL)
		schedule_fault(sim, fault, FAULT_AT, FAULT_DURATION);
	run_dispatch_sim(sim);
	for (i = 0; i < config.regions; i++) {
		for (j = 0; j < config.regions; j++) {
			const sim_link_t *link = &sim->links[i][j];

			if (link->peak_requests > peak_requests)
				peak_requests = link->peak_requests;
			if (link->peak_bytes > peak_bytes)
				peak_bytes = link->peak_bytes;
		}
	}
	printf("%-16s %-22s %5.0f %5.0f %6.0f %6.2f %6.2f %6.2f %5.1f %5llu "
	       "%5.2f\n",
	    deployment->service, fault != NULL ? fault->name : "none",
	    get_quantile_ms(&results->latency[0], 0.5),
	    get_quantile_ms(&results->latency[0], 0.99),
	    get_quantile_ms(&results->latency[0], 0.999),
	    100.0 * (double)(results->requests[0] - results->completed[0]) /
		(double)results->requests[0],
	    100.0 * (double)(results->requests[1] - results->completed[1]) /
		(double)results->requests[1],
	    100.0 * (double)(results->requests[2] - results->completed[2]) /
		(double)results->requests[2],
	    get_recovery_time(sim), (unsigned long long)peak_requests,
	    (double)peak_bytes / 1e6);
	drop_dispatch_sim(sim);
}

int
main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	size_t d;
	int i;

	printf("seed %llu, load 0.7, fault for 10 of 31 s; interactive p50 p99 "
	       "p99.9 in ms; failed %% interactive, commit, background; last "
	       "failed interactive request or commit after the fault in s; "
	       "peak in one second between two regions: requests (cap %d), MB "
	       "(cap %.1f)\n",
	    (unsigned long long)seed, CAP_REQUESTS, CAP_BYTES / 1e6);
	for (d = 0; d < COUNT(deployments); d++) {
		run_fault(&deployments[d], NULL, seed);
		for (i = 0; i < sim_fault_count; i++)
			run_fault(&deployments[d], &sim_faults[i], seed);
	}
	return 0;
}
