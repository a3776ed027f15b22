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

static void
start_split(msp_block_list_t *list, msp_sort_range_t range)
{
	size_t middle = range.from + (range.to - range.from) / 2;

	list->partition = (msp_sort_partition_t){
	    .active = true,
	    .range = range,
	    .pivot = *median(&list->blocks[range.from], &list->blocks[middle],
		&list->blocks[range.to - 1]),
	    .low = range.from,
	    .high = range.to - 1,
	};
}

/* True when all before high + 1 sort no later than all from there on. */
static bool
step_split(msp_block_list_t *list, size_t *work)
{
	msp_sort_partition_t *split = &list->partition;
	msp_raw_block_t *blocks = list->blocks;

	for (; *work > 0; (*work)--) {
		if (compare_blocks(&blocks[split->low], &split->pivot) < 0) {
			split->low++;
			continue;
		}
		if (compare_blocks(&blocks[split->high], &split->pivot) > 0) {
			split->high--;
			continue;
		}
		if (split->low >= split->high)
			return true;
		exchange(&blocks[split->low++], &blocks[split->high--]);
	}
	return false;
}

static void
sort_at_once(msp_block_list_t *list, msp_sort_range_t range)
{
	qsort(list->blocks + range.from, range.to - range.from,
	    sizeof(msp_raw_block_t), compare_blocks);
}

/* Puts off both parts, the smaller one for less long, so that few wait. */
static void
end_split(msp_block_list_t *list)
{
	msp_sort_range_t range = list->partition.range;
	size_t middle = list->partition.high + 1;
	msp_sort_range_t low = {range.from, middle};
	msp_sort_range_t high = {middle, range.to};
	bool low_is_larger = middle - range.from > range.to - middle;

	list->partition.active = false;
	if (middle == range.from || middle == range.to) {
		sort_at_once(list, range);
		return;
	}
	list->ranges[list->range_count++] = low_is_larger ? low : high;
	list->ranges[list->range_count++] = low_is_larger ? high : low;
}

static void
start_range(msp_block_list_t *list, size_t *work)
{
	msp_sort_range_t range = list->ranges[--list->range_count];
	size_t size = range.to - range.from;

	if (size > SMALL_RANGE &&
	    list->range_count + 2 <= MSP_SORT_RANGES_MAX) {
		start_split(list, range);
		return;
	}
	sort_at_once(list, range);
	*work -= size < *work ? size : *work;
}

bool
msp_step_sort(msp_block_list_t *list, size_t *work)
{
	if (!list->started && list->count > 0)
		list->ranges[list->range_count++] =
		    (msp_sort_range_t){0, list->count};
	list->started = true;
	while (list->partition.active || list->range_count > 0) {
		if (*work == 0)
			return false;
		if (!list->partition.active)
			start_range(list, work);
		else if (step_split(list, work))
			end_split(list);
	}
	return true;
}
