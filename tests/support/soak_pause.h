#ifndef SUPPORT_SOAK_PAUSE_H
#define SUPPORT_SOAK_PAUSE_H

#include <stdbool.h>

#include "monsoonspindle/base/env.h"

/*
 * Judges whether VMs leave a target alone that has asked them for a pause
 * (PAUSE): from half a second after the target has told a VM to the end of the
 * pause, at most two requests of any kind may arrive from there. Responses of
 * one pause name the same end.
 */

#define PAUSE_VMS_MAX 512
#define PAUSE_TOLD_TIME (500 * MSP_MS)
#define PAUSE_ARRIVALS_MAX 2U

/* What one VM was told. */
typedef struct pause_told {
	msp_time_t at; /* 0: nothing */
	msp_time_t until;
	unsigned int arrivals; /* that count */
} pause_told_t;

/* Of one process of a target. Zero-initialise. */
typedef struct pause_judge {
	pause_told_t told[PAUSE_VMS_MAX];
	unsigned int worst; /* most arrivals from a VM in a pause */
} pause_judge_t;

/* A response that asks for a pause to `until` was sent to this VM. */
void tell_judged_pause(
    pause_judge_t *judge, msp_time_t now, unsigned int vm, msp_time_t until);

/* The VM was restarted, frozen or cut off. */
void excuse_pause_vm(pause_judge_t *judge, unsigned int vm);

/* The target was started anew. */
void end_judged_pauses(pause_judge_t *judge);

/*
 * A request of this VM arrives. Returns how many arrivals of the pause break
 * the rule, or 0.
 */
unsigned int judge_pause_arrival(
    pause_judge_t *judge, msp_time_t now, unsigned int vm);

#endif
