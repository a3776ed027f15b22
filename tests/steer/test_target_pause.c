#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "monsoonspindle/steer/target_pause.h"

#define RESPONSES_MAX 4
#define SLOTS 9

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

static msp_pause_change_t
play_responses(const pause_response_t *responses, msp_virtual_env_t *venv,
    msp_target_pause_t *pause)
{
	msp_env_t env = msp_virtual_env(venv);
	msp_pause_change_t change = MSP_PAUSE_UNCHANGED;
	size_t i;

	for (i = 0; i < RESPONSES_MAX && responses[i].at_ms > 0; i++) {
		venv->now = responses[i].at_ms * MSP_MS;
		change = msp_apply_target_pause(pause, &env,
		    &(msp_pause_request_t){
			.span = responses[i].asks_ms * MSP_MS,
			.slots = SLOTS,
			.vms = 100});
	}
	return change;
}

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
	    {"after it", {{1000, 3000}, {9000, 500}}, MSP_PAUSE_BEGUN, 9000,
		9500},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_virtual_env_t venv = {.rng = {i + 1}};
		msp_target_pause_t pause = {0};
		msp_time_t until = cases[i].until_ms * MSP_MS;

		print_message("%s\n", cases[i].name);
		assert_int_equal(
		    play_responses(cases[i].responses, &venv, &pause),
		    cases[i].last_change);
		assert_int_equal(pause.began, cases[i].began_ms * MSP_MS);
		assert_int_equal(pause.asked_until, until);
		if (until == 0)
			assert_int_equal(pause.until, 0);
		else
			assert_true(msp_target_is_paused(&pause, until - 1));
		assert_true(pause.until <= until + MSP_RETURN_SPREAD_MAX);
	}
}

typedef struct return_case {
	const char *name;
	size_t vms;
	uint32_t first_step;
	bool is_spread;
} return_case_t;

/* Counts how many requests may be in flight at once. */
static uint32_t
count_allowed(const msp_target_pause_t *pause, msp_time_t now)
{
	uint32_t in_flight = 0;

	while (in_flight < UINT16_MAX &&
	    msp_target_pause_wait(pause, now, in_flight) == 0)
		in_flight++;
	return in_flight;
}

/*
 * Guards against VMs that were told together and begin again together, all with
 * as much as before, and against few VMs that leave slots empty.
 */
static void
load_returns_by_steps(void **state)
{
	static const return_case_t cases[] = {
	    {"one VM", 1, 9, false},
	    {"two VMs", 2, 4, false},
	    {"as many as slots", 9, 1, false},
	    {"more than slots", 10, 1, true},
	    {"many VMs", 300, 1, true},
	    {"not known", 0, 1, true},
	};
	msp_virtual_env_t venv = {.rng = {1}};
	msp_env_t env = msp_virtual_env(&venv);
	uint32_t step;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const msp_pause_request_t request = {.span = 4 * MSP_SECOND,
		    .slots = SLOTS,
		    .vms = cases[i].vms};
		msp_target_pause_t pause = {0};

		print_message("%s\n", cases[i].name);
		venv.now = MSP_SECOND;
		assert_int_equal(count_allowed(&pause, venv.now), UINT16_MAX);
		msp_apply_target_pause(&pause, &env, &request);
		assert_int_equal(
		    pause.until > pause.asked_until, cases[i].is_spread);
		assert_int_equal(count_allowed(&pause, venv.now), 0);
		assert_int_equal(msp_target_pause_wait(&pause, venv.now, 0),
		    pause.until - venv.now);
		for (step = 0; step < MSP_RETURN_STEPS; step++) {
			venv.now = pause.until + step * MSP_RETURN_STEP;
			assert_int_equal(count_allowed(&pause, venv.now),
			    cases[i].first_step << step);
			assert_int_equal(msp_target_pause_wait(
					     &pause, venv.now + 1, UINT16_MAX),
			    MSP_RETURN_STEP - 1);
		}
		venv.now = pause.until + MSP_RETURN_STEPS * MSP_RETURN_STEP;
		assert_int_equal(count_allowed(&pause, venv.now), UINT16_MAX);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(the_longest_pause_binds),
	    cmocka_unit_test(load_returns_by_steps),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
