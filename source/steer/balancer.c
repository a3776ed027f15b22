#include <stdlib.h>
#include <string.h>

#include "balancer_private.h"
#include "monsoonspindle/steer/planned_stop.h"

/*
 * A target without the object in memory needs several times as long and so
 * takes capacity from other requests. A lower-ranked target is therefore only
 * chosen if its cost is below this fraction of the best one so far.
 */
#define LATER_COST_RATIO 0.5
/* The same for a lower-ranked target that is known to have the object. */
#define LATER_WARM_COST_RATIO 0.8

msp_balancer_t *
msp_new_balancer(const msp_env_t *env, const msp_balancer_options_t *options,
    const msp_balancer_callbacks_t *callbacks, msp_target_view_t *view,
    msp_latency_model_t *model)
{
	msp_balancer_t *balancer = calloc(1, sizeof(*balancer));

	if (balancer == NULL)
		return NULL;
	balancer->env = *env;
	balancer->options = *options;
	balancer->callbacks = *callbacks;
	balancer->view = view;
	balancer->model = model;
	balancer->services = msp_new_map();
	if (balancer->services != NULL)
		return balancer;
	free(balancer);
	return NULL;
}

void
msp_drop_balancer(msp_balancer_t *balancer)
{
	if (balancer == NULL)
		return;
	msp_drop_map_and_values(balancer->services);
	free(balancer);
}

bool
msp_target_limit_allows(msp_balancer_t *balancer, msp_view_target_t *target)
{
	msp_time_t now = msp_now(&balancer->env);
	msp_target_limit_t *limit = &target->limit;
	msp_sender_rank_t rank = {0};

	if (!msp_limit_in_force(limit))
		return true;
	if (msp_limit_share_is_old(limit, now)) {
		balancer->callbacks.rank_sender(
		    balancer->callbacks.ctx, target, &rank);
		msp_set_limit_share(limit, now, &rank);
		if (limit->share.per_second == 0)
			msp_offer_limit_trial(limit, &balancer->env);
	}
	return msp_rate_share_allows(&limit->share, now);
}

uint32_t
msp_request_priority(const msp_balance_request_t *request)
{
	const msp_organisation_t *organisation = request->organisation;

	return organisation != NULL && organisation->has_priority
	    ? organisation->priority
	    : request->route->priority;
}

/* Returns NULL if out of memory. */
static msp_service_state_t *
find_service_state(msp_balancer_t *balancer, const char *service)
{
	return msp_map_get_or_add(
	    balancer->services, service, sizeof(msp_service_state_t));
}

/* Whether the request is assigned to this VM's region. */
static bool
stays_in_region(const msp_balancer_t *balancer,
    const msp_balance_request_t *request, const msp_region_loads_t *loads,
    msp_region_share_t *share)
{

	/* A retry may go anywhere; home regions already restrict the route. */
	if (request->tried_count > 0 || msp_has_homes(&request->homes))
		return false;
	msp_update_region_share(share, msp_now(&balancer->env),
	    msp_compute_utilisation(&loads->local),
	    msp_compute_utilisation(&loads->remote));
	return msp_assign_to_region(share);
}

/*
 * Whether the response would come too late. Unless this VM stops, a request
 * that does not have to wait is always tried, because its expected latency may
 * be unmeasured.
 */
static bool
is_too_late(const msp_balancer_t *balancer,
    const msp_balance_request_t *request, const msp_balance_choice_t *choice)
{
	double load_weight = msp_server_load_weight(
	    &choice->target->traffic, msp_now(&balancer->env));

	if (request->is_stopping &&
	    (choice->wait > 0 ||
		choice->expected_latency > msp_max_latency_before_stop(
					       request->stops_in, load_weight)))
		return true;
	return choice->wait > 0 &&
	    choice->expected_latency > request->time_left;
}

/* A cold target gets requests only from its own data centre, rate limited. */
static bool
admit_cold(msp_balancer_t *balancer, const msp_balance_request_t *request,
    msp_view_target_t *target)
{
	msp_rate_share_t *share = &target->traffic.cold_share;
	msp_time_t now = msp_now(&balancer->env);
	msp_shared_rate_t rate = {
	    .per_second = request->service->cold_requests_per_s *
		balancer->options.cold_rate_factor,
	    .burst = balancer->options.cold_burst,
	    .starts_at_once = true,
	};
	msp_sender_rank_t rank = {0};

	if (rate.per_second <= 0 ||
	    strcmp(target->registration.place, balancer->options.place) != 0)
		return false;
	if (msp_rate_share_is_old(share, now)) {
		balancer->callbacks.rank_sender(
		    balancer->callbacks.ctx, target, &rank);
		rank.place_count = 1;
		rank.place = 0;
		msp_set_rate_share(share, now, &rate, &rank);
	}
	return msp_rate_share_allows(share, now);
}

/* Tells which of the targets that were left out may be used first, and when. */
static msp_status_t
explain_no_target(const msp_ranking_t *ranking, msp_balance_choice_t *choice)
{
	if (ranking->limited_count == 0 && ranking->paused_count == 0)
		return msp_fail(
		    MSP_E_NO_TARGET, "no target is eligible for the request");
	choice->is_limited = ranking->limited_count > 0;
	choice->is_paused = ranking->pause_wait < ranking->limit_wait;
	if (choice->is_paused) {
		choice->wait = ranking->pause_wait;
		return msp_fail(MSP_E_OVERLOAD,
		    "all eligible targets have asked for a pause");
	}
	choice->wait = ranking->limit_wait;
	return msp_fail(MSP_E_OVERLOAD,
	    "all eligible targets are at the limits they named");
}

