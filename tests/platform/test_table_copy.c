#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "../../source/platform/row_history.h"
#include "../../source/platform/table_copy.h"
#include "monsoonspindle/base.h"
#include "route_text.h"

/*
 * A copy of a table sends large rows to other VMs' copies as patches. Whole
 * rows filled the links for seconds, so that VMs served by old routes.
 */

#define KEY "config"
#define SEED 21U
#define ROUTES 600U
#define STEPS_MAX 6

static msp_virtual_env_t virtual_clock;

/* What happens to the sending copy before it is asked. */
typedef struct copy_step {
	unsigned int version; /* of the row that is written; 0: the end */
	unsigned int routes;
	uint32_t at_ms;
} copy_step_t;

typedef struct copy_case {
	const char *name;
	copy_step_t steps[STEPS_MAX];
	unsigned int reader_version; /* that the asking copy has; 0: none */
	uint32_t asked_ms;
	unsigned int base; /* of the patch */
	bool is_small; /* a hundredth of the value, as little was changed */
} copy_case_t;

static const copy_case_t cases[] = {
    {"a reader without the row", {{7, ROUTES, 0}}, 0, 100, 0, false},
    {"a reader of the version before", {{7, ROUTES, 0}, {8, ROUTES + 1, 1000}},
	7, 1100, 7, true},
    {"a reader of the second to last version",
	{{7, ROUTES, 0}, {8, ROUTES + 1, 1000}, {9, ROUTES + 2, 1500}}, 7, 1600,
	7, true},
    {"a reader of a version that was never here",
	{{7, ROUTES, 0}, {20, ROUTES + 1, 1000}}, 12, 1100, 0, false},
    {"a version that was replaced long ago",
	{{7, ROUTES, 0}, {8, ROUTES + 1, 1000}}, 7, 11000, 0, false},
    {"more versions than are kept",
	{{7, ROUTES, 0}, {8, ROUTES, 100}, {9, ROUTES, 200}, {10, ROUTES, 300},
	    {11, ROUTES + 1, 400}},
	7, 500, 0, false},
};

static table_copy_t *
new_copy(void)
{
	msp_env_t env = msp_virtual_env(&virtual_clock);
	table_copy_t *copy = new_table_copy(&env);

	assert_non_null(copy);
	return copy;
}

static void
put_row(table_copy_t *copy, unsigned int version, unsigned int routes)
{
	msp_buffer_t text = {0};
	store_row_t row = {.key = KEY, .version = version};

	append_route_text(&text, version, routes, SEED);
	row.value = text.data;
	row.value_len = text.len;
	put_copy_row(copy, &row);
	msp_drop_buffer(&text);
}

static void
put_routes(table_copy_t *copy, unsigned int version, unsigned int routes)
{
	put_row(copy, version, routes);
	advance_copy(copy, version, virtual_clock.now);
}

typedef struct ask {
	table_copy_t *from;
	table_copy_t *to;
	store_patch_bases_t bases; /* that `to` has */
	const copy_case_t *item;
	unsigned int rows;
} ask_t;

/* Makes the value that the asking copy lacks, and compares it. */
static void
apply_row(void *ctx, const store_row_t *row)
{
	ask_t *ask = ctx;
	store_row_t patched = *row;
	msp_buffer_t value = {0};

	ask->rows++;
	assert_true(get_copy_patch(ask->from, &ask->bases, &patched));
	assert_int_equal(patched.base_version, ask->item->base);
	print_message("%s: %zu bytes for %zu\n", ask->item->name,
	    patched.patch_len, row->value_len);
	if (ask->item->is_small)
		assert_true(patched.patch_len < row->value_len / 100);
	assert_int_equal(apply_copy_patch(ask->to, &patched, &value), MSP_OK);
	assert_int_equal(value.len, row->value_len);
	assert_memory_equal(value.data, row->value, value.len);
	msp_drop_buffer(&value);
}

