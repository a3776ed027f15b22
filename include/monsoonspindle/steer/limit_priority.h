#ifndef MONSOONSPINDLE_STEER_LIMIT_PRIORITY_H
#define MONSOONSPINDLE_STEER_LIMIT_PRIORITY_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * Which requests of a service use limits of targets when these don't suffice:
 * urgent ones first, without starving the others. Zero-initialise.
 */
typedef struct msp_limit_priority {
	uint32_t priority; /* of the most urgent request refused; 0: highest */
	msp_time_t refused_at; /* when; 0: none was */
	unsigned int served; /* urgent requests since a less urgent one */
} msp_limit_priority_t;

/* How long less urgent requests yield after a refusal of a more urgent one. */
#define MSP_LIMIT_YIELD_TIME MSP_SECOND

/* Records that a request was refused since all targets are at their limits. */
void msp_record_limit_refusal(
    msp_limit_priority_t *state, msp_time_t now, uint32_t priority);

/* Records that a request was sent to a target that has named a limit. */
void msp_record_limit_use(
    msp_limit_priority_t *state, msp_time_t now, uint32_t priority);

/*
 * Whether a request leaves limits to more urgent ones, of which one was refused
 * a moment ago. After some of these one less urgent request may use them, so
 * that no kind of request is starved.
 */
bool msp_yields_limits(
    const msp_limit_priority_t *state, msp_time_t now, uint32_t priority);

#endif
