#ifndef CLAIM_SIM_H
#define CLAIM_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/coord/claims.h"
#include "monsoonspindle/platform/memory_store.h"

/*
 * A few entry VMs with their claims, one store, two dispatchers and a target
 * that counts runs, on a virtual clock with a seed. Callers send commits and
 * send them again. Everything that was promised is checked at the end.
 */
#define CLAIM_SIM_VMS 3 /* 0 and 1 in one data centre, 2 in another */
#define CLAIM_SIM_DISPATCHERS 2
#define CLAIM_SIM_KEYS 2
#define CLAIM_SIM_REQUESTS_MAX 8 /* most of one key */

/* What goes wrong; the first group does so once, at a point of a commit. */
typedef enum claim_fault {
	CLAIM_FAULT_NONE,
	OWNER_KILLED_BEFORE_CLAIM,
	OWNER_KILLED_BEFORE_DISPATCH,
	OWNER_KILLED_DURING_RUN,
	OWNER_KILLED_AFTER_RUN,
	OWNER_FROZEN_BEFORE_CLAIM,
	OWNER_FROZEN_BEFORE_DISPATCH,
	OWNER_FROZEN_DURING_RUN,
	OWNER_FROZEN_AFTER_RUN,
	DISPATCHER_KILLED_BEFORE_RUN,
	DISPATCHER_KILLED_AFTER_RUN,
	DISPATCHER_FROZEN_BEFORE_RUN,
	DISPATCHER_FROZEN_AFTER_RUN,
	TWO_DISPATCHERS,
	DISPATCHER_OVERLOADED,
	STORE_DOWN,
	STORE_SLOW,
	STORE_LOSES_CALLS,
	STORE_LOSES_REPLIES,
	STORE_APPLIES_LATE,
	STORE_DOWN_AFTER_RUN,
	TARGET_RESPONDS_LATE,
	TARGET_CLOSES_CONNECTION,
	TARGET_CRASHES,
	TARGET_UNREACHABLE,
	VM_WITHOUT_STORE,
	VM_WITHOUT_PEERS,
	VM_LEAVING,
	CLAIM_FAULT_COUNT
} claim_fault_t;

typedef enum resend_pattern {
	RESEND_SAME_VM,
	RESEND_OTHER_VM,
	RESEND_OTHER_PLACE,
	RESEND_CONCURRENTLY,
	RESEND_AFTER_A_MINUTE,
	RESEND_CHANGED_BODY,
	RESEND_PATTERN_COUNT
} resend_pattern_t;

typedef struct claim_scenario {
	uint64_t seed;
	claim_fault_t faults[2];
	resend_pattern_t pattern;
	bool numbered_attempts; /* callers number their tries */
	bool issued_keys; /* keys from the system, decided by memory */
} claim_scenario_t;

/* What came of one world. */
typedef struct claim_sim_result {
	unsigned int runs; /* of all keys */
	unsigned int answered; /* tries that got the outcome */
	unsigned int not_run_reported;
	unsigned int unknown_reported;
	unsigned int unanswered; /* the VM died or the caller went away */
	/* Broken promises: */
	unsigned int duplicate_runs; /* keys that ran more than once */
	unsigned int false_not_run;
	unsigned int wrong_responses; /* not the whole outcome of the run */
	unsigned int undecided; /* tries that never got a verdict */
	char first_violation[160]; /* the first of them */
} claim_sim_result_t;

/* Counts of "run: unknown" by reason, over many worlds. */
typedef struct reason_counts {
	char text[32][96];
	unsigned int count[32];
	unsigned int reason_count;
} reason_counts_t;

const char *get_claim_fault_name(claim_fault_t fault);
const char *get_resend_pattern_name(resend_pattern_t pattern);

/* Runs one world. `reasons` may be NULL. */
claim_sim_result_t run_claim_sim(
    const claim_scenario_t *scenario, reason_counts_t *reasons);

/* Adds `from` to `to`. */
void add_claim_sim_result(
    claim_sim_result_t *to, const claim_sim_result_t *from);
bool has_claim_violation(const claim_sim_result_t *result);

#endif
