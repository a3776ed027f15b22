#include "dispatcher_private.h"

size_t
msp_list_target_loads(
    const msp_dispatcher_t *d, msp_target_load_t *out, size_t max)
{
	msp_time_t now = msp_now(&d->env);
	msp_time_t timeout = msp_first_byte_timeout(d);
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
			for (i = 0; i < MSP_JOB_ATTEMPTS_MAX; i++) {
				const msp_job_attempt_t *attempt =
				    &job->attempts[i];
				msp_time_t end = attempt->started + timeout;

				if (attempt->id == 0 ||
				    attempt->target != target)
					continue;
				if (job->deadline < end)
					end = job->deadline;
				if (end > now + load.time_left)
					load.time_left = end - now;
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
	    .service_time = msp_dispatcher_service_time(d),
	    .interactive_wait = msp_estimate_wait(d, MSP_CLASS_INTERACTIVE),
	    .background_wait = msp_estimate_wait(d, MSP_CLASS_BACKGROUND),
	    .draining = true,
	};
	TAILQ_FOREACH(target, &d->targets, link) {
		if (!target->listed || msp_target_is_leaving(target))
			continue;
		load->slots += target->slots;
		load->draining = false;
	}
	for (i = 0; i < MSP_CLASS_COUNT; i++)
		load->queued[i] = d->queued[i];
	load->queued[MSP_CLASS_INTERACTIVE] += d->queued[MSP_QUEUE_SHIFTED];
}
