#ifndef MONSOONSPINDLE_STEER_REGION_SHARE_H
#define MONSOONSPINDLE_STEER_REGION_SHARE_H

#include <stdbool.h>

#include "monsoonspindle/base/env.h"

/*
 * The share of a service's requests that stays in this VM's region. The rest
 * goes to the target that ranks first for the object over all regions. That
 * target warms up soonest, so the share starts at 0. It grows while the
 * region's targets have capacity to cache objects of their own, and falls while
 * they are busy. It changes by at most MSP_SHARE_SLEW_RATE per second, which
 * limits how fast load moves between regions.
 *
 * Requests are assigned as in deficit round robin, so that every run of
 * requests has its exact share: with random draws, two short windows would
 * differ by more than the share changes.
 */
typedef struct msp_region_share {
	double local; /* share that stays, 0 to 1 */
	double deficit; /* requests due to stay, not yet assigned */
	msp_time_t updated; /* 0: never */
} msp_region_share_t;

#define MSP_SHARE_SLEW_RATE 0.04 /* of all requests, per second */

/*
 * Updates the share from the utilisation, in requests per slot, of this region
 * and of all others. `local` is negative if this region has no target.
 */
void msp_update_region_share(
    msp_region_share_t *share, msp_time_t now, double local, double remote);

/* Assigns the next request; returns whether it stays in this region. */
bool msp_assign_to_region(msp_region_share_t *share);

#endif
