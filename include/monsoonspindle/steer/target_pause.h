#ifndef MONSOONSPINDLE_STEER_TARGET_PAUSE_H
#define MONSOONSPINDLE_STEER_TARGET_PAUSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * A pause that a target asks this VM for when it refuses a request: for so long
 * it wants no request of any kind from here. Other VMs are told by themselves.
 *
 * VMs that were told at the same time must not fill the target at the end. Each
 * begins again with its part of the target's slots in flight, and may have
 * twice as many after each of MSP_RETURN_STEPS steps, and any number after the
 * last. Where the VMs are more than the slots, each begins with one request, at
 * a random time.
 */

#define MSP_RETURN_STEP (250 * MSP_MS)
#define MSP_RETURN_STEPS 4
/* The random time is up to this part of the pause, and at most this long. */
#define MSP_RETURN_SPREAD_PART 8
#define MSP_RETURN_SPREAD_MAX (500 * MSP_MS)

/* What one process of a target has asked for. Zero-initialise. */
typedef struct msp_target_pause {
	msp_time_t began; /* the last one; 0: there was none */
	msp_time_t asked_until; /* its end, as the target has asked for */
	msp_time_t until; /* its end at this VM; not before that */
	uint32_t first_step; /* requests in flight in the first step */
} msp_target_pause_t;

/* What a response asks for, and who is told the same. */
typedef struct msp_pause_request {
	msp_time_t span; /* from now on */
	uint32_t slots; /* of the target */
	size_t vms; /* that may send to it, with this one; 0: not known */
} msp_pause_request_t;

/* What a response changed. */
typedef enum msp_pause_change {
	MSP_PAUSE_UNCHANGED,
	MSP_PAUSE_BEGUN, /* there was none at this time */
	MSP_PAUSE_EXTENDED,
} msp_pause_change_t;

/* "unchanged", "begun" or "extended". */
const char *msp_pause_change_name(msp_pause_change_t change);

/*
 * Applies a response. Responses overtake each other, and each of them binds: a
 * shorter pause does not end a longer one.
 */
msp_pause_change_t msp_apply_target_pause(msp_target_pause_t *pause,
    const msp_env_t *env, const msp_pause_request_t *request);

bool msp_target_is_paused(const msp_target_pause_t *pause, msp_time_t now);

/*
 * Time until a request may be sent to the target, of which this VM has
 * `in_flight` there: 0 unless it is paused, or was a moment ago and has as many
 * as the present step allows.
 */
msp_time_t msp_target_pause_wait(
    const msp_target_pause_t *pause, msp_time_t now, uint32_t in_flight);

#endif
