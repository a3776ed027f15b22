/*
 * Embeds a dispatcher in an event loop of the program's own: three requests and
 * one target with two slots. The clock is virtual, so the program does not
 * wait.
 */
#include <stdio.h>
#include <stdlib.h>

#include <monsoonspindle.h>

#define SERVICE_TIME (50 * MSP_MS)
#define REQUESTS 3

/* An attempt in flight at the target. */
typedef struct attempt {
	msp_job_t *job;
	msp_attempt_id_t id;
	msp_time_t end_time;
} attempt_t;

typedef struct embedder {
	msp_virtual_env_t clock;
	msp_dispatcher_t *dispatcher;
	attempt_t attempts[REQUESTS];
	int ended_count;
} embedder_t;

static void
start_attempt(void *ctx, msp_job_t *job, const msp_target_ref_t *target,
    bool fresh_connection, msp_attempt_id_t attempt_id)
{
	embedder_t *embedder = ctx;
	int i;

	(void)fresh_connection;
	printf("%6llu us: %s is sent to %s\n",
	    (unsigned long long)embedder->clock.now, job->request_id,
	    target->name);
	for (i = 0; i < REQUESTS; i++) {
		if (embedder->attempts[i].job != NULL)
			continue;
		embedder->attempts[i] = (attempt_t){
		    job, attempt_id, embedder->clock.now + SERVICE_TIME};
		return;
	}
}

static void
cancel_attempt(void *ctx, msp_job_t *job, msp_attempt_id_t attempt_id)
{
	(void)ctx;
	(void)job;
	(void)attempt_id;
}

static void
refuse_job(void *ctx, msp_job_t *job, const msp_refusal_t *refusal)
{
	embedder_t *embedder = ctx;

	printf("%6llu us: %s is refused: %s, run: %s, retry after %u ms\n",
	    (unsigned long long)embedder->clock.now, job->request_id,
	    refusal->reason, msp_run_status_name(refusal->run),
	    refusal->retry_after_ms);
	embedder->ended_count++;
}

/* Reports the end of the attempts whose service time is over. */
static void
finish_due_attempts(embedder_t *embedder)
{
	int i;

	for (i = 0; i < REQUESTS; i++) {
		attempt_t attempt = embedder->attempts[i];

		if (attempt.job == NULL ||
		    attempt.end_time > embedder->clock.now)
			continue;
		embedder->attempts[i].job = NULL;
		if (msp_end_attempt(embedder->dispatcher, attempt.job,
			attempt.id, MSP_OUTCOME_COMPLETE, 0) != MSP_JOB_DONE)
			continue;
		printf("%6llu us: %s has its response\n",
		    (unsigned long long)embedder->clock.now,
		    attempt.job->request_id);
		embedder->ended_count++;
	}
}

int
main(void)
{
	static const char *const names[REQUESTS] = {"first", "second", "third"};
	embedder_t embedder = {.clock = {.now = MSP_SECOND, .rng = {1}}};
	msp_env_t env = msp_virtual_env(&embedder.clock);
	msp_dispatcher_options_t options = {.service = "example",
	    .place = "here",
	    .policy = msp_default_policy(MSP_PREFER_LATENCY)};
	msp_dispatcher_callbacks_t callbacks = {.start_attempt = start_attempt,
	    .cancel_attempt = cancel_attempt,
	    .refuse_job = refuse_job,
	    .ctx = &embedder};
	msp_target_spec_t target = {
	    .name = "target-1", .slots = 2, .state = MSP_TARGET_READY};
	msp_job_t jobs[REQUESTS] = {{0}};
	int i;

	embedder.dispatcher = msp_new_dispatcher(&env, &options, &callbacks);
	if (embedder.dispatcher == NULL ||
	    msp_set_dispatcher_targets(embedder.dispatcher, &target, 1) !=
		MSP_OK)
		return EXIT_FAILURE;
	for (i = 0; i < REQUESTS; i++) {
		jobs[i].request_id = names[i];
		jobs[i].class = MSP_CLASS_INTERACTIVE;
		jobs[i].is_idempotent = true;
		msp_submit_job(embedder.dispatcher, &jobs[i]);
	}
	while (embedder.ended_count < REQUESTS) {
		embedder.clock.now += MSP_MS;
		finish_due_attempts(&embedder);
		msp_tick_dispatcher(embedder.dispatcher);
	}
	msp_drop_dispatcher(embedder.dispatcher);
	return EXIT_SUCCESS;
}
