#include "bucket.h"

void
msp_fill_bucket(msp_bucket_t *bucket, msp_time_t now)
{
	double span = (double)(now - bucket->filled) / (double)MSP_SECOND;

	bucket->filled = now;
	bucket->level += bucket->rate * span;
	if (bucket->level > bucket->burst)
		bucket->level = bucket->burst;
}

void
msp_set_bucket(msp_bucket_t *bucket, double cap, double burst_part,
    double least_burst, msp_time_t now)
{
	double burst = cap / burst_part;

	msp_fill_bucket(bucket, now);
	if (burst < least_burst)
		burst = least_burst;
	if (burst > cap)
		burst = cap;
	bucket->burst = burst;
	/* Under two, the second token comes a second after the first. */
	bucket->rate = cap < 2 ? cap : cap - burst;
	if (bucket->level > burst)
		bucket->level = burst;
}

void
msp_limit_bucket(
    msp_bucket_t *bucket, double rate, double burst_part, double least_burst)
{
	double burst = rate / burst_part;

	if (burst < least_burst)
		burst = least_burst;
	if (rate <= 0)
		burst = 0;
	if (bucket->rate > rate)
		bucket->rate = rate;
	if (bucket->burst > burst)
		bucket->burst = burst;
	if (bucket->level > bucket->burst)
		bucket->level = bucket->burst;
}

msp_time_t
msp_bucket_wait(const msp_bucket_t *bucket, double level)
{
	if (bucket->level >= level)
		return 0;
	if (bucket->rate <= 0 || level > bucket->burst)
		return MSP_NEVER;
	return (msp_time_t)((level - bucket->level) / bucket->rate *
		   (double)MSP_SECOND) +
	    1;
}