static unsigned int
find_routes(const copy_case_t *item, unsigned int version)
{
	unsigned int routes = 0;
	size_t i;

	for (i = 0; i < STEPS_MAX && item->steps[i].version != 0; i++) {
		if (item->steps[i].version <= version)
			routes = item->steps[i].routes;
	}
	return routes;
}

static void
play_case(const copy_case_t *item)
{
	table_copy_t *from = new_copy();
	table_copy_t *to = new_copy();
	ask_t ask = {.from = from, .to = to, .item = item};
	size_t i;

	for (i = 0; i < STEPS_MAX && item->steps[i].version != 0; i++) {
		virtual_clock.now = (1 + item->steps[i].at_ms) * MSP_MS;
		put_routes(from, item->steps[i].version, item->steps[i].routes);
	}
	if (item->reader_version != 0)
		put_routes(to, item->reader_version,
		    find_routes(item, item->reader_version));
	virtual_clock.now = (1 + item->asked_ms) * MSP_MS;
	list_patch_bases(to, &ask.bases);
	advance_copy(from, get_copy_version(from), virtual_clock.now);
	visit_copy_rows(from, item->reader_version == 0, item->reader_version,
	    apply_row, &ask);
	assert_int_equal(ask.rows, 1);
	drop_table_copy(from);
	drop_table_copy(to);
}

static void
copy_sends_patches(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		play_case(&cases[i]);
}

/* A patch must not be applied to a row of another version. */
static void
patch_of_another_version_is_rejected(void **state)
{
	table_copy_t *from = new_copy();
	table_copy_t *to = new_copy();
	store_patch_bases_t bases = {.versions = {7}, .count = 1};
	store_row_t row = {.key = KEY};
	msp_buffer_t value = {0};

	(void)state;
	put_routes(from, 7, ROUTES);
	put_routes(to, 6, ROUTES);
	put_routes(from, 8, ROUTES + 1);
	assert_true(get_copy_patch(from, &bases, &row));
	assert_int_equal(row.base_version, 7);
	assert_int_equal(apply_copy_patch(to, &row, &value), MSP_E_SYNTAX);
	assert_int_equal(value.len, 0);
	drop_table_copy(from);
	drop_table_copy(to);
}

/*
 * Versions are given out again after the store came back from an older copy:
 * a reader's version of another era names another value.
 */
static void
patch_is_of_no_value_of_another_era(void **state)
{
	table_copy_t *from = new_copy();
	store_patch_bases_t bases;
	store_row_t row = {.key = KEY};

	(void)state;
	put_routes(from, 7, ROUTES);
	put_routes(from, 8, ROUTES + 1);
	begin_copy_era(from, 2);
	assert_int_equal(get_copy_version(from), 0);
	assert_false(has_changes_since(from, 8));
	list_patch_bases(from, &bases);
	assert_int_equal(bases.count, 0);
	begin_copy_snapshot(from);
	put_row(from, 5, ROUTES);
	end_copy_snapshot(from, 6);
	advance_copy(from, 6, virtual_clock.now);
	put_routes(from, 8, ROUTES + 2);
	/* What the old versions 7 and 8 named is not known here any more. */
	bases = (store_patch_bases_t){.versions = {7}, .count = 1};
	if (get_copy_patch(from, &bases, &row))
		assert_int_equal(row.base_version, 0);
	assert_int_equal(get_copy_era(from), 2);
	assert_false(has_changes_since(from, 4));
	drop_table_copy(from);
}

static void
small_rows_are_sent_as_they_are(void **state)
{
	table_copy_t *copy = new_copy();
	store_row_t row = {
	    .key = "t1", .value = "ready", .value_len = 5, .version = 3};
	store_patch_bases_t bases = {0};

	(void)state;
	put_copy_row(copy, &row);
	assert_false(get_copy_patch(copy, &bases, &row));
	assert_non_null(row.value);
	assert_null(row.patch);
	drop_table_copy(copy);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(copy_sends_patches),
	    cmocka_unit_test(patch_of_another_version_is_rejected),
	    cmocka_unit_test(small_rows_are_sent_as_they_are),
	    cmocka_unit_test(patch_is_of_no_value_of_another_era),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