/*
 * Chooses the first target of the ranking that can respond in time, unless a
 * later one costs much less.
 */
static msp_status_t
choose_ranked(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_region_loads_t *loads, const msp_ranking_t *ranking,
    msp_balance_choice_t *choice)
{
	msp_balance_choice_t option = {0};
	bool late = false;
	bool found = false;
	double best = 0;
	double cost_ratio;
	double cost;
	size_t i;

	for (i = 0; i < ranking->count; i++) {
		cost = msp_estimate_cost(
		    balancer, request, loads, ranking->list[i], i, &option);
		if (is_too_late(balancer, request, &option)) {
			if (!late && !found)
				*choice = option;
			late = true;
			continue;
		}
		cost_ratio = option.warmth == MSP_WARM ? LATER_WARM_COST_RATIO
						       : LATER_COST_RATIO;
		if (found && cost >= best * cost_ratio)
			continue;
		if (option.cold &&
		    !admit_cold(balancer, request, option.target))
			continue;
		found = true;
		best = cost;
		*choice = option;
	}
	choice->limited_count = ranking->limited_count;
	choice->paused_count = ranking->paused_count;
	choice->busy_count = ranking->busy_count;
	if (found)
		return MSP_OK;
	if (!late && ranking->least_busy != NULL) {
		msp_estimate_cost(
		    balancer, request, loads, ranking->least_busy, 0, choice);
		return msp_fail(MSP_E_OVERLOAD,
		    "this VM has enough requests in flight at each target");
	}
	if (late)
		return msp_fail(
		    MSP_E_OVERLOAD, "no target is expected to respond in time");
	choice->target = NULL;
	return explain_no_target(ranking, choice);
}

/* Chooses among the targets of the scope. */
static msp_status_t
choose_in_scope(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_region_loads_t *loads, const msp_ranking_scope_t *scope,
    msp_balance_choice_t *choice)
{
	msp_ranking_t ranking;

	*choice = (msp_balance_choice_t){0};
	msp_rank_targets(balancer, request, loads, scope, &ranking);
	return choose_ranked(balancer, request, loads, &ranking, choice);
}

/* A request that yields is not to come back before those that it yields to. */
static void
end_limited(msp_service_state_t *service, msp_time_t now, uint32_t priority,
    bool yields, msp_balance_choice_t *choice)
{
	if (yields && choice->wait < MSP_LIMIT_YIELD_TIME)
		choice->wait = MSP_LIMIT_YIELD_TIME;
	if (!yields)
		msp_record_limit_refusal(
		    &service->limit_priority, now, priority);
}

msp_status_t
msp_balance(msp_balancer_t *balancer, const msp_balance_request_t *request,
    msp_balance_choice_t *choice)
{
	msp_service_state_t *service =
	    find_service_state(balancer, request->service->name);
	uint32_t priority = msp_request_priority(request);
	msp_time_t now = msp_now(&balancer->env);
	msp_ranking_scope_t scope = {0};
	msp_region_loads_t loads;
	msp_status_t status;

	*choice = (msp_balance_choice_t){0};
	if (service == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a service");
	msp_measure_loads(balancer, request, &loads);
	scope.without_limited =
	    msp_yields_limits(&service->limit_priority, now, priority);
	scope.local_only =
	    stays_in_region(balancer, request, &loads, &service->share);
	status = choose_in_scope(balancer, request, &loads, &scope, choice);
	if (status != MSP_OK && scope.local_only) {
		scope.local_only = false;
		status =
		    choose_in_scope(balancer, request, &loads, &scope, choice);
	}
	if (status == MSP_E_NO_TARGET || choice->is_paused)
		choice->all_suspect = msp_are_all_suspect(balancer, request);
	if (status == MSP_OK && msp_limit_in_force(&choice->target->limit))
		msp_record_limit_use(&service->limit_priority, now, priority);
	else if (choice->is_limited)
		end_limited(
		    service, now, priority, scope.without_limited, choice);
	return status;
}

void
msp_begin_balanced_request(
    msp_balancer_t *balancer, const msp_balance_choice_t *choice)
{
	msp_view_target_t *target = msp_keep_view_target(choice->target);

	(void)balancer;
	target->traffic.in_flight++;
	msp_use_target_limit(&target->limit);
	if (choice->cold)
		msp_use_rate_share(&target->traffic.cold_share);
}

void
msp_end_balanced_request(msp_balancer_t *balancer,
    const msp_balance_request_t *request, const msp_balance_choice_t *choice,
    msp_time_t took, bool responded)
{
	msp_view_target_t *target = choice->target;
	msp_time_t now = msp_now(&balancer->env);

	if (target->traffic.in_flight > 0)
		target->traffic.in_flight--;
	if (responded) {
		msp_record_target_latency(
		    &target->traffic, now, took, choice->expected_latency);
		if (choice->wait == 0 && !choice->cold)
			msp_record_latency(balancer->model, request->route,
			    request->service->name, choice->warmth,
			    msp_is_local_target(balancer, target)
				? NULL
				: target->region,
			    took);
	}
	if (responded && request->has_object)
		msp_record_recent_response(balancer, request, target);
	msp_release_view_target(target);
}
