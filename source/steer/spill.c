#include "monsoonspindle/steer/spill.h"

/* Change of the share per period, as a fraction of all requests. */
#define SPILL_STEP 0.1
#define SPILL_PERIOD (100 * MSP_MS)
/* The share grows if the local wait exceeds the remote cost by this much. */
#define SPILL_MARGIN (5 * MSP_MS)
/* It shrinks if the local wait is below this part of the remote cost. */
#define SPILL_RETURN_PERCENT 60
#define RANDOM_RANGE 1000000

static int
find_best_option(
    const msp_spill_option_t *options, size_t count, msp_time_t *cost)
{
	int best = MSP_SPILL_LOCAL;
	size_t i;

	*cost = MSP_NEVER;
	for (i = 0; i < count; i++) {
		if (options[i].wait == MSP_NEVER)
			continue;
		if (options[i].rtt + options[i].wait < *cost) {
			*cost = options[i].rtt + options[i].wait;
			best = (int)i;
		}
	}
	return best;
}

static void
adjust_share(
    msp_spill_t *spill, msp_time_t now, msp_time_t local_wait, msp_time_t cost)
{
	double step;

	if (local_wait > cost + SPILL_MARGIN)
		step = SPILL_STEP;
	else if (local_wait < cost * SPILL_RETURN_PERCENT / 100)
		step = -SPILL_STEP;
	else
		return;
	if (now < spill->changed_at + SPILL_PERIOD)
		return;
	spill->changed_at = now;
	spill->share += step;
	if (spill->share > 1)
		spill->share = 1;
	if (spill->share < 0)
		spill->share = 0;
}

int
msp_decide_spill(msp_spill_t *spill, const msp_env_t *env,
    msp_time_t local_wait, const msp_spill_option_t *options, size_t count)
{
	msp_time_t cost;
	int best = find_best_option(options, count, &cost);

	if (best == MSP_SPILL_LOCAL || local_wait == MSP_NEVER)
		return best;
	adjust_share(spill, msp_now(env), local_wait, cost);
	if ((double)msp_random_below(env, RANDOM_RANGE) <
	    spill->share * RANDOM_RANGE)
		return best;
	return MSP_SPILL_LOCAL;
}
