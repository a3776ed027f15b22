#include "token_bucket.h"

void
msp_refill_token_bucket(msp_token_bucket_t *bucket, msp_time_t now)
{
	double seconds =
	    (double)(now - bucket->refilled_at) / (double)MSP_SECOND;

	bucket->refilled_at = now;
	bucket->tokens += bucket->rate * seconds;
	if (bucket->tokens > bucket->burst)
		bucket->tokens = bucket->burst;
}

void
msp_set_token_bucket(msp_token_bucket_t *bucket, double cap,
    double burst_divisor, double min_burst, msp_time_t now)
{
	double burst = cap / burst_divisor;

	msp_refill_token_bucket(bucket, now);
	if (burst < min_burst)
		burst = min_burst;
	if (burst > cap)
		burst = cap;
	bucket->burst = burst;
	/* Below 2, the second token comes a second after the first. */
	bucket->rate = cap < 2 ? cap : cap - burst;
	if (bucket->tokens > burst)
		bucket->tokens = burst;
}

void
msp_limit_token_bucket(msp_token_bucket_t *bucket, double rate,
    double burst_divisor, double min_burst)
{
	double burst = rate / burst_divisor;

	if (burst < min_burst)
		burst = min_burst;
	if (rate <= 0)
		burst = 0;
	if (bucket->rate > rate)
		bucket->rate = rate;
	if (bucket->burst > burst)
		bucket->burst = burst;
	if (bucket->tokens > bucket->burst)
		bucket->tokens = bucket->burst;
}

msp_time_t
msp_token_bucket_wait(const msp_token_bucket_t *bucket, double level)
{
	if (bucket->tokens >= level)
		return 0;
	if (bucket->rate <= 0 || level > bucket->burst)
		return MSP_NEVER;
	return (msp_time_t)((level - bucket->tokens) / bucket->rate *
		   (double)MSP_SECOND) +
	    1;
}
