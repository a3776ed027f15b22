#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "target_sim.h"

/* Three regions of which one is far smaller, as users run them. */
static const target_sim_config_t uneven_regions = {
    .regions = 3,
    .targets = {2, 6, 8},
    .vms = 6,
    .slots = 5,
    .queue_max = 15,
    .cache_size = 40,
    .objects = 48,
    .service_time = 200 * MSP_MS,
    .rtt = 110 * MSP_MS,
    .goal_ms = 500,
    .timeout_ms = 2000,
};

static double
share(unsigned int part, unsigned int whole)
{
	return whole == 0 ? 0 : (double)part / whole;
}

typedef struct load_case {
	const char *name;
	target_sim_load_t loads[3];
	msp_time_t from; /* start of the counted requests */
	msp_time_t until;
	/* Limits, as fractions of all requests. */
	double in_time; /* at least */
	double refused; /* at most */
	double cache_misses; /* at most */
} load_case_t;

/*
 * 80 slots at 200 ms per request serve 400 requests per second if all objects
 * are cached, and 121 if none is.
 */
static const load_case_t load_cases[] = {
    {"steady, half of the slots", {{0, 20 * MSP_SECOND, 60, -1}},
	8 * MSP_SECOND, 20 * MSP_SECOND, 0.95, 0, 0.05},
    {"all targets start, more requests than they serve uncached",
	{{0, 12 * MSP_SECOND, 70, -1}}, 0, 12 * MSP_SECOND, 0.6, 0.02, 0.2},
    {"burst to 1.7 times the rate for three seconds",
	{{0, 30 * MSP_SECOND, 60, -1},
	    {10 * MSP_SECOND, 13 * MSP_SECOND, 42, -1}},
	8 * MSP_SECOND, 30 * MSP_SECOND, 0.85, 0.01, 0.05},
    {"the clients of one region move to the small region",
	{{0, 30 * MSP_SECOND, 45, -1},
	    {10 * MSP_SECOND, 18 * MSP_SECOND, 45, 0}},
	8 * MSP_SECOND, 30 * MSP_SECOND, 0.85, 0.01, 0.05},
};

static void
load_patterns_are_served(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(load_cases) / sizeof(*load_cases); i++) {
		const load_case_t *load = &load_cases[i];
		target_sim_t *sim = new_target_sim(&uneven_regions, i + 1);
		target_sim_result_t result;

		run_target_sim(sim, load->loads, 3, load->from);
		take_target_sim_result(sim);
		run_target_sim(sim, load->loads, 3, load->until);
		result = take_target_sim_result(sim);
		print_message(
		    "%s: sent %u, in time %.3f, refused %.3f, "
		    "cache misses %.3f, remote %.3f, worst shift %.3f\n",
		    load->name, result.sent, share(result.in_time, result.sent),
		    share(result.refused, result.sent),
		    share(result.cache_misses, result.sent),
		    share(result.remote, result.sent), result.worst_shift);
		drop_target_sim(sim);
		assert_true(
		    share(result.in_time, result.sent) >= load->in_time);
		assert_true(
		    share(result.refused, result.sent) <= load->refused);
		assert_true(share(result.cache_misses, result.sent) <=
		    load->cache_misses);
	}
}

/*
 * At twice the capacity of warm targets, requests that cannot be answered in
 * time must be refused instead of slowing down the others.
 */
static void
overload_is_refused_and_admitted_requests_are_answered(void **state)
{
	const target_sim_load_t load = {0, 20 * MSP_SECOND, 270, -1};
	target_sim_t *sim = new_target_sim(&uneven_regions, 11);
	target_sim_result_t result;

	(void)state;
	run_target_sim(sim, &load, 1, 10 * MSP_SECOND);
	take_target_sim_result(sim);
	run_target_sim(sim, &load, 1, 20 * MSP_SECOND);
	result = take_target_sim_result(sim);
	print_message("overload: answered %.3f, refused %.3f, misses %.3f\n",
	    share(result.in_time + result.late, result.sent),
	    share(result.refused, result.sent),
	    share(result.cache_misses, result.sent));
	drop_target_sim(sim);
	assert_true(share(result.in_time + result.late, result.sent) >= 0.4);
	assert_true(share(result.cache_misses, result.sent) <= 0.05);
}

