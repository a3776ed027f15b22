#include <string.h>

#include "balancer_private.h"

/*
 * Requests of one VM for each slot: those that run, and as many that wait in
 * the target's queue. A target with few slots may have more of them.
 */
#define IN_FLIGHT_PER_SLOT 2
#define IN_FLIGHT_MIN 24

static bool
was_tried(const msp_balance_request_t *request, const msp_view_target_t *target)
{
	size_t i;

	for (i = 0; i < request->tried_count; i++) {
		if (request->tried[i] == target)
			return true;
	}
	return false;
}

/* Whether the target may have the request if it can be reached. */
static bool
may_serve(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_view_target_t *target)
{
	return msp_target_is_usable(target, request->service->name) &&
	    msp_homes_allow(&request->homes, target->region) &&
	    !balancer->callbacks.is_evacuated(
		balancer->callbacks.ctx, target->registration.place);
}

/* Whether the target may have the request unless it has asked for a pause. */
static bool
is_trusted(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_view_target_t *target)
{
	return target->traffic.suspect_since == 0 &&
	    may_serve(balancer, request, target);
}

bool
msp_is_candidate(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_view_target_t *target)
{
	return is_trusted(balancer, request, target) &&
	    !msp_target_is_paused(&target->pause, msp_now(&balancer->env));
}

bool
msp_are_all_suspect(
    msp_balancer_t *balancer, const msp_balance_request_t *request)
{
	const msp_view_target_t *target;
	bool found = false;

	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (msp_is_candidate(balancer, request, target))
			return false;
		if (target->traffic.suspect_since != 0 &&
		    may_serve(balancer, request, target))
			found = true;
	}
	return found;
}

bool
msp_is_local_target(
    const msp_balancer_t *balancer, const msp_view_target_t *target)
{
	return strcmp(target->region, balancer->options.region) == 0;
}

/* Inserts a target by its score, if it is among the best. */
static void
insert_ranked(msp_ranking_t *ranking, msp_view_target_t *target, uint64_t score)
{
	size_t at = ranking->count;

	if (at == CANDIDATES_MAX && score <= ranking->scores[at - 1])
		return;
	if (at == CANDIDATES_MAX)
		at--;
	else
		ranking->count++;
	for (; at > 0 && ranking->scores[at - 1] < score; at--) {
		ranking->scores[at] = ranking->scores[at - 1];
		ranking->list[at] = ranking->list[at - 1];
	}
	ranking->scores[at] = score;
	ranking->list[at] = target;
}

uint32_t
msp_max_in_flight(const msp_view_target_t *target)
{
	uint32_t slots = target->registration.slots;

	if (slots > MSP_IN_FLIGHT_MAX / IN_FLIGHT_PER_SLOT)
		return MSP_IN_FLIGHT_MAX;
	return slots * IN_FLIGHT_PER_SLOT > IN_FLIGHT_MIN
	    ? slots * IN_FLIGHT_PER_SLOT
	    : IN_FLIGHT_MIN;
}

/* Leaves out a target at which this VM has enough requests in flight. */
static bool
leave_out_busy(msp_ranking_t *ranking, msp_view_target_t *target)
{
	const msp_view_target_t *least = ranking->least_busy;

	if (target->traffic.in_flight < msp_max_in_flight(target))
		return false;
	ranking->busy_count++;
	if (least == NULL ||
	    (uint64_t)target->traffic.in_flight * least->registration.slots <
		(uint64_t)least->traffic.in_flight * target->registration.slots)
		ranking->least_busy = target;
	return true;
}

/* Leaves out a target that has asked for a pause, or returns from one. */
static bool
leave_out_paused(const msp_balancer_t *balancer, msp_ranking_t *ranking,
    const msp_view_target_t *target)
{
	msp_time_t wait = msp_target_pause_wait(
	    &target->pause, msp_now(&balancer->env), target->traffic.in_flight);

	if (wait == 0)
		return false;
	ranking->paused_count++;
	if (wait < ranking->pause_wait)
		ranking->pause_wait = wait;
	return true;
}

/* Leaves out a target at its limit. */
static void
leave_out_limited(const msp_balancer_t *balancer, msp_ranking_t *ranking,
    msp_view_target_t *target)
{
	msp_time_t wait =
	    msp_rate_share_wait(&target->limit.share, msp_now(&balancer->env));

	ranking->limited_count++;
	if (wait < ranking->limit_wait)
		ranking->limit_wait = wait;
}

/*
 * Ranks the eligible targets for the object, by rendezvous hashing; without an
 * object, by lowest utilisation, with those of this region first.
 */
void
msp_rank_targets(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_region_loads_t *loads, const msp_ranking_scope_t *scope,
    msp_ranking_t *ranking)
{
	msp_view_target_t *target;
	double utilisation;

	*ranking =
	    (msp_ranking_t){.limit_wait = MSP_NEVER, .pause_wait = MSP_NEVER};
	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (!is_trusted(balancer, request, target) ||
		    (scope->local_only &&
			!msp_is_local_target(balancer, target)) ||
		    leave_out_paused(balancer, ranking, target) ||
		    was_tried(request, target))
			continue;
		if (!msp_target_limit_allows(balancer, target) ||
		    (scope->without_limited &&
			msp_limit_in_force(&target->limit))) {
			leave_out_limited(balancer, ranking, target);
			continue;
		}
		if (leave_out_busy(ranking, target))
			continue;
		if (request->has_object) {
			insert_ranked(ranking, target,
			    msp_score_target(target, request->object_hash));
			continue;
		}
		utilisation = msp_estimate_load(balancer, loads, target) /
		    target->registration.slots;
		if (!msp_is_local_target(balancer, target))
			utilisation += 1;
		insert_ranked(
		    ranking, target, (uint64_t)(1e12 / (1 + utilisation)));
	}
}
