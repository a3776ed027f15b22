#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/steer/target_limit.h"
#include "soak_limit.h"

#define STEP (10 * MSP_MS)
#define START (100 * MSP_SECOND)
#define DURATION (40 * MSP_SECOND)
#define VMS_MAX 300
#define PER_STEP_MAX 1000 /* requests that a VM tries to send in a step */

/* When VMs have more requests for the target than they may send. */
typedef enum demand {
	DEMAND_ALWAYS,
	DEMAND_AFTER_PAUSES, /* nothing for 8 s, then for 2 s, and again */
	DEMAND_BY_TURNS, /* one data centre after the other, for 2 s each */
	DEMAND_COUNT
} demand_t;

static const char *const demand_names[] = {
    [DEMAND_ALWAYS] = "always",
    [DEMAND_AFTER_PAUSES] = "after pauses",
    [DEMAND_BY_TURNS] = "by turns",
};

typedef struct share_case {
	size_t place_count;
	size_t vm_count; /* of each data centre */
	double per_second;
	/* For the first second each VM knows only so many of its data centre;
	   0: all. */
	size_t known_first;
} share_case_t;

static bool
has_demand(const share_case_t *c, demand_t demand, size_t place, msp_time_t now)
{
	msp_time_t second = now / MSP_SECOND;

	switch (demand) {
	case DEMAND_AFTER_PAUSES:
		return second % 10 >= 8;
	case DEMAND_BY_TURNS:
		return second / 2 % c->place_count == place;
	default:
		return true;
	}
}

static msp_sender_rank_t
rank_vm(const share_case_t *c, size_t index, msp_time_t now)
{
	msp_sender_rank_t rank = {
	    .place_count = c->place_count,
	    .place = index / c->vm_count,
	    .vm_count = c->vm_count,
	    .vm = index % c->vm_count,
	};

	if (c->known_first != 0 && now < START + MSP_SECOND) {
		rank.vm_count = c->known_first;
		rank.vm %= c->known_first;
	}
	return rank;
}

/* Returns how many requests arrive; fails if they break the rule. */
static unsigned int
play(const share_case_t *c, demand_t demand)
{
	static msp_target_limit_t limits[VMS_MAX];
	limit_judge_t judge = {0};
	size_t total = c->place_count * c->vm_count;
	unsigned int arrived = 0;
	unsigned int broken = 0;
	msp_sender_rank_t rank;
	msp_time_t now;
	size_t i;
	int k;

	name_judged_limit(&judge, START, c->per_second);
	for (i = 0; i < total; i++) {
		limits[i] = (msp_target_limit_t){
		    .last = {.named = true, .per_second = c->per_second}};
		tell_judged_limit(&judge, START, (unsigned int)i);
	}
	for (now = START; now < START + DURATION; now += STEP) {
		for (i = 0; i < total; i++) {
			if (msp_limit_share_is_old(&limits[i], now)) {
				rank = rank_vm(c, i, now);
				msp_set_limit_share(&limits[i], now, &rank);
			}
			if (!has_demand(c, demand, i / c->vm_count, now))
				continue;
			for (k = 0; k < PER_STEP_MAX &&
			     msp_rate_share_allows(&limits[i].share, now);
			     k++) {
				msp_use_target_limit(&limits[i]);
				arrived++;
				broken += judge_limit_arrival(
				    &judge, now, (unsigned int)i);
			}
		}
	}
	if (broken > 0)
		fail_msg("%zu x %zu VMs, limit %.1f, %s: %u in 4 s, allowed "
			 "%.0f",
		    c->place_count, c->vm_count, c->per_second,
		    demand_names[demand], judge.worst,
		    allowed_in_limit_window(&judge));
	drop_limit_judge(&judge);
	return arrived;
}

/*
 * Guards against a limit that each VM holds for itself, and against allowances
 * that VMs save up and use at the same time: a bucket of one request a VM alone
 * is 300 requests.
 */
