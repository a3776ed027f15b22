#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "world.h"

#define FAULT_AT (105 * MSP_SECOND)
#define FAULT_SPAN (4 * MSP_SECOND)
#define DURATION (18 * MSP_SECOND)
#define TAIL (3 * MSP_SECOND)

static world_config_t
two_regions(uint64_t seed)
{
	return (world_config_t){
	    .seed = seed,
	    .regions = 2,
	    .centres = 2,
	    .targets = 8,
	    .slots = 4,
	    .load = 0.4,
	    .shifts = true,
	    .cap = {.requests = 40, .bytes = 2000000},
	    .policy = msp_default_policy(MSP_PREFER_LATENCY),
	    .duration = DURATION,
	};
}

/* Checks the invariants under faults; returns the violated one, or NULL. */
static const char *
find_violation(const world_t *world)
{
	const world_results_t *r = &world->results;
	uint32_t i, j;

	if (r->doubled > 0)
		return "a commit reached targets twice";
	if (r->false_no > 0)
		return "a refusal said not run, but a target had the request";
	if (r->no_return_time > 0)
		return "a refusal had no retry time";
	for (i = 0; i < world->config.targets; i++) {
		if (world->targets[i].late_starts > 0)
			return "a leaving target got new requests after 3 s";
	}
	for (i = 0; i < world->config.regions; i++) {
		for (j = 0; j < world->config.regions; j++) {
			if (world->links[i][j].most_requests >
			    world->config.cap.requests)
				return "a shift exceeded its cap of requests";
			if (world->links[i][j].most_bytes >
			    world->config.cap.bytes)
				return "a shift exceeded its cap of bytes";
		}
	}
	return NULL;
}

/*
 * Checks that all requests and attempts have ended and that the last requests
 * succeeded; returns what is wrong, or NULL.
 */
static const char *
check_recovery(const world_t *world)
{
	const world_request_t *request;
	msp_dispatcher_load_t load;
	uint32_t asked = 0, whole = 0, i;

	TAILQ_FOREACH(request, &world->requests, link) {
		if (!request->over)
			return "a request never got its final response";
		if (request->poison || request->born + TAIL < world->stop_at)
			continue;
		asked++;
		whole += request->whole;
	}
	for (i = 0; i < world->place_count; i++) {
		msp_get_dispatcher_load(world->places[i].dispatcher, &load);
		if (load.in_flight > 0 ||
		    load.queued[0] + load.queued[1] + load.queued[2] > 0)
			return "a dispatcher still counts jobs or attempts";
	}
	if (whole * 100 < asked * 98)
		return "the service did not recover";
	return NULL;
}

static int
run_faults(const world_fault_t *a, const world_fault_t *b, uint64_t seed)
{
	world_config_t config = two_regions(seed);
	world_t *world = new_world(&config);
	const char *wrong;

	put_fault(world, a, FAULT_AT, FAULT_SPAN);
	if (b != NULL)
		put_fault(world, b, FAULT_AT + MSP_SECOND, FAULT_SPAN);
	run_world(world);
	wrong = find_violation(world);
	if (wrong == NULL)
		wrong = check_recovery(world);
	if (wrong != NULL)
		print_message("%s with %s, seed %llu: %s\n", a->name,
		    b != NULL ? b->name : "nothing", (unsigned long long)seed,
		    wrong);
	drop_world(world);
	return wrong != NULL;
}

static void
each_fault_alone(void **state)
{
	int wrong = 0;
	int i;
	uint64_t seed;

	(void)state;
	for (i = 0; i < world_fault_count; i++) {
		for (seed = 1; seed <= 3; seed++)
			wrong += run_faults(&world_faults[i], NULL, seed);
	}
	assert_int_equal(wrong, 0);
}

static void
faults_in_pairs(void **state)
{
	int wrong = 0;
	int i, j;

	(void)state;
	for (i = 0; i < world_fault_count; i++) {
		for (j = 0; j < world_fault_count; j++) {
			if (i != j)
				wrong += run_faults(&world_faults[i],
				    &world_faults[j],
				    (uint64_t)i * 100 + (uint64_t)j);
		}
	}
	assert_int_equal(wrong, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(each_fault_alone),
	    cmocka_unit_test(faults_in_pairs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
