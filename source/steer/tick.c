#include "dispatcher_private.h"

/* The first byte timeout as a multiple of the 99th percentile, and limits. */
#define TIMEOUT_FACTOR 4
#define TIMEOUT_MIN (250 * MSP_MS)
#define TIMEOUT_MAX (5 * MSP_SECOND)

msp_time_t
msp_first_byte_timeout(const msp_dispatcher_t *d)
{
	msp_time_t timeout = 20 * d->policy.initial_service_time;

	if (d->latency_p99 != 0)
		timeout = TIMEOUT_FACTOR * d->latency_p99;
	if (timeout < TIMEOUT_MIN)
		return TIMEOUT_MIN;
	return timeout > TIMEOUT_MAX ? TIMEOUT_MAX : timeout;
}

/* Time after which a read gets a second attempt; MSP_NEVER if not at all. */
static msp_time_t
hedge_delay(const msp_dispatcher_t *d)
{
	if (!d->policy.hedge || d->latency_p95 == 0)
		return MSP_NEVER;
	return d->latency_p95;
}

static bool
can_hedge(const msp_dispatcher_t *d, const msp_job_t *job)
{
	return job->class == MSP_CLASS_INTERACTIVE && job->is_idempotent &&
	    job->retries_left > 0 && job->attempts[1].id == 0 &&
	    job->attempts[0].id != 0 && !job->attempts[0].got_first_byte &&
	    msp_jobs_ahead(d, MSP_QUEUE_SHIFTED) == 0 && !d->paused &&
	    !d->retired;
}

static bool
hedge(msp_dispatcher_t *d, msp_job_t *job)
{
	msp_target_t *target;

	if (msp_total_free(d) <= msp_reserved_slots(d, MSP_CLASS_BACKGROUND) ||
	    msp_check_suspicion(d->quarantine, job->fingerprint, NULL) !=
		MSP_SUSPICION_NONE)
		return false;
	target = msp_choose_target(d, job, job->attempts[0].target);
	if (target == NULL || !msp_spend_retry(&d->retry_budget))
		return false;
	job->retries_left--;
	msp_start_attempt(d, job, target);
	return true;
}

static void
expire_job(msp_dispatcher_t *d, msp_job_t *job)
{
	msp_job_attempt_t *attempt;

	TAILQ_REMOVE(&d->running, job, link);
	job->state = JOB_IDLE;
	while ((attempt = msp_first_attempt(job)) != NULL)
		msp_abandon_attempt(d, job, attempt);
	msp_refuse_job(d, job,
	    job->is_idempotent ? MSP_E_DEADLINE : MSP_E_IN_DOUBT,
	    MSP_RUN_UNKNOWN,
	    job->is_idempotent ? msp_estimate_wait(d, job->class) : 0,
	    "the target did not respond by the deadline");
}

/*
 * Cancels an overdue read and queues it again, if it has retries left and the
 * budget allows one. Returns false if it was left running.
 */
static bool
retry_overdue(msp_dispatcher_t *d, msp_job_t *job, msp_job_attempt_t *attempt)
{
	if (!job->is_idempotent || job->retries_left == 0 || d->retired ||
	    job->attempts[0].id == 0 || job->attempts[1].id != 0 ||
	    msp_choose_target(d, job, NULL) == NULL ||
	    !msp_spend_retry(&d->retry_budget))
		return false;
	job->retries_left--;
	job->last_target = attempt->target;
	job->needs_fresh_connection = true;
	msp_abandon_attempt(d, job, attempt);
	TAILQ_REMOVE(&d->running, job, link);
	msp_queue_job(d, job, true);
	return true;
}

/* Returns true if the job left the list of running ones. */
static bool
check_first_byte(
    msp_dispatcher_t *d, msp_job_t *job, msp_time_t now, msp_time_t timeout)
{
	int i;

	for (i = 0; i < MSP_JOB_ATTEMPTS_MAX; i++) {
		msp_job_attempt_t *attempt = &job->attempts[i];

		if (attempt->id == 0 || attempt->got_first_byte ||
		    now < attempt->started + timeout)
			continue;
		if (!attempt->overdue)
			msp_record_first_byte_timeout(d, attempt);
		attempt->overdue = true;
		if (retry_overdue(d, job, attempt))
			return true;
	}
	return false;
}

/* Returns true if the list of running jobs changed. */
static bool
check_one_running(msp_dispatcher_t *d, msp_job_t *job, msp_time_t now)
{
	msp_time_t delay = hedge_delay(d);

	if (now >= job->deadline) {
		expire_job(d, job);
		return true;
	}
	if (check_first_byte(d, job, now, msp_first_byte_timeout(d)))
		return true;
	if (delay == MSP_NEVER || !can_hedge(d, job) ||
	    now < job->attempts[0].started + delay)
		return false;
	return hedge(d, job);
}

static void
check_running(msp_dispatcher_t *d, msp_time_t now)
{
	msp_job_t *job = TAILQ_FIRST(&d->running);

	while (job != NULL) {
		/* The callbacks may have changed the list: start over. */
		if (check_one_running(d, job, now))
			job = TAILQ_FIRST(&d->running);
		else
			job = TAILQ_NEXT(job, link);
	}
}

void
msp_tick_dispatcher(msp_dispatcher_t *d)
{
	msp_time_t now = msp_check_clock(d);
	msp_target_t *target;

	TAILQ_FOREACH(target, &d->targets, link)
		msp_release_holds(target, now);
	check_running(d, now);
	msp_drop_unlisted_targets(d);
	msp_review_queue(d);
	msp_process_queues(d);
}

static msp_time_t
earlier(msp_time_t a, msp_time_t b)
{
	return a < b ? a : b;
}

static msp_time_t
find_job_due(
    const msp_job_t *job, msp_time_t timeout, msp_time_t delay, msp_time_t now)
{
	msp_time_t due = job->deadline;
	int i;

	for (i = 0; i < MSP_JOB_ATTEMPTS_MAX; i++) {
		const msp_job_attempt_t *attempt = &job->attempts[i];

		if (attempt->id == 0 || attempt->got_first_byte)
			continue;
		if (!attempt->overdue)
			due = earlier(due, attempt->started + timeout);
		if (delay != MSP_NEVER && attempt->started + delay > now)
			due = earlier(due, attempt->started + delay);
	}
	return due;
}

msp_time_t
msp_dispatcher_due(const msp_dispatcher_t *d)
{
	msp_time_t now = msp_now(&d->env);
	msp_time_t due = d->last_call + MSP_TICK_INTERVAL_MAX;
	msp_time_t timeout = msp_first_byte_timeout(d);
	msp_time_t delay = hedge_delay(d);
	const msp_target_t *target;
	const msp_slot_hold_t *hold;
	const msp_job_t *job;
	bool waiting = msp_jobs_ahead(d, MSP_CLASS_BACKGROUND) > 0;

	TAILQ_FOREACH(job, &d->running, link)
		due = earlier(due, find_job_due(job, timeout, delay, now));
	if (!waiting)
		return due;
	due = earlier(due, d->last_call + MSP_QUEUE_REVIEW_INTERVAL);
	TAILQ_FOREACH(target, &d->targets, link) {
		if (target->backoff_until > now)
			due = earlier(due, target->backoff_until);
		TAILQ_FOREACH(hold, &target->holds, link)
			due = earlier(due, hold->until);
	}
	return due;
}
