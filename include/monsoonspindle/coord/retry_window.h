#ifndef MONSOONSPINDLE_COORD_RETRY_WINDOW_H
#define MONSOONSPINDLE_COORD_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * This VM's part of a retry budget that all VMs share: in any window of time,
 * all retries together may be a ratio of the requests, and some more, the
 * slack.
 *
 * Each VM keeps to the ratio by its own requests, and has a part of the slack.
 * So the parts add up to the whole, however many VMs there are and however many
 * of them retry at the same moment.
 */

#define MSP_RETRY_WINDOW_STEPS 20

/* What the VM did in one step of time. */
typedef struct msp_retry_step {
	uint64_t number; /* of the step, counted from time 0 */
	uint32_t requests;
	uint32_t retries;
} msp_retry_step_t;

/* Of one service. Zero-initialise it and set `span`. */
typedef struct msp_retry_window {
	msp_time_t span; /* of the window; at least MSP_RETRY_WINDOW_STEPS */
	msp_retry_step_t steps[MSP_RETRY_WINDOW_STEPS];
} msp_retry_window_t;

/* A request for the service has come to this VM. */
void msp_count_request(msp_retry_window_t *window, msp_time_t now);

/* What this VM may do beside others. */
typedef struct msp_retry_share {
	double ratio; /* of retries to requests */
	double slack; /* retries beyond that; this VM's part */
	/*
	 * Of a part of a retry that is left, this VM has the whole or nothing,
	 * by this number, so that the parts of many VMs with different numbers
	 * add up. Always the same for one VM: if others had their turn, those
	 * before and after would meet in one window.
	 */
	uint64_t draw;
} msp_retry_share_t;

/*
 * Counts a retry and returns true if, with it, the retries of the window are
 * within the share.
 */
bool msp_take_retry(
    msp_retry_window_t *window, msp_time_t now, const msp_retry_share_t *share);

#endif
