#include "monsoonspindle/steer/balancer.h"

#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/base/map.h"
#include "monsoonspindle/steer/limit_priority.h"
#include "monsoonspindle/steer/region_share.h"

/* Size of the hash table of recent responses, by object and target. */
#define RECENT_RESPONSES 8192
/* How long an object is taken to stay cached after a response. */
#define WARM_SPAN (60 * MSP_SECOND)
/* Latency of a target that has just started, relative to a warm one. */
#define COLD_LATENCY_RATIO 2.0
/* Cost of traffic between regions, as added latency. */
#define REMOTE_COST (10 * MSP_MS)
/* Cost of a failed request, in multiples of the route's latency objective. */
#define FAILURE_COST 2.0
/* Cost of a target that has just refused a request as full. */
#define FULL_COST (500 * MSP_MS)
/* Number of top-ranked targets that are compared for a request. */
#define CANDIDATES_MAX 4
/*
 * A target without the object in memory needs several times as long and so
 * takes capacity from other requests. A lower-ranked target is therefore only
 * chosen if its cost is below this fraction of the best one so far.
 */
#define LATER_COST_RATIO 0.5
/* The same for a lower-ranked target that is known to have the object. */
#define LATER_WARM_COST_RATIO 0.8

/* The last response of a target to this VM for an object. */
typedef struct recent_response {
	uint64_t key;
	msp_time_t at;
} recent_response_t;

/* What the balancer remembers of a service. */
typedef struct service_state {
	msp_region_share_t share;
	msp_limit_priority_t limit_priority;
} service_state_t;

struct msp_balancer {
	msp_env_t env;
	msp_balancer_options_t options;
	msp_balancer_callbacks_t callbacks;
	msp_target_view_t *view;
	msp_latency_model_t *model;
	msp_map_t *services; /* service_state_t by name */
	recent_response_t recent_responses[RECENT_RESPONSES];
};

/* Totals of the eligible targets of one region or several. */
typedef struct region_load {
	double slots; /* of targets that are not cold */
	double requests; /* on these targets */
	/* Load of other VMs and slots, weighted by the age of the reports. */
	double reported_load;
	double reported_slots;
} region_load_t;

typedef struct region_loads {
	region_load_t local; /* of this VM's region */
	region_load_t remote;
} region_loads_t;

/* Which of the eligible targets are ranked. */
typedef struct ranking_scope {
	bool local_only;
	bool without_limited; /* none that has named a limit */
} ranking_scope_t;

/* The targets with the highest scores for one request, best first. */
typedef struct ranking {
	msp_view_target_t *list[CANDIDATES_MAX];
	uint64_t scores[CANDIDATES_MAX];
	size_t count;
	size_t limited_count; /* eligible targets that are at their limits */
	msp_time_t limit_wait; /* until one of these may be used */
} ranking_t;

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
	size_t cursor = 0;
	void *service;

	if (balancer == NULL)
		return;
	while (msp_map_next(balancer->services, &cursor, NULL, &service))
		free(service);
	msp_drop_map(balancer->services);
	free(balancer);
}

static uint64_t
score_target(const msp_view_target_t *target, uint64_t object)
{
	return msp_hash_text(target->registration.id, object);
}

static recent_response_t *
find_recent_response(msp_balancer_t *balancer, uint64_t key)
{
	return &balancer->recent_responses[key % RECENT_RESPONSES];
}

static bool
has_recent_response(msp_balancer_t *balancer, uint64_t key)
{
	const recent_response_t *slot = find_recent_response(balancer, key);

	return slot->at != 0 && slot->key == key &&
	    msp_now(&balancer->env) < slot->at + WARM_SPAN;
}

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

const msp_path_route_t *
msp_home_route(const msp_balance_request_t *request)
{
	return request->home_route == NULL ? request->route
					   : request->home_route;
}

/* Whether the target may have the request if it can be reached. */
static bool
may_serve(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_view_target_t *target)
{
	return msp_target_is_usable(target, request->service->name) &&
	    msp_route_allows_region(msp_home_route(request), target->region) &&
	    !balancer->callbacks.is_evacuated(
		balancer->callbacks.ctx, target->registration.place);
}

/* Whether the target is eligible for the request. */
static bool
is_candidate(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_view_target_t *target)
{
	return target->traffic.suspect_since == 0 &&
	    may_serve(balancer, request, target);
}

/* Whether targets may serve the request and all of these are suspect. */
static bool
are_all_suspect(msp_balancer_t *balancer, const msp_balance_request_t *request)
{
	const msp_view_target_t *target;
	bool found = false;

	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (!may_serve(balancer, request, target))
			continue;
		if (target->traffic.suspect_since == 0)
			return false;
		found = true;
	}
	return found;
}

