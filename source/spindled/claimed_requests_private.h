#ifndef SPINDLED_CLAIMED_REQUESTS_PRIVATE_H
#define SPINDLED_CLAIMED_REQUESTS_PRIVATE_H

#include "claimed_requests.h"
#include "daemon.h"
#include "monsoonspindle/coord/in_doubt_claims.h"
#include "monsoonspindle/coord/claims.h"
#include "notifying_store.h"

struct claimed_requests {
	daemon_t *daemon;
	notifying_store_t store; /* calls msp_step_claims() after each reply */
	msp_claims_t *claims;
	msp_timer_t *timer;
	/* "address:port" to which other VMs send their claim queries. */
	char address[MSP_ADDRESS_SIZE + 8];
};

/* Sets the timer for the next msp_step_claims(). */
void schedule_claims_step(claimed_requests_t *requests);

/* Time of day in microseconds since 1970. */
msp_time_t get_wall_time(void *ctx);

/* Queries the VM that owns a claim; the `query_owner` hook of the claims. */
void query_claim_owner(void *ctx, const msp_owner_query_t *owner_query,
    msp_owner_query_done_t *done, void *done_ctx);

#endif
