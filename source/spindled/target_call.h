#ifndef SPINDLED_TARGET_CALL_H
#define SPINDLED_TARGET_CALL_H

#include "service_dispatch.h"

#define DISPATCH_CALLS 2 /* attempts of one work in flight together */

/* One attempt's HTTP call. */
typedef struct target_call {
	struct dispatch *dispatch;
	msp_attempt_t attempt; /* 0: free */
	msp_call_t *call;
	char target[MSP_NAME_SIZE];
} target_call_t;

/* One work in a dispatcher, with its job and its calls. */
typedef struct dispatch {
	service_dispatch_t *service;
	work_t *work;
	msp_job_t job;
	target_call_t calls[DISPATCH_CALLS];
} dispatch_t;

/* Sends the work to a target; the callback `start` of the dispatcher. */
void start_target_call(void *ctx, msp_job_t *job,
    const msp_target_ref_t *target, bool fresh, msp_attempt_t attempt);

/* The callback `cancel_attempt` of the dispatcher. */
void cancel_target_call(void *ctx, msp_job_t *job, msp_attempt_t attempt);

/* Gives the work its result and frees the dispatch. */
void finish_dispatch(dispatch_t *dispatch, work_result_t *result);

#endif
