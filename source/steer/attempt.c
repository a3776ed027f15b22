#include "dispatcher_private.h"

/* How long a cancelled attempt may still occupy its slot on the target. */
#define CANCEL_HOLD (10 * MSP_MS)

msp_job_attempt_t *
msp_find_attempt(msp_job_t *job, msp_attempt_id_t id)
{
	int i;

	for (i = 0; i < MSP_JOB_ATTEMPTS_MAX; i++) {
		if (id != 0 && job->attempts[i].id == id)
			return &job->attempts[i];
	}
	return NULL;
}

msp_job_attempt_t *
msp_first_attempt(msp_job_t *job)
{
	int i;

	for (i = 0; i < MSP_JOB_ATTEMPTS_MAX; i++) {
		if (job->attempts[i].id != 0)
			return &job->attempts[i];
	}
	return NULL;
}

static bool
is_suspect(const msp_dispatcher_t *d, const msp_job_t *job)
{
	return msp_check_suspicion(d->quarantine, job->fingerprint, NULL) ==
	    MSP_SUSPICION_SUSPECT;
}

/* Whether a request with this fingerprint is in flight. */
static bool
is_in_flight(const msp_dispatcher_t *d, msp_digest_t fingerprint)
{
	const msp_job_t *job;

	TAILQ_FOREACH(job, &d->running, link) {
		if (msp_digest_equal(job->fingerprint, fingerprint))
			return true;
	}
	return false;
}

/*
 * Whether target `a` is better than `b`: more free slots, then lower latency.
 * `ties` counts equal targets, so that each of them is chosen with the same
 * probability.
 */
static bool
is_better(const msp_dispatcher_t *d, const msp_target_t *a,
    const msp_target_t *b, msp_time_t now, uint32_t *ties)
{
	uint32_t free_a = msp_target_free(a, now);
	uint32_t free_b = msp_target_free(b, now);

	if (free_a != free_b) {
		*ties = 1;
		return free_a > free_b;
	}
	/* Latencies that differ by less than a quarter count as equal. */
	if (a->latency * 5 < b->latency * 4 ||
	    b->latency * 5 < a->latency * 4) {
		*ties = 1;
		return a->latency < b->latency;
	}
	(*ties)++;
	return msp_random_below(&d->env, *ties) == 0;
}

msp_target_t *
msp_choose_target(
    msp_dispatcher_t *d, const msp_job_t *job, const msp_target_t *excluded)
{
	msp_time_t now = msp_now(&d->env);
	bool suspect = is_suspect(d, job);
	msp_target_t *target;
	msp_target_t *best = NULL;
	msp_target_t *last_resort = NULL;
	uint32_t ties = 1;

	if (suspect && is_in_flight(d, job->fingerprint))
		return NULL;
	TAILQ_FOREACH(target, &d->targets, link) {
		if (target == excluded || msp_target_free(target, now) == 0 ||
		    (suspect && target->suspect_attempt != 0))
			continue;
		if (target == job->last_target)
			last_resort = target;
		else if (best == NULL || is_better(d, target, best, now, &ties))
			best = target;
	}
	return best != NULL ? best : last_resort;
}

void
msp_start_attempt(msp_dispatcher_t *d, msp_job_t *job, msp_target_t *target)
{
	msp_time_t now = msp_now(&d->env);
	msp_target_ref_t ref = {
	    .name = target->name,
	    .address = target->address,
	};
	msp_job_attempt_t *attempt = &job->attempts[0];
	msp_attempt_id_t id = ++d->last_attempt_id;
	bool fresh = job->class == MSP_CLASS_COMMIT ||
	    job->needs_fresh_connection ||
	    now < target->fresh_connections_until;

	if (attempt->id != 0)
		attempt = &job->attempts[1];
	*attempt = (msp_job_attempt_t){
	    .id = id,
	    .target = target,
	    .started = now,
	    .fresh_connection = fresh,
	};
	if (job->state != JOB_RUNNING)
		TAILQ_INSERT_TAIL(&d->running, job, link);
	job->state = JOB_RUNNING;
	job->sent = true;
	job->needs_fresh_connection = false;
	target->in_flight++;
	d->in_flight++;
	if (is_suspect(d, job))
		target->suspect_attempt = id;
	msp_report_decision(d, "dispatch", job, target,
	    msp_find_attempt(job, id) == &job->attempts[1] ? "hedge"
		: job->last_target != NULL		   ? "retry"
							   : "least-loaded");
	d->callbacks.start_attempt(d->callbacks.ctx, job, &ref, fresh, id);
}

void
msp_detach_attempt(msp_dispatcher_t *d, msp_job_attempt_t *attempt)
{
	msp_target_t *target = attempt->target;

	if (target->suspect_attempt == attempt->id)
		target->suspect_attempt = 0;
	target->in_flight--;
	d->in_flight--;
	attempt->id = 0;
}

void
msp_abandon_attempt(
    msp_dispatcher_t *d, msp_job_t *job, msp_job_attempt_t *attempt)
{
	msp_attempt_id_t id = attempt->id;
	msp_target_t *target = attempt->target;

	msp_detach_attempt(d, attempt);
	msp_hold_slots(target, 1, msp_now(&d->env) + CANCEL_HOLD);
	d->callbacks.cancel_attempt(d->callbacks.ctx, job, id);
}

bool
msp_cancel_job(msp_dispatcher_t *d, msp_job_t *job)
{
	msp_job_attempt_t *attempt;

	msp_check_clock(d);
	if (job->state == JOB_TO_REFUSE)
		TAILQ_REMOVE(&d->to_refuse, job, link);
	if (job->state == JOB_QUEUED)
		msp_unqueue_job(d, job);
	if (job->state != JOB_RUNNING) {
		job->state = JOB_IDLE;
		return job->sent;
	}
	TAILQ_REMOVE(&d->running, job, link);
	job->state = JOB_IDLE;
	while ((attempt = msp_first_attempt(job)) != NULL)
		msp_abandon_attempt(d, job, attempt);
	msp_report_decision(d, "cancel", job, NULL, "caller-left");
	return true;
}

void
msp_record_first_byte(msp_dispatcher_t *d, msp_job_t *job, msp_attempt_id_t id)
{
	msp_job_attempt_t *attempt = msp_find_attempt(job, id);

	msp_check_clock(d);
	if (attempt != NULL)
		attempt->got_first_byte = true;
}
