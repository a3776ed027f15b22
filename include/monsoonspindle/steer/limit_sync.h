#ifndef MONSOONSPINDLE_STEER_LIMIT_SYNC_H
#define MONSOONSPINDLE_STEER_LIMIT_SYNC_H

#include "monsoonspindle/base/buffer.h"
#include "monsoonspindle/base/status.h"
#include "monsoonspindle/steer/target_view.h"

/*
 * Shares the limits that targets name among VMs. So a VM that has no part of a
 * limit hears of its end, and one that has not sent to the target yet hears of
 * the limit before it does. The owner sends the messages to all VMs.
 *
 * All VMs that hear of a limit wait for a random time before they tell others,
 * and don't tell what they have been told meanwhile.
 *
 * A message has one line per target: its id, its incarnation, the limit or "-"
 * for none, and how long ago the request was sent and its response received
 * (us).
 */

#define MSP_LIMITS_PER_MESSAGE_MAX 32
#define MSP_LIMIT_MESSAGE_MAX 16384 /* bytes */

typedef struct msp_limit_sync_callbacks {
	/* Called for each limit that a message has changed. */
	void (*on_change)(void *ctx, const msp_view_target_t *target,
	    msp_limit_change_t change);
	void *ctx;
} msp_limit_sync_callbacks_t;

/*
 * Plans to tell others of a statement of this VM's own, after
 * msp_apply_limit_statement() returned `change`. Returns whether there is
 * something to tell that was not planned before.
 */
bool msp_plan_limit_report(
    const msp_env_t *env, msp_target_limit_t *limit, msp_limit_change_t change);

/*
 * Appends the lines that are due to `out` and returns their number, at most
 * MSP_LIMITS_PER_MESSAGE_MAX; the others stay due.
 */
size_t msp_encode_due_limits(
    const msp_env_t *env, msp_target_view_t *view, msp_buffer_t *out);

/* Returns the time at which a line is next due; MSP_NEVER if none is. */
msp_time_t msp_next_limit_report(const msp_target_view_t *view);

/*
 * Applies a message of another VM. Lines about targets or incarnations that are
 * not known are ignored. Returns MSP_E_SYNTAX and applies nothing if a line is
 * malformed.
 */
msp_status_t msp_receive_limits(const msp_env_t *env, msp_target_view_t *view,
    const char *text, const msp_limit_sync_callbacks_t *callbacks);

#endif
