#ifndef SPINDLED_CLAIMED_RUN_H
#define SPINDLED_CLAIMED_RUN_H

#include "monsoonspindle/coord/claims.h"
#include "proxy_request.h"

struct claimed_requests;

/*
 * Sends a claimed commit to its dispatcher, once, and reports its end to the
 * claims. It lives on when its caller goes away.
 */
msp_status_t start_claimed_run(struct claimed_requests *commits,
    const proxy_request_t *work, msp_nonce_t nonce);

/* Copies an outcome, such as a recorded one, to a response. */
msp_status_t copy_outcome_to_response(
    const msp_claim_outcome_t *outcome, msp_response_t *out);

/* A response as an outcome; `fields` has room for all its headers. */
msp_claim_outcome_t convert_response_to_outcome(
    const msp_response_t *response, msp_claim_field_t *fields);

#endif
