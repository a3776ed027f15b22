#ifndef SOURCE_COORD_TOKEN_BUCKET_H
#define SOURCE_COORD_TOKEN_BUCKET_H

#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * A token bucket whose rate and burst together stay at or under a cap, so that
 * what passes in any window of one second does too. Zero-initialise.
 */
typedef struct msp_token_bucket {
	double tokens; /* tokens; negative: owed */
	double rate; /* a second */
	double burst;
	msp_time_t refilled_at; /* when the level was last computed */
} msp_token_bucket_t;

/*
 * Sets the cap, of which one part in `burst_part` is the burst, at least
 * `least_burst`. A raised cap does not raise the level.
 */
void msp_set_token_bucket(msp_token_bucket_t *bucket, double cap,
    double burst_part, double least_burst, msp_time_t now);

/* Lowers a bucket that was just set to a rate that may be less than its own. */
void msp_limit_token_bucket(msp_token_bucket_t *bucket, double rate,
    double burst_part, double least_burst);

void msp_refill_token_bucket(msp_token_bucket_t *bucket, msp_time_t now);

/* Time until the level is at least `level`, or MSP_NEVER. */
msp_time_t msp_token_bucket_wait(
    const msp_token_bucket_t *bucket, double level);

#endif
