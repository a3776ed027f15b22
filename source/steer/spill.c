#include "monsoonspindle/steer/spill.h"

#define SPILL_STEP 0.1 /* of the requests, each period */
#define SPILL_PERIOD (100 * MSP_MS)
#define SPILL_MARGIN (5 * MSP_MS) /* by which out must be better */
#define RETURN_PERCENT 60 /* of the way out: below, the share shrinks */
#define RANDOM_RANGE 1000000

static int
best_option(const msp_spill_option_t *options, size_t count, msp_time_t *cost)
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
move_share(
    msp_spill_t *spill, msp_time_t now, msp_time_t local_wait, msp_time_t cost)
{
	double step;

	if (local_wait > cost + SPILL_MARGIN)
		step = SPILL_STEP;
	else if (local_wait < cost * RETURN_PERCENT / 100)
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
	int best = best_option(options, count, &cost);

	if (best == MSP_SPILL_LOCAL || local_wait == MSP_NEVER)
		return best;
	move_share(spill, msp_now(env), local_wait, cost);
	if ((double)msp_random_below(env, RANDOM_RANGE) <
	    spill->share * RANDOM_RANGE)
		return best;
	return MSP_SPILL_LOCAL;
}
