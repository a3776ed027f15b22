#ifndef MONSOONSPINDLE_BASE_HISTOGRAM_H
#define MONSOONSPINDLE_BASE_HISTOGRAM_H

#include <stdint.h>

#define MSP_HISTOGRAM_BUCKETS 512

/*
 * Counts of values in buckets of even relative width (16 a power of two, so a
 * quantile is at most 6.25% high). Zero-initialise. Unit: the caller's.
 */
typedef struct msp_histogram {
	uint64_t count;
	uint64_t max;
	uint64_t buckets[MSP_HISTOGRAM_BUCKETS];
} msp_histogram_t;

void msp_record(msp_histogram_t *histogram, uint64_t value);

/* Returns the upper edge of the bucket that holds quantile `q` (0 to 1). */
uint64_t msp_quantile(const msp_histogram_t *histogram, double q);

/* Halves all counts, so that older values weigh less. */
void msp_decay_histogram(msp_histogram_t *histogram);

#endif
