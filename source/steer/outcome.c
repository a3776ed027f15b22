#include "dispatcher_private.h"

/* Number of responses after which the histogram's counts are halved. */
#define LATENCY_DECAY_COUNT 2000
/* Number of responses between two updates of the percentiles. */
#define PERCENTILE_INTERVAL 50
/* Number of responses that the moving mean of the service time covers. */
#define SERVICE_WEIGHT 128
/*
 * After this many timeouts of reused connections, a response on a new one makes
 * the dispatcher close the idle ones.
 */
#define SILENT_LIMIT 2
/* How long no connection is reused after one has timed out. */
#define FRESH_CONNECTIONS_TIME (10 * MSP_SECOND)
/* A connection refused this soon after a loss means that the target died. */
#define CRASH_WINDOW (2 * MSP_SECOND)
/* Shortest Retry-After time for a job whose attempts failed. */
#define RETRY_AFTER_FAILURE (100 * MSP_MS)

static void
record_complete_response(
    msp_dispatcher_t *d, msp_job_t *job, msp_job_attempt_t *attempt)
{
	msp_target_t *target = attempt->target;
	msp_target_ref_t ref = {
	    .name = target->name,
	    .address = target->address,
	};
	msp_time_t now = msp_now(&d->env);
	msp_time_t latency = now - attempt->started;
	bool fresh = attempt->fresh_connection;

	msp_clear_strikes(d->quarantine, job->fingerprint);
	msp_record_response(target, now, latency);
	msp_record_value(&d->latency, latency);
	if (d->latency.count % PERCENTILE_INTERVAL == 0) {
		d->latency_p95 = msp_quantile(&d->latency, 0.95);
		d->latency_p99 = msp_quantile(&d->latency, 0.99);
	}
	if (d->latency.count >= LATENCY_DECAY_COUNT)
		msp_decay_histogram(&d->latency);
	d->service_time =
	    (d->service_time * (SERVICE_WEIGHT - 1) + latency) / SERVICE_WEIGHT;
	if (!fresh || target->silent_connections < SILENT_LIMIT)
		return;
	target->silent_connections = 0;
	target->fresh_connections_until = 0;
	msp_report_decision(d, "forget-connections", job, target, "silent");
	if (d->callbacks.close_idle_connections != NULL)
		d->callbacks.close_idle_connections(d->callbacks.ctx, &ref);
}

void
msp_record_first_byte_timeout(
    msp_dispatcher_t *d, const msp_job_attempt_t *attempt)
{
	msp_target_t *target = attempt->target;
	msp_time_t now = msp_now(&d->env);

	if (!attempt->fresh_connection) {
		if (now >= target->fresh_connections_until)
			target->silent_connections = 0;
		target->silent_connections++;
		target->fresh_connections_until = now + FRESH_CONNECTIONS_TIME;
		return;
	}
	/* The target has responded to other attempts: only this one is slow. */
	if (target->last_response >= attempt->started)
		return;
	msp_record_failure(target, now, false);
	msp_report_decision(d, "close", NULL, target, "silent");
}

static void
record_connection_loss(
    msp_dispatcher_t *d, const msp_job_t *job, const msp_job_attempt_t *attempt)
{
	msp_target_t *target = attempt->target;
	msp_connection_loss_t *loss = &target->losses[target->next_loss];

	target->next_loss = (target->next_loss + 1) % MSP_RECENT_LOSSES;
	*loss = (msp_connection_loss_t){
	    .fingerprint = job->fingerprint,
	    .started = attempt->started,
	    .ended = msp_now(&d->env),
	};
}

/*
 * A refused connection shows that the target died: adds strikes to the jobs
 * whose connections to it were lost just before.
 */
static void
strike_lost_jobs(msp_dispatcher_t *d, msp_target_t *target)
{
	msp_time_t now = msp_now(&d->env);
	int i;

	for (i = 0; i < MSP_RECENT_LOSSES; i++) {
		msp_connection_loss_t *loss = &target->losses[i];

		if (loss->ended == 0)
			continue;
		if (now - loss->ended <= CRASH_WINDOW)
			msp_add_strike(d->quarantine, loss->fingerprint,
			    loss->started, loss->ended);
		loss->ended = 0;
	}
}

/* Whether a failed job may run again. Spends a retry if one is needed. */
static bool
allow_retry(msp_dispatcher_t *d, msp_job_t *job, msp_outcome_t outcome)
{
	if (outcome == MSP_OUTCOME_REFUSED_CONNECTION)
		return true;
	if (!job->is_idempotent || job->retries_left == 0)
		return false;
	if (!msp_spend_retry(&d->retry_budget))
		return false;
	job->retries_left--;
	return true;
}

