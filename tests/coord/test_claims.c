#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "claim_sim.h"

#define SEEDS_PER_FAULT 60
#define SEEDS_PER_PAIR 24

/*
 * Draws the pattern, whether attempts are numbered, and who issued the keys, so
 * that the seeds cover all combinations.
 */
static claim_scenario_t
draw_scenario(uint64_t seed, claim_fault_t first, claim_fault_t second)
{
	msp_rng_t rng = {.state = seed};

	return (claim_scenario_t){
	    .seed = msp_next_random(&rng),
	    .faults = {first, second},
	    .pattern = (resend_pattern_t)(msp_next_random(&rng) %
		RESEND_PATTERN_COUNT),
	    .numbered_attempts = msp_next_random(&rng) % 2 == 0,
	    .issued_keys = msp_next_random(&rng) % 3 == 0,
	};
}

static void
print_row(const char *a, const char *b, unsigned int simulations,
    const claim_sim_result_t *result)
{
	printf("%-34s %-34s %6u %6u %6u %6u %6u %6u  %s\n", a, b, simulations,
	    result->runs, result->answered, result->not_run_reported,
	    result->unknown_reported, result->unanswered,
	    has_claim_violation(result) ? result->first_violation : "held");
}

static void
print_header(void)
{
	printf("%-34s %-34s %6s %6s %6s %6s %6s %6s  %s\n", "fault",
	    "second fault", "sims", "runs", "answer", "no", "unkn.", "lost",
	    "guarantees");
}

static void
print_reasons(const reason_counts_t *reasons)
{
	unsigned int i;

	printf("\"run: unknown\" by reason:\n");
	for (i = 0; i < reasons->reason_count; i++)
		printf("%8u  %s\n", reasons->count[i], reasons->text[i]);
}

static claim_sim_result_t
run_case(claim_fault_t first, claim_fault_t second, unsigned int seeds,
    reason_counts_t *reasons)
{
	claim_sim_result_t sum = {0};
	unsigned int i;

	for (i = 0; i < seeds; i++) {
		uint64_t seed =
		    ((uint64_t)first * CLAIM_FAULT_COUNT + second) * 100000 + i;
		claim_scenario_t scenario = draw_scenario(seed, first, second);
		claim_sim_result_t result = run_claim_sim(&scenario, reasons);

		add_claim_sim_result(&sum, &result);
	}
	return sum;
}

static void
guarantees_hold_under_each_fault(void **state)
{
	reason_counts_t reasons = {0};
	unsigned int violated = 0;
	unsigned int i;

	(void)state;
	print_header();
	for (i = 0; i < CLAIM_FAULT_COUNT; i++) {
		claim_sim_result_t sum = run_case((claim_fault_t)i,
		    CLAIM_FAULT_NONE, SEEDS_PER_FAULT, &reasons);

		print_row(get_claim_fault_name((claim_fault_t)i), "",
		    SEEDS_PER_FAULT, &sum);
		violated += has_claim_violation(&sum);
	}
	print_reasons(&reasons);
	assert_int_equal(violated, 0);
}

static void
guarantees_hold_under_each_pair_of_faults(void **state)
{
	reason_counts_t reasons = {0};
	unsigned int violated = 0;
	unsigned int simulations = 0;
	unsigned int i;
	unsigned int k;

	(void)state;
	print_header();
	for (i = 1; i < CLAIM_FAULT_COUNT; i++) {
		for (k = i; k < CLAIM_FAULT_COUNT; k++) {
			claim_sim_result_t sum = run_case((claim_fault_t)i,
			    (claim_fault_t)k, SEEDS_PER_PAIR, &reasons);

			simulations += SEEDS_PER_PAIR;
			print_row(get_claim_fault_name((claim_fault_t)i),
			    get_claim_fault_name((claim_fault_t)k),
			    SEEDS_PER_PAIR, &sum);
			violated += has_claim_violation(&sum);
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
