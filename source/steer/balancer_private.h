#ifndef STEER_BALANCER_PRIVATE_H
#define STEER_BALANCER_PRIVATE_H

#include "monsoonspindle/base/map.h"
#include "monsoonspindle/steer/balancer.h"
#include "monsoonspindle/steer/limit_priority.h"
#include "monsoonspindle/steer/region_share.h"

/* Shared by the source files of the balancer. */

/* Size of the hash table of recent responses, by object and target. */
#define RECENT_RESPONSES 8192
/* Number of top-ranked targets that are compared for a request. */
#define CANDIDATES_MAX 4

/* The last response of a target to this VM for an object. */
typedef struct msp_recent_response {
	uint64_t key;
	msp_time_t at;
} msp_recent_response_t;

/* What the balancer remembers of a service. */
typedef struct msp_service_state {
	msp_region_share_t share;
	msp_limit_priority_t limit_priority;
} msp_service_state_t;

struct msp_balancer {
	msp_env_t env;
	msp_balancer_options_t options;
	msp_balancer_callbacks_t callbacks;
	msp_target_view_t *view;
	msp_latency_model_t *model;
	msp_map_t *services; /* msp_service_state_t by name */
	msp_recent_response_t recent_responses[RECENT_RESPONSES];
};

/* Totals of the eligible targets of one region or several. */
typedef struct msp_region_load {
	double slots; /* of targets that are not cold */
	double requests; /* on these targets */
	/* Load of other VMs and slots, weighted by the age of the reports. */
	double reported_load;
	double reported_slots;
} msp_region_load_t;

typedef struct msp_region_loads {
	msp_region_load_t local; /* of this VM's region */
	msp_region_load_t remote;
} msp_region_loads_t;

/* Which of the eligible targets are ranked. */
typedef struct msp_ranking_scope {
	bool local_only;
	bool without_limited; /* none that has named a limit */
} msp_ranking_scope_t;

/* The targets with the highest scores for one request, best first. */
typedef struct msp_ranking {
	msp_view_target_t *list[CANDIDATES_MAX];
	uint64_t scores[CANDIDATES_MAX];
	size_t count;
	size_t busy_count; /* with as many requests of this VM as allowed */
	msp_view_target_t *least_busy; /* of these; NULL: none */
	size_t limited_count; /* eligible targets that are at their limits */
	msp_time_t limit_wait; /* until one of these may be used */
	size_t paused_count; /* eligible targets that have asked for a pause */
	msp_time_t pause_wait; /* until one of these may be used */
} msp_ranking_t;

/* balancer_load.c: load of regions and targets */

/* Expected number of requests of all VMs on the target. */
double msp_estimate_load(const msp_balancer_t *balancer,
    const msp_region_loads_t *loads, const msp_view_target_t *target);

/* Sums up the targets that are eligible for the request. */
void msp_measure_loads(msp_balancer_t *balancer,
    const msp_balance_request_t *request, msp_region_loads_t *loads);

/* Requests for each slot; -1 if there are no slots. */
double msp_compute_utilisation(const msp_region_load_t *load);

/* balancer_rank.c: eligible targets and their order */

/* Whether the target is eligible for the request. */
bool msp_is_candidate(msp_balancer_t *balancer,
    const msp_balance_request_t *request, const msp_view_target_t *target);

/*
 * Whether targets may serve the request, and all of these but those that have
 * asked for a pause are suspect.
 */
bool msp_are_all_suspect(
    msp_balancer_t *balancer, const msp_balance_request_t *request);

/* Whether the target is in this VM's region. */
bool msp_is_local_target(
    const msp_balancer_t *balancer, const msp_view_target_t *target);

/*
 * Ranks the eligible targets for the object, by rendezvous hashing; without an
 * object, by lowest utilisation, with those of this region first.
 */
void msp_rank_targets(msp_balancer_t *balancer,
    const msp_balance_request_t *request, const msp_region_loads_t *loads,
    const msp_ranking_scope_t *scope, msp_ranking_t *ranking);

/* balancer_cost.c: what a request would cost at a target */

/* Rendezvous score of the target for an object. */
uint64_t msp_score_target(const msp_view_target_t *target, uint64_t object);

/* Fills `choice` for one target and returns its cost, in microseconds. */
double msp_estimate_cost(msp_balancer_t *balancer,
    const msp_balance_request_t *request, const msp_region_loads_t *loads,
    msp_view_target_t *target, size_t rank, msp_balance_choice_t *choice);

/* Takes the object of the request to be cached by the target from now on. */
void msp_record_recent_response(msp_balancer_t *balancer,
    const msp_balance_request_t *request, const msp_view_target_t *target);

#endif
