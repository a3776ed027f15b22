#ifndef SPINDLED_CLAIMED_RUN_H
#define SPINDLED_CLAIMED_RUN_H

#include "monsoonspindle/coord/claims.h"
#include "proxy_request.h"

struct claimed_requests;

/*
 * Sends a claimed request to its dispatcher, once, and reports the result to
 * msp_claims_t. Continues if the caller disconnects. `request` is copied.
 */
msp_status_t start_claimed_run(struct claimed_requests *requests,
    const proxy_request_t *request, msp_nonce_t nonce);

/* Fills `out` with a copy of an outcome. The caller drops it. */
msp_status_t copy_outcome_to_response(
    const msp_claim_outcome_t *outcome, msp_response_t *out);

/*
 * Returns an outcome that borrows from the response and from `fields`, which
 * must have room for all headers.
 */
msp_claim_outcome_t convert_response_to_outcome(
    const msp_response_t *response, msp_claim_field_t *fields);

#endif
