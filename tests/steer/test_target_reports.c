#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "dispatcher_fixture.h"

typedef struct report_case {
	const char *name;
	uint32_t slots, in_use;
	msp_target_state_t state;
	msp_time_t age;
	bool after_shed;
	uint32_t limit;
} report_case_t;

static const report_case_t report_cases[] = {
    {"lower", 2, 0, MSP_TARGET_READY, 0, false, 2},
    {"higher is ignored", 20, 0, MSP_TARGET_READY, 0, false, 8},
    {"no slots is ignored", 0, 0, MSP_TARGET_READY, 0, false, 8},
    {"full without a shed", 8, 8, MSP_TARGET_READY, 0, false, 8},
    {"full after a shed", 8, 7, MSP_TARGET_READY, 0, true, 1},
    {"empty after a shed", 8, 0, MSP_TARGET_READY, 0, true, 4},
    {"old", 1, 8, MSP_TARGET_READY, 10 * MSP_SECOND, true, 4},
    {"leaving", 8, 0, MSP_TARGET_LEAVING, 0, false, 0},
    {"leaving, old report", 8, 0, MSP_TARGET_LEAVING, 10 * MSP_SECOND, false,
	0},
    {"cold", 8, 0, MSP_TARGET_COLD, 0, false, 1},
};

static void
reports_only_lower_the_limit(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(report_cases) / sizeof(report_cases[0]); i++) {
		const report_case_t *c = &report_cases[i];
		msp_job_t job = {.class = MSP_CLASS_COMMIT};
		msp_target_load_t load;
		dispatcher_fixture_t fixture;

		set_up_dispatcher_fixture(&fixture, 1, 8);
		if (c->after_shed) {
			msp_submit_job(fixture.dispatcher, &job);
			msp_end_attempt(fixture.dispatcher, &job,
			    fixture.attempt, MSP_OUTCOME_SHED, 0);
		}
		msp_apply_load_report(fixture.dispatcher, "a", c->slots,
		    c->in_use, c->state, c->age);
		msp_list_target_loads(fixture.dispatcher, &load, 1);
		if (load.limit != c->limit)
			fail_msg("%s: limit %u", c->name, load.limit);
		msp_drop_dispatcher(fixture.dispatcher);
	}
}

static void
inherited_attempts_keep_their_slots(void **state)
{
	msp_job_t jobs[4] = {
	    {.class = MSP_CLASS_COMMIT},
	    {.class = MSP_CLASS_COMMIT},
	    {.class = MSP_CLASS_COMMIT},
	    {.class = MSP_CLASS_COMMIT},
	};
	dispatcher_fixture_t fixture;
	int i;

	(void)state;
	set_up_dispatcher_fixture(&fixture, 1, 4);
	msp_inherit_inflight(fixture.dispatcher, "a", 1, 500 * MSP_MS);
	for (i = 0; i < 4; i++)
		msp_submit_job(fixture.dispatcher, &jobs[i]);
	assert_int_equal(fixture.starts, 1); /* half of the slots, less one */
	advance_dispatcher_fixture(&fixture, 600 * MSP_MS);
	assert_int_equal(fixture.starts, 2);
	msp_drop_dispatcher(fixture.dispatcher);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(reports_only_lower_the_limit),
	    cmocka_unit_test(inherited_attempts_keep_their_slots),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
