#ifndef MONSOONSPINDLE_SOURCE_STEER_PREFIX_PRIVATE_H
#define MONSOONSPINDLE_SOURCE_STEER_PREFIX_PRIVATE_H

#include "monsoonspindle/steer/prefix_table.h"

#define MSP_PREFIX_INDEX_SIZE 65536 /* values of the first 16 bits */

/*
 * The blocks of one address family as consecutive runs of addresses: run i
 * covers starts[i] up to, but not including, starts[i + 1]. Run 0 starts at 0.
 */
typedef struct msp_prefix_runs {
	bool is_64_bit; /* uses starts64 (IPv6), else starts32 (IPv4) */
	size_t count;
	uint32_t *starts32;
	uint64_t *starts64;
	uint16_t *places;
	/* By the first 16 bits: the run of the first address with them. */
	uint32_t index[MSP_PREFIX_INDEX_SIZE + 1];
} msp_prefix_runs_t;

struct msp_prefix_table {
	msp_prefix_runs_t v4;
	msp_prefix_runs_t v6;
};

/* A block in the builder's list. */
typedef struct msp_raw_block {
	uint32_t high; /* upper and lower 32 bits of the address */
	uint32_t low;
	uint16_t place;
	uint8_t length;
} msp_raw_block_t;

/* A range of the list that is still to be sorted. */
typedef struct msp_sort_range {
	size_t from;
	size_t to; /* past the last */
} msp_sort_range_t;

/* A quicksort partition in progress. */
typedef struct msp_sort_partition {
	bool active;
	msp_sort_range_t range;
	msp_raw_block_t pivot;
	size_t low;
	size_t high;
} msp_sort_partition_t;

#define MSP_SORT_RANGES_MAX 128

/* The blocks of one address family. */
typedef struct msp_block_list {
	msp_raw_block_t *blocks;
	size_t count;
	size_t capacity;
	msp_sort_range_t ranges[MSP_SORT_RANGES_MAX];
	size_t range_count;
	msp_sort_partition_t partition;
	bool started;
	/* Blocks that contain the current address, the longest last. */
	msp_raw_block_t enclosing[65];
	size_t enclosing_count;
	size_t next_block; /* index of the next block to turn into runs */
} msp_block_list_t;

/*
 * Continues to sort the list by address and prefix length. *budget is the
 * number of blocks to process and is reduced by those done. Returns true once
 * the list is sorted.
 */
bool msp_step_sort(msp_block_list_t *list, size_t *budget);

/*
 * Continues to turn the sorted list into runs, *budget as above. Sets *done
 * once the runs are complete.
 */
msp_status_t msp_step_run_build(msp_block_list_t *list, msp_prefix_runs_t *runs,
    size_t *budget, bool *done);

void msp_clear_runs(msp_prefix_runs_t *runs);

static inline uint64_t
msp_block_bits(const msp_raw_block_t *block)
{
	return (uint64_t)block->high << 32 | block->low;
}

static inline uint64_t
msp_run_start(const msp_prefix_runs_t *runs, size_t i)
{
	return runs->is_64_bit ? runs->starts64[i]
			       : (uint64_t)runs->starts32[i] << 32;
}

#endif
