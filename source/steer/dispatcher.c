#include <stdlib.h>
#include <string.h>

#include "dispatcher_private.h"

#define DEFAULT_PAUSE_BOUND (2 * MSP_SECOND)
#define DEFAULT_SERVICE_TIME (50 * MSP_MS)
#define RETRY_BURST 20
#define RAMP_SHARE 2 /* a new dispatcher starts at half of the slots */
#define OLD_REPORT (5 * MSP_SECOND)
#define SHED_MEMORY (5 * MSP_SECOND)

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
	if (d->policy.expected_service == 0)
		d->policy.expected_service = DEFAULT_SERVICE_TIME;
	d->service_time = d->policy.expected_service;
	d->pause_bound = options->pause_bound != 0 ? options->pause_bound
						   : DEFAULT_PAUSE_BOUND;
	TAILQ_INIT(&d->targets);
	TAILQ_INIT(&d->running);
	TAILQ_INIT(&d->doomed);
	for (i = 0; i < MSP_QUEUE_COUNT; i++)
		TAILQ_INIT(&d->queue[i]);
	msp_set_retry_budget(
	    &d->retries, d->policy.retry_budget_percent, RETRY_BURST);
	d->service = strdup(options->service != NULL ? options->service : "");
	d->place = strdup(options->place != NULL ? options->place : "");
	d->quarantine = options->quarantine;
	if (d->quarantine == NULL) {
		d->quarantine = msp_new_quarantine_list(env);
		d->owns_quarantine = true;
	}
	d->last_seen = msp_now(env);
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
msp_see_clock(msp_dispatcher_t *d)
{
	msp_time_t now = msp_now(&d->env);

	if (now > d->last_seen + d->pause_bound && !d->paused) {
		d->paused = true;
		msp_tell_decision(d, "pause", NULL, NULL, "clock-jump");
	}
	d->last_seen = now;
	return now;
}

bool
msp_dispatcher_paused(const msp_dispatcher_t *d)
{
	return d->paused;
}

void
msp_resume_dispatcher(msp_dispatcher_t *d)
{
	msp_see_clock(d);
	d->paused = false;
	msp_tick_dispatcher(d);
}

void
msp_retire_dispatcher(msp_dispatcher_t *d)
{
	msp_job_t *job;
	int i;

	msp_see_clock(d);
	d->retired = true;
	for (i = 0; i < MSP_QUEUE_COUNT; i++) {
		while ((job = TAILQ_FIRST(&d->queue[i])) != NULL) {
			msp_unqueue_job(d, job);
			msp_refuse_job(d, job, MSP_E_LEAVING,
			    job->sent ? MSP_RUN_UNKNOWN : MSP_RUN_NO, 0,
			    "the dispatcher has moved");
		}
	}
}

void
msp_set_dispatcher_policy(
    msp_dispatcher_t *d, const msp_dispatch_policy_t *policy)
{
	if (policy->retry_budget_percent != d->policy.retry_budget_percent)
		msp_set_retry_budget(
		    &d->retries, policy->retry_budget_percent, RETRY_BURST);
	d->policy = *policy;
	msp_tick_dispatcher(d);
}

static msp_target_t *
find_target(msp_dispatcher_t *d, const char *name)
{
	msp_target_t *target;

	TAILQ_FOREACH(target, &d->targets, link) {
		if (strcmp(target->name, name) == 0)
			return target;
	}
	return NULL;
}

static msp_status_t
set_target(msp_dispatcher_t *d, const msp_target_spec_t *spec)
{
	msp_target_t *target;

	if (spec->name == NULL || spec->name[0] == '\0' || spec->slots == 0)
		return msp_fail(
		    MSP_E_RANGE, "a target needs a name and a slot");
	target = find_target(d, spec->name);
	if (target == NULL) {
		target = msp_new_target(spec);
		if (target == NULL)
			return msp_fail(
			    MSP_E_NO_MEMORY, "no memory for a target");
		TAILQ_INSERT_TAIL(&d->targets, target, link);
	} else {
		msp_update_target(target, spec);
	}
	target->seen = true;
	return MSP_OK;
}

void
msp_forget_unlisted(msp_dispatcher_t *d)
{
	msp_target_t *target, *next;
	msp_job_t *job;
	int i;

	TAILQ_FOREACH_SAFE(target, &d->targets, link, next) {
		if (target->listed || target->in_flight > 0)
			continue;
		for (i = 0; i < MSP_QUEUE_COUNT; i++) {
			TAILQ_FOREACH(job, &d->queue[i], link) {
				if (job->avoid == target)
					job->avoid = NULL;
			}
		}
		TAILQ_FOREACH(job, &d->running, link) {
			if (job->avoid == target)
				job->avoid = NULL;
		}
		TAILQ_REMOVE(&d->targets, target, link);
		msp_drop_target(target);
	}
}

msp_status_t
msp_set_dispatcher_targets(
    msp_dispatcher_t *d, const msp_target_spec_t *targets, size_t count)
{
	msp_status_t status = MSP_OK;
	msp_target_t *target;
	size_t i;

	msp_see_clock(d);
	TAILQ_FOREACH(target, &d->targets, link)
		target->seen = false;
	for (i = 0; i < count && status == MSP_OK; i++)
		status = set_target(d, &targets[i]);
	if (status != MSP_OK)
		return status;
	TAILQ_FOREACH(target, &d->targets, link)
		target->listed = target->seen;
	msp_forget_unlisted(d);
	msp_review_queue(d);
	msp_pump_queue(d);
	return MSP_OK;
}

