/*
 * Release notes on the virtual clock: time until a note is in force on all VMs,
 * and throughput of concurrent operators with and without rebase. Usage:
 * releases [first seed].
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
#define TIMEOUT (60 * MSP_SECOND)
#define ISOLATION_TIME (30 * MSP_SECOND)
#define RACE_TIME (20 * MSP_SECOND)
#define OPERATORS 8

/* Conditions under which notes are committed. */
typedef struct scenario {
	const char *name;
	unsigned int loss_pct;
	bool isolated; /* one place for ISOLATION_TIME; timed from its end */
	bool store_down; /* after the commit */
} scenario_t;

static const scenario_t scenarios[] = {
    {"no loss", 0, false, false},
    {"10% lost", 10, false, false},
    {"30% lost", 30, false, false},
    {"10% lost, store down after it", 10, false, true},
    {"10% lost, one place isolated", 10, true, false},
    {"the same, store down", 10, true, true},
};

static bool
commit_region(ledger_sim_t *sim, unsigned int vm, unsigned int number)
{
	msp_time_t end = sim->clock.now + TIMEOUT;
	ledger_submit_result_t result = {0};
	char name[16];
	msp_note_t *note;

	snprintf(name, sizeof(name), "r%u", number);
	note = new_region_note(&sim->vms[vm], name, name);
	msp_submit_new_note(
	    sim->vms[vm].ledger, note, copy_submit_result, &result);
	msp_drop_note(note);
	while (!result.ended && sim->clock.now < end)
		run_ledger_sim(sim, sim->step);
	return result.ended && result.status == MSP_OK;
}

/*
 * Returns the time from the acceptance of a note, or from the end of the
 * isolation, until the note is in force on all VMs; MSP_NEVER on a timeout.
 */
static msp_time_t
time_note(ledger_sim_t *sim, const scenario_t *scenario, unsigned int number)
{
	msp_store_faults_t *faults = msp_memory_store_faults(sim->store);
	/* Place 0 may be isolated; the note is sent to a VM in another. */
	unsigned int vm = 1 + number % (PLACES - 1);
	msp_time_t start;

	if (scenario->isolated)
		set_place_isolated(sim, 0, true, true);
	if (!commit_region(sim, vm, number))
		return MSP_NEVER;
	start = sim->clock.now;
	faults->down = scenario->store_down;
	if (scenario->isolated) {
		run_ledger_sim(sim, ISOLATION_TIME);
		set_place_isolated(sim, 0, false, false);
		start = sim->clock.now;
	}
	if (!run_ledger_sim_to_version(sim, number + 1, TIMEOUT))
		return MSP_NEVER;
	faults->down = false;
	start = sim->clock.now - start;
	run_ledger_sim(sim, MSP_SECOND);
	return start;
}

static void
measure_scenario(const scenario_t *scenario, uint64_t first_seed)
{
	static msp_histogram_t times;
	unsigned int timeouts = 0;
	uint64_t seed;
	unsigned int i;

	memset(&times, 0, sizeof(times));
	for (seed = first_seed; seed < first_seed + SEEDS; seed++) {
		ledger_sim_t *sim = calloc(1, sizeof(*sim));

		if (sim == NULL)
			abort();
		sim->loss_pct = scenario->loss_pct;
		init_ledger_sim(sim, seed, VMS, PLACES);
		run_ledger_sim_until_converged(sim, TIMEOUT);
		for (i = 0; i < NOTES; i++) {
			msp_time_t elapsed = time_note(sim, scenario, i);

			if (elapsed == MSP_NEVER) {
				timeouts++;
				break;
			}
			msp_record_value(&times, elapsed / MSP_MS);
		}
		clear_ledger_sim(sim);
		free(sim);
	}
	printf("%-32s %6llu %6llu %6llu %6llu %6u\n", scenario->name,
	    (unsigned long long)times.count,
	    (unsigned long long)msp_quantile(&times, 0.5),
	    (unsigned long long)msp_quantile(&times, 0.99),
	    (unsigned long long)times.max, timeouts);
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
	run_ledger_sim_until_converged(&race->sim, TIMEOUT);
	start = race->sim.clock.now;
	run_release_race(race, RACE_TIME, false);
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

	printf("Time in ms until a note is in force on all of %d VMs in %d "
	       "places; seeds %llu to %llu, %d notes each\n",
	    VMS, PLACES, (unsigned long long)seed,
	    (unsigned long long)seed + SEEDS - 1, NOTES);
	printf("%-32s %6s %6s %6s %6s %6s\n", "scenario", "notes", "p50", "p99",
	    "max", "never");
	for (i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++)
		measure_scenario(&scenarios[i], seed);
	printf("\n%d concurrent operators on %d VMs, %llu s, seed %llu; store "
	       "3 to 6 ms per call\n",
	    OPERATORS, VMS, (unsigned long long)(RACE_TIME / MSP_SECOND),
	    (unsigned long long)seed);
	printf("%6s  %-7s %10s %10s %10s\n", "items", "rebase", "accepted/s",
	    "refused/s", "races lost");
	for (i = 0; i < sizeof(items) / sizeof(items[0]); i++) {
		measure_race(seed, items[i], true);
		measure_race(seed, items[i], false);
	}
	return EXIT_SUCCESS;
}
