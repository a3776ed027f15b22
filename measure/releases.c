/*
 * Release notes on the virtual clock: time until in force everywhere, and
 * racing operators with and without rebase. Argument: the first seed.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ledger_sim.h"
#include "release_race.h"

#define VMS 23
#define PLACES 6
#define SEEDS 20
#define NOTES 10 /* of each seed */
#define BOUND (60 * MSP_SECOND)
#define CUT_SPAN (30 * MSP_SECOND)
#define RACE_SPAN (20 * MSP_SECOND)
#define OPERATORS 8

/* One situation that notes are committed in. */
typedef struct situation {
	const char *name;
	unsigned int loss_pct;
	bool cut; /* one place, healed after CUT_SPAN; counted from then */
	bool store_down; /* from the commit on */
} situation_t;

static const situation_t situations[] = {
    {"no loss", 0, false, false},
    {"10% lost", 10, false, false},
    {"30% lost", 30, false, false},
    {"10% lost, store down after it", 10, false, true},
    {"10% lost, a place cut, healed", 10, true, false},
    {"the same, store down", 10, true, true},
};

static bool
commit_region(ledger_sim_t *fleet, unsigned int vm, unsigned int number)
{
	msp_time_t end = fleet->clock.now + BOUND;
	ledger_submit_result_t result = {0};
	char name[16];
	msp_note_t *note;

	snprintf(name, sizeof(name), "r%u", number);
	note = new_region_note(&fleet->vms[vm], name, name);
	msp_submit_new_note(
	    fleet->vms[vm].ledger, note, copy_submit_result, &result);
	msp_drop_note(note);
	while (!result.ended && fleet->clock.now < end)
		run_ledger_sim(fleet, fleet->step);
	return result.ended && result.status == MSP_OK;
}

/* Returns the time from acceptance, or from healing, until in force at all. */
static msp_time_t
time_note(
    ledger_sim_t *fleet, const situation_t *situation, unsigned int number)
{
	msp_store_faults_t *faults = msp_memory_store_faults(fleet->store);
	/* The cut place is 0; the committing VM is in another. */
	unsigned int vm = 1 + number % (PLACES - 1);
	msp_time_t start;

	if (situation->cut)
		set_place_isolated(fleet, 0, true, true);
	if (!commit_region(fleet, vm, number))
		return MSP_NEVER;
	start = fleet->clock.now;
	faults->down = situation->store_down;
	if (situation->cut) {
		run_ledger_sim(fleet, CUT_SPAN);
		set_place_isolated(fleet, 0, false, false);
		start = fleet->clock.now;
	}
	if (!run_ledger_sim_to_version(fleet, number + 1, BOUND))
		return MSP_NEVER;
	faults->down = false;
	start = fleet->clock.now - start;
	run_ledger_sim(fleet, MSP_SECOND);
	return start;
}

static void
measure_situation(const situation_t *situation, uint64_t first_seed)
{
	static msp_histogram_t times;
	unsigned int never = 0;
	uint64_t seed;
	unsigned int i;

	memset(&times, 0, sizeof(times));
	for (seed = first_seed; seed < first_seed + SEEDS; seed++) {
		ledger_sim_t *fleet = calloc(1, sizeof(*fleet));

		if (fleet == NULL)
			abort();
		fleet->loss_pct = situation->loss_pct;
		init_ledger_sim(fleet, seed, VMS, PLACES);
		run_ledger_sim_until_converged(fleet, BOUND);
		for (i = 0; i < NOTES; i++) {
			msp_time_t span = time_note(fleet, situation, i);

			if (span == MSP_NEVER) {
				never++;
				break;
			}
			msp_record_value(&times, span / MSP_MS);
		}
		clear_ledger_sim(fleet);
		free(fleet);
	}
	printf("%-32s %6llu %6llu %6llu %6llu %6u\n", situation->name,
	    (unsigned long long)times.count,
	    (unsigned long long)msp_quantile(&times, 0.5),
	    (unsigned long long)msp_quantile(&times, 0.99),
	    (unsigned long long)times.max, never);
}

static void
measure_race(uint64_t seed, unsigned int items, bool rebase)
{
	release_race_t *race = calloc(1, sizeof(*race));
	msp_time_t start;
	double seconds;

	if (race == NULL)
		abort();
	race->items = items;
	race->sim.options.no_rebase = !rebase;
	race->sim.loss_pct = 10;
	init_release_race(race, seed, VMS, PLACES, OPERATORS);
	run_ledger_sim_until_converged(&race->sim, BOUND);
	start = race->sim.clock.now;
	run_release_race(race, RACE_SPAN, false);
	seconds = (double)(race->sim.clock.now - start) / MSP_SECOND;
	printf("%6u  %-7s %10.1f %10.1f %10.2f\n", items, rebase ? "yes" : "no",
	    race->accepted / seconds, race->refused / seconds,
	    (double)*msp_get_counter(
		race->sim.counters, "msp_release_races_lost_total") /
		race->accepted);
	clear_release_race(race);
	free(race);
}

int
main(int argc, char **argv)
{
	static const unsigned int items[] = {6, 60, 600};
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	size_t i;

	printf("Time in ms until a note is in force at all of %d VMs in %d "
	       "places; seeds %llu to %llu, %d notes each\n",
	    VMS, PLACES, (unsigned long long)seed,
	    (unsigned long long)seed + SEEDS - 1, NOTES);
	printf("%-32s %6s %6s %6s %6s %6s\n", "situation", "notes", "p50",
	    "p99", "max", "never");
	for (i = 0; i < sizeof(situations) / sizeof(situations[0]); i++)
		measure_situation(&situations[i], seed);
	printf("\n%d racing operators on %d VMs, %llu s, seed %llu; store "
	       "3 to 6 ms a call\n",
	    OPERATORS, VMS, (unsigned long long)(RACE_SPAN / MSP_SECOND),
	    (unsigned long long)seed);
	printf("%6s  %-7s %10s %10s %10s\n", "items", "rebase", "accepted/s",
	    "refused/s", "races lost");
	for (i = 0; i < sizeof(items) / sizeof(items[0]); i++) {
		measure_race(seed, items[i], true);
		measure_race(seed, items[i], false);
	}
	return EXIT_SUCCESS;
}
