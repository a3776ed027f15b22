#include "target.h"

#include <stdlib.h>
#include <string.h>

#define BACKOFF_MIN (100 * MSP_MS)
#define BACKOFF_MAX (2 * MSP_SECOND)
/* Growth of the limit, in slots, over as many responses as its value. */
#define LIMIT_GROWTH 0.25
/* Number of responses that the moving mean of the latency covers. */
#define LATENCY_WEIGHT 8

msp_target_t *
msp_new_target(const msp_target_spec_t *spec)
{
	msp_target_t *target = calloc(1, sizeof(*target));

	if (target == NULL)
		return NULL;
	target->name = strdup(spec->name);
	if (target->name == NULL) {
		free(target);
		return NULL;
	}
	TAILQ_INIT(&target->holds);
	target->slots = spec->slots;
	target->reported_slots = spec->slots;
	if (spec->state == MSP_TARGET_COLD)
		msp_ramp_target(target, 1);
	else
		target->limit = spec->slots;
	msp_update_target(target, spec);
	return target;
}

void
msp_drop_target(msp_target_t *target)
{
	msp_slot_hold_t *hold;

	if (target == NULL)
		return;
	while ((hold = TAILQ_FIRST(&target->holds)) != NULL) {
		TAILQ_REMOVE(&target->holds, hold, link);
		free(hold);
	}
	free(target->name);
	free(target);
}

void
msp_ramp_target(msp_target_t *target, uint32_t slots)
{
	target->limit = slots == 0 ? 1 : slots;
	target->ramping = true;
}

void
msp_update_target(msp_target_t *target, const msp_target_spec_t *spec)
{
	bool was_leaving = msp_target_is_leaving(target);

	target->address = spec->address;
	if (target->slots != spec->slots) {
		/* The limit has to grow to a raised number of slots. */
		target->slots = spec->slots;
		target->reported_slots = spec->slots;
	}
	if (target->limit > target->slots)
		target->limit = target->slots;
	target->listed = true;
	target->leaving_listed = spec->state == MSP_TARGET_LEAVING;
	if (was_leaving && !msp_target_is_leaving(target))
		msp_ramp_target(target, 1);
}

bool
msp_target_is_leaving(const msp_target_t *target)
{
	return target->leaving_listed || target->leaving_reported;
}

uint32_t
msp_target_limit(const msp_target_t *target, msp_time_t now)
{
	uint32_t limit = (uint32_t)target->limit;

	if (!target->listed || msp_target_is_leaving(target) ||
	    now < target->backoff_until)
		return 0;
	return limit < target->reported_slots ? limit : target->reported_slots;
}

uint32_t
msp_target_free(const msp_target_t *target, msp_time_t now)
{
	uint32_t limit = msp_target_limit(target, now);
	uint32_t used = target->in_flight + target->held;

	return used < limit ? limit - used : 0;
}

void
msp_hold_slots(msp_target_t *target, uint32_t count, msp_time_t until)
{
	msp_slot_hold_t *hold;

	if (count == 0)
		return;
	hold = malloc(sizeof(*hold));
	if (hold == NULL)
		return;
	*hold = (msp_slot_hold_t){.count = count, .until = until};
	TAILQ_INSERT_TAIL(&target->holds, hold, link);
	target->held += count;
}

void
msp_release_holds(msp_target_t *target, msp_time_t now)
{
	msp_slot_hold_t *hold, *next;

	TAILQ_FOREACH_SAFE(hold, &target->holds, link, next) {
		if (hold->until > now)
			continue;
		TAILQ_REMOVE(&target->holds, hold, link);
		target->held -= hold->count;
		free(hold);
	}
}

void
msp_record_response(msp_target_t *target, msp_time_t now, msp_time_t latency)
{
	bool limit_reached =
	    target->in_flight + target->held + 1 >= (uint32_t)target->limit;

	target->last_response = now;
	target->backoff = 0;
	if (target->latency == 0)
		target->latency = latency;
	else
		target->latency =
		    (target->latency * (LATENCY_WEIGHT - 1) + latency) /
		    LATENCY_WEIGHT;
	if (!limit_reached)
		return;
	target->limit += target->ramping ? 1.0 : LIMIT_GROWTH / target->limit;
	if (target->limit >= target->slots) {
		target->limit = target->slots;
		target->ramping = false;
	}
}

/* Stops new requests for twice as long as the last time. */
static void
start_backoff(msp_target_t *target, msp_time_t now)
{
	if (now < target->backoff_until)
		return;
	target->backoff =
	    target->backoff == 0 ? BACKOFF_MIN : target->backoff * 2;
	if (target->backoff > BACKOFF_MAX)
		target->backoff = BACKOFF_MAX;
	target->backoff_until = now + target->backoff;
}

void
msp_record_shed(msp_target_t *target, msp_time_t now, msp_time_t started,
    msp_time_t retry_after)
{
	/* Attempts from before the last reduction do not reduce the limit. */
	if (target->last_shed == 0 || started >= target->last_shed) {
		/* The limit cannot go below 1: pause new requests instead. */
		if (target->limit < 2)
			start_backoff(target, now);
		target->limit /= 2;
		if (target->limit < 1)
			target->limit = 1;
		target->ramping = false;
		target->last_shed = now;
	}
	if (target->backoff_until < now + retry_after)
		target->backoff_until = now + retry_after;
}

void
msp_record_failure(msp_target_t *target, msp_time_t now, bool died)
{
	msp_ramp_target(target, 1);
	if (died)
		msp_release_holds(target, MSP_NEVER);
	start_backoff(target, now);
}
