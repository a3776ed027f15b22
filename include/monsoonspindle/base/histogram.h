#ifndef MONSOONSPINDLE_BASE_HISTOGRAM_H
#define MONSOONSPINDLE_BASE_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/buffer.h"

#define MSP_HISTOGRAM_BUCKETS 512

/*
 * Counts of values in buckets of even relative width (16 a power of two, so a
 * quantile is at most 6.25% high). Zero-initialise. Unit: the caller's.
 */
typedef struct msp_histogram {
	uint64_t count;
	uint64_t sum;
	uint64_t max;
	uint64_t buckets[MSP_HISTOGRAM_BUCKETS];
} msp_histogram_t;

void msp_record_value(msp_histogram_t *histogram, uint64_t value);

/* Returns the upper edge of the bucket that holds quantile `q` (0 to 1). */
uint64_t msp_quantile(const msp_histogram_t *histogram, double q);

/*
 * Appends the counts of values up to each of `bounds`, which grow, in the text
 * exposition format. `labels` is "" or such as `outcome="answered"`.
 */
msp_status_t msp_print_histogram(const msp_histogram_t *histogram,
    const char *name, const char *labels, const uint64_t *bounds, size_t count,
    msp_buffer_t *out);

/* Halves all counts, so that older values weigh less. */
void msp_decay_histogram(msp_histogram_t *histogram);

#endif
