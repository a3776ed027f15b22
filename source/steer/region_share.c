#include "monsoonspindle/steer/region_share.h"

#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BUSY_HIGH 0.75 /* use of this region's slots above which work goes */
#define BUSY_LOW 0.60 /* and below which it comes back */
#define SHARE_MIN 0.1 /* that always stays, while there are targets */
#define USE_SPAN (1 * MSP_SECOND) /* over which use is averaged */
#define GAIN 0.25 /* a second, for each whole unit of use off */
#define STEP_MAX (250 * MSP_MS) /* of one update: idle time moves nothing */
#define REGION_SIZE 128

typedef struct known_region {
	char name[REGION_SIZE];
	double slots;
	double use; /* moving mean of busy / slots */
	double owed; /* requests that it is to get */
} known_region_t;

struct msp_region_share {
	msp_env_t env;
	bool started;
	double local;
	msp_time_t updated;
	known_region_t regions[MSP_SHARE_REGIONS_MAX]; /* own region first */
	size_t count;
};

msp_region_share_t *
msp_new_region_share(const msp_env_t *env)
{
	msp_region_share_t *share = calloc(1, sizeof(*share));

	if (share == NULL)
		return NULL;
	share->env = *env;
	share->local = 1;
	return share;
}

void
msp_drop_region_share(msp_region_share_t *share)
{
	free(share);
}

static known_region_t *
find_region(msp_region_share_t *share, const char *name)
{
	size_t i;

	for (i = 0; i < share->count; i++) {
		if (strcmp(share->regions[i].name, name) == 0)
			return &share->regions[i];
	}
	if (share->count == MSP_SHARE_REGIONS_MAX)
		return NULL;
	snprintf(share->regions[share->count].name, REGION_SIZE, "%s", name);
	return &share->regions[share->count++];
}

static void
note_room(
    msp_region_share_t *share, const msp_region_room_t *room, double weight)
{
	known_region_t *region = find_region(share, room->region);
	double use = room->slots > 0 ? room->busy / room->slots : 0;

	if (region == NULL)
		return;
	if (region->slots == 0)
		region->use = use;
	region->slots = room->slots;
	region->use += (use - region->use) * weight;
}

/* Use of all other regions together; 1 without any. */
static double
use_elsewhere(const msp_region_share_t *share)
{
	double slots = 0;
	double busy = 0;
	size_t i;

	for (i = 1; i < share->count; i++) {
		slots += share->regions[i].slots;
		busy += share->regions[i].slots * share->regions[i].use;
	}
	return slots > 0 ? busy / slots : 1;
}

/*
 * At the start nothing is known of the load: each region is taken to ask for
 * the same, and a small one keeps what its slots are to the mean.
 */
static double
first_share(const msp_region_share_t *share)
{
	double total = 0;
	size_t with_targets = 0;
	size_t i;

	for (i = 0; i < share->count; i++) {
		total += share->regions[i].slots;
		with_targets += share->regions[i].slots > 0 ? 1 : 0;
	}
	if (with_targets < 2 || share->regions[0].slots == 0)
		return 1;
	return fmin(
	    1, share->regions[0].slots / (total / (double)share->count));
}

/* How fast the share should move, a second. */
static double
drift(const msp_region_share_t *share)
{
	double here = share->regions[0].use;
	double there = use_elsewhere(share);
	double rate = 0;

	if (here > BUSY_HIGH && there < here)
		rate = -GAIN * (here - fmax(BUSY_HIGH, there));
	else if (here < BUSY_LOW || there > here)
		rate = GAIN * (fmax(BUSY_LOW, there) - here);
	return fmax(-MSP_SHARE_SLEW, fmin(MSP_SHARE_SLEW, rate));
}

void
msp_update_region_share(msp_region_share_t *share,
    const msp_region_room_t *rooms, size_t count)
{
	msp_time_t now = msp_now(&share->env);
	msp_time_t step = share->started ? now - share->updated : STEP_MAX;
	double seconds;
	size_t i;

	if (step == 0)
		return;
	if (step > STEP_MAX)
		step = STEP_MAX;
	seconds = (double)step / (double)MSP_SECOND;
	for (i = 0; i < count; i++)
		note_room(share, &rooms[i],
		    1 - exp(-(double)step / (double)USE_SPAN));
	share->updated = now;
	if (!share->started) {
		share->started = true;
		share->local = first_share(share);
		return;
	}
	share->local += drift(share) * seconds;
	share->local = fmax(SHARE_MIN, fmin(1, share->local));
}

/* What a region is to get of all requests. */
static double
share_of(const msp_region_share_t *share, size_t index)
{
	double elsewhere = 0;
	size_t i;

	if (index == 0)
		return share->regions[0].slots > 0 ? share->local : 0;
	for (i = 1; i < share->count; i++)
		elsewhere += share->regions[i].slots;
	if (elsewhere <= 0)
		return 0;
	return (1 - share_of(share, 0)) * share->regions[index].slots /
	    elsewhere;
}

const char *
msp_share_request(msp_region_share_t *share)
{
	known_region_t *best = NULL;
	double total = 0;
	size_t i;

	for (i = 0; i < share->count; i++) {
		known_region_t *region = &share->regions[i];
		double part = share_of(share, i);

		if (part <= 0) {
			region->owed = 0;
			continue;
		}
		total += part;
		region->owed += part;
		if (best == NULL || region->owed > best->owed)
			best = region;
	}
	if (best == NULL)
		return NULL;
	best->owed -= total;
	return best->name;
}

double
msp_local_share(const msp_region_share_t *share)
{
	return share->local;
}

void
msp_adopt_local_share(msp_region_share_t *share, double local)
{
	share->local = fmax(SHARE_MIN, fmin(1, local));
	share->started = true;
	share->updated = msp_now(&share->env);
}
