#ifndef SPINDLED_CLAIMED_REQUESTS_H
#define SPINDLED_CLAIMED_REQUESTS_H

#include "caller_request.h"

struct daemon;

/*
 * Non-idempotent requests, which run at most once: each is claimed by its
 * idempotency key, and its outcome is recorded in the platform's store.
 */
typedef struct claimed_requests claimed_requests_t;

claimed_requests_t *new_claimed_requests(struct daemon *daemon);
void drop_claimed_requests(claimed_requests_t *requests);

/*
 * Claims the request's key, runs the request if the claim succeeds, and answers
 * the caller. If another VM issued the key, the request is forwarded to it.
 */
void start_claimed_request(
    claimed_requests_t *requests, caller_request_t *caller);

/* The same, but never forwards the request. */
void claim_request_here(claimed_requests_t *requests, caller_request_t *caller);

/*
 * To be called when the caller has disconnected. A request that is running
 * continues, and its outcome is recorded for the caller's next attempt.
 */
void detach_claimed_request(
    claimed_requests_t *requests, caller_request_t *caller);

/* Number of requests that are running or whose outcome is not stored yet. */
size_t count_claimed_requests(const claimed_requests_t *requests);

/* Answers another VM's query about a claim that this VM owns. */
void serve_claim_query(claimed_requests_t *requests, msp_exchange_t *exchange);

/*
 * The operators' GET and POST /v1/doubt: lists the requests of which it is not
 * known whether they ran, and records an operator's ruling on one.
 */
void serve_in_doubt_list(
    claimed_requests_t *requests, msp_exchange_t *exchange);
void serve_in_doubt_ruling(
    claimed_requests_t *requests, msp_exchange_t *exchange);

#endif
