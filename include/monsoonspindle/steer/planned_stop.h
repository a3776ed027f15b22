#ifndef MONSOONSPINDLE_STEER_PLANNED_STOP_H
#define MONSOONSPINDLE_STEER_PLANNED_STOP_H

#include "monsoonspindle/base/env.h"

/*
 * How long a request may be expected to take if a VM that stops in `time_left`
 * is still to begin it. What may take longer is refused at once, so that its
 * client can go to another VM, instead of being cut off when the VM exits.
 * MSP_NEVER: the VM isn't stopping, and any time will do.
 */
msp_time_t msp_max_latency_before_stop(msp_time_t time_left);

#endif