static void
all_vms_together_keep_to_a_limit(void **state)
{
	static const struct {
		size_t places;
		size_t vms;
	} fleets[] = {{1, 1}, {1, 3}, {3, 1}, {6, 3}, {6, 17}, {9, 11}, {6, 50},
	    {1, 300}, {300, 1}};
	static const double limits[] = {
	    0, 0.05, 0.2, 0.5, 1, 3, 4.9, 13, 50, 200, 5000};
	size_t f;
	size_t l;
	int d;

	(void)state;
	for (f = 0; f < sizeof(fleets) / sizeof(*fleets); f++) {
		for (l = 0; l < sizeof(limits) / sizeof(*limits); l++) {
			share_case_t c = {.place_count = fleets[f].places,
			    .vm_count = fleets[f].vms,
			    .per_second = limits[l]};

			for (d = 0; d < DEMAND_COUNT; d++)
				play(&c, (demand_t)d);
		}
	}
}

/* A limit is there to be used: no part of it may get lost. */
static void
vms_with_enough_requests_use_the_whole_limit(void **state)
{
	static const share_case_t cases[] = {
	    {1, 1, 0.5, 0},
	    {3, 1, 1, 0},
	    {6, 3, 13, 0},
	    {6, 50, 0.5, 0},
	    {6, 50, 13, 0},
	    {6, 50, 5000, 0},
	    {300, 1, 40, 0},
	};
	double whole;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		whole =
		    cases[i].per_second * (double)DURATION / (double)MSP_SECOND;
		assert_true(play(&cases[i], DEMAND_ALWAYS) >= 0.9 * whole - 1);
	}
}

