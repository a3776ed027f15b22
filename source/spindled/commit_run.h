#ifndef SPINDLED_COMMIT_RUN_H
#define SPINDLED_COMMIT_RUN_H

#include "monsoonspindle/coord/claims.h"
#include "work.h"

struct commits;

/*
 * Sends a claimed commit to its dispatcher, once, and reports its end to the
 * claims. It lives on when its caller goes away.
 */
msp_status_t start_commit_run(
    struct commits *commits, const work_t *work, msp_nonce_t nonce);

/* Copies an outcome, such as a recorded one, to a response. */
msp_status_t write_outcome(
    const msp_claim_outcome_t *outcome, msp_response_t *out);

/* A response as an outcome; `fields` has room for all its headers. */
msp_claim_outcome_t view_outcome(
    const msp_response_t *response, msp_claim_field_t *fields);

#endif
