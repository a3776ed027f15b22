#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "dispatch_sim.h"

#define SEEDS 1000
#define START (100 * MSP_SECOND)

static dispatch_sim_config_t
one_place(uint64_t seed, double load, msp_time_t duration)
{
	return (dispatch_sim_config_t){
	    .seed = seed,
	    .regions = 1,
	    .data_centres = 1,
	    .targets = 3,
	    .slots = 3,
	    .load = load,
	    .policy = msp_default_policy(MSP_PREFER_LATENCY),
	    .duration = duration,
	};
}

static void
start_leaving(dispatch_sim_t *sim, void *arg)
{
	fake_target_t *target = arg;

	(void)sim;
	target->leaving_since = sim->venv.now;
}

static void
report_leaving(dispatch_sim_t *sim, void *arg)
{
	fake_target_t *target = arg;

	target->leaving_since = sim->venv.now - 3 * MSP_SECOND;
	msp_apply_load_report(sim->places[0].dispatcher, target->name, 3, 1,
	    MSP_TARGET_LEAVING, 0);
}

static void
list_leaving(dispatch_sim_t *sim, void *arg)
{
	fake_target_t *target = arg;

	target->leaving_since = sim->venv.now - 3 * MSP_SECOND;
	target->leaving = true;
	update_target_list(&sim->places[0]);
}

static void
list_unchanged(dispatch_sim_t *sim, void *arg)
{
	(void)arg;
	update_target_list(&sim->places[0]);
}

/*
 * A dispatcher sends no new requests once it knows that a target is leaving,
 * and so none from 3 s after the target began to leave.
 */
static void
leaving_target_gets_no_new_requests(void **state)
{
	uint64_t seed, late = 0;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		dispatch_sim_config_t config = one_place(seed, 0.8, MSP_SECOND);
		dispatch_sim_t *sim = new_dispatch_sim(&config);
		fake_target_t *target = &sim->targets[seed % 3];
		msp_time_t at = START + (seed % 7) * 50 * MSP_MS;

		schedule_sim_event(sim, at, start_leaving, target);
		schedule_sim_event(sim, at + 200 * MSP_MS,
		    seed % 2 ? report_leaving : list_leaving, target);
		/* A list without the new state must not undo the report. */
		schedule_sim_event(
		    sim, at + 300 * MSP_MS, list_unchanged, NULL);
		run_dispatch_sim(sim);
		late += target->late_starts;
		drop_dispatch_sim(sim);
	}
	assert_int_equal(late, 0);
}

static dispatch_sim_t *
run_with_faults(uint64_t seed)
{
	dispatch_sim_config_t config = one_place(seed, 0.9, 1500 * MSP_MS);
	dispatch_sim_t *sim = new_dispatch_sim(&config);
	int a = (int)(seed % (uint64_t)sim_fault_count);
	int b = (int)(seed / 7 % (uint64_t)sim_fault_count);

	schedule_fault(sim, &sim_faults[a], START + 300 * MSP_MS, 400 * MSP_MS);
	if (a != b)
		schedule_fault(
		    sim, &sim_faults[b], START + 500 * MSP_MS, 400 * MSP_MS);
	run_dispatch_sim(sim);
	return sim;
}

static void
commit_reaches_a_target_at_most_once(void **state)
{
	uint64_t seed, duplicates = 0, commits = 0;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		dispatch_sim_t *sim = run_with_faults(seed);

		duplicates += sim->results.duplicate_commits;
		commits += sim->results.requests[MSP_CLASS_COMMIT];
		drop_dispatch_sim(sim);
	}
	print_message("%llu commits\n", (unsigned long long)commits);
	assert_int_equal(duplicates, 0);
}

static void
requests_refused_as_not_run_did_not_run(void **state)
{
	uint64_t seed, wrong = 0, refused = 0;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		dispatch_sim_t *sim = run_with_faults(seed);
		const dispatch_sim_results_t *r = &sim->results;

		wrong += r->false_not_run;
		refused += r->refused[0] + r->refused[1] + r->refused[2];
		drop_dispatch_sim(sim);
	}
	print_message("%llu refusals\n", (unsigned long long)refused);
	assert_int_equal(wrong, 0);
}

/*
 * While no target fails, requests are refused on arrival or not at all; after a
 * loss of targets, as soon as it is known.
 */
static void
overload_is_refused_at_once(void **state)
{
	uint64_t seed, refused = 0, without_time = 0;
	msp_time_t latest[MSP_CLASS_COUNT] = {0};
	int i;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		dispatch_sim_config_t config =
		    one_place(seed, 3, 1500 * MSP_MS);
		dispatch_sim_t *sim;

		config.policy.max_wait = seed % 2 ? 300 * MSP_MS : 0;
		sim = new_dispatch_sim(&config);
		run_dispatch_sim(sim);
		for (i = 0; i < MSP_CLASS_COUNT; i++) {
			msp_time_t age = sim->results.max_refusal_age[i];

			if (age > latest[i])
				latest[i] = age;
		}
		without_time += sim->results.missing_retry_after;
		refused += sim->results.refused[0];
		drop_dispatch_sim(sim);
	}
	print_message("%llu refusals, the latest after %llu, %llu, %llu us\n",
	    (unsigned long long)refused, (unsigned long long)latest[0],
	    (unsigned long long)latest[1], (unsigned long long)latest[2]);
	assert_int_equal(without_time, 0);
	assert_true(refused > 0);
	assert_true(latest[MSP_CLASS_INTERACTIVE] <= 20 * MSP_MS);
	assert_true(latest[MSP_CLASS_COMMIT] <= 20 * MSP_MS);
	/* Of 30 s: a background job may wait for the other jobs to end. */
	assert_true(latest[MSP_CLASS_BACKGROUND] <= 15 * MSP_SECOND);
}

static void
no_region_is_overloaded_by_shifts(void **state)
{
	uint64_t seed, refused = 0, shifted = 0;
	msp_time_t wait = 0;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		dispatch_sim_config_t config = {
		    .seed = seed,
		    .regions = 2,
		    .data_centres = 1,
		    .targets = 6,
		    .slots = 3,
		    .load = 0.9,
		    .skew = 0.75,
		    .spillover = true,
		    .cap = {.requests = 1000, .bytes = 100000000},
		    .policy = msp_default_policy(MSP_PREFER_LATENCY),
		    .service_mean = 100 * MSP_MS,
		    .duration = 6 * MSP_SECOND,
		};
		dispatch_sim_t *sim = new_dispatch_sim(&config);

		run_dispatch_sim(sim);
		refused += sim->results.other_region_refusals;
		shifted += sim->results.shifted;
		if (sim->results.other_region_max_wait > wait)
			wait = sim->results.other_region_max_wait;
		drop_dispatch_sim(sim);
	}
	print_message("%llu shifted; clients of the receiver waited at most "
		      "%llu ms\n",
	    (unsigned long long)shifted, (unsigned long long)(wait / MSP_MS));
	assert_true(shifted > SEEDS);
	assert_int_equal(refused, 0);
	assert_true(wait <= 300 * MSP_MS);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(leaving_target_gets_no_new_requests),
	    cmocka_unit_test(commit_reaches_a_target_at_most_once),
	    cmocka_unit_test(requests_refused_as_not_run_did_not_run),
	    cmocka_unit_test(overload_is_refused_at_once),
	    cmocka_unit_test(no_region_is_overloaded_by_shifts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
