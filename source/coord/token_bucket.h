#ifndef SOURCE_COORD_TOKEN_BUCKET_H
#define SOURCE_COORD_TOKEN_BUCKET_H

#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * A token bucket whose rate and burst add up to at most a cap, so that no more
 * than the cap passes in any window of one second. Zero-initialise.
 */
typedef struct msp_token_bucket {
	double tokens; /* negative: debt */
	double rate; /* tokens per second */
	double burst;
	msp_time_t refilled_at; /* when `tokens` was last computed */
} msp_token_bucket_t;

/*
 * Sets the cap. The burst is the cap divided by `burst_divisor`, but at least
 * `min_burst`. Raising the cap doesn't add tokens.
 */
void msp_set_token_bucket(msp_token_bucket_t *bucket, double cap,
    double burst_divisor, double min_burst, msp_time_t now);

/* Limits the rate of a bucket that was just set, and its burst accordingly. */
void msp_limit_token_bucket(msp_token_bucket_t *bucket, double rate,
    double burst_divisor, double min_burst);

void msp_refill_token_bucket(msp_token_bucket_t *bucket, msp_time_t now);

/* Returns the time until the bucket has `level` tokens, or MSP_NEVER. */
msp_time_t msp_token_bucket_wait(
    const msp_token_bucket_t *bucket, double level);

#endif
