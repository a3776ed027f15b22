#ifndef RELEASE_RACE_H
#define RELEASE_RACE_H

#include "ledger_sim.h"

#define RACE_NOTES_MAX 4000

struct release_race;

/* One note of an operator, sent until there is a final answer. */
typedef struct race_note {
	struct release_race *race;
	char id[MSP_NOTE_ID_SIZE];
	msp_note_t *note;
	unsigned int attempt; /* the one whose answer counts */
	unsigned int vm;
	msp_time_t retry_at; /* the operator turns to another VM */
	bool answered; /* this try, but not finally */
	bool accepted;
	bool refused;
	uint64_t version; /* accepted */
} race_note_t;

/* Operators who race with notes about a few items, under faults. */
typedef struct release_race {
	ledger_sim_t sim;
	unsigned int operators;
	unsigned int items; /* regions that the notes are about */
	race_note_t *notes[RACE_NOTES_MAX];
	unsigned int note_count;
	race_note_t *current[16]; /* by operator */
	SLIST_HEAD(race_attempts, race_attempt) attempts;
	bool no_new_notes; /* operators start no further notes */
	unsigned int accepted;
	unsigned int refused;
	unsigned int in_doubt_results; /* answers in-doubt */
	unsigned int resends;
} release_race_t;

void init_release_race(release_race_t *race, uint64_t seed,
    unsigned int vm_count, unsigned int places, unsigned int operators);
void clear_release_race(release_race_t *race);

/* Runs the fleet and the operators; a fault may come each 100 ms if `faults`.
 */
void run_release_race(release_race_t *race, msp_time_t span, bool faults);

/* Ends all faults, starts the dead VMs, lets the operators finish. */
bool finish_release_race(release_race_t *race, msp_time_t span);

/* Returns NULL, or what is wrong after a race has settled. */
const char *check_release_race(const release_race_t *race);

#endif
