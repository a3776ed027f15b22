#ifndef SPINDLED_TARGET_CALL_H
#define SPINDLED_TARGET_CALL_H

#include "service_dispatcher.h"

#define DISPATCH_CALLS_MAX 2 /* attempts of one work in flight together */

/* One attempt's HTTP call. */
typedef struct target_call {
	struct dispatched_request *request;
	msp_attempt_id_t attempt; /* 0: free */
	msp_call_t *call; /* the request, then perhaps a probe */
	const target_address_t *address;
	char target[MSP_NAME_SIZE];
} target_call_t;

/* One work in a dispatcher, with its job and its calls. */
typedef struct dispatched_request {
	service_dispatcher_t *service;
	proxy_request_t *request;
	msp_job_t job;
	msp_credit_reservation_t reservation; /* of work from another region */
	target_call_t calls[DISPATCH_CALLS_MAX];
} dispatched_request_t;

/* Sends the work to a target; the callback `start` of the dispatcher. */
void start_target_call(void *ctx, msp_job_t *job,
    const msp_target_ref_t *target, bool fresh, msp_attempt_id_t attempt);

/* The callback `cancel_attempt` of the dispatcher. */
void cancel_target_call(void *ctx, msp_job_t *job, msp_attempt_id_t attempt);

/*
 * Gives the work its result and frees the dispatch. An answer to another region
 * is held until the cap has room for it.
 */
void finish_dispatched_request(
    dispatched_request_t *dispatch, proxy_result_t *result);

/* Frees the answers that are held; their work gets none. */
void drop_delayed_responses(service_dispatcher_t *service);

#endif
