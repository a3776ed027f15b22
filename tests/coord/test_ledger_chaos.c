#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "ledger_test.h"
#include "release_race.h"

#define SEEDS 60
#define FAULT_TIME (20 * MSP_SECOND)
#define IN_FORCE_BOUND (8 * MSP_SECOND)

/*
 * Sets the last seed and returns the first: 1 to SEEDS or to $MSP_SEEDS, or
 * only $MSP_SEED.
 */
static uint64_t
first_seed(uint64_t *last)
{
	const char *seed_text = getenv("MSP_SEED");
	const char *count = getenv("MSP_SEEDS");

	if (seed_text == NULL) {
		*last = count == NULL ? SEEDS : strtoull(count, NULL, 10);
		return 1;
	}
	*last = strtoull(seed_text, NULL, 10);
	return *last;
}

/*
 * Operators submit notes concurrently, while the store has faults, VMs are
 * killed and places are cut off.
 */
static void
accepted_notes_persist_and_refused_ones_are_never_applied(void **state)
{
	unsigned int accepted = 0;
	unsigned int refused = 0;
	unsigned int in_doubt = 0;
	unsigned int resends = 0;
	const char *violation;
	uint64_t last;
	uint64_t seed;

	(void)state;
	for (seed = first_seed(&last); seed <= last; seed++) {
		release_race_t *race = calloc(1, sizeof(*race));

		assert_non_null(race);
		race->sim.loss_pct = 10;
		race->sim.options.snapshot_every = 8;
		race->sim.options.retained_notes = 64;
		init_release_race(race, seed, 6, 3, 5);
		run_release_race(race, FAULT_TIME, true);
		if (!finish_release_race(race, MSP_MINUTE))
			fail_msg("seed %llu: the VMs did not converge",
			    (unsigned long long)seed);
		violation = check_release_race(race);
		if (violation != NULL)
			fail_msg("seed %llu: %s", (unsigned long long)seed,
			    violation);
		accepted += race->accepted;
		refused += race->refused;
		in_doubt += race->in_doubt_results;
		resends += race->resends;
		clear_release_race(race);
		free(race);
	}
	print_message("seeds %llu: %u accepted, %u refused, %u in doubt, "
		      "%u sent again\n",
	    (unsigned long long)last, accepted, refused, in_doubt, resends);
}

/* All of 23 VMs in 6 places apply a note within 8 s, with 10% message loss. */
static void
note_is_in_force_within_seconds(void **state)
{
	uint64_t last;
	uint64_t seed;

	(void)state;
	for (seed = first_seed(&last); seed <= last / 10 + 1; seed++) {
		ledger_sim_t *sim = calloc(1, sizeof(*sim));
		ledger_submit_result_t result;

		assert_non_null(sim);
		sim->loss_pct = 10;
		init_ledger_sim(sim, seed, 23, 6);
		assert_true(run_ledger_sim_until_converged(sim, SETTLE_TIME));
		submit_and_wait(sim, (unsigned int)(seed % 23),
		    new_region_note(&sim->vms[seed % 23], "n", "r"), &result);
		assert_int_equal(result.status, MSP_OK);
		if (!run_ledger_sim_to_version(sim, 1, IN_FORCE_BOUND))
			fail_msg("seed %llu: not in force after 8 s",
			    (unsigned long long)seed);
		end_test_sim(sim);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		accepted_notes_persist_and_refused_ones_are_never_applied),
	    cmocka_unit_test(note_is_in_force_within_seconds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
