#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "monsoonspindle/steer/target_pause.h"

#define RESPONSES_MAX 4

typedef struct pause_response {
	uint32_t at_ms; /* 0: end of the list */
	uint32_t asks_ms;
} pause_response_t;

typedef struct pause_case {
	const char *name;
	pause_response_t responses[RESPONSES_MAX];
	msp_pause_change_t last_change;
	uint32_t began_ms;
	uint32_t until_ms;
} pause_case_t;

/*
 * Guards against a pause that ends before its time, since a response that was
 * sent earlier, or one that asks for less, came after it.
 */
static void
the_longest_pause_binds(void **state)
{
	static const pause_case_t cases[] = {
	    {"first", {{1000, 3000}}, MSP_PAUSE_BEGUN, 1000, 4000},
	    {"none asked for", {{1000, 0}}, MSP_PAUSE_UNCHANGED, 0, 0},
	    {"longer", {{1000, 3000}, {1500, 3000}}, MSP_PAUSE_EXTENDED, 1000,
		4500},
	    {"shorter", {{1000, 3000}, {1500, 1000}}, MSP_PAUSE_UNCHANGED, 1000,
		4000},
	    {"none within one", {{1000, 3000}, {1500, 0}}, MSP_PAUSE_UNCHANGED,
		1000, 4000},
	    {"to the same end", {{1000, 3000}, {1500, 2500}},
		MSP_PAUSE_UNCHANGED, 1000, 4000},
	    {"at its end", {{1000, 3000}, {4000, 500}}, MSP_PAUSE_BEGUN, 4000,
		4500},
	    {"after it", {{1000, 3000}, {9000, 500}}, MSP_PAUSE_BEGUN, 9000,
		9500},
	};
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const pause_response_t *responses = cases[i].responses;
		msp_target_pause_t pause = {0};
		msp_pause_change_t change = MSP_PAUSE_UNCHANGED;
		msp_time_t until = cases[i].until_ms * MSP_MS;

		print_message("%s\n", cases[i].name);
		for (k = 0; k < RESPONSES_MAX && responses[k].at_ms > 0; k++)
			change = msp_apply_target_pause(&pause,
			    responses[k].at_ms * MSP_MS,
			    responses[k].asks_ms * MSP_MS);
		assert_int_equal(change, cases[i].last_change);
		assert_int_equal(pause.began, cases[i].began_ms * MSP_MS);
		assert_int_equal(pause.until, until);
		assert_false(msp_target_is_paused(&pause, until));
		if (until == 0)
			continue;
		assert_true(msp_target_is_paused(&pause, until - 1));
		assert_int_equal(msp_target_pause_left(&pause, until - 1), 1);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(the_longest_pause_binds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
