#include "monsoonspindle/steer/planned_stop.h"

/*
 * A request can take this many times as long as expected: what is ahead of it
 * in its target's queue is known by the target's last report only, and not at
 * all if that is old.
 */
#define KNOWN_LOAD_MARGIN 2.0
#define UNKNOWN_LOAD_MARGIN 8.0
/* Of a response from any region, and its way on to the caller. */
#define RETURN_TIME (300 * MSP_MS)
#define RESERVE_MAX (700 * MSP_MS)
#define RESERVE_SHARE 8 /* of the grace period */

msp_time_t
msp_stop_reserve(msp_time_t grace)
{
	msp_time_t share = grace / RESERVE_SHARE;

	return share < RESERVE_MAX ? share : RESERVE_MAX;
}

msp_time_t
msp_max_latency_before_stop(msp_time_t time_left, double load_weight)
{
	double margin = UNKNOWN_LOAD_MARGIN +
	    (KNOWN_LOAD_MARGIN - UNKNOWN_LOAD_MARGIN) * load_weight;

	return time_left == MSP_NEVER
	    ? MSP_NEVER
	    : (msp_time_t)((double)time_left / margin);
}

msp_time_t
msp_target_time_before_stop(msp_time_t time_left)
{
	if (time_left == MSP_NEVER)
		return MSP_NEVER;
	return time_left > RETURN_TIME ? time_left - RETURN_TIME : 0;
}
