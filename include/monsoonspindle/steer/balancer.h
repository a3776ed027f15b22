#ifndef MONSOONSPINDLE_STEER_BALANCER_H
#define MONSOONSPINDLE_STEER_BALANCER_H

#include "monsoonspindle/config/route_table.h"
#include "monsoonspindle/steer/latency_model.h"
#include "monsoonspindle/steer/target_view.h"

/*
 * Chooses the target of each request: the one from which the whole answer is
 * expected first, by where it is, whether it still holds the object of the
 * request in memory, how many requests it has, and how it has answered of
 * late. No I/O; the owner reports how requests went.
 *
 * Each region has a first choice for each object, by rendezvous hashing, so
 * that all VMs send an object to the same few targets and these stay warm.
 */
typedef struct msp_balancer msp_balancer_t;

typedef struct msp_balancer_options {
	const char *region; /* of this VM; borrowed */
	const char *place; /* data centre of this VM; borrowed */
	msp_time_t default_remote_delay; /* the way to another region until it
					    is known */
	double
	    cold_rate_factor; /* share of a cold target's rate that is used */
} msp_balancer_options_t;

typedef struct msp_balancer_callbacks {
	/* Whether targets of the data centre are to get nothing. */
	bool (*is_evacuated)(void *ctx, const char *place);
	/* VMs of this data centre that may send to its cold targets; 0: none */
	uint32_t (*count_cold_senders)(void *ctx);
	void *ctx;
} msp_balancer_callbacks_t;

typedef struct msp_balance_request {
	const msp_path_route_t *route;
	const msp_service_config_t *service;
	uint64_t object_hash; /* hash of the object that it concerns */
	bool has_object;
	msp_time_t time_left; /* until the answer is of no use */
	msp_view_target_t *const *tried; /* had it before; not chosen again */
	size_t tried_count;
} msp_balance_request_t;

typedef struct msp_balance_choice {
	msp_view_target_t *target; /* borrowed */
	msp_warmth_t warmth;
	bool cold; /* the target has just started */
	msp_time_t wait; /* for a slot there */
	msp_time_t
	    expected_latency; /* until the whole answer, waiting included */
	double load; /* requests that it was believed to hold */
} msp_balance_choice_t;

/* Returns NULL without memory. `view` and `book` are borrowed. */
msp_balancer_t *msp_new_balancer(const msp_env_t *env,
    const msp_balancer_options_t *options,
    const msp_balancer_callbacks_t *callbacks, msp_target_view_t *view,
    msp_latency_model_t *book);
void msp_drop_balancer(msp_balancer_t *balancer);

/*
 * Fills `choice`. MSP_E_NO_TARGET if no target may have the request;
 * MSP_E_OVERLOAD if none is expected to answer in the time left: then
 * `choice` tells what the best one would have been.
 */
msp_status_t msp_balance(msp_balancer_t *balancer,
    const msp_balance_request_t *request, msp_balance_choice_t *choice);

/* The request was sent to the chosen target, or the choice is given up. */
void msp_begin_balanced_request(
    msp_balancer_t *balancer, const msp_balance_choice_t *choice);

/* The request left its target; `object` is warm there if it answered. */
void msp_end_balanced_request(msp_balancer_t *balancer,
    const msp_balance_request_t *request, const msp_balance_choice_t *choice,
    msp_time_t took, bool answered);

#endif
