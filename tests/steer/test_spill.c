#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "monsoonspindle/steer.h"

#define ROUNDS 2000 /* 1 ms apart */

typedef struct spill_case {
	const char *name;
	msp_time_t local_wait_ms;
	msp_time_t rtt_ms, wait_ms; /* of the sibling data centre */
	msp_time_t far_rtt_ms, far_wait_ms; /* of another region */
	int spilled_min, spilled_max; /* percent spilled in the second half */
	int choice; /* option of the spilled requests */
} spill_case_t;

#define NEVER_MS (MSP_NEVER / MSP_MS)

static const spill_case_t cases[] = {
    {"idle", 0, 2, 0, 55, 0, 0, 0, 0},
    {"short wait stays", 6, 2, 0, 55, 0, 0, 0, 0},
    {"sibling idle", 50, 2, 0, 55, 0, 100, 100, 0},
    {"sibling as busy", 50, 2, 50, 55, 0, 0, 0, 0},
    {"both busy, far is better", 200, 2, 200, 55, 0, 100, 100, 1},
    {"far is no better than the wait", 58, 2, 60, 55, 0, 0, 0, 0},
    {"local drains", NEVER_MS, 2, 10, 55, 0, 100, 100, 0},
    {"local drains, sibling too", NEVER_MS, 2, NEVER_MS, 55, 0, 100, 100, 1},
    {"no other place accepts", 500, 2, NEVER_MS, 55, NEVER_MS, 0, 0, 0},
};

static msp_time_t
from_ms(msp_time_t ms)
{
	return ms == NEVER_MS ? MSP_NEVER : ms * MSP_MS;
}

static void
requests_go_where_they_wait_least(void **state)
{
	size_t i;
	int round;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const spill_case_t *c = &cases[i];
		msp_virtual_env_t venv = {
		    .now = MSP_MINUTE, .rng = {.state = i}};
		msp_env_t env = msp_virtual_env(&venv);
		msp_spill_t spill = {0};
		msp_spill_option_t options[] = {
		    {.rtt = from_ms(c->rtt_ms), .wait = from_ms(c->wait_ms)},
		    {.rtt = from_ms(c->far_rtt_ms),
			.wait = from_ms(c->far_wait_ms)},
		};
		int spilled = 0;

		for (round = 0; round < ROUNDS; round++) {
			int choice = msp_decide_spill(&spill, &env,
			    from_ms(c->local_wait_ms), options, 2);

			venv.now += MSP_MS;
			if (round < ROUNDS / 2 || choice == MSP_SPILL_LOCAL)
				continue;
			assert_int_equal(choice, c->choice);
			spilled++;
		}
		spilled = spilled * 100 / (ROUNDS / 2);
		if (spilled < c->spilled_min || spilled > c->spilled_max)
			fail_msg("%s: %d%%", c->name, spilled);
	}
}

/* Between the two thresholds the share does not change. */
static void
share_has_hysteresis(void **state)
{
	msp_virtual_env_t venv = {.now = MSP_MINUTE};
	msp_env_t env = msp_virtual_env(&venv);
	msp_spill_t spill = {.share = 0.5};
	msp_spill_option_t option = {.rtt = 55 * MSP_MS};
	int i;

	(void)state;
	for (i = 0; i < ROUNDS; i++) {
		venv.now += MSP_MS;
		msp_decide_spill(
		    &spill, &env, (40 + i % 19) * MSP_MS, &option, 1);
	}
	assert_true(spill.share == 0.5);
	for (i = 0; i < ROUNDS; i++) {
		venv.now += MSP_MS;
		msp_decide_spill(&spill, &env, 10 * MSP_MS, &option, 1);
	}
	assert_true(spill.share == 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(requests_go_where_they_wait_least),
	    cmocka_unit_test(share_has_hysteresis),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
