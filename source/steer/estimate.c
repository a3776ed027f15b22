#include "dispatcher_private.h"

/* Upper limit of the percentage of slots that shifted jobs leave free. */
#define SHIFTED_RESERVE_PERCENT 10

uint32_t
msp_total_limit(const msp_dispatcher_t *d)
{
	msp_time_t now = msp_now(&d->env);
	const msp_target_t *target;
	uint32_t sum = 0;

	TAILQ_FOREACH(target, &d->targets, link)
		sum += msp_target_limit(target, now);
	return sum;
}

uint32_t
msp_total_free(const msp_dispatcher_t *d)
{
	msp_time_t now = msp_now(&d->env);
	const msp_target_t *target;
	uint32_t sum = 0;

	TAILQ_FOREACH(target, &d->targets, link)
		sum += msp_target_free(target, now);
	return sum;
}

uint32_t
msp_reserved_slots(const msp_dispatcher_t *d, int queue)
{
	uint32_t percent = d->policy.reserve_percent;

	if (queue == MSP_QUEUE_SHIFTED && percent > SHIFTED_RESERVE_PERCENT)
		percent = SHIFTED_RESERVE_PERCENT;
	return (msp_total_limit(d) * percent + 99) / 100;
}

msp_time_t
msp_dispatcher_service_time(const msp_dispatcher_t *d)
{
	return d->service_time;
}

int
msp_job_queue_index(const msp_job_t *job)
{
	if (job->is_shifted && job->class != MSP_CLASS_BACKGROUND)
		return MSP_QUEUE_SHIFTED;
	return (int)job->class;
}

uint32_t
msp_jobs_ahead(const msp_dispatcher_t *d, int queue)
{
	uint32_t ahead =
	    d->queued[MSP_CLASS_INTERACTIVE] + d->queued[MSP_CLASS_COMMIT];

	if (queue == MSP_CLASS_BACKGROUND || queue == MSP_QUEUE_SHIFTED)
		ahead += d->queued[MSP_QUEUE_SHIFTED];
	if (queue == MSP_CLASS_BACKGROUND)
		ahead += d->queued[MSP_CLASS_BACKGROUND];
	return ahead;
}

/*
 * Time until the first listed target ends its backoff; MSP_NEVER if none is
 * listed that accepts requests.
 */
static msp_time_t
backoff_left(const msp_dispatcher_t *d)
{
	msp_time_t now = msp_now(&d->env);
	msp_time_t earliest = MSP_NEVER;
	const msp_target_t *target;

	TAILQ_FOREACH(target, &d->targets, link) {
		if (!target->listed || msp_target_is_leaving(target))
			continue;
		if (target->backoff_until < earliest)
			earliest = target->backoff_until;
	}
	if (earliest == MSP_NEVER)
		return MSP_NEVER;
	return earliest > now ? earliest - now : 0;
}

/*
 * Expected time between two starts of background jobs: the mean, or the time
 * since the last start if that is longer.
 */
static msp_time_t
background_gap(const msp_dispatcher_t *d)
{
	msp_time_t now = msp_now(&d->env);
	msp_time_t since_last_start = now - d->background_last_start;

	return since_last_start > d->background_gap ? since_last_start
						    : d->background_gap;
}

msp_time_t
msp_estimate_wait_behind(const msp_dispatcher_t *d, int queue, uint32_t ahead)
{
	uint32_t capacity = msp_total_limit(d);
	uint32_t free_slots = msp_total_free(d);
	msp_time_t until_available = 0;
	msp_time_t wait;
	msp_time_t measured;
	uint32_t ahead_of_background;

	if (capacity == 0) {
		until_available = backoff_left(d);
		if (until_available == MSP_NEVER)
			return MSP_NEVER;
		capacity = 1;
	}
	if (queue == MSP_CLASS_BACKGROUND || queue == MSP_QUEUE_SHIFTED) {
		uint32_t reserve = msp_reserved_slots(d, queue);

		free_slots = free_slots > reserve ? free_slots - reserve : 0;
	}
	if (ahead < free_slots)
		return 0;
	wait = until_available +
	    (msp_time_t)(ahead - free_slots + 1) *
		msp_dispatcher_service_time(d) / capacity;
	if (queue != MSP_CLASS_BACKGROUND ||
	    d->queued[MSP_CLASS_BACKGROUND] == 0)
		return wait;
	ahead_of_background = msp_jobs_ahead(d, MSP_QUEUE_SHIFTED);
	measured = background_gap(d) * (ahead - ahead_of_background + 1);
	return measured > wait ? measured : wait;
}

msp_time_t
msp_estimate_wait(const msp_dispatcher_t *d, msp_request_class_t class)
{
	return msp_estimate_wait_behind(
	    d, (int)class, msp_jobs_ahead(d, (int)class));
}

msp_time_t
msp_allowed_wait(const msp_dispatcher_t *d, const msp_job_t *job)
{
	msp_time_t now = msp_now(&d->env);
	msp_time_t earliest_end = now + msp_dispatcher_service_time(d);
	msp_time_t allowed =
	    job->deadline > earliest_end ? job->deadline - earliest_end : 0;
	msp_time_t max_wait = d->policy.max_wait;

	if (max_wait == 0 || job->class != MSP_CLASS_INTERACTIVE ||
	    job->state == JOB_QUEUED)
		return allowed;
	return allowed < max_wait ? allowed : max_wait;
}
