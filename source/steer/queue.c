#include "dispatcher_private.h"

#define RETRY_AFTER_MIN (50 * MSP_MS)
#define RETRY_AFTER_NO_TARGET MSP_SECOND
/* Number of starts that the moving mean of the background gap covers. */
#define GAP_WEIGHT 8
/* A new job's estimated wait is increased by 1/MARGIN_DIVISOR of it. */
#define MARGIN_DIVISOR 4

void
msp_queue_job(msp_dispatcher_t *d, msp_job_t *job, bool at_head)
{
	int queue = msp_job_queue_index(job);

	if (queue == MSP_CLASS_BACKGROUND && d->queued[queue] == 0)
		d->background_last_start = msp_now(&d->env);
	job->state = JOB_QUEUED;
	d->queued[queue]++;
	if (at_head)
		TAILQ_INSERT_HEAD(&d->queues[queue], job, link);
	else
		TAILQ_INSERT_TAIL(&d->queues[queue], job, link);
}

void
msp_unqueue_job(msp_dispatcher_t *d, msp_job_t *job)
{
	int queue = msp_job_queue_index(job);

	TAILQ_REMOVE(&d->queues[queue], job, link);
	d->queued[queue]--;
	job->state = JOB_IDLE;
}

/*
 * Returns the Retry-After time: when the wait will have fallen to half of the
 * allowed one, with a random addition so that clients do not retry together.
 */
static msp_time_t
choose_retry_after(msp_dispatcher_t *d, msp_time_t wait, msp_time_t allowed)
{
	msp_time_t span;

	if (wait == MSP_NEVER)
		return RETRY_AFTER_NO_TARGET;
	span = wait > allowed / 2 ? wait - allowed / 2 : 0;
	if (span < RETRY_AFTER_MIN)
		span = RETRY_AFTER_MIN;
	return span + msp_random_below(&d->env, span / 4 + 1);
}

bool
msp_exceeds_allowed_wait(
    const msp_dispatcher_t *d, const msp_job_t *job, uint32_t ahead)
{
	msp_time_t wait;

	if (msp_now(&d->env) >= job->deadline)
		return true;
	wait = msp_estimate_wait_behind(d, msp_job_queue_index(job), ahead);
	return wait > 0 && wait > msp_allowed_wait(d, job);
}

bool
msp_fails_admission(
    const msp_dispatcher_t *d, const msp_job_t *job, uint32_t ahead)
{
	msp_time_t wait;

	if (msp_now(&d->env) >= job->deadline)
		return true;
	wait = msp_estimate_wait_behind(d, msp_job_queue_index(job), ahead);
	return wait == MSP_NEVER ||
	    (wait > 0 &&
		wait + wait / MARGIN_DIVISOR > msp_allowed_wait(d, job));
}

void
msp_refuse_with_retry_after(msp_dispatcher_t *d, msp_job_t *job, uint32_t ahead)
{
	msp_time_t wait =
	    msp_estimate_wait_behind(d, msp_job_queue_index(job), ahead);
	msp_time_t retry_after =
	    choose_retry_after(d, wait, msp_allowed_wait(d, job));
	msp_status_t status = MSP_E_OVERLOAD;
	const char *reason = "the queue is longer than the deadline allows";

	if (msp_now(&d->env) >= job->deadline) {
		status = MSP_E_DEADLINE;
		reason = "the deadline has passed";
	} else if (wait == MSP_NEVER) {
		status = MSP_E_NO_TARGET;
		reason = "no target accepts new requests";
	}
	msp_refuse_job(d, job, status,
	    job->sent ? MSP_RUN_UNKNOWN : MSP_RUN_NOT_EXECUTED, retry_after,
	    reason);
}

/* Moves the jobs of a queue that cannot start in time to `to_refuse`. */
static void
select_to_refuse(msp_dispatcher_t *d, int queue, uint32_t *ahead)
{
	msp_job_t *job, *next;

	TAILQ_FOREACH_SAFE(job, &d->queues[queue], link, next) {
		if (!msp_exceeds_allowed_wait(d, job, *ahead)) {
			(*ahead)++;
			continue;
		}
		msp_unqueue_job(d, job);
		job->state = JOB_TO_REFUSE;
		TAILQ_INSERT_TAIL(&d->to_refuse, job, link);
	}
}

/* Selects all jobs first, because the refuse_job callback may change queues. */
void
msp_review_queue(msp_dispatcher_t *d)
{
	uint32_t ahead = 0;
	msp_job_t *job;

	select_to_refuse(d, MSP_CLASS_INTERACTIVE, &ahead);
	select_to_refuse(d, MSP_CLASS_COMMIT, &ahead);
	select_to_refuse(d, MSP_QUEUE_SHIFTED, &ahead);
	select_to_refuse(d, MSP_CLASS_BACKGROUND, &ahead);
	while ((job = TAILQ_FIRST(&d->to_refuse)) != NULL) {
		TAILQ_REMOVE(&d->to_refuse, job, link);
		job->state = JOB_IDLE;
		msp_refuse_with_retry_after(
		    d, job, msp_jobs_ahead(d, msp_job_queue_index(job)));
	}
}

