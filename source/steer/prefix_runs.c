#include <stdlib.h>

#include "prefix_private.h"

void
msp_clear_runs(msp_prefix_runs_t *runs)
{
	free(runs->starts32);
	free(runs->starts64);
	free(runs->places);
	runs->starts32 = NULL;
	runs->starts64 = NULL;
	runs->places = NULL;
	runs->count = 0;
}

/* Allocates the most runs that `blocks` blocks can produce. */
static msp_status_t
allocate_runs(msp_prefix_runs_t *runs, size_t blocks)
{
	size_t capacity = 2 * blocks + 1;

	if (runs->is_64_bit)
		runs->starts64 = malloc(capacity * sizeof(uint64_t));
	else
		runs->starts32 = malloc(capacity * sizeof(uint32_t));
	runs->places = malloc(capacity * sizeof(uint16_t));
	if ((runs->starts32 == NULL && runs->starts64 == NULL) ||
	    runs->places == NULL)
		return msp_fail(
		    MSP_E_NO_MEMORY, "no memory for %zu blocks", blocks);
	return MSP_OK;
}

/* Frees unused capacity. A failure is harmless: the larger array is kept. */
static void
shrink_runs(msp_prefix_runs_t *runs)
{
	void *starts = runs->is_64_bit
	    ? realloc(runs->starts64, runs->count * sizeof(uint64_t))
	    : realloc(runs->starts32, runs->count * sizeof(uint32_t));
	uint16_t *places =
	    realloc(runs->places, runs->count * sizeof(uint16_t));

	if (starts != NULL && runs->is_64_bit)
		runs->starts64 = starts;
	if (starts != NULL && !runs->is_64_bit)
		runs->starts32 = starts;
	if (places != NULL)
		runs->places = places;
}

/* Starts a run of `place` at `start`, unless it continues the last run. */
static void
add_run(msp_prefix_runs_t *runs, uint64_t start, uint16_t place)
{
	if (runs->count > 0 && msp_run_start(runs, runs->count - 1) == start)
		runs->count--;
	if (runs->count > 0 && runs->places[runs->count - 1] == place)
		return;
	if (runs->is_64_bit)
		runs->starts64[runs->count] = start;
	else
		runs->starts32[runs->count] = (uint32_t)(start >> 32);
	runs->places[runs->count++] = place;
}

/* The first address after the block; 0 if it ends with the last address. */
static uint64_t
find_block_end(const msp_raw_block_t *block)
{
	if (block->length == 0)
		return 0;
	return msp_block_bits(block) + ((uint64_t)1 << (64 - block->length));
}

/*
 * Removes the enclosing blocks that end at or before `start`, or all of them.
 * At the end of each, a run of the next enclosing block starts.
 */
static void
pop_blocks(
    msp_block_list_t *list, msp_prefix_runs_t *runs, uint64_t start, bool all)
{
	while (list->enclosing_count > 0) {
		uint64_t end =
		    find_block_end(&list->enclosing[list->enclosing_count - 1]);

		if (end == 0 || (!all && end > start))
			return;
		list->enclosing_count--;
		add_run(runs, end,
		    list->enclosing_count == 0
			? MSP_NO_PLACE
			: list->enclosing[list->enclosing_count - 1].place);
	}
}

static void
fill_index(msp_prefix_runs_t *runs)
{
	size_t run = 0;
	size_t prefix;

	for (prefix = 0; prefix < MSP_PREFIX_INDEX_SIZE; prefix++) {
		uint64_t start = (uint64_t)prefix << 48;

		while (run + 1 < runs->count &&
		    msp_run_start(runs, run + 1) <= start)
			run++;
		runs->index[prefix] = (uint32_t)run;
	}
	runs->index[MSP_PREFIX_INDEX_SIZE] = (uint32_t)(runs->count - 1);
}

static bool
is_same_block(const msp_raw_block_t *a, const msp_raw_block_t *b)
{
	return msp_block_bits(a) == msp_block_bits(b) && a->length == b->length;
}

static msp_status_t
convert_block(msp_block_list_t *list, msp_prefix_runs_t *runs)
{
	const msp_raw_block_t *block = &list->blocks[list->next_block++];
	const msp_raw_block_t *last;

	pop_blocks(list, runs, msp_block_bits(block), false);
	last = list->enclosing_count > 0
	    ? &list->enclosing[list->enclosing_count - 1]
	    : NULL;
	if (last != NULL && is_same_block(last, block)) {
		if (last->place == block->place)
			return MSP_OK;
		return msp_fail(MSP_E_EXISTS,
		    "a block of %u bits has the places %u and %u",
		    block->length, last->place, block->place);
	}
	list->enclosing[list->enclosing_count++] = *block;
	add_run(runs, msp_block_bits(block), block->place);
	return MSP_OK;
}

msp_status_t
msp_step_run_build(
    msp_block_list_t *list, msp_prefix_runs_t *runs, size_t *budget, bool *done)
{
	msp_status_t status;

	*done = false;
	if (runs->places == NULL) {
		status = allocate_runs(runs, list->count);
		if (status != MSP_OK)
			return status;
		add_run(runs, 0, MSP_NO_PLACE);
	}
	for (; (list->next_block < list->count) && *budget > 0; (*budget)--) {
		status = convert_block(list, runs);
		if (status != MSP_OK)
			return status;
	}
	if (list->next_block < list->count)
		return MSP_OK;
	pop_blocks(list, runs, 0, true);
	shrink_runs(runs);
	fill_index(runs);
	*done = true;
	return MSP_OK;
}
