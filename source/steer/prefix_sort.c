#include <stdlib.h>

#include "prefix_private.h"

/* Largest range, in blocks, that is sorted at once, with qsort(). */
#define SMALL_RANGE 4096

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
swap_blocks(msp_raw_block_t *a, msp_raw_block_t *b)
{
	msp_raw_block_t saved = *a;

	*a = *b;
	*b = saved;
}

static const msp_raw_block_t *
find_median(const msp_raw_block_t *a, const msp_raw_block_t *b,
    const msp_raw_block_t *c)
{
	if (compare_blocks(a, b) > 0) {
		const msp_raw_block_t *saved = a;

		a = b;
		b = saved;
	}
	if (compare_blocks(c, a) <= 0)
		return a;
	return compare_blocks(c, b) < 0 ? c : b;
}

static void
start_partition(msp_block_list_t *list, msp_sort_range_t range)
{
	size_t middle = range.from + (range.to - range.from) / 2;

	list->partition = (msp_sort_partition_t){
	    .active = true,
	    .range = range,
	    .pivot = *find_median(&list->blocks[range.from],
		&list->blocks[middle], &list->blocks[range.to - 1]),
	    .low = range.from,
	    .high = range.to - 1,
	};
}

/*
 * Hoare partition. Returns true once no block up to `high` sorts after any
 * block past it.
 */
static bool
step_partition(msp_block_list_t *list, size_t *budget)
{
	msp_sort_partition_t *partition = &list->partition;
	msp_raw_block_t *blocks = list->blocks;

	for (; *budget > 0; (*budget)--) {
		if (compare_blocks(&blocks[partition->low], &partition->pivot) <
		    0) {
			partition->low++;
			continue;
		}
		if (compare_blocks(
			&blocks[partition->high], &partition->pivot) > 0) {
			partition->high--;
			continue;
		}
		if (partition->low >= partition->high)
			return true;
		swap_blocks(
		    &blocks[partition->low++], &blocks[partition->high--]);
	}
	return false;
}

static void
sort_range(msp_block_list_t *list, msp_sort_range_t range)
{
	qsort(list->blocks + range.from, range.to - range.from,
	    sizeof(msp_raw_block_t), compare_blocks);
}

/*
 * Pushes both parts, the smaller one last so that it is sorted first. This
 * bounds the number of pending ranges.
 */
static void
end_partition(msp_block_list_t *list)
{
	msp_sort_range_t range = list->partition.range;
	size_t middle = list->partition.high + 1;
	msp_sort_range_t low = {range.from, middle};
	msp_sort_range_t high = {middle, range.to};
	bool low_is_larger = middle - range.from > range.to - middle;

	list->partition.active = false;
	if (middle == range.from || middle == range.to) {
		sort_range(list, range);
		return;
	}
	list->ranges[list->range_count++] = low_is_larger ? low : high;
	list->ranges[list->range_count++] = low_is_larger ? high : low;
}

static void
start_range(msp_block_list_t *list, size_t *budget)
{
	msp_sort_range_t range = list->ranges[--list->range_count];
	size_t size = range.to - range.from;

	if (size > SMALL_RANGE &&
	    list->range_count + 2 <= MSP_SORT_RANGES_MAX) {
		start_partition(list, range);
		return;
	}
	sort_range(list, range);
	*budget -= size < *budget ? size : *budget;
}

bool
msp_step_sort(msp_block_list_t *list, size_t *budget)
{
	if (!list->started && list->count > 0)
		list->ranges[list->range_count++] =
		    (msp_sort_range_t){0, list->count};
	list->started = true;
	while (list->partition.active || list->range_count > 0) {
		if (*budget == 0)
			return false;
		if (!list->partition.active)
			start_range(list, budget);
		else if (step_partition(list, budget))
			end_partition(list);
	}
	return true;
}
