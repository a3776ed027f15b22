#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/base.h"

/* The memory that buffers take from a common budget. */

#define WHOLE 4096
#define PART 2048

typedef struct fixture {
	msp_memory_budget_t whole;
	msp_memory_budget_t part;
} fixture_t;

static void
set_up(fixture_t *fixture)
{
	*fixture = (fixture_t){.whole = {.limit = WHOLE},
	    .part = {.limit = PART, .whole = &fixture->whole}};
}

typedef struct take_case {
	const char *name;
	size_t first; /* from the part */
	size_t second; /* from the whole */
	size_t third; /* from the part */
	bool taken[3];
} take_case_t;

static void
parts_are_bounded_by_the_whole(void **state)
{
	static const take_case_t cases[] = {
	    {"all", 2048, 2048, 0, {true, true, true}},
	    {"more than the part", 2049, 4096, 1, {false, true, false}},
	    {"more than the whole", 1000, 3097, 1048, {true, false, true}},
	    {"the whole is used up", 0, 4096, 1, {true, true, false}},
	};
	fixture_t fixture;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const take_case_t *c = &cases[i];

		set_up(&fixture);
		if (msp_take_memory(&fixture.part, c->first) != c->taken[0] ||
		    msp_take_memory(&fixture.whole, c->second) != c->taken[1] ||
		    msp_take_memory(&fixture.part, c->third) != c->taken[2])
			fail_msg("%s", c->name);
		if (c->taken[0])
			msp_return_memory(&fixture.part, c->first);
		if (c->taken[1])
			msp_return_memory(&fixture.whole, c->second);
		if (c->taken[2])
			msp_return_memory(&fixture.part, c->third);
		assert_int_equal(fixture.part.used, 0);
		assert_int_equal(fixture.whole.used, 0);
	}
}

/* Guards against memory that is taken twice, or never returned. */
static void
buffers_return_what_they_took(void **state)
{
	static const char data[700];
	fixture_t fixture;
	msp_buffer_t buffer = {0};
	msp_buffer_t moved;

	(void)state;
	set_up(&fixture);
	buffer.budget = &fixture.part;
	assert_int_equal(msp_append_data(&buffer, data, sizeof(data)), MSP_OK);
	assert_int_equal(fixture.part.used, buffer.capacity);
	assert_int_equal(fixture.whole.used, buffer.capacity);
	assert_int_equal(msp_append_data(&buffer, data, sizeof(data)), MSP_OK);
	assert_int_equal(fixture.part.used, buffer.capacity);
	/* The next doubling is beyond the part. */
	assert_int_equal(
	    msp_append_data(&buffer, data, sizeof(data)), MSP_E_NO_MEMORY);
	assert_int_equal(buffer.len, 2 * sizeof(data));
	assert_int_equal(fixture.part.refused, 1);
	moved = buffer;
	buffer = (msp_buffer_t){0};
	msp_drop_buffer(&buffer);
	assert_int_equal(fixture.part.used, moved.capacity);
	msp_drop_buffer(&moved);
	assert_int_equal(fixture.part.used, 0);
	assert_int_equal(fixture.whole.used, 0);
	assert_int_equal(fixture.whole.most_used, PART);
}

static void
budget_without_a_limit_counts_only(void **state)
{
	msp_memory_budget_t budget = {0};

	(void)state;
	assert_true(msp_take_memory(&budget, SIZE_MAX / 2));
	assert_int_equal(budget.used, SIZE_MAX / 2);
	assert_true(msp_has_memory(NULL, SIZE_MAX));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(parts_are_bounded_by_the_whole),
	    cmocka_unit_test(buffers_return_what_they_took),
	    cmocka_unit_test(budget_without_a_limit_counts_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
