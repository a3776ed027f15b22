#ifndef CLAIM_SIM_H
#define CLAIM_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/coord/claims.h"
#include "monsoonspindle/platform/memory_store.h"

/*
 * Simulation of claims: entry VMs, one store, two dispatchers and a target that
 * counts runs, on a virtual clock and with a seed. Callers send requests that
 * are not idempotent, and resend them with the same key. At the end, the
 * guarantees of claims are checked.
 */
#define CLAIM_SIM_VMS 3 /* 0 and 1 in one data centre, 2 in another */
#define CLAIM_SIM_DISPATCHERS 2
#define CLAIM_SIM_KEYS 2
#define CLAIM_SIM_REQUESTS_MAX 8 /* with one key */

/*
 * Injected faults. The owner of a claim is the VM that inserted it. Faults of
 * an owner or a dispatcher that is killed or frozen, and STORE_DOWN_AFTER_RUN,
 * occur once, at that point of a request.
 */
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
	TWO_DISPATCHERS, /* requests go to a random one, not the first */
	DISPATCHER_OVERLOADED,
	STORE_DOWN,
	STORE_SLOW,
	STORE_LOSES_CALLS,
	STORE_LOSES_REPLIES,
	STORE_APPLIES_LATE, /* writes, after their timeout */
	STORE_DOWN_AFTER_RUN,
	TARGET_RESPONDS_LATE,
	TARGET_CLOSES_CONNECTION, /* in the middle of the response */
	TARGET_CRASHES,
	TARGET_UNREACHABLE, /* requests time out and don't run */
	VM_WITHOUT_STORE, /* one VM can't reach the store */
	VM_WITHOUT_PEERS, /* one VM can't reach the others */
	VM_LEAVING,
	CLAIM_FAULT_COUNT
} claim_fault_t;

/* How a caller resends a request. */
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
	bool numbered_attempts; /* callers send Request-Attempt */
	bool issued_keys; /* by VM 0, which decides them from memory */
} claim_scenario_t;

/* Counts of one simulation, or of several. */
typedef struct claim_sim_result {
	unsigned int runs; /* of all keys */
	unsigned int answered; /* requests that got the run's outcome */
	unsigned int not_run_reported; /* refusals with "run: no" */
	unsigned int unknown_reported; /* refusals with "run: unknown" */
	unsigned int unanswered; /* caller timed out, or VM killed */
	/* Violations: */
	unsigned int duplicate_runs; /* keys that ran more than once */
	unsigned int false_not_run; /* "run: no", but the request ran */
	unsigned int wrong_responses; /* other than the run's outcome */
	unsigned int undecided; /* requests without a verdict */
	char first_violation[160]; /* description */
} claim_sim_result_t;

/* Refusals with "run: unknown" by reason, over many simulations. */
typedef struct reason_counts {
	char text[32][96];
	unsigned int count[32];
	unsigned int reason_count;
} reason_counts_t;

const char *get_claim_fault_name(claim_fault_t fault);
const char *get_resend_pattern_name(resend_pattern_t pattern);

/* Runs one simulation. `reasons` may be NULL. */
claim_sim_result_t run_claim_sim(
    const claim_scenario_t *scenario, reason_counts_t *reasons);

/* Adds `from` to `to`. */
void add_claim_sim_result(
    claim_sim_result_t *to, const claim_sim_result_t *from);
bool has_claim_violation(const claim_sim_result_t *result);

#endif
