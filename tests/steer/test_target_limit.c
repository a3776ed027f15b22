#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/steer/target_limit.h"

#define STATEMENTS_MAX 4

typedef struct order_case {
	const char *name;
	/* In the order of processing; `heard_at` 0: end of the list. */
	msp_limit_statement_t statements[STATEMENTS_MAX];
	msp_limit_change_t last_change;
	bool in_force;
	double per_second; /* if it is in force */
} order_case_t;

/*
 * Guards against a limit that is lifted by a response of a time before the
 * target named it, and against one that is never lifted.
 */
static void
only_later_requests_lift_or_raise_a_limit(void **state)
{
	static const order_case_t cases[] = {
	    {"no limit", {{false, 0, 1, 2}}, MSP_LIMIT_UNCHANGED, false, 0},
	    {"first", {{true, 13, 1, 2}}, MSP_LIMIT_NAMED, true, 13},
	    {"repeated", {{true, 13, 1, 2}, {true, 13, 3, 4}},
		MSP_LIMIT_UNCHANGED, true, 13},
	    {"lifted", {{true, 13, 1, 2}, {false, 0, 2, 4}}, MSP_LIMIT_ENDED,
		false, 0},
	    {"response without it overtaken",
		{{true, 13, 3, 5}, {false, 0, 4, 6}}, MSP_LIMIT_UNCHANGED, true,
		13},
	    {"lifted by the next request",
		{{true, 13, 3, 5}, {false, 0, 4, 6}, {false, 0, 5, 7}},
		MSP_LIMIT_ENDED, false, 0},
	    {"raised", {{true, 13, 1, 2}, {true, 20, 3, 4}}, MSP_LIMIT_CHANGED,
		true, 20},
	    {"raised, order not known", {{true, 13, 1, 4}, {true, 20, 3, 5}},
		MSP_LIMIT_UNCHANGED, true, 13},
	    {"lowered, order not known", {{true, 20, 1, 4}, {true, 13, 3, 5}},
		MSP_LIMIT_CHANGED, true, 13},
	    {"named after a response without it",
		{{false, 0, 1, 4}, {true, 13, 2, 5}}, MSP_LIMIT_NAMED, true,
		13},
	    {"told late of a limit that has ended",
		{{true, 13, 1, 2}, {false, 0, 6, 7}, {true, 13, 3, 5}},
		MSP_LIMIT_UNCHANGED, false, 0},
	    {"named again",
		{{true, 13, 1, 2}, {false, 0, 6, 7}, {true, 9, 8, 9}},
		MSP_LIMIT_NAMED, true, 9},
	    {"zero", {{true, 0, 1, 2}}, MSP_LIMIT_NAMED, true, 0},
	};
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_target_limit_t limit = {0};
		msp_limit_change_t change = MSP_LIMIT_UNCHANGED;

		print_message("%s\n", cases[i].name);
		for (k = 0;
		     k < STATEMENTS_MAX && cases[i].statements[k].heard_at != 0;
		     k++)
			change = msp_apply_limit_statement(
			    &limit, &cases[i].statements[k]);
		assert_int_equal(change, cases[i].last_change);
		assert_int_equal(msp_limit_in_force(&limit), cases[i].in_force);
		if (cases[i].in_force)
			assert_float_equal(
			    limit.last.per_second, cases[i].per_second, 1e-9);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(only_later_requests_lift_or_raise_a_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
