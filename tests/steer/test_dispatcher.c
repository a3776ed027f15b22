#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "dispatcher_fixture.h"

#define NO_STATUS MSP_OK

/* The expected end of a job whose attempts all have the same outcome. */
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
    {MSP_CLASS_INTERACTIVE, 1, MSP_OUTCOME_CONNECTION_LOST, 2,
	MSP_E_TRUNCATED_RESPONSE, MSP_RUN_UNKNOWN},
    {MSP_CLASS_INTERACTIVE, 0, MSP_OUTCOME_CONNECTION_LOST, 1,
	MSP_E_TRUNCATED_RESPONSE, MSP_RUN_UNKNOWN},
    {MSP_CLASS_INTERACTIVE, 1, MSP_OUTCOME_FIRST_BYTE_TIMEOUT, 2,
	MSP_E_TRUNCATED_RESPONSE, MSP_RUN_UNKNOWN},
    {MSP_CLASS_INTERACTIVE, 1, MSP_OUTCOME_SHED, 2, MSP_E_OVERLOAD,
	MSP_RUN_UNKNOWN},
    /* The second strike quarantines it. */
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
    {MSP_CLASS_COMMIT, 3, MSP_OUTCOME_SHED, 1, MSP_E_OVERLOAD,
	MSP_RUN_NOT_EXECUTED},
};

static void
each_outcome_has_its_result(void **state)
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
		msp_job_result_t result = MSP_JOB_PENDING;
		dispatcher_fixture_t fixture;

		set_up_dispatcher_fixture(&fixture, 3, 2);
		msp_submit_job(fixture.dispatcher, &job);
		while (result == MSP_JOB_PENDING) {
			fixture.venv.now += MSP_MS;
			result = msp_end_attempt(fixture.dispatcher, &job,
			    fixture.attempt, c->outcome, 0);
			if (fixture.refusals > 0)
				break;
		}
		assert_int_equal(fixture.starts, c->starts);
		assert_int_equal(fixture.refusals, c->status != NO_STATUS);
		if (c->status != NO_STATUS) {
			assert_int_equal(fixture.refusal.status, c->status);
			assert_int_equal(fixture.refusal.run, c->run);
		}
		msp_drop_dispatcher(fixture.dispatcher);
	}
}

/* No byte was sent on a refused connection, so even a commit is retried. */
static void
refused_connection_is_retried_on_another_target(void **state)
{
	msp_job_t job = {.class = MSP_CLASS_COMMIT};
	dispatcher_fixture_t fixture;
	char first;

	(void)state;
	set_up_dispatcher_fixture(&fixture, 2, 1);
	msp_submit_job(fixture.dispatcher, &job);
	assert_true(fixture.fresh_connection);
	first = fixture.target;
	assert_int_equal(
	    msp_end_attempt(fixture.dispatcher, &job, fixture.attempt,
		MSP_OUTCOME_REFUSED_CONNECTION, 0),
	    MSP_JOB_PENDING);
	assert_int_equal(fixture.starts, 2);
	assert_int_not_equal(fixture.target, first);
	assert_int_equal(msp_end_attempt(fixture.dispatcher, &job,
			     fixture.attempt, MSP_OUTCOME_COMPLETE, 0),
	    MSP_JOB_DONE);
	assert_int_equal(fixture.refusals, 0);
	msp_drop_dispatcher(fixture.dispatcher);
}

/* Two reused connections time out, then a new one gets a response. */
static void
idle_connections_are_closed_after_timeouts(void **state)
{
	msp_job_t jobs[2] = {
	    {.class = MSP_CLASS_INTERACTIVE,
		.is_idempotent = true,
		.retries_left = 1},
	    {.class = MSP_CLASS_INTERACTIVE,
		.is_idempotent = true,
		.retries_left = 1},
	};
	dispatcher_fixture_t fixture;

	(void)state;
	set_up_dispatcher_fixture(&fixture, 1, 4);
	msp_submit_job(fixture.dispatcher, &jobs[0]);
	msp_submit_job(fixture.dispatcher, &jobs[1]);
	assert_false(fixture.fresh_connection);
	advance_dispatcher_fixture(&fixture, 1100 * MSP_MS);
	assert_int_equal(fixture.cancels, 2);
	assert_int_equal(fixture.starts, 4);
	assert_true(fixture.fresh_connection);
	assert_int_equal(fixture.closes, 0);
	assert_int_equal(msp_end_attempt(fixture.dispatcher, fixture.job,
			     fixture.attempt, MSP_OUTCOME_COMPLETE, 0),
	    MSP_JOB_DONE);
	assert_int_equal(fixture.closes, 1);
	msp_drop_dispatcher(fixture.dispatcher);
}

static void
nothing_starts_after_a_pause(void **state)
{
	msp_job_t job = {.class = MSP_CLASS_COMMIT};
	dispatcher_fixture_t fixture;

	(void)state;
	set_up_dispatcher_fixture(&fixture, 1, 1);
	advance_dispatcher_fixture(&fixture, MSP_SECOND);
	fixture.venv.now += 5 * MSP_SECOND;
	msp_submit_job(fixture.dispatcher, &job);
	assert_true(msp_dispatcher_is_paused(fixture.dispatcher));
	advance_dispatcher_fixture(&fixture, 200 * MSP_MS);
	assert_int_equal(fixture.starts, 0);
	msp_resume_dispatcher(fixture.dispatcher);
	assert_int_equal(fixture.starts, 1);
	msp_drop_dispatcher(fixture.dispatcher);
}

