#include <stdio.h>
#include <stdlib.h>

#include "dispatch_sim.h"

/*
 * What each fault costs: the dispatcher at the sizes of two services, 0.7 of
 * capacity, the fault from 10 s on for 10 s. Usage: faults [seed].
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
#define FAULT_SPAN (10 * MSP_SECOND)
#define DURATION (40 * MSP_SECOND)
#define WARM_UP (9 * MSP_SECOND)
#define CAP_REQUESTS 200
#define CAP_BYTES 6000000

static double
ms(const msp_histogram_t *histogram, double q)
{
	return (double)msp_quantile(histogram, q) / (double)MSP_MS;
}

/* Time from the end of the fault until the last request that was refused. */
static double
recovery(const dispatch_sim_t *world)
{
	const sim_request_t *request;
	msp_time_t last = FAULT_AT + FAULT_SPAN;

	TAILQ_FOREACH(request, &world->requests, link) {
		if (!request->completed && !request->poison &&
		    request->job.class != MSP_CLASS_BACKGROUND &&
		    request->created_at > last)
			last = request->created_at;
	}
	return (double)(last - FAULT_AT - FAULT_SPAN) / (double)MSP_SECOND;
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
	dispatch_sim_t *world = new_dispatch_sim(&config);
	const dispatch_sim_results_t *r = &world->results;
	uint64_t most_requests = 0, most_bytes = 0;
	uint32_t i, j;

	if (fault != NULL)
		schedule_fault(world, fault, FAULT_AT, FAULT_SPAN);
	run_dispatch_sim(world);
	for (i = 0; i < config.regions; i++) {
		for (j = 0; j < config.regions; j++) {
			const sim_link_t *link = &world->links[i][j];

			if (link->peak_requests > most_requests)
				most_requests = link->peak_requests;
			if (link->peak_bytes > most_bytes)
				most_bytes = link->peak_bytes;
		}
	}
	printf("%-16s %-22s %5.0f %5.0f %6.0f %6.2f %6.2f %6.2f %5.1f %5llu "
	       "%5.2f\n",
	    deployment->service, fault != NULL ? fault->name : "none",
	    ms(&r->latency[0], 0.5), ms(&r->latency[0], 0.99),
	    ms(&r->latency[0], 0.999),
	    100.0 * (double)(r->requests[0] - r->completed[0]) /
		(double)r->requests[0],
	    100.0 * (double)(r->requests[1] - r->completed[1]) /
		(double)r->requests[1],
	    100.0 * (double)(r->requests[2] - r->completed[2]) /
		(double)r->requests[2],
	    recovery(world), (unsigned long long)most_requests,
	    (double)most_bytes / 1e6);
	drop_dispatch_sim(world);
}

int
main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	size_t d;
	int i;

	printf("seed %llu, load 0.7, fault for 10 of 31 s; interactive p50 p99 "
	       "p99.9 in ms; not answered %% interactive, commit, background; "
	       "last failure of these two after the fault in s; most in one "
	       "second between two regions: requests (cap %d), MB (cap %.1f)\n",
	    (unsigned long long)seed, CAP_REQUESTS, CAP_BYTES / 1e6);
	for (d = 0; d < COUNT(deployments); d++) {
		run_fault(&deployments[d], NULL, seed);
		for (i = 0; i < sim_fault_count; i++)
			run_fault(&deployments[d], &sim_faults[i], seed);
	}
	return 0;
}
