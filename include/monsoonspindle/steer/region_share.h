#ifndef MONSOONSPINDLE_STEER_REGION_SHARE_H
#define MONSOONSPINDLE_STEER_REGION_SHARE_H

#include <stdbool.h>

#include "monsoonspindle/base/env.h"

/*
 * How much of a service's work is kept in this VM's region. The rest goes to
 * the one target of all regions that an object belongs to. That one is warm
 * soonest, so a VM starts with nothing kept; while the targets of its region
 * have room to warm up a copy of their own, the share grows, and it falls when
 * they are busy. It moves slowly, so that no shift between regions is larger
 * than MSP_SHARE_SLEW_RATE a second.
 *
 * Requests are dealt out so that each run of them has its share: drawn at
 * random, two short windows would differ by more than the share moves.
 */
typedef struct msp_region_share {
	double local; /* 0 to 1 */
	double deficit; /* requests that are to stay here */
	msp_time_t updated; /* 0: never */
} msp_region_share_t;

#define MSP_SHARE_SLEW_RATE 0.04 /* of all requests, a second */

/*
 * Takes in how busy the slots of this region and of the others are, as
 * requests a slot; `here` is negative if the region has no target.
 */
void msp_update_region_share(
    msp_region_share_t *share, msp_time_t now, double here, double elsewhere);

/* Whether the next request stays in this region. */
bool msp_assign_to_region(msp_region_share_t *share);

#endif
