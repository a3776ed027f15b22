#include "balancer_private.h"
#include "monsoonspindle/base/hash.h"

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

uint64_t
msp_score_target(const msp_view_target_t *target, uint64_t object)
{
	return msp_hash_text(target->registration.id, object);
}

static msp_recent_response_t *
find_recent_response(msp_balancer_t *balancer, uint64_t key)
{
	return &balancer->recent_responses[key % RECENT_RESPONSES];
}

static bool
has_recent_response(msp_balancer_t *balancer, uint64_t key)
{
	const msp_recent_response_t *slot = find_recent_response(balancer, key);

	return slot->at != 0 && slot->key == key &&
	    msp_now(&balancer->env) < slot->at + WARM_SPAN;
}

static msp_warmth_t
estimate_warmth(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_view_target_t *target, size_t rank)
{
	if (!request->has_object ||
	    has_recent_response(
		balancer, msp_score_target(target, request->object_hash)))
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
double
msp_estimate_cost(msp_balancer_t *balancer,
    const msp_balance_request_t *request, const msp_region_loads_t *loads,
    msp_view_target_t *target, size_t rank, msp_balance_choice_t *choice)
{
	msp_time_t now = msp_now(&balancer->env);
	bool remote = !msp_is_local_target(balancer, target);
	double ratio = msp_target_latency_ratio(&target->traffic, now);
	double service_time;
	double cost;

	choice->target = target;
	choice->warmth = estimate_warmth(balancer, request, target, rank);
	choice->cold = msp_target_is_cold(target, now);
	choice->load = msp_estimate_load(balancer, loads, target);
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

void
msp_record_recent_response(msp_balancer_t *balancer,
    const msp_balance_request_t *request, const msp_view_target_t *target)
{
	uint64_t key = msp_score_target(target, request->object_hash);
	msp_recent_response_t *slot = find_recent_response(balancer, key);

	slot->key = key;
	slot->at = msp_now(&balancer->env);
}
