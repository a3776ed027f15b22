#ifndef MONSOONSPINDLE_STEER_REACH_H
#define MONSOONSPINDLE_STEER_REACH_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * Whether this VM can open connections to the targets of one service. It is
 * taken to have lost them if connects to several targets have failed in a row
 * and nothing was received from any target of the service since. One target
 * that has ended is therefore no loss. Zero-initialise.
 */
typedef struct msp_reach {
	uint64_t epoch; /* grows whenever a target sends something */
	uint32_t failed_count; /* targets that failed in this epoch */
	msp_time_t failed_at; /* last failed connect; 0: none */
	msp_time_t contact_at; /* last response of any target; 0: none */
} msp_reach_t;

/* Targets whose connects must fail in a row. */
#define MSP_REACH_FAILURES 3
/* A loss ends if no connect has failed for this time. */
#define MSP_REACH_LOSS_TIME (3 * MSP_SECOND)

/*
 * Records a failed connect to a target. `*mark` belongs to the target and is 0
 * at first; a target is counted once in a row.
 */
void msp_record_connect_failure(
    msp_reach_t *reach, uint64_t *mark, msp_time_t now);

/* Records that a target has answered. */
void msp_record_contact(msp_reach_t *reach, msp_time_t now);

bool msp_reach_is_lost(const msp_reach_t *reach, msp_time_t now);

#endif