/* Returns the class, interactive or commit, whose first job arrived earlier. */
static int
choose_first_queue(const msp_dispatcher_t *d)
{
	const msp_job_t *read = TAILQ_FIRST(&d->queues[MSP_CLASS_INTERACTIVE]);
	const msp_job_t *commit = TAILQ_FIRST(&d->queues[MSP_CLASS_COMMIT]);

	if (read == NULL || commit == NULL)
		return read != NULL ? MSP_CLASS_INTERACTIVE : MSP_CLASS_COMMIT;
	return read->arrival <= commit->arrival ? MSP_CLASS_INTERACTIVE
						: MSP_CLASS_COMMIT;
}

/* Refuses the job if its fingerprint is quarantined. */
static bool
refuse_quarantined(msp_dispatcher_t *d, msp_job_t *job)
{
	msp_time_t remaining = 0;

	if (msp_check_suspicion(d->quarantine, job->fingerprint, &remaining) !=
	    MSP_SUSPICION_QUARANTINED)
		return false;
	if (job->state == JOB_QUEUED)
		msp_unqueue_job(d, job);
	msp_refuse_job(d, job, MSP_E_QUARANTINED,
	    job->sent ? MSP_RUN_UNKNOWN : MSP_RUN_NOT_EXECUTED, remaining,
	    "targets that ran this request crashed");
	return true;
}

static void
record_background_start(msp_dispatcher_t *d)
{
	msp_time_t now = msp_now(&d->env);
	msp_time_t gap = now - d->background_last_start;

	d->background_gap =
	    (d->background_gap * (GAP_WEIGHT - 1) + gap) / GAP_WEIGHT;
	d->background_last_start = now;
}

/*
 * Starts or refuses one job of a queue; returns false if none can start now. A
 * suspect request may have to wait while jobs behind it can start.
 */
static bool
process_queue(msp_dispatcher_t *d, int queue)
{
	msp_target_t *target;
	msp_job_t *job;

	TAILQ_FOREACH(job, &d->queues[queue], link) {
		if (refuse_quarantined(d, job))
			return true;
		target = msp_choose_target(d, job, NULL);
		if (target == NULL)
			continue;
		msp_unqueue_job(d, job);
		if (queue == MSP_CLASS_BACKGROUND)
			record_background_start(d);
		msp_start_attempt(d, job, target);
		return true;
	}
	return false;
}

static bool
process_next(msp_dispatcher_t *d)
{
	int first = choose_first_queue(d);
	int second = first == MSP_CLASS_COMMIT ? MSP_CLASS_INTERACTIVE
					       : MSP_CLASS_COMMIT;

	if (process_queue(d, first) || process_queue(d, second))
		return true;
	/* Other jobs leave a reserve for interactive jobs and commits. */
	if (msp_total_free(d) > msp_reserved_slots(d, MSP_QUEUE_SHIFTED) &&
	    process_queue(d, MSP_QUEUE_SHIFTED))
		return true;
	return msp_total_free(d) >
	    msp_reserved_slots(d, MSP_CLASS_BACKGROUND) &&
	    process_queue(d, MSP_CLASS_BACKGROUND);
}

void
msp_process_queues(msp_dispatcher_t *d)
{
	if (d->processing) {
		d->process_again = true;
		return;
	}
	d->processing = true;
	do {
		d->process_again = false;
		while (!d->paused && msp_total_free(d) > 0 && process_next(d))
			;
	} while (d->process_again);
	d->processing = false;
}

void
msp_submit_job(msp_dispatcher_t *d, msp_job_t *job)
{
	msp_time_t now = msp_check_clock(d);
	uint32_t waiting = msp_jobs_ahead(d, MSP_CLASS_BACKGROUND);

	if (job->arrival == 0)
		job->arrival = now;
	if (job->deadline == 0)
		job->deadline = job->arrival + d->policy.default_deadline;
	if (job->class == MSP_CLASS_COMMIT)
		job->is_idempotent = false;
	job->state = JOB_IDLE;
	job->sent = false;
	job->refused_connections = 0;
	job->last_target = NULL;
	msp_refill_retry_budget(&d->retry_budget);
	if (d->retired) {
		msp_refuse_job(d, job, MSP_E_LEAVING, MSP_RUN_NOT_EXECUTED, 0,
		    "the dispatcher has moved");
		return;
	}
	if (now >= job->deadline) {
		msp_refuse_job(d, job, MSP_E_DEADLINE, MSP_RUN_NOT_EXECUTED, 0,
		    "the deadline has passed");
		return;
	}
	if (refuse_quarantined(d, job))
		return;
	if (waiting >= d->policy.queue_max) {
		msp_refuse_job(d, job, MSP_E_OVERLOAD, MSP_RUN_NOT_EXECUTED,
		    choose_retry_after(d, msp_estimate_wait(d, job->class),
			msp_allowed_wait(d, job)),
		    "the queue is full");
		return;
	}
	if (msp_fails_admission(
		d, job, msp_jobs_ahead(d, msp_job_queue_index(job)))) {
		msp_refuse_with_retry_after(
		    d, job, msp_jobs_ahead(d, msp_job_queue_index(job)));
		return;
	}
	msp_queue_job(d, job, false);
	msp_process_queues(d);
}
