#include <stdlib.h>
#include <string.h>

#include "dispatcher_private.h"

#define DEFAULT_PAUSE_THRESHOLD (2 * MSP_SECOND)
#define DEFAULT_SERVICE_TIME (50 * MSP_MS)
#define RETRY_BURST 20 /* retries that the budget can save up */

msp_dispatcher_t *
msp_new_dispatcher(const msp_env_t *env,
    const msp_dispatcher_options_t *options,
    const msp_dispatcher_callbacks_t *callbacks)
{
	msp_dispatcher_t *d = calloc(1, sizeof(*d));
	int i;

	if (d == NULL)
		return NULL;
	d->env = *env;
	d->callbacks = *callbacks;
	d->policy = options->policy;
	if (d->policy.initial_service_time == 0)
		d->policy.initial_service_time = DEFAULT_SERVICE_TIME;
	d->service_time = d->policy.initial_service_time;
	d->pause_threshold = options->pause_threshold != 0
	    ? options->pause_threshold
	    : DEFAULT_PAUSE_THRESHOLD;
	TAILQ_INIT(&d->targets);
	TAILQ_INIT(&d->running);
	TAILQ_INIT(&d->to_refuse);
	for (i = 0; i < MSP_QUEUE_COUNT; i++)
		TAILQ_INIT(&d->queues[i]);
	msp_init_retry_budget(
	    &d->retry_budget, d->policy.retry_budget_percent, RETRY_BURST);
	d->service = strdup(options->service != NULL ? options->service : "");
	d->place = strdup(options->place != NULL ? options->place : "");
	d->quarantine = options->quarantine;
	if (d->quarantine == NULL) {
		d->quarantine = msp_new_quarantine_list(env);
		d->owns_quarantine = true;
	}
	d->last_call = msp_now(env);
	if (d->service == NULL || d->place == NULL || d->quarantine == NULL) {
		msp_drop_dispatcher(d);
		return NULL;
	}
	return d;
}

void
msp_drop_dispatcher(msp_dispatcher_t *d)
{
	msp_target_t *target;

	if (d == NULL)
		return;
	while ((target = TAILQ_FIRST(&d->targets)) != NULL) {
		TAILQ_REMOVE(&d->targets, target, link);
		msp_drop_target(target);
	}
	if (d->owns_quarantine)
		msp_drop_quarantine_list(d->quarantine);
	free(d->service);
	free(d->place);
	free(d);
}

msp_time_t
msp_check_clock(msp_dispatcher_t *d)
{
	msp_time_t now = msp_now(&d->env);

	if (now > d->last_call + d->pause_threshold && !d->paused) {
		d->paused = true;
		msp_report_decision(d, "pause", NULL, NULL, "clock-jump");
	}
	d->last_call = now;
	return now;
}

bool
msp_dispatcher_is_paused(const msp_dispatcher_t *d)
{
	return d->paused;
}

void
msp_resume_dispatcher(msp_dispatcher_t *d)
{
	msp_check_clock(d);
	d->paused = false;
	msp_tick_dispatcher(d);
}

void
msp_retire_dispatcher(msp_dispatcher_t *d)
{
	msp_job_t *job;
	int i;

	msp_check_clock(d);
	d->retired = true;
	for (i = 0; i < MSP_QUEUE_COUNT; i++) {
		while ((job = TAILQ_FIRST(&d->queues[i])) != NULL) {
			msp_unqueue_job(d, job);
			msp_refuse_job(d, job, MSP_E_LEAVING,
			    job->sent ? MSP_RUN_UNKNOWN : MSP_RUN_NOT_EXECUTED,
			    0, "the dispatcher has moved");
		}
	}
}

void
msp_set_dispatcher_policy(
    msp_dispatcher_t *d, const msp_dispatch_policy_t *policy)
{
	if (policy->retry_budget_percent != d->policy.retry_budget_percent)
		msp_init_retry_budget(&d->retry_budget,
		    policy->retry_budget_percent, RETRY_BURST);
	d->policy = *policy;
	msp_tick_dispatcher(d);
}

msp_quarantine_list_t *
msp_dispatcher_quarantine(msp_dispatcher_t *d)
{
	return d->quarantine;
}

void
msp_report_decision(const msp_dispatcher_t *d, const char *action,
    const msp_job_t *job, const msp_target_t *target, const char *reason)
{
	msp_time_t now = msp_now(&d->env);
	msp_decision_t decision = {
	    .action = action,
	    .service = d->service,
	    .place = d->place,
	    .reason = reason,
	};

	if (d->callbacks.report_decision == NULL)
		return;
	if (job != NULL) {
		decision.request_id = job->request_id;
		decision.wait = now > job->arrival ? now - job->arrival : 0;
	}
	if (target != NULL)
		decision.target = target->name;
	d->callbacks.report_decision(d->callbacks.ctx, &decision);
}

void
msp_refuse_job(msp_dispatcher_t *d, msp_job_t *job, msp_status_t status,
    msp_run_status_t run, msp_time_t retry_after, const char *reason)
{
	msp_refusal_t refusal = {
	    .status = status,
	    .run = run,
	    .attempt_started = run != MSP_RUN_NOT_EXECUTED,
	    .reason = reason,
	};

	if (retry_after > MSP_MINUTE * 10)
		retry_after = MSP_MINUTE * 10;
	refusal.retry_after_ms =
	    (uint32_t)((retry_after + MSP_MS - 1) / MSP_MS);
	msp_report_decision(d, "refuse", job, NULL, msp_status_name(status));
	d->callbacks.refuse_job(d->callbacks.ctx, job, &refusal);
}
