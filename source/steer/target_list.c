#include <string.h>

#include "dispatcher_private.h"

/* After a takeover, limits start at the slots divided by this. */
#define RAMP_DIVISOR 2
/* The load of an older report is ignored. */
#define REPORT_AGE_MAX (5 * MSP_SECOND)
/* How long after a shed the load of other senders is considered. */
#define SHED_WINDOW (5 * MSP_SECOND)

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
	target->in_new_list = true;
	return MSP_OK;
}

void
msp_drop_unlisted_targets(msp_dispatcher_t *d)
{
	msp_target_t *target, *next;
	msp_job_t *job;
	int i;

	TAILQ_FOREACH_SAFE(target, &d->targets, link, next) {
		if (target->listed || target->in_flight > 0)
			continue;
		for (i = 0; i < MSP_QUEUE_COUNT; i++) {
			TAILQ_FOREACH(job, &d->queues[i], link) {
				if (job->last_target == target)
					job->last_target = NULL;
			}
		}
		TAILQ_FOREACH(job, &d->running, link) {
			if (job->last_target == target)
				job->last_target = NULL;
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

	msp_check_clock(d);
	TAILQ_FOREACH(target, &d->targets, link)
		target->in_new_list = false;
	for (i = 0; i < count && status == MSP_OK; i++)
		status = set_target(d, &targets[i]);
	if (status != MSP_OK)
		return status;
	TAILQ_FOREACH(target, &d->targets, link)
		target->listed = target->in_new_list;
	msp_drop_unlisted_targets(d);
	msp_review_queue(d);
	msp_process_queues(d);
	return MSP_OK;
}

/* Applies the state of a report. */
static void
apply_reported_state(
    msp_dispatcher_t *d, msp_target_t *target, msp_target_state_t state)
{
	bool was_leaving = msp_target_is_leaving(target);
	bool was_cold = target->cold_reported;

	target->leaving_reported = state == MSP_TARGET_LEAVING;
	target->cold_reported = state == MSP_TARGET_COLD;
	if (target->leaving_reported && !was_leaving) {
		msp_report_decision(d, "drain", NULL, target, "reported");
		msp_review_queue(d);
	}
	if ((was_leaving && !msp_target_is_leaving(target)) ||
	    (target->cold_reported && !was_cold))
		msp_ramp_target(target, 1);
}

/* Lowers the limit by the load of other senders, if a shed has confirmed it. */
static void
apply_foreign_load(msp_target_t *target, uint32_t in_use, msp_time_t now)
{
	uint32_t other_load;

	if (target->last_shed == 0 || target->last_shed + SHED_WINDOW < now ||
	    in_use <= target->in_flight)
		return;
	other_load = in_use - target->in_flight;
	if (target->limit + other_load <= target->slots)
		return;
	target->limit =
	    other_load < target->slots ? target->slots - other_load : 1;
}

void
msp_apply_load_report(msp_dispatcher_t *d, const char *name, uint32_t slots,
    uint32_t in_use, msp_target_state_t state, msp_time_t age)
{
	msp_time_t now = msp_check_clock(d);
	msp_target_t *target = find_target(d, name);
	msp_time_t report_time = age < now ? now - age : 0;

	if (target == NULL || report_time < target->report_time)
		return;
	target->report_time = report_time;
	if (age <= REPORT_AGE_MAX) {
		target->reported_slots = target->slots;
		if (slots > 0 && slots < target->slots)
			target->reported_slots = slots;
		apply_foreign_load(target, in_use, now);
	}
	apply_reported_state(d, target, state);
	msp_process_queues(d);
}

void
msp_inherit_inflight(msp_dispatcher_t *d, const char *name, uint32_t in_flight,
    msp_time_t time_left)
{
	msp_time_t now = msp_check_clock(d);
	msp_target_t *target = find_target(d, name);
	uint32_t start;

	if (target == NULL)
		return;
	msp_hold_slots(target, in_flight, now + time_left);
	start = target->slots / RAMP_DIVISOR;
	if (target->limit > start)
		msp_ramp_target(target, start);
}
