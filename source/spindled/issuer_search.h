#ifndef SPINDLED_ISSUER_SEARCH_H
#define SPINDLED_ISSUER_SEARCH_H

#include <stdint.h>

#include "monsoonspindle/net/http_server.h"

struct daemon;

#define ISSUER_PATH "/v1/incarnation"

/*
 * A search for the VM of another data centre that runs as an incarnation: one
 * VM of each is asked.
 */
typedef struct issuer_search issuer_search_t;

/* `address` is NULL if no data centre knows it. The search is gone then. */
typedef void issuer_found_t(void *ctx, const char *address, uint16_t port);

/*
 * Starts a search; `found` is called once, later, unless it is cancelled.
 * Returns NULL, with `found` never called, if there is nobody to ask.
 */
issuer_search_t *start_issuer_search(struct daemon *daemon,
    uint64_t incarnation, issuer_found_t *found, void *ctx);
void cancel_issuer_search(issuer_search_t *search);

/* Answers such a question from another data centre. */
void serve_issuer_query(struct daemon *daemon, msp_exchange_t *exchange);

#endif
