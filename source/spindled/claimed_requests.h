#ifndef SPINDLED_CLAIMED_REQUESTS_H
#define SPINDLED_CLAIMED_REQUESTS_H

#include "caller_request.h"

struct daemon;

/* Requests that run at most once: claims, their owners and outcomes. */
typedef struct claimed_requests claimed_requests_t;

claimed_requests_t *new_claimed_requests(struct daemon *daemon);
void drop_claimed_requests(claimed_requests_t *commits);

/*
 * Claims the entry's key, runs the request if it may, and answers it. A key
 * that another VM issued is decided by that one.
 */
void start_claimed_request(
    claimed_requests_t *commits, caller_request_t *entry);

/* The same, decided here. */
void claim_request_here(claimed_requests_t *commits, caller_request_t *entry);

/* The entry's caller went away. What runs, runs on for its next try. */
void detach_claimed_request(
    claimed_requests_t *commits, caller_request_t *entry);

/* Commits that are not settled yet: claimed, running, or not recorded. */
size_t count_claimed_requests(const claimed_requests_t *commits);

/* Answers another VM's question about a claim that this one owns. */
void serve_claim_query(claimed_requests_t *commits, msp_exchange_t *exchange);

/* The operators' requests: GET and POST /v1/doubt. */
void get_doubt(claimed_requests_t *commits, msp_exchange_t *exchange);
void post_doubt(claimed_requests_t *commits, msp_exchange_t *exchange);

#endif
