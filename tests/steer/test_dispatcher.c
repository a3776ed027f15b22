#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "dispatcher_fixture.h"

#define NO_STATUS MSP_OK

/* How a job ends whose attempts all end in the same way. */
typedef struct outcome_case {
	msp_request_class_t class;
	uint32_t retries;
	msp_outcome_t outcome;
	uint32_t starts;
	msp_status_t status; /* of the refusal */
	msp_run_status_t run;
} outcome_case_t;

static const outcome_case_t outcome_cases[] = {
    {MSP_CLASS_INTERACTIVE, 1, MSP_OUTCOME_COMPLETE, 1, NO_STATUS, 0},
    {MSP_CLASS_INTERACTIVE, 1, MSP_OUTCOME_CONNECTION_LOST, 2, MSP_E_CUT_ANSWER,
	MSP_RUN_UNKNOWN},
    {MSP_CLASS_INTERACTIVE, 0, MSP_OUTCOME_CONNECTION_LOST, 1, MSP_E_CUT_ANSWER,
	MSP_RUN_UNKNOWN},
    {MSP_CLASS_INTERACTIVE, 1, MSP_OUTCOME_FIRST_BYTE_TIMEOUT, 2,
	MSP_E_CUT_ANSWER, MSP_RUN_UNKNOWN},
    {MSP_CLASS_INTERACTIVE, 1, MSP_OUTCOME_SHED, 2, MSP_E_OVERLOAD,
	MSP_RUN_UNKNOWN},
    /* The second strike puts it in quarantine. */
    {MSP_CLASS_BACKGROUND, 3, MSP_OUTCOME_CRASHED, 2, MSP_E_QUARANTINED,
	MSP_RUN_UNKNOWN},
    {MSP_CLASS_COMMIT, 3, MSP_OUTCOME_COMPLETE, 1, NO_STATUS, 0},
    {MSP_CLASS_COMMIT, 3, MSP_OUTCOME_CONNECTION_LOST, 1, MSP_E_IN_DOUBT,
	MSP_RUN_UNKNOWN},
    {MSP_CLASS_COMMIT, 3, MSP_OUTCOME_FIRST_BYTE_TIMEOUT, 1, MSP_E_IN_DOUBT,
	MSP_RUN_UNKNOWN},
    {MSP_CLASS_COMMIT, 3, MSP_OUTCOME_CRASHED, 1, MSP_E_IN_DOUBT,
	MSP_RUN_UNKNOWN},
    {MSP_CLASS_COMMIT, 3, MSP_OUTCOME_CANCELLED, 1, MSP_E_IN_DOUBT,
	MSP_RUN_UNKNOWN},
    {MSP_CLASS_COMMIT, 3, MSP_OUTCOME_SHED, 1, MSP_E_OVERLOAD, MSP_RUN_NO},
};

static void
each_outcome_has_its_end(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(outcome_cases) / sizeof(outcome_cases[0]); i++) {
		const outcome_case_t *c = &outcome_cases[i];
		msp_job_t job = {
		    .class = c->class,
		    .is_idempotent = c->class != MSP_CLASS_COMMIT,
		    .retries_left = c->retries,
		    .fingerprint = {.high = 1, .low = 2},
		};
		msp_job_result_t verdict = MSP_JOB_PENDING;
		bench_t bench;

		set_up_dispatcher_fixture(&bench, 3, 2);
		msp_submit_job(bench.dispatcher, &job);
		while (verdict == MSP_JOB_PENDING) {
			bench.venv.now += MSP_MS;
			verdict = msp_end_attempt(
			    bench.dispatcher, &job, bench.last, c->outcome, 0);
			if (bench.refusals > 0)
				break;
		}
		assert_int_equal(bench.starts, c->starts);
		assert_int_equal(bench.refusals, c->status != NO_STATUS);
		if (c->status != NO_STATUS) {
			assert_int_equal(bench.refusal.status, c->status);
			assert_int_equal(bench.refusal.run, c->run);
		}
		msp_drop_dispatcher(bench.dispatcher);
	}
}

/* A target that refuses connections was sent nothing: even commits go on. */
static void
refused_connection_goes_elsewhere(void **state)
{
	msp_job_t job = {.class = MSP_CLASS_COMMIT};
	bench_t bench;
	char first;

	(void)state;
	set_up_dispatcher_fixture(&bench, 2, 1);
	msp_submit_job(bench.dispatcher, &job);
	assert_true(bench.fresh);
	first = bench.target;
	assert_int_equal(msp_end_attempt(bench.dispatcher, &job, bench.last,
			     MSP_OUTCOME_REFUSED_CONNECTION, 0),
	    MSP_JOB_PENDING);
	assert_int_equal(bench.starts, 2);
	assert_int_not_equal(bench.target, first);
	assert_int_equal(msp_end_attempt(bench.dispatcher, &job, bench.last,
			     MSP_OUTCOME_COMPLETE, 0),
	    MSP_JOB_DONE);
	assert_int_equal(bench.refusals, 0);
	msp_drop_dispatcher(bench.dispatcher);
}

