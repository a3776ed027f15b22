#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "target_sim.h"

/* Three regions of which one is far smaller, as our users have them. */
static const target_sim_config_t uneven = {
    .regions = 3,
    .targets = {2, 6, 8},
    .vms = 6,
    .slots = 5,
    .queue = 15,
    .memory = 40,
    .objects = 48,
    .work = 200 * MSP_MS,
    .trip = 110 * MSP_MS,
    .goal_ms = 500,
    .timeout_ms = 2000,
};

static double
share(unsigned int part, unsigned int whole)
{
	return whole == 0 ? 0 : (double)part / whole;
}

typedef struct load_case {
	const char *name; /* the pattern */
	target_sim_load_t loads[3];
	msp_time_t from; /* counted from here on */
	msp_time_t until;
	double in_time; /* at least, of all requests */
	double refused; /* at most */
	double cold_work; /* at most */
} load_case_t;

/*
 * 80 slots at 200 ms a request bear 400 requests a second if all objects are
 * warm, and 121 if none is.
 */
static const load_case_t load_cases[] = {
    {"steady, half of the slots", {{0, 20 * MSP_SECOND, 60, -1}},
	8 * MSP_SECOND, 20 * MSP_SECOND, 0.95, 0, 0.05},
    {"start of all, more than cold targets bear",
	{{0, 12 * MSP_SECOND, 70, -1}}, 0, 12 * MSP_SECOND, 0.6, 0.02, 0.2},
    {"burst of 1.7 for three seconds",
	{{0, 30 * MSP_SECOND, 60, -1},
	    {10 * MSP_SECOND, 13 * MSP_SECOND, 42, -1}},
	8 * MSP_SECOND, 30 * MSP_SECOND, 0.85, 0.01, 0.05},
    {"all of a region's clients move to the small one",
	{{0, 30 * MSP_SECOND, 45, -1},
	    {10 * MSP_SECOND, 18 * MSP_SECOND, 45, 0}},
	8 * MSP_SECOND, 30 * MSP_SECOND, 0.85, 0.01, 0.05},
};

static void
loads_are_served(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(load_cases) / sizeof(*load_cases); i++) {
		const load_case_t *load = &load_cases[i];
		target_sim_t *world = new_target_sim(&uneven, i + 1);
		target_sim_result_t result;

		run_target_sim(world, load->loads, 3, load->from);
		take_target_sim_result(world);
		run_target_sim(world, load->loads, 3, load->until);
		result = take_target_sim_result(world);
		print_message("%s: asked %u, in time %.3f, refused %.3f, "
			      "cold work %.3f, far %.3f, worst shift %.3f\n",
		    load->name, result.asked,
		    share(result.in_time, result.asked),
		    share(result.refused, result.asked),
		    share(result.cold_work, result.asked),
		    share(result.far, result.asked), result.worst_shift);
		drop_target_sim(world);
		assert_true(
		    share(result.in_time, result.asked) >= load->in_time);
		assert_true(
		    share(result.refused, result.asked) <= load->refused);
		assert_true(
		    share(result.cold_work, result.asked) <= load->cold_work);
	}
}

/* Twice what warm targets bear: what can't be answered is refused at once. */
static void
an_overload_is_refused_and_what_is_taken_is_answered(void **state)
{
	const target_sim_load_t load = {0, 20 * MSP_SECOND, 270, -1};
	target_sim_t *world = new_target_sim(&uneven, 11);
	target_sim_result_t result;

	(void)state;
	run_target_sim(world, &load, 1, 10 * MSP_SECOND);
	take_target_sim_result(world);
	run_target_sim(world, &load, 1, 20 * MSP_SECOND);
	result = take_target_sim_result(world);
	print_message("overload: answered %.3f, refused %.3f, cold %.3f\n",
	    share(result.in_time + result.late, result.asked),
	    share(result.refused, result.asked),
	    share(result.cold_work, result.asked));
	drop_target_sim(world);
	assert_true(share(result.in_time + result.late, result.asked) >= 0.4);
	assert_true(share(result.cold_work, result.asked) <= 0.05);
}

