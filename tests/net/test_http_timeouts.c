#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#include "server_fixture.h"

/*
 * The rest of a request arrives about when the server's time for it ends. The
 * server either refuses the request with 408 or handles it, never both.
 */

#define OFFSET_MAX (4 * MSP_MS) /* of the rest from the end of the time */
#define OFFSET_STEP MSP_MS
#define SETTLE_TIME (30 * MSP_MS)

typedef struct timeout_case {
	const char *name;
	const char *before; /* a request answered before; or NULL */
	const char *first;
	const char *rest;
	msp_time_t limit; /* server's time from `first` or the last response */
} timeout_case_t;

/* How the loop runs while the rest of the request arrives. */
typedef enum loop_manner {
	LOOP_RUNS,
	LOOP_IS_LATE, /* it finds the data and the end of the time at once */
	LOOP_MANNER_COUNT
} loop_manner_t;

static const timeout_case_t cases[] = {
    {"head of the first request", NULL, "GET /a HTTP/1.1\r\nHo",
	"st: a\r\n\r\n", 200 * MSP_MS},
    {"first bytes", NULL, "G", "ET /a HTTP/1.1\r\nHost: a\r\n\r\n",
	200 * MSP_MS},
    {"head of the first request, body", NULL, "POST /a HTTP/1.1\r\nHo",
	"st: a\r\nContent-Length: 3\r\n\r\nabc", 200 * MSP_MS},
    {"body", NULL, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na",
	"bc", 200 * MSP_MS},
    {"whole body", NULL,
	"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n", "abc",
	200 * MSP_MS},
    {"chunks", NULL,
	"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
	"chunked\r\n\r\n1\r\n",
	"a\r\n0\r\nX: y\r\n\r\n", 200 * MSP_MS},
    {"kept, idle", "GET /z HTTP/1.1\r\nHost: a\r\n\r\n", "",
	"GET /a HTTP/1.1\r\nHost: a\r\n\r\n", 400 * MSP_MS},
    {"kept, part of a head", "GET /z HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET /a HTTP/1.1\r\nHo", "st: a\r\n\r\n", 200 * MSP_MS},
    {"kept, part of a head, body", "GET /z HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /a HTTP/1.1\r\nHo", "st: a\r\nContent-Length: 3\r\n\r\nabc",
	200 * MSP_MS},
    {"kept, body", "GET /z HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na", "bc",
	200 * MSP_MS},
};

typedef struct timeout_totals {
	unsigned int refused;
	unsigned int handled;
	unsigned int closed; /* without a response */
} timeout_totals_t;

static void
run_loop_until(server_test_t *test, msp_time_t end)
{
	while (msp_loop_now() < end)
		msp_step_loop(test->loop, 1);
}

static void
sleep_until(msp_time_t end)
{
	struct timespec time = {.tv_nsec = 50 * 1000};

	while (msp_loop_now() < end)
		nanosleep(&time, NULL);
}

static void
play_timeout(server_test_t *test, const timeout_case_t *item,
    loop_manner_t manner, msp_time_t due_offset, timeout_totals_t *totals)
{
	raw_socket_t raw = raw_connect(test->loop, test->port);
	unsigned int before;
	unsigned int handled;
	msp_time_t due;
	bool refused;

	if (item->before != NULL) {
		raw_send_text(&raw, item->before);
		assert_true(raw_expect(&raw, "<GET /z 0>"));
		raw_clear_input(&raw);
	}
	before = test->request_count;
	run_loop_until(test, msp_loop_now() + 2 * MSP_MS);
	raw_send_text(&raw, item->first);
	run_loop_until(test, msp_loop_now() + 2 * MSP_MS);
	due =
	    msp_loop_now() + item->limit - 4 * MSP_MS - OFFSET_MAX + due_offset;
	run_loop_until(test, due - OFFSET_MAX);
	if (manner == LOOP_RUNS)
		run_loop_until(test, due);
	else
		sleep_until(due);
	raw_send_text(&raw, item->rest);
	if (manner == LOOP_IS_LATE)
		sleep_until(due + 2 * OFFSET_MAX);
	run_loop_until(test, msp_loop_now() + SETTLE_TIME);
	raw_read(&raw);
	refused = strstr(msp_buffer_text(&raw.input), " 408 ") != NULL;
	handled = test->request_count - before;
	totals->refused += refused;
	totals->handled += handled;
	totals->closed += !refused && handled == 0;
	if (handled > 1 || (refused && handled > 0))
		fail_msg("%s: refused %d, handled %u times, %s", item->name,
		    refused, handled, msp_buffer_text(&raw.input));
	raw_close(&raw);
}

/* Guards against 408 for a request that is handled. */
static void
late_request_is_refused_or_handled(void **state)
{
	loop_manner_t manner;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		for (manner = 0; manner < LOOP_MANNER_COUNT; manner++) {
			timeout_totals_t totals = {0};
			msp_time_t offset;

			for (offset = 0; offset <= 2 * OFFSET_MAX;
			     offset += OFFSET_STEP)
				play_timeout(
				    *state, &cases[i], manner, offset, &totals);
			print_message("%s%s: %u refused, %u handled, "
				      "%u closed\n",
			    cases[i].name,
			    manner == LOOP_RUNS ? "" : ", late loop",
			    totals.refused, totals.handled, totals.closed);
		}
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(late_request_is_refused_or_handled,
		set_up_server, tear_down_server),
	};

	return cmocka_run_group_tests_name("timeouts", tests, NULL, NULL);
}
