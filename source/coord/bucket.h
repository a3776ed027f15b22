#ifndef SOURCE_COORD_BUCKET_H
#define SOURCE_COORD_BUCKET_H

#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * A token bucket whose rate and burst together stay at or under a cap, so that
 * what passes in any window of one second does too. Zero-initialise.
 */
typedef struct msp_bucket {
	double level; /* tokens; negative: owed */
	double rate; /* a second */
	double burst;
	msp_time_t filled; /* when the level was last computed */
} msp_bucket_t;

/*
 * Sets the cap, of which one part in `burst_part` is the burst, at least
 * `least_burst`. A raised cap does not raise the level.
 */
void msp_set_bucket(msp_bucket_t *bucket, double cap, double burst_part,
    double least_burst, msp_time_t now);

/* Lowers a bucket that was just set to a rate that may be less than its own. */
void msp_limit_bucket(
    msp_bucket_t *bucket, double rate, double burst_part, double least_burst);

void msp_fill_bucket(msp_bucket_t *bucket, msp_time_t now);

/* Time until the level is at least `level`, or MSP_NEVER. */
msp_time_t msp_bucket_wait(const msp_bucket_t *bucket, double level);

#endif
