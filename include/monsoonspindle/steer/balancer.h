#ifndef MONSOONSPINDLE_STEER_BALANCER_H
#define MONSOONSPINDLE_STEER_BALANCER_H

#include "monsoonspindle/config/route_table.h"
#include "monsoonspindle/steer/latency_model.h"
#include "monsoonspindle/steer/target_view.h"

/*
 * Chooses the target of each request: the one with the lowest expected
 * response time, given its region, whether it is likely to have the requested
 * object cached in memory, its load, and its recent latency and failures. Does
 * no I/O; the owner reports how requests end.
 *
 * Rendezvous hashing ranks the targets of a region for each object, so that
 * all VMs send an object to the same few targets and its cache entry stays
 * warm there.
 */
typedef struct msp_balancer msp_balancer_t;

/*
 * Requests that a VM has in flight at a target at most. Beyond that the target
 * is left out, since a further request would only wait here, where neither its
 * target nor its VM can tell for how long.
 */
#define MSP_IN_FLIGHT_MAX 128
uint32_t msp_max_in_flight(const msp_view_target_t *target);

typedef struct msp_balancer_options {
	const char *region; /* of this VM; borrowed */
	const char *place; /* data centre of this VM; borrowed */
	/* Latency added by another region, until it has been measured. */
	msp_time_t default_remote_delay;
	/* Fraction of a cold target's request rate that is used, 0 to 1. */
	double cold_rate_factor;
	/* Requests beyond that rate that all VMs may have saved up. */
	double cold_burst;
} msp_balancer_options_t;

typedef struct msp_balancer_callbacks {
	/* Whether the data centre is evacuated: its targets get no requests. */
	bool (*is_evacuated)(void *ctx, const char *place);
	/*
	 * Ranks this VM among those that share a rate of this target. Of a cold
	 * target's rate only the VMs of its data centre have parts.
	 */
	void (*rank_sender)(void *ctx, const msp_view_target_t *target,
	    msp_sender_rank_t *rank);
	void *ctx;
} msp_balancer_callbacks_t;

typedef struct msp_balance_request {
	const msp_path_route_t *route;
	const msp_organisation_t *organisation; /* of the caller; or NULL */
	msp_homes_t homes; /* that bind the request */
	const msp_service_config_t *service;
	uint64_t object_hash; /* of the requested object */
	bool has_object; /* `object_hash` is set */
	msp_time_t time_left; /* until the caller's deadline */
	/*
	 * This VM is about to stop, in `stops_in`. The request must not wait at
	 * a target, since only the target's last report tells for how long, and
	 * a response must be expected well before that.
	 */
	bool is_stopping;
	msp_time_t stops_in;
	msp_view_target_t *const *tried; /* targets not to choose again */
	size_t tried_count;
} msp_balance_request_t;

/*
 * The priority of the request's organisation, if it has one, else that of its
 * route. 0: the most urgent.
 */
uint32_t msp_request_priority(const msp_balance_request_t *request);

typedef struct msp_balance_choice {
	msp_view_target_t *target; /* borrowed */
	msp_warmth_t warmth;
	bool cold; /* the target is warming up after its start */
	msp_time_t wait; /* estimated, for a free slot */
	/* Up to the complete response, including `wait`. */
	msp_time_t expected_latency;
	double load; /* estimated number of requests on the target */
	/* Targets that were left out since this VM's part of their limit is
	   used up. */
	size_t limited_count;
	/* Targets that were left out with msp_max_in_flight() requests. */
	size_t busy_count;
	/* Targets that were left out since they asked for a pause. */
	size_t paused_count;
	/* Without a target: `wait` is until such a target may be used. */
	bool is_limited;
	bool is_paused;
	/*
	 * Without a target: there are targets that may have the request, and
	 * all of them but those that have asked for a pause are suspect.
	 */
	bool all_suspect;
} msp_balance_choice_t;

/* Returns NULL if out of memory. `view` and `model` are borrowed. */
msp_balancer_t *msp_new_balancer(const msp_env_t *env,
    const msp_balancer_options_t *options,
    const msp_balancer_callbacks_t *callbacks, msp_target_view_t *view,
    msp_latency_model_t *model);
void msp_drop_balancer(msp_balancer_t *balancer);

/*
 * Fills `choice`. Returns MSP_E_NO_TARGET if no target is eligible, and
 * MSP_E_OVERLOAD if none is expected to respond in the time left, or if this VM
 * has as many requests in flight at each as it may; `choice` then holds the
 * highest-ranked target. MSP_E_OVERLOAD without a target: all that are eligible
 * have asked for a pause, or have named limits of which this VM's parts are
 * used up.
 */
msp_status_t msp_balance(msp_balancer_t *balancer,
    const msp_balance_request_t *request, msp_balance_choice_t *choice);

/*
 * Whether this VM may send a request of any kind to the target now, by the
 * limit that the target has named.
 */
bool msp_target_limit_allows(
    msp_balancer_t *balancer, msp_view_target_t *target);

/*
 * Counts the request as in flight on the chosen target, and against its limit.
 * A choice that is not used needs no call.
 */
void msp_begin_balanced_request(
    msp_balancer_t *balancer, const msp_balance_choice_t *choice);

/*
 * Reports the end of a request after `took`. If the target `responded`, the
 * latency is recorded and the object is taken to be warm there.
 */
void msp_end_balanced_request(msp_balancer_t *balancer,
    const msp_balance_request_t *request, const msp_balance_choice_t *choice,
    msp_time_t took, bool responded);

#endif
