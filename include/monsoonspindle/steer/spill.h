#ifndef MONSOONSPINDLE_STEER_SPILL_H
#define MONSOONSPINDLE_STEER_SPILL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * Decides for each request of one service whether an entry VM sends it to the
 * dispatcher of its own place or spills it to another: the sibling data centre,
 * or a region that has granted credit. The share that is spilled changes in
 * steps and with hysteresis, because the state of other places is known only
 * with a delay.
 */

#define MSP_SPILL_LOCAL (-1)

/* Another place, by its last report. */
typedef struct msp_spill_option {
	msp_time_t rtt;
	/* Queueing time; MSP_NEVER: accepts no requests or gave no credit. */
	msp_time_t wait;
} msp_spill_option_t;

/* One for each service and class. Zero-initialise. */
typedef struct msp_spill {
	double share; /* of the requests that are spilled, 0 to 1 */
	msp_time_t changed_at; /* when the share last changed */
} msp_spill_t;

/*
 * Returns the index of the option to use, or MSP_SPILL_LOCAL. `local_wait` is
 * MSP_NEVER while the local targets drain or the dispatcher does not respond.
 * After a refusal with MSP_RUN_NOT_EXECUTED, call it once more with MSP_NEVER
 * and without the place that refused, to find another place for the request.
 */
int msp_decide_spill(msp_spill_t *spill, const msp_env_t *env,
    msp_time_t local_wait, const msp_spill_option_t *options, size_t count);

#endif
