#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/base.h"

static void
every_status_has_a_response(void **state)
{
	unsigned int i;

	(void)state;
	for (i = 0; i < MSP_STATUS_COUNT; i++) {
		const msp_status_info_t *info =
		    msp_get_status_info((msp_status_t)i);

		assert_non_null(info->kind);
		assert_non_null(info->title);
		assert_in_range(info->http_status, 200, 599);
		assert_int_equal(msp_find_status(info->kind), i);
	}
}

static void
map_returns_what_was_put(void **state)
{
	msp_map_t *map = msp_new_map();
	static int values[1000];
	char key[32];
	int i;

	(void)state;
	for (i = 0; i < 1000; i++) {
		snprintf(key, sizeof(key), "key-%d", i);
		assert_int_equal(msp_map_put(map, key, &values[i]), MSP_OK);
	}
	for (i = 0; i < 1000; i += 2) {
		snprintf(key, sizeof(key), "key-%d", i);
		assert_ptr_equal(msp_map_remove(map, key), &values[i]);
	}
	for (i = 0; i < 1000; i++) {
		snprintf(key, sizeof(key), "key-%d", i);
		assert_ptr_equal(
		    msp_map_get(map, key), i % 2 ? &values[i] : NULL);
	}
	assert_int_equal(msp_map_count(map), 500);
	msp_drop_map(map);
}

static void
map_adds_zeroed_values(void **state)
{
	msp_map_t *map = msp_new_map();
	int *value = msp_map_get_or_add(map, "a", sizeof(*value));

	(void)state;
	assert_non_null(value);
	assert_int_equal(*value, 0);
	*value = 7;
	assert_ptr_equal(msp_map_get_or_add(map, "a", sizeof(*value)), value);
	assert_int_equal(*value, 7);
	free(msp_map_remove(map, "a"));
	value = msp_map_get_or_add(map, "a", sizeof(*value));
	assert_int_equal(*value, 0);
	assert_non_null(msp_map_get_or_add(map, "b", sizeof(*value)));
	assert_int_equal(msp_map_count(map), 2);
	/* Leaks are found by the sanitizer. */
	msp_drop_map_and_values(map);
	msp_drop_map_and_values(NULL);
}

/* Tombstones of removed entries must not fill up the table. */
static void
map_discards_tombstones(void **state)
{
	msp_map_t *map = msp_new_map();
	char key[32];
	int i;

	(void)state;
	for (i = 0; i < 100000; i++) {
		snprintf(key, sizeof(key), "key-%d", i);
		assert_int_equal(msp_map_put(map, key, map), MSP_OK);
		assert_ptr_equal(msp_map_remove(map, key), map);
	}
	assert_int_equal(msp_map_count(map), 0);
	msp_drop_map(map);
}

static void
buffer_enforces_its_limit(void **state)
{
	msp_buffer_t buffer = {.limit = 4};

	(void)state;
	assert_int_equal(msp_append_data(&buffer, "abcd", 4), MSP_OK);
	assert_int_equal(msp_append_data(&buffer, "e", 1), MSP_E_TOO_LARGE);
	assert_string_equal(msp_buffer_text(&buffer), "abcd");
	msp_drop_buffer(&buffer);
}

static void
quantiles_are_accurate(void **state)
{
	static msp_histogram_t histogram;
	uint64_t i;

	(void)state;
	for (i = 1; i <= 100000; i++)
		msp_record_value(&histogram, i);
	assert_in_range(msp_quantile(&histogram, 0.5), 50000, 53200);
	assert_in_range(msp_quantile(&histogram, 0.99), 99000, 100000);
	assert_int_equal(msp_quantile(&histogram, 1.0), 100000);
}

static void
printed_digest_parses_back(void **state)
{
	msp_digest_t digest = msp_digest("abc", 3);
	msp_digest_t parsed;
	char text[MSP_DIGEST_TEXT_SIZE];

	(void)state;
	msp_print_digest(digest, text);
	assert_int_equal(msp_parse_digest(text, &parsed), 0);
	assert_true(msp_digest_equal(digest, parsed));
	assert_int_equal(msp_parse_digest("xyz", &parsed), -1);
}

static void
counters_are_printed_sorted(void **state)
{
	msp_counters_t *counters = msp_new_counters();
	msp_buffer_t out = {0};

	(void)state;
	msp_add_to_counter(counters, 2, "b{x=\"%d\"}", 1);
	msp_add_to_counter(counters, 1, "a");
	msp_add_to_counter(counters, 1, "b{x=\"%d\"}", 1);
	assert_int_equal(msp_print_counters(counters, &out), MSP_OK);
	assert_string_equal(msp_buffer_text(&out), "a 1\nb{x=\"1\"} 3\n");
	msp_drop_buffer(&out);
	msp_drop_counters(counters);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(every_status_has_a_response),
	    cmocka_unit_test(map_returns_what_was_put),
	    cmocka_unit_test(map_adds_zeroed_values),
	    cmocka_unit_test(map_discards_tombstones),
	    cmocka_unit_test(buffer_enforces_its_limit),
	    cmocka_unit_test(quantiles_are_accurate),
	    cmocka_unit_test(printed_digest_parses_back),
	    cmocka_unit_test(counters_are_printed_sorted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
