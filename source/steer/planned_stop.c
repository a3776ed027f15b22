#include "monsoonspindle/steer/planned_stop.h"

/*
 * A request that waits in a target's queue can take this many times as long as
 * expected, since what is ahead of it is known by the target's last report
 * only.
 */
#define LATENCY_MARGIN 2

msp_time_t
msp_max_latency_before_stop(msp_time_t time_left)
{
	return time_left == MSP_NEVER ? MSP_NEVER : time_left / LATENCY_MARGIN;
}
