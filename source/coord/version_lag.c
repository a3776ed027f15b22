#include "monsoonspindle/coord/version_lag.h"

#include <string.h>

/* Forgets the versions that the own one has reached. */
static void
drop_reached(msp_version_lag_t *lag, uint64_t own)
{
	size_t reached = 0;

	while (reached < lag->count && lag->newer[reached].version <= own)
		reached++;
	lag->count -= reached;
	memmove(
	    lag->newer, lag->newer + reached, lag->count * sizeof(*lag->newer));
}

void
msp_update_version_lag(
    msp_version_lag_t *lag, msp_time_t now, uint64_t own, uint64_t newest)
{
	size_t last;

	if (newest > lag->newest)
		lag->newest = newest;
	drop_reached(lag, own);
	last = lag->count;
	if (lag->newest <= own ||
	    (last > 0 && lag->newer[last - 1].version == lag->newest))
		return;
	if (last == MSP_VERSION_LAG_MAX)
		last--;
	else
		lag->count++;
	lag->newer[last] = (msp_newer_version_t){lag->newest, now};
}

bool
msp_version_is_outdated(
    const msp_version_lag_t *lag, msp_time_t now, msp_time_t tolerance)
{
	return lag->count > 0 && now >= lag->newer[0].known_since + tolerance;
}
