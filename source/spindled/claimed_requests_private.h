#ifndef SPINDLED_CLAIMED_REQUESTS_PRIVATE_H
#define SPINDLED_CLAIMED_REQUESTS_PRIVATE_H

#include "claimed_requests.h"
#include "daemon.h"
#include "monsoonspindle/coord/claim_doubts.h"
#include "monsoonspindle/coord/claims.h"
#include "notifying_store.h"

struct claimed_requests {
	daemon_t *daemon;
	notifying_store_t store; /* the claims are stepped after each answer */
	msp_claims_t *claims;
	msp_timer_t *timer;
	char address[MSP_ADDRESS_SIZE + 8]; /* where other VMs ask this one */
};

/* Sets the timer to when the claims have something to do next. */
void schedule_claims_step(claimed_requests_t *commits);

/* Time of day in microseconds since 1970. */
msp_time_t wall_clock(void *ctx);

/* Carries a question to another VM; the callback `ask` of the claims. */
void query_claim_owner(void *ctx, const msp_owner_query_t *ask,
    msp_owner_query_done_t *done, void *done_ctx);

#endif