/* As after a restart of all VMs: for a second each knows few others. */
static void
vms_that_know_few_others_at_first_keep_to_a_limit(void **state)
{
	static const share_case_t cases[] = {
	    {6, 4, 13, 2},
	    {6, 50, 13, 25},
	    {3, 2, 200, 1},
	    {6, 4, 0.5, 1},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		play(&cases[i], DEMAND_ALWAYS);
}

/* A VM that gets a part late must not begin with saved requests. */
static void
late_part_starts_empty(void **state)
{
	const msp_shared_rate_t rate = {.per_second = 10, .burst = 4};
	msp_sender_rank_t rank = {.place_count = 1, .vm_count = 0};
	msp_rate_share_t share = {0};

	(void)state;
	msp_set_rate_share(&share, START, &rate, &rank);
	assert_false(msp_rate_share_allows(&share, START + MSP_MINUTE));
	assert_true(
	    msp_rate_share_wait(&share, START + MSP_MINUTE) == MSP_NEVER);
	rank.vm_count = 1;
	msp_set_rate_share(&share, START + MSP_MINUTE, &rate, &rank);
	assert_false(msp_rate_share_allows(&share, START + MSP_MINUTE));
	assert_true(
	    msp_rate_share_allows(&share, START + MSP_MINUTE + MSP_SECOND));
}

/* The bounds that the cold targets' former function was held to. */
static void
a_cold_targets_rate_is_shared(void **state)
{
	const msp_shared_rate_t rate = {
	    .per_second = 6, .burst = 4, .starts_at_once = true};
	const msp_shared_rate_t no_rate = {.burst = 4, .starts_at_once = true};
	msp_sender_rank_t rank = {.place_count = 1, .vm_count = 3};
	msp_rate_share_t shares[3] = {{0}};
	msp_rate_share_t share = {0};
	unsigned int sent = 0;
	msp_time_t now;

	(void)state;
	for (now = START; now < START + 10 * MSP_SECOND; now += STEP) {
		for (rank.vm = 0; rank.vm < 3; rank.vm++) {
			msp_rate_share_t *of_vm = &shares[rank.vm];

			msp_set_rate_share(of_vm, now, &rate, &rank);
			if (!msp_rate_share_allows(of_vm, now))
				continue;
			msp_use_rate_share(of_vm);
			sent++;
		}
	}
	assert_in_range(sent, 50, 63);
	rank = (msp_sender_rank_t){.place_count = 1, .vm_count = 3};
	msp_set_rate_share(&share, now, &no_rate, &rank);
	assert_false(msp_rate_share_allows(&share, now));
	rank.vm_count = 0;
	msp_set_rate_share(&share, now, &rate, &rank);
	assert_false(msp_rate_share_allows(&share, now));
}

/* Sends all that VMs of one data centre may send to a cold target. */
static unsigned int
send_to_cold_target(size_t vms, double per_second, double slack,
    msp_time_t from, msp_time_t until)
{
	static msp_rate_share_t shares[VMS_MAX];
	const msp_shared_rate_t rate = {.per_second = per_second * 0.9,
	    .burst = slack * 0.8,
	    .starts_at_once = true};
	unsigned int sent = 0;
	msp_time_t now;
	size_t vm;

	memset(shares, 0, sizeof(shares));
	for (now = START; now < START + until; now += STEP) {
		for (vm = 0; vm < vms; vm++) {
			msp_sender_rank_t rank = {
			    .place_count = 1, .vm_count = vms, .vm = vm};

			if (msp_rate_share_is_old(&shares[vm], now))
				msp_set_rate_share(
				    &shares[vm], now, &rate, &rank);
			while (now >= START + from &&
			    msp_rate_share_allows(&shares[vm], now)) {
				msp_use_rate_share(&shares[vm]);
				sent++;
			}
		}
	}
	return sent;
}

/*
 * Guards against VMs that each send their first request to a cold target at
 * once: the target is meant to get cold_over times its rate and cold_slack
 * requests in a second from all VMs of its data centre together.
 */
static void
many_vms_do_not_overrun_a_cold_target(void **state)
{
	static const struct {
		size_t vms;
		double per_second;
		double slack;
	} cases[] = {{1, 5, 5}, {3, 6, 5}, {4, 5, 5}, {17, 4, 8}, {50, 4, 8},
	    {50, 1, 8}, {300, 2, 1}};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		double rate = cases[i].per_second;
		double allowed = rate * 1.5 + cases[i].slack;
		unsigned int at_once = send_to_cold_target(
		    cases[i].vms, rate, cases[i].slack, 0, MSP_SECOND);
		unsigned int saved = send_to_cold_target(cases[i].vms, rate,
		    cases[i].slack, 9 * MSP_SECOND, 10 * MSP_SECOND);
		unsigned int later = send_to_cold_target(
		    cases[i].vms, rate, cases[i].slack, 0, 10 * MSP_SECOND);

		print_message("%zu VMs, %.0f per second: %u and %u of %.0f, "
			      "%u in 10 s\n",
		    cases[i].vms, rate, at_once, saved, allowed, later);
		assert_true(at_once <= allowed);
		assert_true(saved <= allowed);
		assert_true(later >= 8 * rate - 1);
		assert_true(later <= 10 * rate + cases[i].slack);
	}
	assert_int_equal(send_to_cold_target(3, 0, 5, 0, MSP_SECOND), 0);
}

/* The parts of rates that no VM reaches must still be numbers. */
static void
huge_limits_are_divided(void **state)
{
	static const double limits[] = {1e9, 1e31, 1e308};
	const msp_sender_rank_t rank = {.place_count = 6, .vm_count = 50};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(limits) / sizeof(*limits); i++) {
		msp_target_limit_t limit = {
		    .last = {.named = true, .per_second = limits[i]}};

		msp_set_limit_share(&limit, START, &rank);
		assert_float_equal(limit.share.per_second, 1e9 / 300, 1e-3);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(all_vms_together_keep_to_a_limit),
	    cmocka_unit_test(vms_with_enough_requests_use_the_whole_limit),
	    cmocka_unit_test(vms_that_know_few_others_at_first_keep_to_a_limit),
	    cmocka_unit_test(late_part_starts_empty),
	    cmocka_unit_test(a_cold_targets_rate_is_shared),
	    cmocka_unit_test(many_vms_do_not_overrun_a_cold_target),
	    cmocka_unit_test(huge_limits_are_divided),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
