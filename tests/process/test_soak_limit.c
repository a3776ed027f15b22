#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "soak_limit.h"

/* The judge of the soak's rule LIMIT, on histories made by hand. */

#define NAMED_AT (10 * MSP_SECOND)
#define PER_SECOND 10.0 /* allows 65 requests in 4 s */

typedef struct history {
	const char *name;
	unsigned int vms; /* that send by turns */
	unsigned int told; /* of them, those that passed the limit on */
	msp_time_t from; /* after the naming */
	msp_time_t until;
	double rate; /* of all VMs together, per second */
	bool is_broken;
} history_t;

static void
play(limit_judge_t *judge, const history_t *history, bool *is_broken)
{
	msp_time_t gap = (msp_time_t)((double)MSP_SECOND / history->rate);
	msp_time_t now = NAMED_AT + history->from;
	unsigned int i;

	*is_broken = false;
	name_judged_limit(judge, NAMED_AT, PER_SECOND);
	for (i = 0; i < history->told; i++)
		tell_judged_limit(judge, NAMED_AT, i);
	for (i = 0; now < NAMED_AT + history->until; i++) {
		if (judge_limit_arrival(judge, now, i % history->vms) > 0)
			*is_broken = true;
		now += gap;
	}
}

static void
judges_limits(void **state)
{
	static const history_t histories[] = {
	    {"at the limit", 4, 4, 0, 10 * MSP_SECOND, 10, false},
	    {"just inside the rule", 4, 4, 0, 10 * MSP_SECOND, 16, false},
	    {"just outside the rule", 4, 4, 0, 10 * MSP_SECOND, 17, true},
	    {"many times the limit", 4, 4, 0, 10 * MSP_SECOND, 60, true},
	    {"VMs that were not told", 4, 0, 0, 10 * MSP_SECOND, 60, false},
	    {"half of the VMs told", 4, 2, 0, 10 * MSP_SECOND, 30, false},
	    {"just after the naming", 4, 4, 0, 3900 * MSP_MS, 60, false},
	    {"nearly no request", 1, 1, 0, 10 * MSP_SECOND, 0.5, false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(histories) / sizeof(*histories); i++) {
		limit_judge_t judge = {0};
		bool is_broken;

		print_message("%s\n", histories[i].name);
		play(&judge, &histories[i], &is_broken);
		drop_limit_judge(&judge);
		assert_int_equal(is_broken, histories[i].is_broken);
	}
}

static void
excuses_restarted_vms_until_they_are_told_again(void **state)
{
	static const history_t flood = {"", 4, 4, 0, 10 * MSP_SECOND, 60, true};
	limit_judge_t judge = {0};
	msp_time_t now = NAMED_AT + 10 * MSP_SECOND;
	bool is_broken;
	unsigned int vm;

	(void)state;
	play(&judge, &flood, &is_broken);
	assert_true(is_broken);
	for (vm = 0; vm < flood.vms; vm++)
		excuse_limit_vm(&judge, vm);
	assert_int_equal(judge_limit_arrival(&judge, now, 0), 0);
	tell_judged_limit(&judge, now, 0);
	assert_int_equal(
	    judge_limit_arrival(&judge, now + MSP_SECOND / 4, 0), 0);
	assert_true(judge_limit_arrival(&judge, now + MSP_SECOND, 0) > 0);
	lift_judged_limit(&judge);
	assert_int_equal(judge_limit_arrival(&judge, now + MSP_SECOND, 0), 0);
	drop_limit_judge(&judge);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(judges_limits),
	    cmocka_unit_test(excuses_restarted_vms_until_they_are_told_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
