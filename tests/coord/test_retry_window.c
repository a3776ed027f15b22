#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/coord.h"
#include "soak_budget.h"

/*
 * Many VMs that share a retry budget, without network, against the rule for all
 * of them together. Each retries whatever it may, as in an outage.
 */

#define SPAN (10 * MSP_SECOND)
#define TICK (100 * MSP_MS)
#define RATIO 0.2
#define RATIO_PART 0.7 /* that is used, as the edge does */
#define SLACK 120
#define SLACK_PART 0.7
#define VMS_MAX 1000
#define USED_MIN 0.15 /* of what is allowed */
#define START (100 * MSP_SECOND)

/* When the VMs have failures to retry, and what else happens. */
typedef struct fleet_case {
	const char *name;
	double rate; /* requests per second, of all VMs */
	msp_time_t calm; /* without failures, at first */
	msp_time_t failing;
	msp_time_t restarts; /* of all VMs, so often; 0: none */
	bool stops; /* no request comes while they fail */
} fleet_case_t;

static const fleet_case_t cases[] = {
    {"failures from the start", 300, 0, 30 * MSP_SECOND, 0, false},
    {"failures after a calm time", 300, 60 * MSP_SECOND, 30 * MSP_SECOND, 0,
	false},
    /* Each VM had saved a burst, and all spent it at the same moment. */
    {"few requests, then failures", 10, 60 * MSP_SECOND, 30 * MSP_SECOND, 0,
	false},
    {"no requests, only failures", 300, 30 * MSP_SECOND, 30 * MSP_SECOND, 0,
	true},
    /* A restarted VM had a new burst. */
    {"restarts among failures", 50, 60 * MSP_SECOND, 40 * MSP_SECOND,
	3 * MSP_SECOND, false},
    {"many requests", 5000, 30 * MSP_SECOND, 30 * MSP_SECOND, 0, false},
};

static const unsigned int fleets[] = {1, 10, 20, 100, 300, VMS_MAX};

typedef struct fleet {
	msp_rng_t rng;
	unsigned int count;
	msp_retry_window_t windows[VMS_MAX];
	msp_time_t started[VMS_MAX];
	budget_judge_t judge;
	unsigned int retries;
	unsigned int over;
} fleet_t;

/* As the edge computes it. */
static msp_retry_share_t
get_share(const fleet_t *fleet, unsigned int vm, msp_time_t now)
{
	msp_retry_share_t share = {.ratio = RATIO * RATIO_PART};
	char name[16];

	snprintf(name, sizeof(name), "vm%u", vm);
	share.draw = msp_hash_text(name, 0);
	if (now >= fleet->started[vm] + SPAN)
		share.slack = (double)SLACK * SLACK_PART / fleet->count;
	return share;
}

static void
retry_all(fleet_t *fleet, msp_time_t now)
{
	unsigned int vm;

	for (vm = 0; vm < fleet->count; vm++) {
		msp_retry_share_t share = get_share(fleet, vm, now);

		while (msp_take_retry(&fleet->windows[vm], now, &share)) {
			fleet->retries++;
			fleet->over += judge_budget_repeat(&fleet->judge, now);
		}
	}
}

static void
restart_all(fleet_t *fleet, msp_time_t now)
{
	unsigned int vm;

	for (vm = 0; vm < fleet->count; vm++) {
		fleet->windows[vm] = (msp_retry_window_t){.span = SPAN};
		fleet->started[vm] = now;
	}
}

static void
play(fleet_t *fleet, const fleet_case_t *c)
{
	msp_time_t now;
	msp_time_t fails_at = START + c->calm;
	double due = 0;

	for (now = START; now < fails_at + c->failing; now += TICK) {
		bool fails = now >= fails_at;

		if (fails && c->restarts != 0 &&
		    (now - fails_at) % c->restarts == 0)
			restart_all(fleet, now);
		if (!fails || !c->stops)
			due += c->rate * TICK / MSP_SECOND;
		for (; due >= 1; due--) {
			uint64_t vm =
			    msp_next_random(&fleet->rng) % fleet->count;

			msp_count_request(&fleet->windows[vm], now);
			count_budget_request(&fleet->judge, now);
		}
		if (fails)
			retry_all(fleet, now);
	}
}

static void
parts_add_up_to_the_budget(void **state)
{
	fleet_t *fleet = calloc(1, sizeof(*fleet));
	size_t i;
	size_t k;

	(void)state;
	assert_non_null(fleet);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		for (k = 0; k < sizeof(fleets) / sizeof(*fleets); k++) {
			*fleet = (fleet_t){.rng = {.state = i + 1},
			    .count = fleets[k],
			    .judge = {
				.options = {.ratio = RATIO, .slack = SLACK}}};
			restart_all(fleet, 0);
			play(fleet, &cases[i]);
			print_message("%s, %u VMs: %u retries, at most %.2f of "
				      "what is allowed\n",
			    cases[i].name, fleets[k], fleet->retries,
			    fleet->judge.worst);
			assert_int_equal(fleet->over, 0);
			/* Not by retrying nothing, however many VMs there are.
			 */
			assert_true(fleet->judge.worst >= USED_MIN);
		}
	}
	free(fleet);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(parts_add_up_to_the_budget),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
