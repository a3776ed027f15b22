#ifndef SUPPORT_SOAK_LIMIT_H
#define SUPPORT_SOAK_LIMIT_H

#include <stdbool.h>
#include <stddef.h>

#include "monsoonspindle/base/env.h"

/*
 * Judges whether VMs keep to the limit that a target names: from CONTACT_TIME
 * after it was named, at most 1.5 times what it allows in 4 s, and 5 requests,
 * from the VMs that passed on a response with the limit half a second before
 * or earlier.
 */

#define LIMIT_WINDOW (4 * MSP_SECOND)
#define LIMIT_VMS_MAX 512

typedef struct limit_judge {
	bool named;
	double per_second;
	msp_time_t named_at;
	unsigned int arrived; /* since it was named */
	msp_time_t told_at[LIMIT_VMS_MAX]; /* 0: that VM was not told */
	msp_time_t *arrivals; /* counted ones of the last window; owned */
	size_t first;
	size_t count;
	size_t size;
	unsigned int worst; /* most requests in a window that was judged */
	double worst_ratio; /* of such a number to the allowed one */
} limit_judge_t;

/* The target names a limit, or another one. */
void name_judged_limit(limit_judge_t *judge, msp_time_t now, double per_second);
/* The target's responses name none any more. */
void lift_judged_limit(limit_judge_t *judge);
/* A response that names the limit was sent to this VM. */
void tell_judged_limit(limit_judge_t *judge, msp_time_t now, unsigned int vm);
/* The VM was restarted, frozen or cut off. */
void excuse_limit_vm(limit_judge_t *judge, unsigned int vm);

/*
 * A request of this VM arrives. Returns how many arrivals of the last window
 * break the rule, or 0.
 */
unsigned int judge_limit_arrival(
    limit_judge_t *judge, msp_time_t now, unsigned int vm);

/* Largest number of requests in a window. */
double allowed_in_limit_window(const limit_judge_t *judge);
void drop_limit_judge(limit_judge_t *judge);

#endif
