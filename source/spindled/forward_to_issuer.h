#ifndef SPINDLED_FORWARD_TO_ISSUER_H
#define SPINDLED_FORWARD_TO_ISSUER_H

#include "claimed_requests.h"

#define FORWARDED_PATH "/v1/tries"

/*
 * Forwards a request whose idempotency key another VM issued to that VM, which
 * decides by the claims in its memory, and answers the caller with the
 * response. An issuer in another data centre is searched for. Returns false if
 * the key was not issued by a VM, was issued by this VM, or no VM can be
 * queried.
 */
bool forward_to_issuer(claimed_requests_t *requests, caller_request_t *caller);

/* Serves a request that another VM forwarded. */
void serve_forwarded_request(
    claimed_requests_t *requests, msp_exchange_t *exchange);

#endif
