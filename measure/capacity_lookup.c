/*
 * Cost of the prefix table of client blocks at several sizes: bytes per block,
 * time to build and to replace the table, longest step of a build, and lookups
 * per second.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <sys/resource.h>

#include "linear_fit.h"
#include "monsoonspindle/base.h"
#include "monsoonspindle/steer.h"

#define SEED 1
#define PLACES 530
#define V6_PERCENT 30
#define STEP_BLOCKS 20000 /* blocks per step of the build */
#define LOOKUPS 4000000
#define ADDRESSES 1000000 /* generated before the lookups */

typedef struct result {
	double bytes; /* of the table, per block */
	double build_seconds;
	double longest_step_ms; /* of the build */
	double replace_ms;
	double lookups; /* per second */
	double peak_mb; /* of the process: old table, new table and builder */
} result_t;

static double
get_seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static msp_client_address_t
generate_address(msp_rng_t *rng)
{
	msp_client_address_t address = {
	    .v6 = msp_next_random(rng) % 100 < V6_PERCENT,
	    .bits = msp_next_random(rng),
	};

	/* Unicast as on the Internet: IPv6 in 2000::/3, IPv4 below 224. */
	if (address.v6)
		address.bits = address.bits >> 3 | (uint64_t)1 << 61;
	else
		address.bits = address.bits % ((uint64_t)224 << 56) >> 32 << 32;
	return address;
}

static msp_prefix_builder_t *
new_filled_builder(size_t blocks)
{
	msp_prefix_builder_t *builder = msp_new_prefix_builder();
	msp_rng_t rng = {SEED};
	size_t i;

	for (i = 0; i < blocks; i++) {
		msp_client_block_t block = {.address = generate_address(&rng)};
		uint16_t place;
		unsigned int spread = msp_next_random(&rng) % 9;

		/* IPv4: lengths 16 to 24, IPv6: 32 to 56; most are long. */
		block.length =
		    (uint8_t)(block.address.v6 ? 56 - 3 * spread * spread / 8
					       : 24 - spread * spread / 8);
		block.address.bits &= UINT64_MAX << (64 - block.length);
		/* A block that is generated twice gets the same place. */
		place =
		    (uint16_t)(msp_hash(&block.address.bits, 8, block.length) %
			PLACES);
		if (msp_add_client_block(builder, &block, place) != MSP_OK) {
			fprintf(stderr, "%s\n", msp_last_message());
			exit(1);
		}
	}
	return builder;
}

static msp_prefix_table_t *
build(msp_prefix_builder_t *builder, result_t *result)
{
	msp_prefix_table_t *table = NULL;
	double start = get_seconds();

	result->longest_step_ms = 0;
	while (table == NULL) {
		double before = get_seconds();
		double step_ms;

		if (msp_step_prefix_build(builder, STEP_BLOCKS, &table) !=
		    MSP_OK) {
			fprintf(stderr, "%s\n", msp_last_message());
			exit(1);
		}
		step_ms = (get_seconds() - before) * 1e3;
		if (step_ms > result->longest_step_ms)
			result->longest_step_ms = step_ms;
	}
	result->build_seconds = get_seconds() - start;
	return table;
}

static double
time_lookups(const msp_prefix_table_t *table)
{
	msp_client_address_t *addresses = calloc(ADDRESSES, sizeof(*addresses));
	msp_rng_t rng = {SEED + 1};
	uint64_t found = 0;
	double start;
	size_t i;

	for (i = 0; i < ADDRESSES; i++)
		addresses[i] = generate_address(&rng);
	start = get_seconds();
	for (i = 0; i < LOOKUPS; i++)
		found += msp_find_prefix_place(
			     table, addresses[i % ADDRESSES]) != MSP_NO_PLACE;
	start = get_seconds() - start;
	free(addresses);
	if (found == 0)
		printf("no address was in a block\n");
	return LOOKUPS / start;
}

static result_t
measure(size_t blocks)
{
	result_t result = {0};
	msp_prefix_builder_t *builder = new_filled_builder(blocks);
	msp_prefix_table_t *table = build(builder, &result);
	msp_prefix_table_t *next;
	struct rusage usage;
	double start;

	msp_drop_prefix_builder(builder);
	result.bytes = (double)msp_prefix_table_bytes(table) / (double)blocks;
	result.lookups = time_lookups(table);
	builder = new_filled_builder(blocks);
	next = build(builder, &result);
	getrusage(RUSAGE_SELF, &usage);
	result.peak_mb = (double)usage.ru_maxrss / 1024;
	msp_drop_prefix_builder(builder);
	start = get_seconds();
	msp_replace_prefix_table(&table, next);
	result.replace_ms = (get_seconds() - start) * 1e3;
	msp_drop_prefix_table(table);
	return result;
}

int
main(void)
{
	static const size_t sizes[] = {500000, 1000000, 2000000, 5000000};
	enum {
		COUNT = sizeof(sizes) / sizeof(sizes[0])
	};
	double x[COUNT];
	double megabytes[COUNT];
	double build_seconds[COUNT];
	double nanoseconds[COUNT];
	size_t i;

	printf("client blocks, %d%% IPv6, %d places, seed %d:\n"
	       "blocks  bytes/block  build s  longest step ms  replace ms  "
	       "lookups/s  peak MB (two tables and the builder)\n",
	    V6_PERCENT, PLACES, SEED);
	for (i = 0; i < COUNT; i++) {
		result_t result = measure(sizes[i]);

		printf("%7zu %10.1f %8.2f %12.1f %10.2f %13.0f %9.0f\n",
		    sizes[i], result.bytes, result.build_seconds,
		    result.longest_step_ms, result.replace_ms, result.lookups,
		    result.peak_mb);
		fflush(stdout);
		x[i] = (double)sizes[i] / 1e6;
		megabytes[i] = result.bytes * (double)sizes[i] / 1e6;
		build_seconds[i] = result.build_seconds;
		nanoseconds[i] = 1e9 / result.lookups;
	}
	print_fit("table", "MB", "million blocks", x, megabytes, COUNT, 5);
	print_fit("build", "s", "million blocks", x, build_seconds, COUNT, 5);
	print_fit("lookup", "ns", "million blocks", x, nanoseconds, COUNT, 5);
	return 0;
}
