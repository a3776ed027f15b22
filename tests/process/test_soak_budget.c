#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "soak_budget.h"

/* The judges of the soak's rule BUDGET, on histories made by hand. */

#define EVENTS_MAX 6
#define RATIO 0.2
#define SLACK 10

typedef enum event_kind {
	END, /* of the history */
	REQUESTS, /* of clients */
	REPEATS, /* arrivals, of which `over` are beyond the budget */
} event_kind_t;

typedef struct event {
	event_kind_t kind;
	uint32_t at_ms;
	unsigned int count;
	unsigned int over; /* by the last of them */
} event_t;

typedef struct history {
	const char *name;
	event_t events[EVENTS_MAX];
} history_t;

static const history_t histories[] = {
    {"the slack alone", {{REPEATS, 20000, 10, 0}, {REPEATS, 20100, 1, 1}}},
    {"the part of the requests",
	{{REQUESTS, 20000, 100, 0}, {REPEATS, 20100, 30, 0},
	    {REPEATS, 20200, 2, 2}}},
    {"requests of the window before",
	{{REQUESTS, 12000, 100, 0}, {REPEATS, 28000, 30, 0},
	    {REPEATS, 28100, 1, 1}}},
    {"the window with most requests",
	{{REQUESTS, 12000, 100, 0}, {REQUESTS, 27000, 50, 0},
	    {REPEATS, 28000, 30, 0}, {REPEATS, 28100, 1, 1}}},
    {"requests of long ago",
	{{REQUESTS, 12000, 100, 0}, {REPEATS, 32100, 10, 0},
	    {REPEATS, 32200, 1, 1}}},
    {"repeats of long ago",
	{{REPEATS, 20000, 10, 0}, {REPEATS, 30100, 10, 0},
	    {REPEATS, 30200, 1, 1}}},
};

static void
play_event(budget_judge_t *judge, const event_t *event, const char *name)
{
	unsigned int over = 0;
	unsigned int i;

	for (i = 0; i < event->count; i++) {
		if (event->kind == REQUESTS)
			count_budget_request(judge, event->at_ms * MSP_MS);
		else
			over =
			    judge_budget_repeat(judge, event->at_ms * MSP_MS);
	}
	if (over != event->over)
		fail_msg("%s, %u ms: %u over, not %u", name, event->at_ms, over,
		    event->over);
}

static void
repeats_are_judged_by_the_window(void **state)
{
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < sizeof(histories) / sizeof(*histories); i++) {
		budget_judge_t judge = {
		    .options = {.ratio = RATIO, .slack = SLACK}};

		for (k = 0; histories[i].events[k].kind != END; k++)
			play_event(
			    &judge, &histories[i].events[k], histories[i].name);
	}
}

typedef struct time_case {
	const char *name;
	uint32_t client_ms; /* 0: the client does not say */
	uint32_t first_at_ms; /* arrival; 0: this is the first */
	uint32_t first_time_ms;
	uint32_t at_ms; /* of the arrival, after the request was sent */
	int64_t told_ms; /* -1: nothing */
	bool is_beyond;
} time_case_t;

static void
times_are_judged_by_the_client(void **state)
{
	static const time_case_t cases[] = {
	    {"the client's time", 1000, 0, 0, 1, 1000, false},
	    {"a little more", 1000, 0, 0, 1, 1500, false},
	    {"more", 1000, 0, 0, 1, 1501, true},
	    {"none", 1000, 0, 0, 1, -1, true},
	    {"none, as the client", 0, 0, 0, 1, -1, true},
	    {"once more at once", 3000, 10, 3000, 500, 3000, false},
	    {"once more, what is left", 3000, 10, 3000, 1000, 2000, false},
	    {"once more, the whole time", 3000, 10, 3000, 1000, 3000, true},
	    {"once more, after a shorter time", 3000, 10, 500, 1000, 2400,
		false},
	};
	const msp_time_t sent = 100 * MSP_SECOND;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const time_case_t *c = &cases[i];
		const budget_time_t known = {.sent = sent,
		    .client = c->client_ms * MSP_MS,
		    .first_arrival = c->first_at_ms == 0
			? 0
			: sent + c->first_at_ms * MSP_MS,
		    .first_end =
			sent + (c->first_at_ms + c->first_time_ms) * MSP_MS};
		msp_time_t told = c->told_ms < 0
		    ? MSP_NEVER
		    : (msp_time_t)c->told_ms * MSP_MS;

		if (is_beyond_client_time(
			&known, sent + c->at_ms * MSP_MS, told) != c->is_beyond)
			fail_msg("%s", c->name);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(repeats_are_judged_by_the_window),
	    cmocka_unit_test(times_are_judged_by_the_client),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