/* maxShift of our users' deployments is 0.15 of a region's requests in 2 s. */
static void
check_shifts(const target_sim_config_t *shape, double rate, const char *name)
{
	const target_sim_load_t load = {0, 40 * MSP_SECOND, rate, -1};
	uint64_t seed;

	for (seed = 1; seed <= 5; seed++) {
		target_sim_t *world = new_target_sim(shape, seed);
		target_sim_result_t result;

		run_target_sim(world, &load, 1, 40 * MSP_SECOND);
		result = take_target_sim_result(world);
		drop_target_sim(world);
		print_message("%s, seed %d: worst shift %.3f, in time %.3f\n",
		    name, (int)seed, result.worst_shift,
		    share(result.in_time, result.asked));
		assert_true(result.worst_shift <= 0.15);
	}
}

static void
shares_of_regions_move_slowly(void **state)
{
	(void)state;
	check_shifts(&uneven, 60, "with objects");
}

/* One region has too few targets, and no object ties a request to one. */
static void
shares_move_slowly_without_objects(void **state)
{
	target_sim_config_t shape = uneven;

	(void)state;
	shape.without_objects = true;
	check_shifts(&shape, 20, "without objects, calm");
	check_shifts(&shape, 60, "without objects, busy");
}

/* Bound of the rules: coldPerS x 1.5 + 5 in any second. */
static void
a_cold_target_is_not_swamped(void **state)
{
	const target_sim_load_t load = {0, 20 * MSP_SECOND, 100, -1};
	target_sim_t *world = new_target_sim(&uneven, 3);
	target_sim_result_t result;

	(void)state;
	run_target_sim(world, &load, 1, 10 * MSP_SECOND);
	take_target_sim_result(world);
	make_sim_target_cold(world, 5 * MSP_SECOND, 3.4);
	run_target_sim(world, &load, 1, 15 * MSP_SECOND);
	result = take_target_sim_result(world);
	drop_target_sim(world);
	print_message("cold: at most %u a second\n", result.most_a_second);
	assert_in_range(result.most_a_second, 1, 10);
}

static void
a_slow_target_gets_less(void **state)
{
	const target_sim_load_t load = {0, 30 * MSP_SECOND, 60, -1};
	target_sim_t *world = new_target_sim(&uneven, 4);
	target_sim_result_t result;

	(void)state;
	run_target_sim(world, &load, 1, 10 * MSP_SECOND);
	slow_sim_target(world, 5, 10);
	run_target_sim(world, &load, 1, 15 * MSP_SECOND);
	take_target_sim_result(world);
	run_target_sim(world, &load, 1, 25 * MSP_SECOND);
	result = take_target_sim_result(world);
	drop_target_sim(world);
	print_message(
	    "slow target: in time %.3f\n", share(result.in_time, result.asked));
	assert_true(share(result.in_time, result.asked) >= 0.9);
}

static void
an_evacuated_region_gets_nothing(void **state)
{
	const target_sim_load_t load = {0, 20 * MSP_SECOND, 40, -1};
	target_sim_t *world = new_target_sim(&uneven, 5);
	target_sim_result_t result;

	(void)state;
	run_target_sim(world, &load, 1, 8 * MSP_SECOND);
	evacuate_sim_region(world, 0);
	take_target_sim_result(world);
	run_target_sim(world, &load, 1, 16 * MSP_SECOND);
	result = take_target_sim_result(world);
	drop_target_sim(world);
	assert_int_equal(result.most_a_second, 0);
	assert_true(share(result.refused, result.asked) <= 0.01);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(loads_are_served),
	    cmocka_unit_test(
		an_overload_is_refused_and_what_is_taken_is_answered),
	    cmocka_unit_test(shares_of_regions_move_slowly),
	    cmocka_unit_test(shares_move_slowly_without_objects),
	    cmocka_unit_test(a_cold_target_is_not_swamped),
	    cmocka_unit_test(a_slow_target_gets_less),
	    cmocka_unit_test(an_evacuated_region_gets_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
