#include <stdlib.h>

#include "prefix_private.h"

#define SMALL_RANGE 4096 /* blocks that qsort() takes at once */

static int
compare_blocks(const void *a, const void *b)
{
	const msp_raw_block_t *first = a;
	const msp_raw_block_t *second = b;
	uint64_t first_bits = msp_block_bits(first);
	uint64_t second_bits = msp_block_bits(second);

	if (first_bits != second_bits)
		return first_bits < second_bits ? -1 : 1;
	return (int)first->length - (int)second->length;
}

static void
exchange(msp_raw_block_t *a, msp_raw_block_t *b)
{
	msp_raw_block_t kept = *a;

	*a = *b;
	*b = kept;
}

static const msp_raw_block_t *
median(const msp_raw_block_t *a, const msp_raw_block_t *b,
    const msp_raw_block_t *c)
{
	if (compare_blocks(a, b) > 0) {
		const msp_raw_block_t *kept = a;

		a = b;
		b = kept;
	}
	if (compare_blocks(c, a) <= 0)
		return a;
	return compare_blocks(c, b) < 0 ? c : b;
}

/* Splits the range in two around a middle value. */
static size_t
split(msp_raw_block_t *blocks, size_t from, size_t to)
{
	msp_raw_block_t pivot = *median(
	    &blocks[from], &blocks[from + (to - from) / 2], &blocks[to - 1]);
	size_t low = from;
	size_t high = to - 1;

	for (;;) {
		while (compare_blocks(&blocks[low], &pivot) < 0)
			low++;
		while (compare_blocks(&blocks[high], &pivot) > 0)
			high--;
		if (low >= high)
			return high + 1;
		exchange(&blocks[low++], &blocks[high--]);
	}
}

bool
msp_step_sort(msp_block_list_t *list, size_t *work)
{
	if (!list->started && list->count > 0) {
		list->ranges[list->range_count++] =
		    (msp_sort_range_t){0, list->count};
	}
	list->started = true;
	while (list->range_count > 0) {
		msp_sort_range_t range = list->ranges[--list->range_count];
		size_t size = range.to - range.from;
		size_t middle;

		if (*work == 0) {
			list->range_count++;
			return false;
		}
		*work -= size < *work ? size : *work;
		if (size <= SMALL_RANGE ||
		    list->range_count + 2 > MSP_SORT_RANGES_MAX) {
			qsort(list->blocks + range.from, size,
			    sizeof(msp_raw_block_t), compare_blocks);
			continue;
		}
		middle = split(list->blocks, range.from, range.to);
		if (middle - range.from == size || middle == range.from) {
			qsort(list->blocks + range.from, size,
			    sizeof(msp_raw_block_t), compare_blocks);
			continue;
		}
		/* The smaller part next, so that few are put off. */
		if (middle - range.from > size / 2) {
			list->ranges[list->range_count++] =
			    (msp_sort_range_t){range.from, middle};
			list->ranges[list->range_count++] =
			    (msp_sort_range_t){middle, range.to};
		} else {
			list->ranges[list->range_count++] =
			    (msp_sort_range_t){middle, range.to};
			list->ranges[list->range_count++] =
			    (msp_sort_range_t){range.from, middle};
		}
	}
	return true;
}
