#include <stdio.h>
#include <stdlib.h>

#include "world.h"

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

static double
ms(const msp_histogram_t *histogram, double q)
{
	return (double)msp_quantile(histogram, q) / (double)MSP_MS;
}

static void
print_row(const world_t *world, const deployment_t *deployment,
    const char *name, double load)
{
	const world_results_t *r = &world->results;
	uint64_t whole = r->whole[0] + r->whole[1] + r->whole[2];
	uint64_t asked = r->asked[0] + r->asked[1] + r->asked[2];

	printf("%-16s %4.2f %-10s", deployment->service, load, name);
	for (int i = 0; i < MSP_CLASS_COUNT; i++)
		printf(" %5.0f %5.0f %5.0f", ms(&r->latency[i], 0.5),
		    ms(&r->latency[i], 0.99), ms(&r->latency[i], 0.999));
	printf(" %3d %3d %3d %3d %5.1f %6.0f",
	    (int)msp_quantile(&r->target_use, 0.99), (int)r->target_use.max,
	    (int)msp_quantile(&r->region_use, 0.99), (int)r->region_use.max,
	    r->attempts > 0 ? 100.0 * (double)r->sheds / (double)r->attempts
			    : 0,
	    (double)whole / ((double)(DURATION - WARM_UP) / 1e6));
	for (int i = 0; i < MSP_CLASS_COUNT; i++)
		printf(" %5.1f",
		    100.0 * (double)r->refused[i] / (double)r->asked[i]);
	printf(" %5.1f\n", 100.0 * (double)r->shifted / (double)asked);
}

static void
run_one(const deployment_t *deployment, double load, double skew, uint64_t seed,
    world_mode_t mode, const char *name)
{
	world_config_t config = {
	    .seed = seed,
	    .mode = mode,
	    .regions = 3,
	    .centres = 2,
	    .targets = deployment->targets,
	    .slots = deployment->slots,
	    .load = load,
	    .skew = skew,
	    .shifts = true,
	    .cap = {.requests = 2000, .bytes = 100000000},
	    .policy = msp_default_policy(deployment->preference),
	    .duration = DURATION,
	    .warm_up = WARM_UP,
	};
	world_t *world = new_world(&config);

	run_world(world);
	print_row(world, deployment, name, load);
	drop_world(world);
}

int
main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;

	printf("seed %llu; latency in ms, p50 p99 p99.9 for interactive, "
	       "commit, background; slots in use %%: target p99 max, region "
	       "p99 max; sheds %% of attempts; whole/s; refused %% by class; "
	       "shifted %%\n",
	    (unsigned long long)seed);
	for (size_t d = 0; d < COUNT(deployments); d++) {
		for (size_t l = 0; l < COUNT(loads); l++) {
			for (int mode = 0; mode < 3; mode++)
				run_one(&deployments[d], loads[l], 0, seed,
				    (world_mode_t)mode, mode_names[mode]);
		}
		puts("half of the demand in one region:");
		for (int mode = 0; mode < 3; mode++)
			run_one(&deployments[d], 0.7, 0.5, seed,
			    (world_mode_t)mode, mode_names[mode]);
	}
	return 0;
}
