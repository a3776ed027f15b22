#ifndef SPINDLED_ISSUER_SEARCH_H
#define SPINDLED_ISSUER_SEARCH_H

#include <stdint.h>

#include "monsoonspindle/net/http_server.h"

struct daemon;

#define ISSUER_PATH "/v1/incarnation"

/*
 * A search for the VM that issued an idempotency key, by the incarnation in the
 * key. One VM of each other data centre is queried.
 */
typedef struct issuer_search issuer_search_t;

/*
 * Called with the peer address of the VM, or with `address` NULL if no data
 * centre knows the incarnation. The search has been freed before.
 */
typedef void issuer_found_t(void *ctx, const char *address, uint16_t port);

/*
 * Starts a search. `found` is called once, never from inside this call, unless
 * the search is cancelled. Returns NULL, with `found` never called, without
 * memory or if no VM can be queried.
 */
issuer_search_t *start_issuer_search(struct daemon *daemon,
    uint64_t incarnation, issuer_found_t *found, void *ctx);
void cancel_issuer_search(issuer_search_t *search);

/* Answers a query from another data centre: GET ISSUER_PATH?number=N. */
void serve_issuer_query(struct daemon *daemon, msp_exchange_t *exchange);

#endif
