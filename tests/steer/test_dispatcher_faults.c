#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "dispatch_sim.h"

/* Time of the first fault; the simulation starts at 100 s. */
#define FAULT_AT (105 * MSP_SECOND)
#define FAULT_SPAN (4 * MSP_SECOND)
#define DURATION (18 * MSP_SECOND)
/* The requests of this time before the end must succeed. */
#define TAIL (3 * MSP_SECOND)

static dispatch_sim_config_t
two_regions(uint64_t seed)
{
	return (dispatch_sim_config_t){
	    .seed = seed,
	    .regions = 2,
	    .data_centres = 2,
	    .targets = 8,
	    .slots = 4,
	    .load = 0.4,
	    .spillover = true,
	    .cap = {.requests = 40, .bytes = 2000000},
	    .policy = msp_default_policy(MSP_PREFER_LATENCY),
	    .duration = DURATION,
	};
}

/* Checks the invariants under faults; returns the violated one, or NULL. */
static const char *
find_violation(const dispatch_sim_t *sim)
{
	const dispatch_sim_results_t *r = &sim->results;
	uint32_t i, j;

	if (r->duplicate_commits > 0)
		return "a commit reached targets twice";
	if (r->false_not_run > 0)
		return "a refusal said not run, but a target had the request";
	if (r->missing_retry_after > 0)
		return "a refusal had no retry time";
	for (i = 0; i < sim->config.targets; i++) {
		if (sim->targets[i].late_starts > 0)
			return "a leaving target got new requests after 3 s";
	}
	for (i = 0; i < sim->config.regions; i++) {
		for (j = 0; j < sim->config.regions; j++) {
			if (sim->links[i][j].peak_requests >
			    sim->config.cap.requests)
				return "a shift exceeded its cap of requests";
			if (sim->links[i][j].peak_bytes > sim->config.cap.bytes)
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
check_recovery(const dispatch_sim_t *sim)
{
	const sim_request_t *request;
	msp_dispatcher_load_t load;
	uint32_t sent = 0, completed = 0, i;

	TAILQ_FOREACH(request, &sim->requests, link) {
		if (!request->ended)
			return "a request never got its final response";
		if (request->poison ||
		    request->created_at + TAIL < sim->stop_at)
			continue;
		sent++;
		completed += request->completed;
	}
	for (i = 0; i < sim->place_count; i++) {
		msp_get_dispatcher_load(sim->places[i].dispatcher, &load);
		if (load.in_flight > 0 ||
		    load.queued[0] + load.queued[1] + load.queued[2] > 0)
			return "a dispatcher still counts jobs or attempts";
	}
	if (completed * 100 < sent * 98)
		return "the service did not recover";
	return NULL;
}

static int
run_faults(const sim_fault_t *a, const sim_fault_t *b, uint64_t seed)
{
	dispatch_sim_config_t config = two_regions(seed);
	dispatch_sim_t *sim = new_dispatch_sim(&config);
	const char *wrong;

	schedule_fault(sim, a, FAULT_AT, FAULT_SPAN);
	if (b != NULL)
		schedule_fault(sim, b, FAULT_AT + MSP_SECOND, FAULT_SPAN);
	run_dispatch_sim(sim);
	wrong = find_violation(sim);
	if (wrong == NULL)
		wrong = check_recovery(sim);
	if (wrong != NULL)
		print_message("%s with %s, seed %llu: %s\n", a->name,
		    b != NULL ? b->name : "nothing", (unsigned long long)seed,
		    wrong);
	drop_dispatch_sim(sim);
	return wrong != NULL;
}

static void
service_recovers_from_each_fault(void **state)
{
	int wrong = 0;
	int i;
	uint64_t seed;

	(void)state;
	for (i = 0; i < sim_fault_count; i++) {
		for (seed = 1; seed <= 3; seed++)
			wrong += run_faults(&sim_faults[i], NULL, seed);
	}
	assert_int_equal(wrong, 0);
}

static void
service_recovers_from_two_faults(void **state)
{
	int wrong = 0;
	int i, j;

	(void)state;
	for (i = 0; i < sim_fault_count; i++) {
		for (j = 0; j < sim_fault_count; j++) {
			if (i != j)
				wrong +=
				    run_faults(&sim_faults[i], &sim_faults[j],
					(uint64_t)i * 100 + (uint64_t)j);
		}
	}
	assert_int_equal(wrong, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(service_recovers_from_each_fault),
	    cmocka_unit_test(service_recovers_from_two_faults),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
