#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../source/platform/row_patch.h"
#include "monsoonspindle/base.h"
#include "route_text.h"

#define SEED 11U
#define VALUE_MAX ((size_t)4 << 20)
#define ROUNDS 300U

typedef struct patch_case {
	const char *name;
	bool has_base;
	unsigned int base_routes;
	uint64_t base_seed;
	unsigned int routes;
	double max_share; /* of the value's size that the patch may have */
} patch_case_t;

static const patch_case_t cases[] = {
    {"a first value", false, 0, 0, 1400, 0.25},
    {"a large first value", false, 0, 0, 12000, 0.25},
    {"a small change", true, 4200, SEED, 4201, 0.002},
    {"no change but the version", true, 4200, SEED, 4200, 0.002},
    {"routes more", true, 2800, SEED, 4200, 0.1},
    {"routes fewer", true, 4200, SEED, 2800, 0.01},
    {"other routes", true, 1400, SEED + 1, 1400, 0.25},
    {"from one route", true, 1, SEED, 1400, 0.25},
};

static msp_buffer_t
new_text(unsigned int version, unsigned int routes, uint64_t seed)
{
	msp_buffer_t text = {0};

	append_route_text(&text, version, routes, seed);
	return text;
}

static void
patch_makes_the_value_of_its_base(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const patch_case_t *item = &cases[i];
		msp_buffer_t base =
		    new_text(7, item->base_routes, item->base_seed);
		msp_buffer_t value = new_text(8, item->routes, SEED);
		msp_buffer_t patch = {0};
		msp_buffer_t result = {0};
		const char *base_text = item->has_base ? base.data : NULL;
		size_t base_len = item->has_base ? base.len : 0;

		assert_int_equal(encode_row_patch(base_text, base_len,
				     value.data, value.len, &patch),
		    MSP_OK);
		print_message("%s: %zu bytes for %zu\n", item->name, patch.len,
		    value.len);
		assert_true(
		    (double)patch.len < item->max_share * (double)value.len);
		assert_int_equal(apply_row_patch(base_text, base_len,
				     patch.data, patch.len, VALUE_MAX, &result),
		    MSP_OK);
		assert_int_equal(result.len, value.len);
		assert_memory_equal(result.data, value.data, value.len);
		msp_drop_buffer(&base);
		msp_drop_buffer(&value);
		msp_drop_buffer(&patch);
		msp_drop_buffer(&result);
	}
}

static void
patch_of_another_base_is_rejected(void **state)
{
	msp_buffer_t base = new_text(7, 500, SEED);
	msp_buffer_t other = new_text(7, 500, SEED + 1);
	msp_buffer_t value = new_text(8, 501, SEED);
	msp_buffer_t patch = {0};
	msp_buffer_t result = {0};

	(void)state;
	assert_int_equal(encode_row_patch(base.data, base.len, value.data,
			     value.len, &patch),
	    MSP_OK);
	assert_int_equal(apply_row_patch(other.data, other.len, patch.data,
			     patch.len, VALUE_MAX, &result),
	    MSP_E_SYNTAX);
	assert_int_equal(
	    apply_row_patch(NULL, 0, patch.data, patch.len, VALUE_MAX, &result),
	    MSP_E_SYNTAX);
	assert_int_equal(apply_row_patch(base.data, base.len, patch.data,
			     patch.len, value.len - 1, &result),
	    MSP_E_TOO_LARGE);
	assert_int_equal(result.len, 0);
	msp_drop_buffer(&base);
	msp_drop_buffer(&other);
	msp_drop_buffer(&value);
	msp_drop_buffer(&patch);
}

/* Damaged patches must neither be applied nor read out of bounds. */
static void
damaged_patch_is_rejected(void **state)
{
	msp_buffer_t value = new_text(8, 300, SEED);
	msp_buffer_t patch = {0};
	msp_rng_t rng = {.state = 3};
	unsigned int i;

	(void)state;
	assert_int_equal(
	    encode_row_patch(NULL, 0, value.data, value.len, &patch), MSP_OK);
	for (i = 0; i < ROUNDS; i++) {
		msp_buffer_t damaged = {0};
		msp_buffer_t result = {0};
		size_t at = msp_next_random(&rng) % patch.len;
		size_t len = i % 2 == 0
		    ? patch.len
		    : 1 + msp_next_random(&rng) % (patch.len - 1);

		msp_append_data(&damaged, patch.data, len);
		if (i % 2 == 0)
			damaged.data[at] ^=
			    (char)(1U << (msp_next_random(&rng) % 8));
		if (apply_row_patch(NULL, 0, damaged.data, damaged.len,
			VALUE_MAX, &result) == MSP_OK) {
			/* A bit that is not used. */
			assert_int_equal(result.len, value.len);
			assert_memory_equal(result.data, value.data, value.len);
		}
		msp_drop_buffer(&damaged);
		msp_drop_buffer(&result);
	}
	msp_drop_buffer(&value);
	msp_drop_buffer(&patch);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(patch_makes_the_value_of_its_base),
	    cmocka_unit_test(patch_of_another_base_is_rejected),
	    cmocka_unit_test(damaged_patch_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
