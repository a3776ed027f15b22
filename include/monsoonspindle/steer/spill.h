#ifndef MONSOONSPINDLE_STEER_SPILL_H
#define MONSOONSPINDLE_STEER_SPILL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * Decides for each request of one service whether an entry VM gives it to the
 * dispatcher of its own place or to another: the sibling data centre, or
 * another region that offered credit. The share sent out moves in steps and
 * with hysteresis, since what is known of the others lags.
 */

#define MSP_SPILL_LOCAL (-1)

/* Another place, as last heard of. */
typedef struct msp_spill_option {
	msp_time_t rtt;
	/* Time in its queue; MSP_NEVER: it takes nothing, or no credit. */
	msp_time_t wait;
} msp_spill_option_t;

/* One for each service and class. Zero-initialise. */
typedef struct msp_spill {
	double share; /* of the requests that go out, 0 to 1 */
	msp_time_t changed_at; /* when the share last changed */
} msp_spill_t;

/*
 * Takes in the local wait, MSP_NEVER while the local targets drain or the
 * dispatcher does not answer, and returns the index of the place to use, or
 * MSP_SPILL_LOCAL. When a dispatcher refuses a request with `run` no, call it
 * once more with MSP_NEVER and without that place: the request may go there.
 */
int msp_decide_spill(msp_spill_t *spill, const msp_env_t *env,
    msp_time_t local_wait, const msp_spill_option_t *options, size_t count);

#endif
