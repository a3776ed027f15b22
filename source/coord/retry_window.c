#include "monsoonspindle/coord/retry_window.h"

#include <stddef.h>

static uint64_t
get_step_number(const msp_retry_window_t *window, msp_time_t now)
{
	return now / (window->span / MSP_RETRY_WINDOW_STEPS);
}

static msp_retry_step_t *
get_step(msp_retry_window_t *window, msp_time_t now)
{
	uint64_t number = get_step_number(window, now);
	msp_retry_step_t *step =
	    &window->steps[number % MSP_RETRY_WINDOW_STEPS];

	if (step->number != number)
		*step = (msp_retry_step_t){.number = number};
	return step;
}

/* Sums up the steps that are not over for longer than the window. */
static msp_retry_step_t
sum_steps(const msp_retry_window_t *window, msp_time_t now)
{
	uint64_t number = get_step_number(window, now);
	msp_retry_step_t sum = {0};
	size_t i;

	for (i = 0; i < MSP_RETRY_WINDOW_STEPS; i++) {
		const msp_retry_step_t *step = &window->steps[i];

		if (step->number + MSP_RETRY_WINDOW_STEPS <= number)
			continue;
		sum.requests += step->requests;
		sum.retries += step->retries;
	}
	return sum;
}

void
msp_count_request(msp_retry_window_t *window, msp_time_t now)
{
	get_step(window, now)->requests++;
}

/* Rounds up or down by the draw, so that many roundings add up. */
static uint32_t
round_by_draw(double number, uint64_t draw)
{
	uint32_t whole = (uint32_t)number;
	double rest = number - whole;

	return (double)(draw % UINT32_MAX) < rest * UINT32_MAX ? whole + 1
							       : whole;
}

bool
msp_take_retry(
    msp_retry_window_t *window, msp_time_t now, const msp_retry_share_t *share)
{
	msp_retry_step_t *step = get_step(window, now);
	msp_retry_step_t sum = sum_steps(window, now);
	double allowed = share->ratio * sum.requests + share->slack;

	if (sum.retries >= round_by_draw(allowed, share->draw))
		return false;
	step->retries++;
	return true;
}
