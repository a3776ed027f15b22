#include "monsoonspindle/steer/prefix_table.h"

#include <stdlib.h>

#include "prefix_private.h"

#define INITIAL_BLOCKS 1024
#define RUN_BYTES(runs)                                              \
	(((runs)->is_64_bit ? sizeof(uint64_t) : sizeof(uint32_t)) + \
	    sizeof(uint16_t))

typedef enum build_stage {
	SORT_V4,
	SORT_V6,
	RUNS_V4,
	RUNS_V6,
	BUILT
} build_stage_t;

struct msp_prefix_builder {
	msp_block_list_t v4;
	msp_block_list_t v6;
	build_stage_t stage;
	msp_prefix_table_t *table;
};

msp_prefix_builder_t *
msp_new_prefix_builder(void)
{
	msp_prefix_builder_t *builder = calloc(1, sizeof(*builder));

	if (builder == NULL)
		msp_fail(MSP_E_NO_MEMORY, "no memory for a builder");
	return builder;
}

void
msp_drop_prefix_builder(msp_prefix_builder_t *builder)
{
	if (builder == NULL)
		return;
	free(builder->v4.blocks);
	free(builder->v6.blocks);
	msp_drop_prefix_table(builder->table);
	free(builder);
}

static msp_status_t
grow_list(msp_block_list_t *list)
{
	size_t capacity = list->capacity + list->capacity / 4 + INITIAL_BLOCKS;
	msp_raw_block_t *blocks;

	if (list->count < list->capacity)
		return MSP_OK;
	if (list->count >= MSP_CLIENT_BLOCKS_MAX)
		return msp_fail(MSP_E_TOO_LARGE, "more than %d blocks",
		    MSP_CLIENT_BLOCKS_MAX);
	blocks = realloc(list->blocks, capacity * sizeof(*blocks));
	if (blocks == NULL)
		return msp_fail(
		    MSP_E_NO_MEMORY, "no memory for %zu blocks", capacity);
	list->blocks = blocks;
	list->capacity = capacity;
	return MSP_OK;
}

msp_status_t
msp_add_client_block(msp_prefix_builder_t *builder,
    const msp_client_block_t *block, uint16_t place)
{
	msp_block_list_t *list =
	    block->address.v6 ? &builder->v6 : &builder->v4;
	uint64_t bits = block->address.bits;
	msp_status_t status;

	if (builder->stage != SORT_V4 || builder->v4.started)
		return msp_fail(
		    MSP_E_INTERNAL, "the table build has already started");
	if (block->length > (block->address.v6 ? 64 : 32) ||
	    (block->length < 64 && (bits << block->length) != 0) ||
	    place == MSP_NO_PLACE)
		return msp_fail(MSP_E_RANGE, "invalid client block or place");
	status = grow_list(list);
	if (status != MSP_OK)
		return status;
	list->blocks[list->count++] = (msp_raw_block_t){
	    .high = (uint32_t)(bits >> 32),
	    .low = (uint32_t)bits,
	    .place = place,
	    .length = block->length,
	};
	return MSP_OK;
}

static msp_status_t
step_stage(msp_prefix_builder_t *builder, size_t *budget, bool *done)
{
	switch (builder->stage) {
	case SORT_V4:
		*done = msp_step_sort(&builder->v4, budget);
		return MSP_OK;
	case SORT_V6:
		*done = msp_step_sort(&builder->v6, budget);
		return MSP_OK;
	case RUNS_V4:
		return msp_step_run_build(
		    &builder->v4, &builder->table->v4, budget, done);
	case RUNS_V6:
		return msp_step_run_build(
		    &builder->v6, &builder->table->v6, budget, done);
	case BUILT:
	default:
		return msp_fail(
		    MSP_E_INTERNAL, "the table build is already complete");
	}
}

msp_status_t
msp_step_prefix_build(
    msp_prefix_builder_t *builder, size_t budget, msp_prefix_table_t **table)
{
	msp_status_t status;
	bool done = true;

	*table = NULL;
	if (builder->table == NULL && builder->stage != BUILT) {
		builder->table = calloc(1, sizeof(*builder->table));
		if (builder->table == NULL)
			return msp_fail(
			    MSP_E_NO_MEMORY, "no memory for a table");
		builder->table->v6.is_64_bit = true;
	}
	while (done && budget > 0) {
		status = step_stage(builder, &budget, &done);
		if (status != MSP_OK)
			return status;
		if (!done)
			return MSP_OK;
		if (++builder->stage == BUILT)
			break;
	}
	if (builder->stage != BUILT)
		return MSP_OK;
	*table = builder->table;
	builder->table = NULL;
	return MSP_OK;
}

void
msp_replace_prefix_table(msp_prefix_table_t **table, msp_prefix_table_t *next)
{
	msp_drop_prefix_table(*table);
	*table = next;
}

void
msp_drop_prefix_table(msp_prefix_table_t *table)
{
	if (table == NULL)
		return;
	msp_clear_runs(&table->v4);
	msp_clear_runs(&table->v6);
	free(table);
}

uint16_t
msp_find_prefix_place(
    const msp_prefix_table_t *table, msp_client_address_t address)
{
	const msp_prefix_runs_t *runs = address.v6 ? &table->v6 : &table->v4;
	size_t slot = address.bits >> 48;
	size_t low = runs->index[slot];
	size_t high = runs->index[slot + 1];

	/* Binary search for the last run that starts at or before it. */
	while (low < high) {
		size_t middle = (low + high + 1) / 2;

		if (msp_run_start(runs, middle) <= address.bits)
			low = middle;
		else
			high = middle - 1;
	}
	return runs->places[low];
}

size_t
msp_prefix_table_bytes(const msp_prefix_table_t *table)
{
	return sizeof(*table) + table->v4.count * RUN_BYTES(&table->v4) +
	    table->v6.count * RUN_BYTES(&table->v6);
}
