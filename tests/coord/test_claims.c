#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "commit_world.h"

#define SEEDS_PER_FAULT 60
#define SEEDS_PER_PAIR 24

/*
 * Draws the pattern, whether attempts are numbered, and who issued the keys, so
 * that the seeds cover all combinations.
 */
static scenario_t
draw_scenario(uint64_t seed, fault_t first, fault_t second)
{
	msp_rng_t rng = {.state = seed};

	return (scenario_t){
	    .seed = msp_next_random(&rng),
	    .faults = {first, second},
	    .pattern = (pattern_t)(msp_next_random(&rng) % PATTERN_COUNT),
	    .marked = msp_next_random(&rng) % 2 == 0,
	    .issued = msp_next_random(&rng) % 3 == 0,
	};
}

static void
print_row(const char *a, const char *b, unsigned int simulations,
    const result_t *result)
{
	printf("%-34s %-34s %6u %6u %6u %6u %6u %6u  %s\n", a, b, simulations,
	    result->runs, result->answered, result->said_no,
	    result->said_unknown, result->unanswered,
	    is_commit_broken(result) ? result->what : "held");
}

static void
print_header(void)
{
	printf("%-34s %-34s %6s %6s %6s %6s %6s %6s  %s\n", "fault",
	    "second fault", "sims", "runs", "answer", "no", "unkn.", "lost",
	    "guarantees");
}

static void
print_reasons(const reasons_t *reasons)
{
	unsigned int i;

	printf("\"run: unknown\" by reason:\n");
	for (i = 0; i < reasons->used; i++)
		printf("%8u  %s\n", reasons->count[i], reasons->text[i]);
}

static result_t
run_case(fault_t first, fault_t second, unsigned int seeds, reasons_t *reasons)
{
	result_t sum = {0};
	unsigned int i;

	for (i = 0; i < seeds; i++) {
		uint64_t seed =
		    ((uint64_t)first * FAULT_COUNT + second) * 100000 + i;
		scenario_t scenario = draw_scenario(seed, first, second);
		result_t result = run_commit_world(&scenario, reasons);

		add_commit_result(&sum, &result);
	}
	return sum;
}

static void
guarantees_hold_under_each_fault(void **state)
{
	reasons_t reasons = {0};
	unsigned int violated = 0;
	unsigned int i;

	(void)state;
	print_header();
	for (i = 0; i < FAULT_COUNT; i++) {
		result_t sum =
		    run_case((fault_t)i, FAULT_NONE, SEEDS_PER_FAULT, &reasons);

		print_row(
		    commit_fault_name((fault_t)i), "", SEEDS_PER_FAULT, &sum);
		violated += is_commit_broken(&sum);
	}
	print_reasons(&reasons);
	assert_int_equal(violated, 0);
}

static void
guarantees_hold_under_each_pair_of_faults(void **state)
{
	reasons_t reasons = {0};
	unsigned int violated = 0;
	unsigned int simulations = 0;
	unsigned int i;
	unsigned int k;

	(void)state;
	print_header();
	for (i = 1; i < FAULT_COUNT; i++) {
		for (k = i; k < FAULT_COUNT; k++) {
			result_t sum = run_case(
			    (fault_t)i, (fault_t)k, SEEDS_PER_PAIR, &reasons);

			simulations += SEEDS_PER_PAIR;
			print_row(commit_fault_name((fault_t)i),
			    commit_fault_name((fault_t)k), SEEDS_PER_PAIR,
			    &sum);
			violated += is_commit_broken(&sum);
		}
	}
	print_reasons(&reasons);
	printf("%u simulations of pairs\n", simulations);
	assert_int_equal(violated, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(guarantees_hold_under_each_fault),
	    cmocka_unit_test(guarantees_hold_under_each_pair_of_faults),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