static bool
is_local(const msp_balancer_t *balancer, const msp_view_target_t *target)
{
	return strcmp(target->region, balancer->options.region) == 0;
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

/* Expected load of other VMs on a target without a recent report. */
static double
usual_load(const region_load_t *load, const msp_view_target_t *target)
{
	if (load->reported_slots <= 0)
		return 0;
	return load->reported_load / load->reported_slots *
	    target->registration.slots;
}

static double
estimate_load(const msp_balancer_t *balancer, const region_loads_t *loads,
    const msp_view_target_t *target)
{
	const region_load_t *load =
	    is_local(balancer, target) ? &loads->local : &loads->remote;

	return msp_estimate_target_load(&target->traffic,
	    msp_now(&balancer->env), usual_load(load, target));
}

static void
measure_loads(msp_balancer_t *balancer, const msp_balance_request_t *request,
    region_loads_t *loads)
{
	msp_time_t now = msp_now(&balancer->env);
	msp_view_target_t *target;
	double weight;
	region_load_t *load;

	*loads = (region_loads_t){0};
	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (!is_candidate(balancer, request, target))
			continue;
		load =
		    is_local(balancer, target) ? &loads->local : &loads->remote;
		weight = msp_server_load_weight(&target->traffic, now);
		load->reported_load += weight * target->traffic.other_vms_load;
		load->reported_slots += weight * target->registration.slots;
	}
	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (!is_candidate(balancer, request, target) ||
		    msp_target_is_cold(target, now))
			continue;
		load =
		    is_local(balancer, target) ? &loads->local : &loads->remote;
		load->slots += target->registration.slots;
		/* A target at its limit has no room, whatever its load. */
		load->requests += msp_target_limit_allows(balancer, target)
		    ? estimate_load(balancer, loads, target)
		    : target->registration.slots;
	}
}

static double
compute_utilisation(const region_load_t *load)
{
	return load->slots > 0 ? load->requests / load->slots : -1;
}

/* Returns NULL if out of memory. */
static service_state_t *
find_service_state(msp_balancer_t *balancer, const char *service)
{
	service_state_t *state = msp_map_get(balancer->services, service);

	if (state != NULL)
		return state;
	state = calloc(1, sizeof(*state));
	if (state == NULL)
		return NULL;
	if (msp_map_put(balancer->services, service, state) == MSP_OK)
		return state;
	free(state);
	return NULL;
}

/* Whether the request is assigned to this VM's region. */
static bool
stays_in_region(const msp_balancer_t *balancer,
    const msp_balance_request_t *request, const region_loads_t *loads,
    msp_region_share_t *share)
{

	/* A retry may go anywhere; home regions already restrict the route. */
	if (request->tried_count > 0 ||
	    msp_home_route(request)->home_region_count > 0)
		return false;
	msp_update_region_share(share, msp_now(&balancer->env),
	    compute_utilisation(&loads->local),
	    compute_utilisation(&loads->remote));
	return msp_assign_to_region(share);
}

/* Inserts a target by its score, if it is among the best. */
static void
insert_ranked(ranking_t *ranking, msp_view_target_t *target, uint64_t score)
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

/* Leaves out a target at its limit. */
static void
leave_out(const msp_balancer_t *balancer, ranking_t *ranking,
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
static void
rank_targets(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const region_loads_t *loads, const ranking_scope_t *scope,
    ranking_t *ranking)
{
	msp_view_target_t *target;
	double utilisation;

	*ranking = (ranking_t){.limit_wait = MSP_NEVER};
	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (!is_candidate(balancer, request, target) ||
		    was_tried(request, target) ||
		    (scope->local_only && !is_local(balancer, target)))
			continue;
		if (!msp_target_limit_allows(balancer, target) ||
		    (scope->without_limited &&
			msp_limit_in_force(&target->limit))) {
			leave_out(balancer, ranking, target);
			continue;
		}
		if (request->has_object) {
			insert_ranked(ranking, target,
			    score_target(target, request->object_hash));
			continue;
		}
		utilisation = estimate_load(balancer, loads, target) /
		    target->registration.slots;
		if (!is_local(balancer, target))
			utilisation += 1;
		insert_ranked(
		    ranking, target, (uint64_t)(1e12 / (1 + utilisation)));
	}
}

static msp_warmth_t
estimate_warmth(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_view_target_t *target, size_t rank)
{
	if (!request->has_object ||
	    has_recent_response(
		balancer, score_target(target, request->object_hash)))
		return MSP_WARM;
	return rank == 0 ? MSP_LIKELY_WARM : MSP_UNLIKELY_WARM;
}

