#ifndef RELEASE_RACE_H
#define RELEASE_RACE_H

#include "ledger_sim.h"

#define RACE_NOTES_MAX 4000

struct release_race;

/* An operator's note, submitted again until it has a final result. */
typedef struct race_note {
	struct release_race *race;
	char id[MSP_NOTE_ID_SIZE];
	msp_note_t *note;
	unsigned int attempt; /* number of the last; others are ignored */
	unsigned int vm; /* index of the VM that it was last submitted to */
	msp_time_t retry_at; /* without a result, try another VM then */
	bool has_result; /* of the last attempt, perhaps not a final one */
	bool accepted;
	bool refused;
	uint64_t version; /* of the release, if accepted */
} race_note_t;

/* Operators who submit notes for the same regions at once, under faults. */
typedef struct release_race {
	ledger_sim_t sim;
	unsigned int operators;
	unsigned int items; /* number of regions to which the notes apply */
	race_note_t *notes[RACE_NOTES_MAX];
	unsigned int note_count;
	race_note_t *current[16]; /* by operator */
	SLIST_HEAD(race_attempts, race_attempt) attempts;
	bool no_new_notes; /* operators only finish their current notes */
	unsigned int accepted;
	unsigned int refused;
	unsigned int in_doubt_results;
	unsigned int resends;
} release_race_t;

void init_release_race(release_race_t *race, uint64_t seed,
    unsigned int vm_count, unsigned int places, unsigned int operators);
void clear_release_race(release_race_t *race);

/* Runs VMs and operators. With `faults`, each 100 ms one may start or end. */
void run_release_race(release_race_t *race, msp_time_t span, bool faults);

/*
 * Ends all faults, starts the VMs that are down and lets the operators finish.
 * Returns false if notes lack a result, or VMs the newest version, after
 * `span`.
 */
bool finish_release_race(release_race_t *race, msp_time_t span);

/* Returns NULL, or the violated guarantee, after finish_release_race(). */
const char *check_release_race(const release_race_t *race);

#endif
