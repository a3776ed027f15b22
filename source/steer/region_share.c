#include "monsoonspindle/steer/region_share.h"

#include <math.h>

/* Local utilisation above which the share falls and below which it grows. */
#define UTILISATION_HIGH 0.70
#define UTILISATION_LOW 0.45
/* Change of the share per second, per unit of utilisation past a threshold. */
#define GAIN 0.25
/* Longest time that one update covers: idle time must not move the share. */
#define STEP_MAX (250 * MSP_MS)

/* Change of the share per second. */
static double
share_rate(double local, double remote)
{
	double rate = 0;

	if (local > UTILISATION_HIGH && remote < local)
		rate = -GAIN * (local - fmax(UTILISATION_HIGH, remote));
	else if (local < UTILISATION_LOW)
		rate = GAIN * (UTILISATION_LOW - local);
	return fmax(-MSP_SHARE_SLEW_RATE, fmin(MSP_SHARE_SLEW_RATE, rate));
}

void
msp_update_region_share(
    msp_region_share_t *share, msp_time_t now, double local, double remote)
{
	msp_time_t step = share->updated == 0 ? 0 : now - share->updated;

	share->updated = now;
	if (local < 0) {
		share->local = 0;
		return;
	}
	if (step > STEP_MAX)
		step = STEP_MAX;
	share->local +=
	    share_rate(local, remote) * (double)step / (double)MSP_SECOND;
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
