#ifndef MONSOONSPINDLE_STEER_REGION_SHARE_H
#define MONSOONSPINDLE_STEER_REGION_SHARE_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * How much of a service's work stays in this VM's region, and which region
 * gets the rest. The share moves slowly, so that no shift between regions is
 * larger than MSP_SHARE_SLEW a second, and follows how busy the targets of
 * this region are against those of the others. Requests are dealt out by smooth
 * weighted round robin: drawn at random, the shares of two short windows would
 * differ by more than they move.
 */
typedef struct msp_region_share msp_region_share_t;

#define MSP_SHARE_REGIONS_MAX 32
#define MSP_SHARE_SLEW 0.04 /* of all requests, a second */

/* What is known of the targets of one service in one region. */
typedef struct msp_region_room {
	const char *region;
	double slots; /* of the targets that may get requests */
	double busy; /* requests that they hold */
} msp_region_room_t;

/* Returns NULL without memory. */
msp_region_share_t *msp_new_region_share(const msp_env_t *env);
void msp_drop_region_share(msp_region_share_t *share);

/*
 * Takes in the room of all regions, this VM's own first, whether or not it has
 * targets. Call it for each request or some times a second.
 */
void msp_update_region_share(msp_region_share_t *share,
    const msp_region_room_t *rooms, size_t count);

/*
 * The region of the next request; one of those of the last update, or NULL if
 * none has targets.
 */
const char *msp_share_request(msp_region_share_t *share);

/* The share that stays here, 0 to 1. */
double msp_local_share(const msp_region_share_t *share);

/* Another VM of this region has that share; a new one takes it over. */
void msp_adopt_local_share(msp_region_share_t *share, double local);

#endif
