#include "monsoonspindle/steer/limit_priority.h"

/* After so many urgent requests a less urgent one does not yield. */
#define URGENT_IN_A_ROW 4

static bool
is_recent(const msp_limit_priority_t *state, msp_time_t now)
{
	return state->refused_at != 0 &&
	    now < state->refused_at + MSP_LIMIT_YIELD_TIME;
}

void
msp_record_limit_refusal(
    msp_limit_priority_t *state, msp_time_t now, uint32_t priority)
{
	if (is_recent(state, now) && priority > state->priority)
		return;
	state->priority = priority;
	state->refused_at = now;
}

void
msp_record_limit_use(
    msp_limit_priority_t *state, msp_time_t now, uint32_t priority)
{
	if (!is_recent(state, now))
		return;
	if (priority > state->priority)
		state->served = 0;
	else
		state->served++;
}

bool
msp_yields_limits(
    const msp_limit_priority_t *state, msp_time_t now, uint32_t priority)
{
	return is_recent(state, now) && priority > state->priority &&
	    state->served < URGENT_IN_A_ROW;
}