static void
retired_dispatcher_refuses_its_queue(void **state)
{
	msp_job_t jobs[2] = {
	    {.class = MSP_CLASS_COMMIT}, {.class = MSP_CLASS_COMMIT}};
	dispatcher_fixture_t fixture;

	(void)state;
	set_up_dispatcher_fixture(&fixture, 1, 1);
	msp_submit_job(fixture.dispatcher, &jobs[0]);
	msp_submit_job(fixture.dispatcher, &jobs[1]);
	msp_retire_dispatcher(fixture.dispatcher);
	assert_int_equal(fixture.refusals, 1);
	assert_int_equal(fixture.refusal.status, MSP_E_LEAVING);
	assert_int_equal(fixture.refusal.run, MSP_RUN_NOT_EXECUTED);
	assert_int_equal(msp_end_attempt(fixture.dispatcher, &jobs[0],
			     fixture.attempt, MSP_OUTCOME_COMPLETE, 0),
	    MSP_JOB_DONE);
	msp_drop_dispatcher(fixture.dispatcher);
}

/*
 * The first complete response cancels the other attempt, and cancelling the
 * job cancels both.
 */
static void
hedges_are_cancelled_with_the_job(void **state)
{
	msp_job_t job = {
	    .class = MSP_CLASS_INTERACTIVE,
	    .is_idempotent = true,
	    .retries_left = 1,
	};
	msp_dispatcher_load_t load;
	dispatcher_fixture_t fixture;
	int i;

	(void)state;
	set_up_dispatcher_fixture(&fixture, 2, 2);
	for (i = 0; i < 60; i++) {
		msp_job_t commit = {.class = MSP_CLASS_COMMIT};

		msp_submit_job(fixture.dispatcher, &commit);
		fixture.venv.now += 20 * MSP_MS;
		msp_end_attempt(fixture.dispatcher, &commit, fixture.attempt,
		    MSP_OUTCOME_COMPLETE, 0);
	}
	fixture.starts = 0;
	msp_submit_job(fixture.dispatcher, &job);
	advance_dispatcher_fixture(&fixture, 50 * MSP_MS);
	assert_int_equal(fixture.starts, 2);
	assert_int_equal(msp_end_attempt(fixture.dispatcher, &job,
			     fixture.attempt, MSP_OUTCOME_COMPLETE, 0),
	    MSP_JOB_DONE);
	assert_int_equal(fixture.cancels, 1);
	job.retries_left = 1;
	msp_submit_job(fixture.dispatcher, &job);
	advance_dispatcher_fixture(&fixture, 50 * MSP_MS);
	assert_true(msp_cancel_job(fixture.dispatcher, &job));
	assert_int_equal(fixture.cancels, 3);
	msp_get_dispatcher_load(fixture.dispatcher, &load);
	assert_int_equal(load.in_flight, 0);
	msp_drop_dispatcher(fixture.dispatcher);
}

/*
 * Guards against a target that sheds with a long Retry-After and gets requests
 * again after one second.
 */
static void
shedding_target_gets_nothing_for_the_time_it_named(void **state)
{
	static const msp_time_t spans[] = {
	    500 * MSP_MS, MSP_SECOND, 5 * MSP_SECOND, 60 * MSP_SECOND};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(spans) / sizeof(*spans); i++) {
		msp_job_t job = {.class = MSP_CLASS_COMMIT};
		msp_job_t early = {.class = MSP_CLASS_INTERACTIVE};
		msp_job_t late = {.class = MSP_CLASS_COMMIT};
		dispatcher_fixture_t fixture;

		set_up_dispatcher_fixture(&fixture, 1, 2);
		msp_submit_job(fixture.dispatcher, &job);
		msp_end_attempt(fixture.dispatcher, &job, fixture.attempt,
		    MSP_OUTCOME_SHED, spans[i]);
		advance_dispatcher_fixture(&fixture, spans[i] - 400 * MSP_MS);
		msp_submit_job(fixture.dispatcher, &early);
		advance_dispatcher_fixture(&fixture, 350 * MSP_MS);
		assert_int_equal(fixture.starts, 1);
		assert_int_equal(fixture.refusals, 2);
		assert_int_equal(fixture.refusal.run, MSP_RUN_NOT_EXECUTED);
		advance_dispatcher_fixture(&fixture, 100 * MSP_MS);
		msp_submit_job(fixture.dispatcher, &late);
		assert_int_equal(fixture.starts, 2);
		assert_int_equal(msp_end_attempt(fixture.dispatcher, &late,
				     fixture.attempt, MSP_OUTCOME_COMPLETE, 0),
		    MSP_JOB_DONE);
		msp_drop_dispatcher(fixture.dispatcher);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(each_outcome_has_its_result),
	    cmocka_unit_test(refused_connection_is_retried_on_another_target),
	    cmocka_unit_test(idle_connections_are_closed_after_timeouts),
	    cmocka_unit_test(nothing_starts_after_a_pause),
	    cmocka_unit_test(retired_dispatcher_refuses_its_queue),
	    cmocka_unit_test(hedges_are_cancelled_with_the_job),
	    cmocka_unit_test(
		shedding_target_gets_nothing_for_the_time_it_named),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