/* Two kept connections are silent while a fresh one works. */
static void
silent_connections_are_forgotten(void **state)
{
	msp_job_t jobs[2] = {
	    {.class = MSP_CLASS_INTERACTIVE,
		.is_idempotent = true,
		.retries_left = 1},
	    {.class = MSP_CLASS_INTERACTIVE,
		.is_idempotent = true,
		.retries_left = 1},
	};
	bench_t bench;

	(void)state;
	set_up_dispatcher_fixture(&bench, 1, 4);
	msp_submit_job(bench.dispatcher, &jobs[0]);
	msp_submit_job(bench.dispatcher, &jobs[1]);
	assert_false(bench.fresh);
	advance_dispatcher_fixture(&bench, 1100 * MSP_MS);
	assert_int_equal(bench.cancels, 2);
	assert_int_equal(bench.starts, 4);
	assert_true(bench.fresh);
	assert_int_equal(bench.forgets, 0);
	assert_int_equal(msp_end_attempt(bench.dispatcher, bench.job,
			     bench.last, MSP_OUTCOME_COMPLETE, 0),
	    MSP_JOB_DONE);
	assert_int_equal(bench.forgets, 1);
	msp_drop_dispatcher(bench.dispatcher);
}

static void
nothing_starts_after_a_pause(void **state)
{
	msp_job_t job = {.class = MSP_CLASS_COMMIT};
	bench_t bench;

	(void)state;
	set_up_dispatcher_fixture(&bench, 1, 1);
	advance_dispatcher_fixture(&bench, MSP_SECOND);
	bench.venv.now += 5 * MSP_SECOND;
	msp_submit_job(bench.dispatcher, &job);
	assert_true(msp_dispatcher_is_paused(bench.dispatcher));
	advance_dispatcher_fixture(&bench, 200 * MSP_MS);
	assert_int_equal(bench.starts, 0);
	msp_resume_dispatcher(bench.dispatcher);
	assert_int_equal(bench.starts, 1);
	msp_drop_dispatcher(bench.dispatcher);
}

static void
retired_dispatcher_hands_its_queue_over(void **state)
{
	msp_job_t jobs[2] = {
	    {.class = MSP_CLASS_COMMIT}, {.class = MSP_CLASS_COMMIT}};
	bench_t bench;

	(void)state;
	set_up_dispatcher_fixture(&bench, 1, 1);
	msp_submit_job(bench.dispatcher, &jobs[0]);
	msp_submit_job(bench.dispatcher, &jobs[1]);
	msp_retire_dispatcher(bench.dispatcher);
	assert_int_equal(bench.refusals, 1);
	assert_int_equal(bench.refusal.status, MSP_E_LEAVING);
	assert_int_equal(bench.refusal.run, MSP_RUN_NO);
	assert_int_equal(msp_end_attempt(bench.dispatcher, &jobs[0], bench.last,
			     MSP_OUTCOME_COMPLETE, 0),
	    MSP_JOB_DONE);
	msp_drop_dispatcher(bench.dispatcher);
}

/* A hedge's winner ends the other attempt; a caller's leaving ends all. */
static void
hedges_end_together(void **state)
{
	msp_job_t job = {
	    .class = MSP_CLASS_INTERACTIVE,
	    .is_idempotent = true,
	    .retries_left = 1,
	};
	msp_dispatcher_load_t load;
	bench_t bench;
	int i;

	(void)state;
	set_up_dispatcher_fixture(&bench, 2, 2);
	for (i = 0; i < 60; i++) {
		msp_job_t warm = {.class = MSP_CLASS_COMMIT};

		msp_submit_job(bench.dispatcher, &warm);
		bench.venv.now += 20 * MSP_MS;
		msp_end_attempt(bench.dispatcher, &warm, bench.last,
		    MSP_OUTCOME_COMPLETE, 0);
	}
	bench.starts = 0;
	msp_submit_job(bench.dispatcher, &job);
	advance_dispatcher_fixture(&bench, 50 * MSP_MS);
	assert_int_equal(bench.starts, 2);
	assert_int_equal(msp_end_attempt(bench.dispatcher, &job, bench.last,
			     MSP_OUTCOME_COMPLETE, 0),
	    MSP_JOB_DONE);
	assert_int_equal(bench.cancels, 1);
	job.retries_left = 1;
	msp_submit_job(bench.dispatcher, &job);
	advance_dispatcher_fixture(&bench, 50 * MSP_MS);
	assert_true(msp_cancel_job(bench.dispatcher, &job));
	assert_int_equal(bench.cancels, 3);
	msp_get_dispatcher_load(bench.dispatcher, &load);
	assert_int_equal(load.in_flight, 0);
	msp_drop_dispatcher(bench.dispatcher);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(each_outcome_has_its_end),
	    cmocka_unit_test(refused_connection_goes_elsewhere),
	    cmocka_unit_test(silent_connections_are_forgotten),
	    cmocka_unit_test(nothing_starts_after_a_pause),
	    cmocka_unit_test(retired_dispatcher_hands_its_queue_over),
	    cmocka_unit_test(hedges_end_together),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