static void
refuse_failed(msp_dispatcher_t *d, msp_job_t *job, msp_outcome_t outcome)
{
	msp_time_t retry_after = msp_estimate_wait(d, job->class);

	if (retry_after < RETRY_AFTER_FAILURE || retry_after == MSP_NEVER)
		retry_after = RETRY_AFTER_FAILURE;
	if (outcome == MSP_OUTCOME_SHED) {
		msp_refuse_job(d, job, MSP_E_OVERLOAD,
		    job->sent ? MSP_RUN_UNKNOWN : MSP_RUN_NOT_EXECUTED,
		    retry_after, "the target shed the request");
	} else if (job->is_idempotent) {
		msp_refuse_job(d, job, MSP_E_TRUNCATED_RESPONSE,
		    MSP_RUN_UNKNOWN, retry_after,
		    "the target's response was lost");
	} else {
		msp_refuse_job(d, job, MSP_E_IN_DOUBT, MSP_RUN_UNKNOWN, 0,
		    "the target's response was lost");
	}
}

msp_job_result_t
msp_retry_or_refuse(msp_dispatcher_t *d, msp_job_t *job, msp_outcome_t outcome)
{
	if (msp_first_attempt(job) != NULL)
		return MSP_JOB_PENDING;
	TAILQ_REMOVE(&d->running, job, link);
	job->state = JOB_IDLE;
	if (!allow_retry(d, job, outcome)) {
		refuse_failed(d, job, outcome);
		return MSP_JOB_REFUSED;
	}
	if (d->retired) {
		msp_refuse_job(d, job, MSP_E_LEAVING,
		    job->sent ? MSP_RUN_UNKNOWN : MSP_RUN_NOT_EXECUTED, 0,
		    "the dispatcher has moved");
		return MSP_JOB_REFUSED;
	}
	if (msp_exceeds_allowed_wait(d, job, 0)) {
		msp_refuse_with_retry_after(d, job, 0);
		return MSP_JOB_REFUSED;
	}
	msp_queue_job(d, job, true);
	return MSP_JOB_PENDING;
}

/* Cancels the other attempts and releases the job. */
static void
finish_job(msp_dispatcher_t *d, msp_job_t *job)
{
	msp_job_attempt_t *attempt;

	TAILQ_REMOVE(&d->running, job, link);
	job->state = JOB_IDLE;
	while ((attempt = msp_first_attempt(job)) != NULL)
		msp_abandon_attempt(d, job, attempt);
}

msp_job_result_t
msp_end_attempt(msp_dispatcher_t *d, msp_job_t *job, msp_attempt_id_t id,
    msp_outcome_t outcome, msp_time_t retry_after)
{
	msp_time_t now = msp_check_clock(d);
	msp_job_attempt_t *attempt = msp_find_attempt(job, id);
	msp_job_attempt_t ended;
	msp_job_result_t result;

	if (attempt == NULL)
		return MSP_JOB_PENDING;
	ended = *attempt;
	msp_detach_attempt(d, attempt);
	job->last_target = ended.target;
	switch (outcome) {
	case MSP_OUTCOME_COMPLETE:
		record_complete_response(d, job, &ended);
		break;
	case MSP_OUTCOME_SHED:
		/* A commit has only one attempt, and it was not executed. */
		if (!job->is_idempotent)
			job->sent = false;
		msp_record_shed(ended.target, now, ended.started, retry_after);
		msp_report_decision(d, "limit", job, ended.target, "shed");
		break;
	case MSP_OUTCOME_REFUSED_CONNECTION:
		job->refused_connections++;
		/* Only a read can have a second attempt that was sent. */
		if (!job->is_idempotent)
			job->sent = false;
		msp_record_failure(ended.target, now, true);
		strike_lost_jobs(d, ended.target);
		msp_report_decision(
		    d, "close", job, ended.target, "refused-connection");
		break;
	case MSP_OUTCOME_CONNECTION_LOST:
		record_connection_loss(d, job, &ended);
		job->needs_fresh_connection = true;
		break;
	case MSP_OUTCOME_FIRST_BYTE_TIMEOUT:
		msp_record_first_byte_timeout(d, &ended);
		job->needs_fresh_connection = true;
		break;
	case MSP_OUTCOME_CRASHED:
		msp_record_failure(ended.target, now, true);
		msp_add_strike(
		    d->quarantine, job->fingerprint, ended.started, now);
		msp_report_decision(d, "close", job, ended.target, "crashed");
		break;
	case MSP_OUTCOME_CANCELLED:
	case MSP_OUTCOME_COUNT:
		break;
	}
	if (outcome == MSP_OUTCOME_COMPLETE) {
		finish_job(d, job);
		result = MSP_JOB_DONE;
	} else {
		result = msp_retry_or_refuse(d, job, outcome);
	}
	msp_drop_unlisted_targets(d);
	msp_process_queues(d);
	return result;
}
