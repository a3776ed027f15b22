#include "monsoonspindle/base/histogram.h"

#include <stddef.h>

#define SUB_BITS 4
#define SUB_BUCKETS (1U << SUB_BITS)

static size_t
bucket_of(uint64_t value)
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
upper_edge(size_t index)
{
	unsigned int shift;

	if (index < SUB_BUCKETS)
		return index;
	shift = (unsigned int)(index / SUB_BUCKETS) - 1;
	return ((uint64_t)(index % SUB_BUCKETS + SUB_BUCKETS + 1) << shift) - 1;
}

void
msp_record(msp_histogram_t *histogram, uint64_t value)
{
	histogram->count++;
	histogram->buckets[bucket_of(value)]++;
	if (value > histogram->max)
		histogram->max = value;
}

uint64_t
msp_quantile(const msp_histogram_t *histogram, double q)
{
	uint64_t rank;
	uint64_t seen = 0;
	uint64_t edge;
	size_t i;

	if (histogram->count == 0)
		return 0;
	rank = (uint64_t)(q * (double)(histogram->count - 1)) + 1;
	for (i = 0; i < MSP_HISTOGRAM_BUCKETS; i++) {
		seen += histogram->buckets[i];
		if (seen < rank)
			continue;
		edge = upper_edge(i);
		return edge < histogram->max ? edge : histogram->max;
	}
	return histogram->max;
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