/* Takes in the state of a report; older ones than the last are ignored. */
static void
take_state(msp_dispatcher_t *d, msp_target_t *target, msp_target_state_t state)
{
	bool was_leaving = msp_target_leaving(target);
	bool was_cold = target->cold_reported;

	target->leaving_reported = state == MSP_TARGET_LEAVING;
	target->cold_reported = state == MSP_TARGET_COLD;
	if (target->leaving_reported && !was_leaving) {
		msp_tell_decision(d, "drain", NULL, target, "reported");
		msp_review_queue(d);
	}
	if ((was_leaving && !msp_target_leaving(target)) ||
	    (target->cold_reported && !was_cold))
		msp_ramp_target(target, 1);
}

/* Work of others counts once a shed has shown that it is there. */
static void
take_foreign_load(msp_target_t *target, uint32_t in_use, msp_time_t now)
{
	uint32_t foreign;

	if (target->last_shed == 0 || target->last_shed + SHED_MEMORY < now ||
	    in_use <= target->in_flight)
		return;
	foreign = in_use - target->in_flight;
	if (target->limit + foreign <= target->slots)
		return;
	target->limit = foreign < target->slots ? target->slots - foreign : 1;
}

void
msp_report_target(msp_dispatcher_t *d, const char *name, uint32_t slots,
    uint32_t in_use, msp_target_state_t state, msp_time_t age)
{
	msp_time_t now = msp_see_clock(d);
	msp_target_t *target = find_target(d, name);
	msp_time_t made = age < now ? now - age : 0;

	if (target == NULL || made < target->report_time)
		return;
	target->report_time = made;
	if (age <= OLD_REPORT) {
		target->reported_slots = target->slots;
		if (slots > 0 && slots < target->slots)
			target->reported_slots = slots;
		take_foreign_load(target, in_use, now);
	}
	take_state(d, target, state);
	msp_pump_queue(d);
}

void
msp_inherit_inflight(
    msp_dispatcher_t *d, const char *name, uint32_t in_flight, msp_time_t span)
{
	msp_time_t now = msp_see_clock(d);
	msp_target_t *target = find_target(d, name);
	uint32_t start;

	if (target == NULL)
		return;
	msp_hold_slots(target, in_flight, now + span);
	start = target->slots / RAMP_SHARE;
	if (target->limit > start)
		msp_ramp_target(target, start);
}

size_t
msp_list_target_loads(
    const msp_dispatcher_t *d, msp_target_load_t *out, size_t max)
{
	msp_time_t now = msp_now(&d->env);
	msp_time_t bound = msp_silent_bound(d);
	const msp_target_t *target;
	const msp_job_t *job;
	size_t count = 0;
	int i;

	TAILQ_FOREACH(target, &d->targets, link) {
		msp_target_load_t load = {
		    .name = target->name,
		    .in_flight = target->in_flight,
		    .limit = msp_target_limit(target, now),
		    .slots = target->slots,
		};

		TAILQ_FOREACH(job, &d->running, link) {
			for (i = 0; i < MSP_JOB_ATTEMPTS; i++) {
				const msp_job_attempt_t *attempt =
				    &job->attempts[i];
				msp_time_t end = attempt->started + bound;

				if (attempt->token == 0 ||
				    attempt->target != target)
					continue;
				if (job->deadline < end)
					end = job->deadline;
				if (end > now + load.span)
					load.span = end - now;
			}
		}
		if (count < max)
			out[count] = load;
		count++;
	}
	return count;
}

void
msp_get_dispatcher_load(const msp_dispatcher_t *d, msp_dispatcher_load_t *load)
{
	const msp_target_t *target;
	int i;

	*load = (msp_dispatcher_load_t){
	    .in_flight = d->in_flight,
	    .capacity = msp_total_limit(d),
	    .service_time = msp_mean_service(d),
	    .wait = msp_estimate_wait(d, MSP_CLASS_INTERACTIVE),
	    .background_wait = msp_estimate_wait(d, MSP_CLASS_BACKGROUND),
	    .draining = true,
	};
	TAILQ_FOREACH(target, &d->targets, link) {
		if (!target->listed || msp_target_leaving(target))
			continue;
		load->slots += target->slots;
		load->draining = false;
	}
	for (i = 0; i < MSP_CLASS_COUNT; i++)
		load->queued[i] = d->queued[i];
	load->queued[MSP_CLASS_INTERACTIVE] += d->queued[MSP_QUEUE_SHIFTED];
}

msp_quarantine_list_t *
msp_dispatcher_quarantine(msp_dispatcher_t *d)
{
	return d->quarantine;
}

void
msp_tell_decision(const msp_dispatcher_t *d, const char *what,
    const msp_job_t *job, const msp_target_t *target, const char *reason)
{
	msp_time_t now = msp_now(&d->env);
	msp_decision_t decision = {
	    .what = what,
	    .service = d->service,
	    .place = d->place,
	    .reason = reason,
	};

	if (d->callbacks.decide == NULL)
		return;
	if (job != NULL) {
		decision.request_id = job->request_id;
		decision.wait = now > job->arrival ? now - job->arrival : 0;
	}
	if (target != NULL)
		decision.target = target->name;
	d->callbacks.decide(d->callbacks.ctx, &decision);
}

void
msp_refuse_job(msp_dispatcher_t *d, msp_job_t *job, msp_status_t status,
    msp_run_t run, msp_time_t retry_after, const char *reason)
{
	msp_refusal_t refusal = {
	    .status = status,
	    .run = run,
	    .try_started = run != MSP_RUN_NO,
	    .reason = reason,
	};

	if (retry_after > MSP_MINUTE * 10)
		retry_after = MSP_MINUTE * 10;
	refusal.retry_after_ms =
	    (uint32_t)((retry_after + MSP_MS - 1) / MSP_MS);
	msp_tell_decision(d, "refuse", job, NULL, msp_status_name(status));
	d->callbacks.refuse(d->callbacks.ctx, job, &refusal);
}
