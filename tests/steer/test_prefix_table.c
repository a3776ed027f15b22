#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/steer.h"

#define BLOCKS 300
#define LOOKUPS 3000
#define SEEDS 40

typedef struct parse_case {
	const char *text;
	msp_status_t status;
} parse_case_t;

static const parse_case_t parse_cases[] = {
    {"0.0.0.0/0", MSP_OK},
    {"192.0.2.0/24", MSP_OK},
    {"192.0.2.1/32", MSP_OK},
    {"2001:db8::/32", MSP_OK},
    {"2001:db8::/64", MSP_OK},
    {"::/0", MSP_OK},
    {"192.0.2.1/24", MSP_E_RANGE},
    {"192.0.2.0/33", MSP_E_RANGE},
    {"2001:db8::/65", MSP_E_RANGE},
    {"2001:db8:1::/32", MSP_E_RANGE},
    {"192.0.2.0", MSP_E_SYNTAX},
    {"192.0.2.0/", MSP_E_SYNTAX},
    {"192.0.2.0/-1", MSP_E_SYNTAX},
    {"192.0.2.0/8x", MSP_E_SYNTAX},
    {"192.0.2/24", MSP_E_SYNTAX},
    {"", MSP_E_SYNTAX},
    {"/8", MSP_E_SYNTAX},
};

static void
blocks_are_parsed(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(parse_cases) / sizeof(parse_cases[0]); i++) {
		msp_client_block_t block;

		assert_int_equal(
		    msp_parse_client_block(parse_cases[i].text, &block),
		    parse_cases[i].status);
	}
}

static msp_prefix_table_t *
build(msp_prefix_builder_t *builder, size_t work, msp_status_t expected)
{
	msp_prefix_table_t *table = NULL;
	msp_status_t status;

	do
		status = msp_step_prefix_build(builder, work, &table);
	while (status == MSP_OK && table == NULL);
	assert_int_equal(status, expected);
	msp_drop_prefix_builder(builder);
	return table;
}

static uint64_t
mask(unsigned int length)
{
	return length == 0 ? 0 : UINT64_MAX << (64 - length);
}

/* Reference implementation: compares the address with every block. */
static uint16_t
find_by_scan(const msp_client_block_t *blocks, const uint16_t *places,
    size_t count, msp_client_address_t address)
{
	uint16_t place = MSP_NO_PLACE;
	int longest = -1;
	size_t i;

	for (i = 0; i < count; i++) {
		if (blocks[i].address.v6 != address.v6 ||
		    blocks[i].length <= longest ||
		    (address.bits & mask(blocks[i].length)) !=
			blocks[i].address.bits)
			continue;
		longest = blocks[i].length;
		place = places[i];
	}
	return place;
}

/* Addresses with few different first bytes, so that blocks are nested. */
static msp_client_address_t
random_address(msp_rng_t *rng, bool v6)
{
	uint64_t bits = msp_next_random(rng);

	bits &= ~((uint64_t)0xfc << 56);
	if (msp_next_random(rng) % 8 == 0)
		bits |= (uint64_t)0xff << 56;
	if (msp_next_random(rng) % 2 == 0)
		bits &= ~((uint64_t)0xffffff << 32);
	if (!v6)
		bits &= mask(32);
	return (msp_client_address_t){.v6 = v6, .bits = bits};
}

static void
the_longest_block_is_found(void **state)
{
	static msp_client_block_t blocks[BLOCKS];
	static uint16_t places[BLOCKS];
	uint64_t seed;
	size_t i;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		msp_rng_t rng = {seed};
		msp_prefix_builder_t *builder = msp_new_prefix_builder();
		msp_prefix_table_t *table;

		for (i = 0; i < BLOCKS; i++) {
			bool v6 = msp_next_random(&rng) % 2;
			unsigned int length =
			    msp_next_random(&rng) % (v6 ? 65 : 33);

			blocks[i].address = random_address(&rng, v6);
			blocks[i].address.bits &= mask(length);
			blocks[i].length = (uint8_t)length;
			/* Equal blocks must have equal places. */
			places[i] = (uint16_t)(msp_hash(&blocks[i].address.bits,
						   8, length) %
			    60);
			assert_int_equal(msp_add_client_block(
					     builder, &blocks[i], places[i]),
			    MSP_OK);
		}
		table = build(builder, 1 + seed * 7, MSP_OK);
		for (i = 0; i < LOOKUPS; i++) {
			msp_client_address_t address =
			    random_address(&rng, i % 2);

			/* Include the first and last addresses of blocks. */
			if (i % 3 == 0)
				address = blocks[i % BLOCKS].address;
			if (i % 9 == 0)
				address.bits -= (uint64_t)1 << 32;
			assert_int_equal(msp_find_prefix_place(table, address),
			    find_by_scan(blocks, places, BLOCKS, address));
		}
		msp_drop_prefix_table(table);
	}
}

static void
large_lists_are_sorted_in_steps(void **state)
{
	msp_rng_t rng = {5};
	msp_prefix_builder_t *builder = msp_new_prefix_builder();
	msp_prefix_table_t *table;
	msp_client_address_t address = {0};
	uint32_t i;

	(void)state;
	for (i = 0; i < 100000; i++) {
		msp_client_block_t block = {.length = 24};

		block.address.bits = (uint64_t)(i * 2654435761U) << 40;
		block.address.bits &= mask(24);
		assert_int_equal(
		    msp_add_client_block(builder, &block,
			(uint16_t)(block.address.bits >> 40) % 500),
		    MSP_OK);
	}
	table = build(builder, 1000, MSP_OK);
	for (i = 0; i < 100000; i++) {
		address.bits = (uint64_t)(i * 2654435761U) << 40;
		assert_int_equal(msp_find_prefix_place(table, address),
		    (uint16_t)((address.bits & mask(24)) >> 40) % 500);
	}
	address.bits = msp_next_random(&rng);
	msp_drop_prefix_table(table);
}

static void
one_block_has_one_place(void **state)
{
	msp_prefix_builder_t *builder = msp_new_prefix_builder();
	msp_client_block_t block;

	(void)state;
	assert_int_equal(
	    msp_parse_client_block("192.0.2.0/24", &block), MSP_OK);
	assert_int_equal(msp_add_client_block(builder, &block, 1), MSP_OK);
	assert_int_equal(msp_add_client_block(builder, &block, 1), MSP_OK);
	assert_int_equal(msp_add_client_block(builder, &block, 2), MSP_OK);
	assert_null(build(builder, 1000, MSP_E_EXISTS));
}

static void
an_empty_table_has_no_place(void **state)
{
	msp_prefix_table_t *table = NULL;
	msp_client_address_t address = {.bits = 1};

	(void)state;
	msp_replace_prefix_table(
	    &table, build(msp_new_prefix_builder(), 10, MSP_OK));
	assert_int_equal(msp_find_prefix_place(table, address), MSP_NO_PLACE);
	address.v6 = true;
	assert_int_equal(msp_find_prefix_place(table, address), MSP_NO_PLACE);
	msp_replace_prefix_table(&table, NULL);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(blocks_are_parsed),
	    cmocka_unit_test(the_longest_block_is_found),
	    cmocka_unit_test(large_lists_are_sorted_in_steps),
	    cmocka_unit_test(one_block_has_one_place),
	    cmocka_unit_test(an_empty_table_has_no_place),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
