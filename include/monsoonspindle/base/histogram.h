#ifndef MONSOONSPINDLE_BASE_HISTOGRAM_H
#define MONSOONSPINDLE_BASE_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/buffer.h"

#define MSP_HISTOGRAM_BUCKETS 512

/*
 * A histogram with 16 buckets per power of two, so that a quantile is at most
 * 6.25% too high. Zero-initialise it. The caller chooses the unit.
 */
typedef struct msp_histogram {
	uint64_t count;
	uint64_t sum;
	uint64_t max;
	uint64_t buckets[MSP_HISTOGRAM_BUCKETS];
} msp_histogram_t;

void msp_record_value(msp_histogram_t *histogram, uint64_t value);

/* Returns the upper bound of the bucket that holds quantile `q` (0 to 1). */
uint64_t msp_quantile(const msp_histogram_t *histogram, double q);

/*
 * Appends the histogram in the Prometheus text format, with cumulative counts
 * for the ascending `bounds`. `labels` is "" or like `outcome="answered"`.
 */
msp_status_t msp_print_histogram(const msp_histogram_t *histogram,
    const char *name, const char *labels, const uint64_t *bounds, size_t count,
    msp_buffer_t *out);

/* Halves all bucket counts, so that older values weigh less. */
void msp_decay_histogram(msp_histogram_t *histogram);

#endif
