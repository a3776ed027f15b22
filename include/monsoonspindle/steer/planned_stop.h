#ifndef MONSOONSPINDLE_STEER_PLANNED_STOP_H
#define MONSOONSPINDLE_STEER_PLANNED_STOP_H

#include "monsoonspindle/base/env.h"

/*
 * How a VM that stops as planned divides the time that it has. `time_left` is
 * until it ends; MSP_NEVER: it isn't stopping, and any time will do.
 */

/* The end of the grace period that is left for the shutdown itself. */
msp_time_t msp_stop_reserve(msp_time_t grace);

/*
 * How long a request may be expected to take if it is still to be begun. What
 * may take longer is refused at once, so that its caller can go to another VM,
 * instead of being cut off when the VM ends. `load_weight` is how well the load
 * of its target is known, from 0 (not at all) to 1.
 */
msp_time_t msp_max_latency_before_stop(
    msp_time_t time_left, double load_weight);

/*
 * The time that a target or another VM may be given for a request. It answers
 * by then, if only that it has not executed the request, and there is time to
 * pass that on.
 */
msp_time_t msp_target_time_before_stop(msp_time_t time_left);

#endif
