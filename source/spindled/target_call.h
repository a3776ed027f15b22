#ifndef SPINDLED_TARGET_CALL_H
#define SPINDLED_TARGET_CALL_H

#include "service_dispatcher.h"

#define DISPATCH_CALLS_MAX 2 /* concurrent attempts of one request */

/* The HTTP call of one attempt. */
typedef struct target_call {
	struct dispatched_request *request;
	msp_attempt_id_t attempt; /* 0 in an unused entry */
	msp_call_t *call; /* the request, or a probe after its failure */
	const target_address_t *address;
	char target[MSP_NAME_SIZE];
} target_call_t;

/* A request in a dispatcher, with its job and its calls to targets. */
typedef struct dispatched_request {
	service_dispatcher_t *service;
	proxy_request_t *request;
	msp_job_t job;
	/* `account` is NULL unless the request is from another region. */
	msp_credit_reservation_t reservation;
	target_call_t calls[DISPATCH_CALLS_MAX];
} dispatched_request_t;

/* Sends a request to a target; the dispatcher's `start_attempt` callback. */
void start_target_call(void *ctx, msp_job_t *job,
    const msp_target_ref_t *target, bool fresh_connection,
    msp_attempt_id_t attempt);

/* The dispatcher's `cancel_attempt` callback. */
void cancel_target_call(void *ctx, msp_job_t *job, msp_attempt_id_t attempt);

/*
 * Reports the result and frees the dispatched_request_t. A response to another
 * region is delayed as long as the rate cap requires.
 */
void finish_dispatched_request(
    dispatched_request_t *dispatched, proxy_result_t *result);

/* Frees the delayed responses without sending them. */
void drop_delayed_responses(service_dispatcher_t *service);

#endif
