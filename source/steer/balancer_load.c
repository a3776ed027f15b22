#include "balancer_private.h"

/* Expected load of other VMs on a target without a recent report. */
static double
usual_load(const msp_region_load_t *load, const msp_view_target_t *target)
{
	if (load->reported_slots <= 0)
		return 0;
	return load->reported_load / load->reported_slots *
	    target->registration.slots;
}

double
msp_estimate_load(const msp_balancer_t *balancer,
    const msp_region_loads_t *loads, const msp_view_target_t *target)
{
	const msp_region_load_t *load = msp_is_local_target(balancer, target)
	    ? &loads->local
	    : &loads->remote;

	return msp_estimate_target_load(&target->traffic,
	    msp_now(&balancer->env), usual_load(load, target));
}

void
msp_measure_loads(msp_balancer_t *balancer,
    const msp_balance_request_t *request, msp_region_loads_t *loads)
{
	msp_time_t now = msp_now(&balancer->env);
	msp_view_target_t *target;
	double weight;
	msp_region_load_t *load;

	*loads = (msp_region_loads_t){0};
	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (!msp_is_candidate(balancer, request, target))
			continue;
		load = msp_is_local_target(balancer, target) ? &loads->local
							     : &loads->remote;
		weight = msp_server_load_weight(&target->traffic, now);
		load->reported_load += weight * target->traffic.other_vms_load;
		load->reported_slots += weight * target->registration.slots;
	}
	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (!msp_is_candidate(balancer, request, target) ||
		    msp_target_is_cold(target, now))
			continue;
		load = msp_is_local_target(balancer, target) ? &loads->local
							     : &loads->remote;
		load->slots += target->registration.slots;
		/* A target at its limit has no room, whatever its load. */
		load->requests += msp_target_limit_allows(balancer, target)
		    ? msp_estimate_load(balancer, loads, target)
		    : target->registration.slots;
	}
}

double
msp_compute_utilisation(const msp_region_load_t *load)
{
	return load->slots > 0 ? load->requests / load->slots : -1;
}
