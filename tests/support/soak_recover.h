#ifndef SUPPORT_SOAK_RECOVER_H
#define SUPPORT_SOAK_RECOVER_H

#include <stdbool.h>
#include <stddef.h>

#include "monsoonspindle/base/env.h"

/*
 * Judges whether VMs that are partitioned from all targets still serve their
 * clients. A spell lasts from the first cut of a VM until no VM is cut. Of a
 * spell, first tries count that are sent while some VM has been cut for
 * RECOVER_CONTACT_TIME or longer. The rule is broken if those at such VMs are
 * served less than two thirds as often as those at VMs that are not cut, and
 * more than 10 and one in 50 of those at the cut VMs fail.
 *
 * A try counts only if its VM has run for RECOVER_CONTACT_TIME when the try
 * begins, and goes on running until it ends. A VM counts as neither cut nor
 * whole until RECOVER_CONTACT_TIME after its cut began, and again after its
 * cut ended.
 */

#define RECOVER_CONTACT_TIME (4 * MSP_SECOND)
#define RECOVER_VMS_MAX 128
#define RECOVER_SPELLS_MAX 64 /* later ones are not judged */

typedef enum recover_group {
	RECOVER_NONE, /* the try does not count */
	RECOVER_CUT,
	RECOVER_WHOLE,
	RECOVER_GROUPS,
} recover_group_t;

/* What was seen in one spell, by group. */
typedef struct recover_tally {
	unsigned int tries[RECOVER_GROUPS];
	unsigned int served[RECOVER_GROUPS];
} recover_tally_t;

typedef struct recover_vm {
	bool is_cut;
	bool is_running;
	msp_time_t changed_at; /* last begin or end of a cut; 0: never */
	msp_time_t running_since;
	unsigned int stops; /* number of times it stopped running */
} recover_vm_t;

/* Zero-initialise it; all VMs are whole and do not run then. */
typedef struct recover_judge {
	recover_vm_t vms[RECOVER_VMS_MAX];
	unsigned int cut_count; /* VMs that are cut now */
	unsigned int spell_count;
	recover_tally_t spells[RECOVER_SPELLS_MAX];
} recover_judge_t;

/* A first try of a client that has not ended. */
typedef struct recover_try {
	recover_group_t group;
	unsigned int vm;
	unsigned int spell;
	unsigned int stops; /* of the VM when the try began */
} recover_try_t;

/* The VM starts, or continues after it was frozen. */
void run_recover_vm(recover_judge_t *judge, msp_time_t now, unsigned int vm);
/* The VM is told to end, killed or frozen; a process that ends by itself is
 * not excused. */
void stop_recover_vm(recover_judge_t *judge, unsigned int vm);

/* The VM loses its links to all targets, or gets them back. */
void cut_recover_vm(recover_judge_t *judge, msp_time_t now, unsigned int vm);
void join_recover_vm(recover_judge_t *judge, msp_time_t now, unsigned int vm);

/* A client begins a first try at a VM. */
recover_try_t begin_recover_try(
    const recover_judge_t *judge, msp_time_t now, unsigned int vm);
/* It was served, or it failed, by a refused connection too. */
void end_recover_try(
    recover_judge_t *judge, const recover_try_t *attempt, bool served);

bool is_recover_broken(const recover_tally_t *tally);
/* Number of spells in which the rule was broken. */
unsigned int count_recover_breaches(const recover_judge_t *judge);

#endif
