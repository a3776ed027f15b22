#ifndef SPINDLED_FORWARD_TO_ISSUER_H
#define SPINDLED_FORWARD_TO_ISSUER_H

#include "claimed_requests.h"

#define TRIES_PATH "/v1/tries"

/*
 * Passes a commit whose key another VM issued on to that VM, whose memory
 * decides about it, and answers the entry with its answer. A VM of another data
 * centre is looked for. Returns false if the key is not an issued one, is of
 * this VM, or nobody can be asked.
 */
bool forward_to_issuer(claimed_requests_t *commits, caller_request_t *entry);

/* Takes in a try that another VM passed on. */
void serve_forwarded_request(
    claimed_requests_t *commits, msp_exchange_t *exchange);

#endif
