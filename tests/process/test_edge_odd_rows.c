#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "edge_fixture.h"

/*
 * One odd entry of another writer among those of the targets. A VM must neither
 * end nor stop following the table.
 */

#define LOG_DELAY_MAX (20 * MSP_SECOND)
#define DEEP 12000 /* levels of nesting; a row has 64 KiB at most */
#define LONG 60000 /* bytes */

/* A row with the given JSON values. */
#define ROW(address_, slots_, cold_, seq_, born_)                          \
	"{\"service\":\"desk\",\"address\":" address_                      \
	",\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":" slots_       \
	",\"state\":\"ready\",\"coldRemainingMs\":" cold_ ",\"seq\":" seq_ \
	",\"born\":" born_ "}"
#define A "\"127.0.0.1:9\""
#define HUGE_NUMBER "99999999999999999999999999999999999999"

typedef struct odd_case {
	const char *name;
	const char *text;
	const char *repeated; /* `count` times behind the text; or NULL */
	unsigned int count;
} odd_case_t;

static const odd_case_t cases[] = {
    {"empty", "", NULL, 0},
    {"not UTF-8", "\xff\xfe\x80", NULL, 0},
    {"deep lists", "", "[", DEEP},
    {"deep objects", "", "{\"a\":", DEEP},
    {"a deep member", "{\"service\":\"desk\",\"more\":", "[", DEEP},
    {"a little too deep", "{\"a\":[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]}", NULL, 0},
    {"a long text", "\"", "x", LONG},
    {"a long name", "{\"service\":\"", "x", LONG},
    {"port 0", ROW("\"127.0.0.1:0\"", "5", "0", "1", "1"), NULL, 0},
    {"port 65536", ROW("\"127.0.0.1:65536\"", "5", "0", "1", "1"), NULL, 0},
    {"a port over 32 bits", ROW("\"127.0.0.1:4294967376\"", "5", "0", "1", "1"),
	NULL, 0},
    {"a negative port", ROW("\"127.0.0.1:-1\"", "5", "0", "1", "1"), NULL, 0},
    {"a port of many digits",
	ROW("\"127.0.0.1:" HUGE_NUMBER "\"", "5", "0", "1", "1"), NULL, 0},
    {"no address", ROW("\":80\"", "5", "0", "1", "1"), NULL, 0},
    {"many slots", ROW(A, HUGE_NUMBER, "0", "1", "1"), NULL, 0},
    {"infinite slots", ROW(A, "1e999", "0", "1", "1"), NULL, 0},
    {"negative slots", ROW(A, "-" HUGE_NUMBER, "0", "1", "1"), NULL, 0},
    {"cold for ever", ROW(A, "5", HUGE_NUMBER, "1", "1"), NULL, 0},
    {"a large sequence", ROW(A, "5", "0", HUGE_NUMBER, "1"), NULL, 0},
    {"the largest sequence", ROW(A, "5", "0", "9223372036854775807", "1"), NULL,
	0},
    {"born late", ROW(A, "5", "0", "1", HUGE_NUMBER), NULL, 0},
    {"born at the end", ROW(A, "5", "0", "1", "9223372036854775807"), NULL, 0},
    {"born infinitely late", ROW(A, "5", "0", "1", "1e999"), NULL, 0},
};

static void
put_odd_row(edge_fixture_t *fixture, const odd_case_t *item)
{
	msp_buffer_t text = {0};
	unsigned int i;

	msp_append_printf(&text, "%s", item->text);
	for (i = 0; i < item->count; i++)
		msp_append_printf(&text, "%s", item->repeated);
	put_edge_row(fixture, "servers", "i-odd", msp_buffer_text(&text));
	msp_drop_buffer(&text);
}

static void
odd_row_stops_nothing(void **state)
{
	edge_fixture_t *fixture = new_edge_fixture();
	caller_response_t response;
	char key[32];
	char line[64];
	size_t i;

	(void)state;
	set_up_routes_and_targets(fixture);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		print_message("%s\n", cases[i].name);
		put_odd_row(fixture, &cases[i]);
		snprintf(key, sizeof(key), "i-after-%zu", i);
		put_edge_row(
		    fixture, "servers", key, ROW(A, "5", "0", "1", "1"));
		snprintf(line, sizeof(line), "event=target target=%s ", key);
		run_edge_until_logged(fixture, line, LOG_DELAY_MAX);
		put_edge_row(fixture, "servers", key, NULL);
	}
	response = (caller_response_t){0};
	send_edge_request(fixture, "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 200);
	drop_edge_fixture(fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(odd_row_stops_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