static msp_time_t
estimate_wait(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_view_target_t *target, double load)
{
	double slots = (double)target->registration.slots;
	double ahead = load + 1 - slots;
	msp_time_t service_time =
	    msp_mean_service_time(balancer->model, request->service->name);

	if (ahead <= 0)
		return 0;
	if (service_time == 0)
		service_time = msp_predict_service_time(
		    balancer->model, request->route, MSP_LIKELY_WARM);
	return (msp_time_t)(ahead / slots * (double)service_time);
}

/* Fills `choice` for one target and returns its cost, in microseconds. */
static double
estimate_cost(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const region_loads_t *loads, msp_view_target_t *target, size_t rank,
    msp_balance_choice_t *choice)
{
	msp_time_t now = msp_now(&balancer->env);
	bool remote = !is_local(balancer, target);
	double ratio = msp_target_latency_ratio(&target->traffic, now);
	double service_time;
	double cost;

	choice->target = target;
	choice->warmth = estimate_warmth(balancer, request, target, rank);
	choice->cold = msp_target_is_cold(target, now);
	choice->load = estimate_load(balancer, loads, target);
	choice->wait = estimate_wait(balancer, request, target, choice->load);
	service_time = (double)msp_predict_service_time(
	    balancer->model, request->route, choice->warmth);
	if (choice->cold)
		ratio *= COLD_LATENCY_RATIO;
	/* The ratio does not apply to the network delay. */
	choice->expected_latency =
	    msp_predict_latency(balancer->model, request->route, choice->warmth,
		remote ? target->region : NULL) +
	    (msp_time_t)((double)choice->wait * ratio);
	if (ratio > 1)
		choice->expected_latency +=
		    (msp_time_t)(service_time * (ratio - 1));
	cost = (double)choice->expected_latency;
	cost += msp_target_failure_rate(&target->traffic, now) * FAILURE_COST *
	    (double)request->route->goal_ms * (double)MSP_MS;
	if (remote)
		cost += (double)REMOTE_COST;
	if (msp_target_is_full(&target->traffic, now))
		cost += (double)FULL_COST;
	return cost;
}

/*
 * Whether the response would come too late. A request that does not have to
 * wait is always tried, because its expected latency may be unmeasured.
 */
static bool
is_too_late(
    const msp_balance_request_t *request, const msp_balance_choice_t *choice)
{
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

/*
 * Chooses the first target of the ranking that can respond in time, unless a
 * later one costs much less.
 */
static msp_status_t
choose_ranked(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const region_loads_t *loads, const ranking_t *ranking,
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
		cost = estimate_cost(
		    balancer, request, loads, ranking->list[i], i, &option);
		if (is_too_late(request, &option)) {
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
	if (found)
		return MSP_OK;
	if (late)
		return msp_fail(
		    MSP_E_OVERLOAD, "no target is expected to respond in time");
	choice->target = NULL;
	if (ranking->limited_count > 0) {
		choice->is_limited = true;
		choice->wait = ranking->limit_wait;
		return msp_fail(MSP_E_OVERLOAD,
		    "all eligible targets are at the limits they named");
	}
	return msp_fail(
	    MSP_E_NO_TARGET, "no target is eligible for the request");
}

/* Chooses among the targets of the scope. */
static msp_status_t
choose_in_scope(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const region_loads_t *loads, const ranking_scope_t *scope,
    msp_balance_choice_t *choice)
{
	ranking_t ranking;

	*choice = (msp_balance_choice_t){0};
	rank_targets(balancer, request, loads, scope, &ranking);
	return choose_ranked(balancer, request, loads, &ranking, choice);
}

/* A request that yields is not to come back before those that it yields to. */
static void
end_limited(service_state_t *service, msp_time_t now, uint32_t priority,
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
	service_state_t *service =
	    find_service_state(balancer, request->service->name);
	uint32_t priority = request->route->priority;
	msp_time_t now = msp_now(&balancer->env);
	ranking_scope_t scope = {0};
	region_loads_t loads;
	msp_status_t status;

	*choice = (msp_balance_choice_t){0};
	if (service == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a service");
	measure_loads(balancer, request, &loads);
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
	if (status == MSP_E_NO_TARGET)
		choice->all_suspect = are_all_suspect(balancer, request);
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
	recent_response_t *slot;
	uint64_t key;

	if (target->traffic.in_flight > 0)
		target->traffic.in_flight--;
	if (responded) {
		msp_record_target_latency(
		    &target->traffic, now, took, choice->expected_latency);
		if (choice->wait == 0 && !choice->cold)
			msp_record_latency(balancer->model, request->route,
			    request->service->name, choice->warmth,
			    is_local(balancer, target) ? NULL : target->region,
			    took);
	}
	if (responded && request->has_object) {
		key = score_target(target, request->object_hash);
		slot = find_recent_response(balancer, key);
		slot->key = key;
		slot->at = now;
	}
	msp_release_view_target(target);
}
