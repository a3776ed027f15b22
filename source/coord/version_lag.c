#include "monsoonspindle/coord/version_lag.h"

void
msp_update_version_lag(
    msp_version_lag_t *lag, msp_time_t now, uint64_t own, uint64_t newest)
{
	if (own >= newest)
		lag->since = 0;
	else if (lag->since == 0 || own != lag->own)
		lag->since = now;
	lag->own = own;
	lag->newest = newest;
}

bool
msp_version_is_outdated(
    const msp_version_lag_t *lag, msp_time_t now, msp_time_t tolerance)
{
	return lag->since != 0 && now >= lag->since + tolerance;
}