/*
 * Deployments limit maxShift, the change of the shares of a region's requests
 * within 2 s, to 0.15.
 */
static void
check_shifts(const target_sim_config_t *config, double rate, const char *name)
{
	const target_sim_load_t load = {0, 40 * MSP_SECOND, rate, -1};
	uint64_t seed;

	for (seed = 1; seed <= 5; seed++) {
		target_sim_t *sim = new_target_sim(config, seed);
		target_sim_result_t result;

		run_target_sim(sim, &load, 1, 40 * MSP_SECOND);
		result = take_target_sim_result(sim);
		drop_target_sim(sim);
		print_message("%s, seed %d: worst shift %.3f, in time %.3f\n",
		    name, (int)seed, result.worst_shift,
		    share(result.in_time, result.sent));
		assert_true(result.worst_shift <= 0.15);
	}
}

static void
shares_of_regions_move_slowly(void **state)
{
	(void)state;
	check_shifts(&uneven_regions, 60, "with objects");
}

/* One region has too few targets, and no object assigns requests to targets. */
static void
shares_move_slowly_without_objects(void **state)
{
	target_sim_config_t config = uneven_regions;

	(void)state;
	config.without_objects = true;
	check_shifts(&config, 20, "without objects, calm");
	check_shifts(&config, 60, "without objects, busy");
}

/* At most coldPerS x 1.5 + 5 requests are allowed in any second. */
static void
requests_to_a_cold_target_are_limited(void **state)
{
	const target_sim_load_t load = {0, 20 * MSP_SECOND, 100, -1};
	target_sim_t *sim = new_target_sim(&uneven_regions, 3);
	target_sim_result_t result;

	(void)state;
	run_target_sim(sim, &load, 1, 10 * MSP_SECOND);
	take_target_sim_result(sim);
	make_sim_target_cold(sim, 5 * MSP_SECOND, 3.4);
	run_target_sim(sim, &load, 1, 15 * MSP_SECOND);
	result = take_target_sim_result(sim);
	drop_target_sim(sim);
	print_message(
	    "cold target: at most %u requests per second\n", result.peak_rate);
	assert_in_range(result.peak_rate, 1, 10);
}

static void
a_slow_target_gets_fewer_requests(void **state)
{
	const target_sim_load_t load = {0, 30 * MSP_SECOND, 60, -1};
	target_sim_t *sim = new_target_sim(&uneven_regions, 4);
	target_sim_result_t result;

	(void)state;
	run_target_sim(sim, &load, 1, 10 * MSP_SECOND);
	slow_sim_target(sim, 5, 10);
	run_target_sim(sim, &load, 1, 15 * MSP_SECOND);
	take_target_sim_result(sim);
	run_target_sim(sim, &load, 1, 25 * MSP_SECOND);
	result = take_target_sim_result(sim);
	drop_target_sim(sim);
	print_message(
	    "slow target: in time %.3f\n", share(result.in_time, result.sent));
	assert_true(share(result.in_time, result.sent) >= 0.9);
}

static void
an_evacuated_region_gets_no_requests(void **state)
{
	const target_sim_load_t load = {0, 20 * MSP_SECOND, 40, -1};
	target_sim_t *sim = new_target_sim(&uneven_regions, 5);
	target_sim_result_t result;

	(void)state;
	run_target_sim(sim, &load, 1, 8 * MSP_SECOND);
	evacuate_sim_region(sim, 0);
	take_target_sim_result(sim);
	run_target_sim(sim, &load, 1, 16 * MSP_SECOND);
	result = take_target_sim_result(sim);
	drop_target_sim(sim);
	assert_int_equal(result.peak_rate, 0);
	assert_true(share(result.refused, result.sent) <= 0.01);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(load_patterns_are_served),
	    cmocka_unit_test(
		overload_is_refused_and_admitted_requests_are_answered),
	    cmocka_unit_test(shares_of_regions_move_slowly),
	    cmocka_unit_test(shares_move_slowly_without_objects),
	    cmocka_unit_test(requests_to_a_cold_target_are_limited),
	    cmocka_unit_test(a_slow_target_gets_fewer_requests),
	    cmocka_unit_test(an_evacuated_region_gets_no_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
