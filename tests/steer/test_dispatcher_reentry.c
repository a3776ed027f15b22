#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/steer.h"

#define SEEDS 1000
#define JOBS 40
#define STEPS 300

/* A caller whose callbacks call the dispatcher again. */
typedef struct caller {
	msp_virtual_env_t venv;
	msp_rng_t rng;
	msp_dispatcher_t *dispatcher;
	msp_job_t jobs[JOBS];
	bool busy[JOBS]; /* submitted and not yet released */
	bool ending[JOBS]; /* msp_end_attempt() is running */
	uint32_t live[JOBS]; /* attempts in flight */
	msp_attempt_id_t attempts[JOBS][MSP_JOB_ATTEMPTS_MAX];
	uint32_t final_results[JOBS]; /* since it was submitted */
	int depth; /* of nested calls */
	uint64_t starts, repeated_results;
	uint64_t unknown_starts; /* of jobs that were not submitted */
	uint64_t repeated_commits;
	uint32_t commit_starts[JOBS];
} caller_t;

static void submit_job(caller_t *caller);

static uint64_t
draw(caller_t *caller, uint64_t bound)
{
	return msp_next_random(&caller->rng) % bound;
}

static size_t
index_of(const caller_t *caller, const msp_job_t *job)
{
	return (size_t)(job - caller->jobs);
}

static void
release_job(caller_t *caller, size_t i)
{
	caller->final_results[i]++;
	caller->repeated_results += caller->final_results[i] > 1;
	caller->busy[i] = false;
	memset(caller->attempts[i], 0, sizeof(caller->attempts[i]));
}

static void
clear_attempt(caller_t *caller, size_t i, msp_attempt_id_t attempt)
{
	int k;

	for (k = 0; k < MSP_JOB_ATTEMPTS_MAX; k++) {
		if (caller->attempts[i][k] == attempt)
			caller->attempts[i][k] = 0;
	}
}

static void
end_attempt(caller_t *caller, size_t i, msp_attempt_id_t attempt)
{
	msp_outcome_t outcome = (msp_outcome_t)draw(caller, MSP_OUTCOME_COUNT);
	msp_job_result_t result;

	clear_attempt(caller, i, attempt);
	if (outcome == MSP_OUTCOME_REFUSED_CONNECTION ||
	    outcome == MSP_OUTCOME_SHED)
		caller->commit_starts[i] = 0;
	caller->ending[i] = true;
	result = msp_end_attempt(caller->dispatcher, &caller->jobs[i], attempt,
	    outcome, draw(caller, 50) * MSP_MS);
	caller->ending[i] = false;
	if (result == MSP_JOB_DONE)
		release_job(caller, i);
}

static void
cancel_job(caller_t *caller)
{
	size_t i = draw(caller, JOBS);

	if (!caller->busy[i] || caller->ending[i])
		return;
	msp_cancel_job(caller->dispatcher, &caller->jobs[i]);
	release_job(caller, i);
}

static void
call_dispatcher(caller_t *caller)
{
	if (caller->depth >= 3)
		return;
	caller->depth++;
	switch (draw(caller, 6)) {
	case 0:
		submit_job(caller);
		break;
	case 1:
		cancel_job(caller);
		break;
	case 2:
		msp_tick_dispatcher(caller->dispatcher);
		break;
	default:
		break;
	}
	caller->depth--;
}

static void
handle_start(void *ctx, msp_job_t *job, const msp_target_ref_t *target,
    bool fresh, msp_attempt_id_t attempt)
{
	caller_t *caller = ctx;
	size_t i = index_of(caller, job);
	int k = caller->attempts[i][0] == 0 ? 0 : 1;

	(void)target;
	(void)fresh;
	caller->starts++;
	caller->unknown_starts += !caller->busy[i];
	caller->attempts[i][k] = attempt;
	if (job->class == MSP_CLASS_COMMIT && ++caller->commit_starts[i] > 1)
		caller->repeated_commits++;
	if (draw(caller, 4) == 0)
		end_attempt(caller, i, attempt);
	else
		call_dispatcher(caller);
}

static void
handle_cancel(void *ctx, msp_job_t *job, msp_attempt_id_t attempt)
{
	caller_t *caller = ctx;

	clear_attempt(caller, index_of(caller, job), attempt);
}

static void
handle_refusal(void *ctx, msp_job_t *job, const msp_refusal_t *refusal)
{
	caller_t *caller = ctx;

	(void)refusal;
	release_job(caller, index_of(caller, job));
	call_dispatcher(caller);
}

static void
handle_close(void *ctx, const msp_target_ref_t *target)
{
	(void)target;
	call_dispatcher(ctx);
}

