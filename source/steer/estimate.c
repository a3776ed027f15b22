#include "dispatcher_private.h"

#define SHIFTED_RESERVE_PERCENT 10 /* at most */

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

/* Time until the first closed target that may take work opens. */
static msp_time_t
time_to_open(const msp_dispatcher_t *d)
{
	msp_time_t now = msp_now(&d->env);
	msp_time_t first = MSP_NEVER;
	const msp_target_t *target;

	TAILQ_FOREACH(target, &d->targets, link) {
		if (!target->listed || msp_target_leaving(target))
			continue;
		if (target->backoff_until < first)
			first = target->backoff_until;
	}
	if (first == MSP_NEVER)
		return MSP_NEVER;
	return first > now ? first - now : 0;
}

/* Expected time between two starts of background work. */
static msp_time_t
background_gap(const msp_dispatcher_t *d)
{
	msp_time_t now = msp_now(&d->env);
	msp_time_t starved = now - d->background_last_start;

	return starved > d->background_gap ? starved : d->background_gap;
}

msp_time_t
msp_estimate_wait_behind(const msp_dispatcher_t *d, int queue, uint32_t ahead)
{
	uint32_t capacity = msp_total_limit(d);
	uint32_t spare = msp_total_free(d);
	msp_time_t opens = 0;
	msp_time_t wait;
	msp_time_t measured;
	uint32_t others;

	if (capacity == 0) {
		opens = time_to_open(d);
		if (opens == MSP_NEVER)
			return MSP_NEVER;
		capacity = 1;
	}
	if (queue == MSP_CLASS_BACKGROUND || queue == MSP_QUEUE_SHIFTED) {
		uint32_t reserve = msp_reserved_slots(d, queue);

		spare = spare > reserve ? spare - reserve : 0;
	}
	if (ahead < spare)
		return 0;
	wait = opens +
	    (msp_time_t)(ahead - spare + 1) * msp_dispatcher_service_time(d) /
		capacity;
	if (queue != MSP_CLASS_BACKGROUND ||
	    d->queued[MSP_CLASS_BACKGROUND] == 0)
		return wait;
	others = msp_jobs_ahead(d, MSP_QUEUE_SHIFTED);
	measured = background_gap(d) * (ahead - others + 1);
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
	msp_time_t end = now + msp_dispatcher_service_time(d);
	msp_time_t allowed = job->deadline > end ? job->deadline - end : 0;
	msp_time_t bound = d->policy.max_wait;

	if (bound == 0 || job->class != MSP_CLASS_INTERACTIVE ||
	    job->state == JOB_QUEUED)
		return allowed;
	return allowed < bound ? allowed : bound;
}
