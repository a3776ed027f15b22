#include "monsoonspindle/base/histogram.h"

#include <inttypes.h>
#include <stddef.h>

/* Each power of two is divided into SUB_BUCKETS equal buckets. */
#define SUB_BITS 4
#define SUB_BUCKETS (1U << SUB_BITS)

static size_t
bucket_index(uint64_t value)
{
	unsigned int shift;
	size_t index;

	if (value < SUB_BUCKETS)
		return (size_t)value;
	shift = 63U - (unsigned int)__builtin_clzll(value) - SUB_BITS;
	index = (size_t)(shift + 1) * SUB_BUCKETS +
	    (size_t)((value >> shift) - SUB_BUCKETS);
	return index < MSP_HISTOGRAM_BUCKETS ? index
					     : MSP_HISTOGRAM_BUCKETS - 1;
}

static uint64_t
upper_bound(size_t index)
{
	unsigned int shift;

	if (index < SUB_BUCKETS)
		return index;
	shift = (unsigned int)(index / SUB_BUCKETS) - 1;
	return ((uint64_t)(index % SUB_BUCKETS + SUB_BUCKETS + 1) << shift) - 1;
}

void
msp_record_value(msp_histogram_t *histogram, uint64_t value)
{
	histogram->count++;
	histogram->sum += value;
	histogram->buckets[bucket_index(value)]++;
	if (value > histogram->max)
		histogram->max = value;
}

uint64_t
msp_quantile(const msp_histogram_t *histogram, double q)
{
	uint64_t rank;
	uint64_t cumulative = 0;
	uint64_t bound;
	size_t i;

	if (histogram->count == 0)
		return 0;
	rank = (uint64_t)(q * (double)(histogram->count - 1)) + 1;
	for (i = 0; i < MSP_HISTOGRAM_BUCKETS; i++) {
		cumulative += histogram->buckets[i];
		if (cumulative < rank)
			continue;
		bound = upper_bound(i);
		return bound < histogram->max ? bound : histogram->max;
	}
	return histogram->max;
}

/* Counts all values in buckets up to the one that contains `bound`. */
static uint64_t
count_up_to(const msp_histogram_t *histogram, uint64_t bound)
{
	uint64_t count = 0;
	size_t last = bucket_index(bound);
	size_t i;

	for (i = 0; i <= last; i++)
		count += histogram->buckets[i];
	return count;
}

msp_status_t
msp_print_histogram(const msp_histogram_t *histogram, const char *name,
    const char *labels, const uint64_t *bounds, size_t count, msp_buffer_t *out)
{
	const char *comma = labels[0] == '\0' ? "" : ",";
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < count && status == MSP_OK; i++)
		status = msp_append_printf(out,
		    "%s_bucket{%s%sle=\"%" PRIu64 "\"} %" PRIu64 "\n", name,
		    labels, comma, bounds[i],
		    count_up_to(histogram, bounds[i]));
	if (status != MSP_OK)
		return status;
	return msp_append_printf(out,
	    "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n"
	    "%s_sum{%s} %" PRIu64 "\n%s_count{%s} %" PRIu64 "\n",
	    name, labels, comma, histogram->count, name, labels, histogram->sum,
	    name, labels, histogram->count);
}

void
msp_decay_histogram(msp_histogram_t *histogram)
{
	size_t i;

	histogram->count = 0;
	for (i = 0; i < MSP_HISTOGRAM_BUCKETS; i++) {
		histogram->buckets[i] /= 2;
		histogram->count += histogram->buckets[i];
	}
}
