#ifndef MONSOONSPINDLE_STEER_TARGET_PAUSE_H
#define MONSOONSPINDLE_STEER_TARGET_PAUSE_H

#include <stdbool.h>

#include "monsoonspindle/base/env.h"

/*
 * A pause that a target asks this VM for when it refuses a request: for so long
 * it wants no request of any kind from here. Other VMs are told by themselves.
 */

/* What one process of a target has asked for. Zero-initialise. */
typedef struct msp_target_pause {
	msp_time_t began; /* the last one; 0: there was none */
	msp_time_t until; /* its end */
} msp_target_pause_t;

/* What a response changed. */
typedef enum msp_pause_change {
	MSP_PAUSE_UNCHANGED,
	MSP_PAUSE_BEGUN, /* there was none at this time */
	MSP_PAUSE_EXTENDED,
} msp_pause_change_t;

/* "unchanged", "begun" or "extended". */
const char *msp_pause_change_name(msp_pause_change_t change);

/*
 * Applies a response received at `now` that asks for a pause of `span`
 * microseconds. Responses overtake each other, and each of them binds: a
 * shorter pause does not end a longer one.
 */
msp_pause_change_t msp_apply_target_pause(
    msp_target_pause_t *pause, msp_time_t now, msp_time_t span);

bool msp_target_is_paused(const msp_target_pause_t *pause, msp_time_t now);

/* Time until the end of the pause; 0: there is none. */
msp_time_t msp_target_pause_left(
    const msp_target_pause_t *pause, msp_time_t now);

#endif
