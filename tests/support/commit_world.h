#ifndef COMMIT_WORLD_H
#define COMMIT_WORLD_H

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
#define WORLD_VMS 3 /* 0 and 1 in one data centre, 2 in another */
#define WORLD_DISPATCHERS 2
#define WORLD_KEYS 2
#define WORLD_TRIES 8 /* most of one key */

/* What goes wrong; the first group does so once, at a point of a commit. */
typedef enum fault {
	FAULT_NONE,
	OWNER_KILLED_BEGUN,
	OWNER_KILLED_CLAIMED,
	OWNER_KILLED_DISPATCHED,
	OWNER_KILLED_ANSWERED,
	OWNER_FROZEN_BEGUN,
	OWNER_FROZEN_CLAIMED,
	OWNER_FROZEN_DISPATCHED,
	OWNER_FROZEN_ANSWERED,
	DISPATCHER_KILLED_BEFORE,
	DISPATCHER_KILLED_AFTER,
	DISPATCHER_FROZEN_BEFORE,
	DISPATCHER_FROZEN_AFTER,
	TWO_DISPATCHERS,
	DISPATCHER_OVERLOADED,
	STORE_DOWN,
	STORE_SLOW,
	STORE_LOSES_CALLS,
	STORE_LOSES_ANSWERS,
	STORE_LATE_EFFECTS,
	STORE_DOWN_AFTER_RUN,
	TARGET_LATE,
	TARGET_CUTS,
	TARGET_CRASHES,
	TARGET_SILENT,
	VM_CUT_FROM_STORE,
	VMS_CUT_FROM_EACH_OTHER,
	VM_LEAVING,
	FAULT_COUNT
} fault_t;

typedef enum pattern {
	RESEND_SAME_VM,
	RESEND_OTHER_VM,
	RESEND_OTHER_PLACE,
	RESEND_SAME_MOMENT,
	RESEND_AFTER_A_MINUTE,
	RESEND_CHANGED_BODY,
	PATTERN_COUNT
} pattern_t;

typedef struct scenario {
	uint64_t seed;
	fault_t faults[2];
	pattern_t pattern;
	bool marked; /* callers number their tries */
	bool issued; /* keys from the system, decided by memory */
} scenario_t;

/* What came of one world. */
typedef struct result {
	unsigned int runs; /* of all keys */
	unsigned int answered; /* tries that got the outcome */
	unsigned int said_no;
	unsigned int said_unknown;
	unsigned int unanswered; /* the VM died or the caller went away */
	/* Broken promises: */
	unsigned int doubles; /* keys that ran more than once */
	unsigned int false_no;
	unsigned int wrong_answers; /* not the whole outcome of the run */
	unsigned int stuck; /* tries that never got a verdict */
	char what[160]; /* the first of them */
} result_t;

/* Counts of "run: unknown" by reason, over many worlds. */
typedef struct reasons {
	char text[32][96];
	unsigned int count[32];
	unsigned int used;
} reasons_t;

const char *commit_fault_name(fault_t fault);
const char *commit_pattern_name(pattern_t pattern);

/* Runs one world. `reasons` may be NULL. */
result_t run_commit_world(const scenario_t *scenario, reasons_t *reasons);

/* Adds `from` to `to`. */
void add_commit_result(result_t *to, const result_t *from);
bool is_commit_broken(const result_t *result);

#endif
