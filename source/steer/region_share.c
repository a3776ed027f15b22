#include "monsoonspindle/steer/region_share.h"

#include <math.h>

#define BUSY_HIGH 0.70 /* use of this region's slots above which work goes */
#define BUSY_LOW 0.45 /* and below which it comes back */
#define GAIN 0.25 /* a second, for each whole unit of use off */
#define STEP_MAX (250 * MSP_MS) /* of one update: idle time moves nothing */

/* How fast the share should move, a second. */
static double
drift(double here, double elsewhere)
{
	double rate = 0;

	if (here > BUSY_HIGH && elsewhere < here)
		rate = -GAIN * (here - fmax(BUSY_HIGH, elsewhere));
	else if (here < BUSY_LOW)
		rate = GAIN * (BUSY_LOW - here);
	return fmax(-MSP_SHARE_SLEW_RATE, fmin(MSP_SHARE_SLEW_RATE, rate));
}

void
msp_update_region_share(
    msp_region_share_t *share, msp_time_t now, double here, double elsewhere)
{
	msp_time_t step = share->updated == 0 ? 0 : now - share->updated;

	share->updated = now;
	if (here < 0) {
		share->local = 0;
		return;
	}
	if (step > STEP_MAX)
		step = STEP_MAX;
	share->local +=
	    drift(here, elsewhere) * (double)step / (double)MSP_SECOND;
	share->local = fmax(0, fmin(1, share->local));
}

bool
msp_assign_to_region(msp_region_share_t *share)
{
	share->deficit += share->local;
	if (share->deficit < 1)
		return false;
	share->deficit -= 1;
	return true;
}