static void
submit_job(caller_t *caller)
{
	size_t i = draw(caller, JOBS);
	msp_request_class_t class =
	    (msp_request_class_t)draw(caller, MSP_CLASS_COUNT);

	if (caller->busy[i])
		return;
	caller->jobs[i] = (msp_job_t){
	    .class = class,
	    .is_idempotent = class != MSP_CLASS_COMMIT,
	    .is_shifted = draw(caller, 4) == 0,
	    .deadline = caller->venv.now + 1 + draw(caller, 500) * MSP_MS,
	    .fingerprint = {.high = draw(caller, 30)},
	    .retries_left = (uint32_t)draw(caller, 3),
	};
	caller->busy[i] = true;
	caller->final_results[i] = 0;
	caller->commit_starts[i] = 0;
	msp_submit_job(caller->dispatcher, &caller->jobs[i]);
}

static void
set_targets(caller_t *caller)
{
	static const char *const names[] = {"a", "b", "c"};
	msp_target_spec_t specs[3];
	size_t count = 0, i;

	for (i = 0; i < 3; i++) {
		if (draw(caller, 4) == 0)
			continue;
		specs[count++] = (msp_target_spec_t){
		    .name = names[i],
		    .slots = (uint32_t)draw(caller, 4) + 1,
		    .state = (msp_target_state_t)draw(caller, 3),
		};
	}
	msp_set_dispatcher_targets(caller->dispatcher, specs, count);
}

static void
run_step(caller_t *caller)
{
	size_t i = draw(caller, JOBS);
	int k = (int)draw(caller, MSP_JOB_ATTEMPTS_MAX);

	caller->venv.now += draw(caller, 20) * MSP_MS;
	if (draw(caller, 200) == 0)
		caller->venv.now += 3 * MSP_SECOND;
	switch (draw(caller, 8)) {
	case 0:
	case 1:
	case 2:
		submit_job(caller);
		break;
	case 3:
		if (draw(caller, 5) == 0)
			set_targets(caller);
		break;
	case 4:
		cancel_job(caller);
		break;
	case 5:
		msp_resume_dispatcher(caller->dispatcher);
		break;
	default:
		if (caller->busy[i] && caller->attempts[i][k] != 0)
			end_attempt(caller, i, caller->attempts[i][k]);
		break;
	}
	msp_tick_dispatcher(caller->dispatcher);
}

static void
callbacks_may_reenter_the_dispatcher(void **state)
{
	uint64_t seed, starts = 0, repeated_results = 0;
	uint64_t unknown_starts = 0, repeated_commits = 0, left = 0;
	int i;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		static caller_t caller;
		msp_dispatcher_options_t options = {
		    .service = "s",
		    .place = "p",
		    .policy = msp_default_policy(
			(msp_preference_t)(seed % MSP_PREFERENCE_COUNT)),
		};
		msp_dispatcher_callbacks_t callbacks = {
		    .start_attempt = handle_start,
		    .cancel_attempt = handle_cancel,
		    .refuse_job = handle_refusal,
		    .close_idle_connections = handle_close,
		    .ctx = &caller,
		};
		msp_dispatcher_load_t load;
		msp_env_t env;

		memset(&caller, 0, sizeof(caller));
		caller.venv = (msp_virtual_env_t){
		    .now = MSP_MINUTE, .rng = {.state = seed}};
		caller.rng.state = seed * 7919;
		env = msp_virtual_env(&caller.venv);
		caller.dispatcher =
		    msp_new_dispatcher(&env, &options, &callbacks);
		set_targets(&caller);
		for (i = 0; i < STEPS; i++)
			run_step(&caller);
		/* After all deadlines each job must have its final result. */
		caller.depth = 3;
		caller.venv.now += MSP_SECOND;
		msp_tick_dispatcher(caller.dispatcher);
		msp_tick_dispatcher(caller.dispatcher);
		for (i = 0; i < JOBS; i++)
			left += caller.busy[i];
		msp_get_dispatcher_load(caller.dispatcher, &load);
		left += load.in_flight;
		starts += caller.starts;
		repeated_results += caller.repeated_results;
		unknown_starts += caller.unknown_starts;
		repeated_commits += caller.repeated_commits;
		msp_drop_dispatcher(caller.dispatcher);
	}
	print_message("%llu starts\n", (unsigned long long)starts);
	assert_true(starts > 10 * SEEDS);
	assert_int_equal(repeated_results, 0);
	assert_int_equal(unknown_starts, 0);
	assert_int_equal(repeated_commits, 0);
	assert_int_equal(left, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(callbacks_may_reenter_the_dispatcher),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
