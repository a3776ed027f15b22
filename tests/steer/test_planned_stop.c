#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "monsoonspindle/steer.h"

/*
 * Guards against work of several seconds that a stopping VM begins and cuts off
 * in the end: long requests and long queues beside stops in turn.
 */
typedef struct stop_case {
	const char *name;
	msp_time_t time_left;
	msp_time_t latency; /* as expected */
	msp_time_t took; /* in fact, with the wait behind others */
	double load_weight; /* of what is known of the target's load */
	bool begun;
} stop_case_t;

static const stop_case_t cases[] = {
    {"not stopping", MSP_NEVER, 3600 * MSP_SECOND, 3600 * MSP_SECOND, 1, true},
    {"short work", 5300 * MSP_MS, 960 * MSP_MS, 1900 * MSP_MS, 1, true},
    {"long work early", 9300 * MSP_MS, 3400 * MSP_MS, 6700 * MSP_MS, 1, true},
    {"long work late", 5440 * MSP_MS, 3400 * MSP_MS, 5470 * MSP_MS, 1, false},
    {"longer work", 9300 * MSP_MS, 5200 * MSP_MS, 9400 * MSP_MS, 1, false},
    {"short work at the end", 900 * MSP_MS, 500 * MSP_MS, 950 * MSP_MS, 1,
	false},
    {"no time left", 0, 1 * MSP_MS, 2 * MSP_MS, 1, false},
    /* Queues that this VM has heard nothing of for long. */
    {"long work, load unknown", 6250 * MSP_MS, 2400 * MSP_MS, 9600 * MSP_MS, 0,
	false},
    {"short work, load unknown", 5300 * MSP_MS, 300 * MSP_MS, 2400 * MSP_MS, 0,
	true},
    {"load half known", 5000 * MSP_MS, 1100 * MSP_MS, 5500 * MSP_MS, 0.5,
	false},
};

static void
stopping_vm_begins_what_it_can_finish(void **state)
{
	msp_time_t limit;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const stop_case_t *c = &cases[i];

		limit =
		    msp_max_latency_before_stop(c->time_left, c->load_weight);
		if ((c->latency <= limit) != c->begun)
			fail_msg("%s: limit %llu ms", c->name,
			    (unsigned long long)(limit / MSP_MS));
		/* What is begun ends in time. */
		if (c->begun && c->took > c->time_left)
			fail_msg("%s: cut off", c->name);
	}
}

typedef struct time_case {
	msp_time_t time_left;
	msp_time_t target_time;
} time_case_t;

/* Guards against targets that work on beyond the end of the VM. */
static void
targets_are_told_to_answer_before_the_stop(void **state)
{
	static const time_case_t times[] = {
	    {MSP_NEVER, MSP_NEVER},
	    {5300 * MSP_MS, 5000 * MSP_MS},
	    {301 * MSP_MS, 1 * MSP_MS},
	    {300 * MSP_MS, 0},
	    {0, 0},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(times) / sizeof(*times); i++)
		assert_int_equal(
		    msp_target_time_before_stop(times[i].time_left),
		    times[i].target_time);
}

/*
 * What is cut off at the end must be in the last sixth of the grace period,
 * which the users allow, whatever its length.
 */
static void
reserve_is_in_the_last_sixth(void **state)
{
	static const msp_time_t graces[] = {MSP_SECOND, 2 * MSP_SECOND,
	    4 * MSP_SECOND, 6 * MSP_SECOND, 10 * MSP_SECOND, 60 * MSP_SECOND};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(graces) / sizeof(*graces); i++) {
		assert_true(msp_stop_reserve(graces[i]) < graces[i] / 6);
		assert_true(msp_stop_reserve(graces[i]) >= graces[i] / 10 ||
		    msp_stop_reserve(graces[i]) >= 700 * MSP_MS);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(stopping_vm_begins_what_it_can_finish),
	    cmocka_unit_test(targets_are_told_to_answer_before_the_stop),
	    cmocka_unit_test(reserve_is_in_the_last_sixth),
	};

	return cmocka_run_group_tests_name("planned stop", tests, NULL, NULL);
}
