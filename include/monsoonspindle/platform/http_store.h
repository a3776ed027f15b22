#ifndef MONSOONSPINDLE_PLATFORM_HTTP_STORE_H
#define MONSOONSPINDLE_PLATFORM_HTTP_STORE_H

#include "monsoonspindle/net/http_client.h"
#include "monsoonspindle/platform/store.h"

/*
 * Client of the platform's store over HTTP; docs/PLATFORM.md describes the
 * protocol. A call ends with MSP_E_STORE_DOWN if no connection could be made or
 * the store refused it (429, 503). Any other failure after a byte may have been
 * sent, and a malformed response, is MSP_E_LOST.
 */
typedef struct msp_http_store msp_http_store_t;

/*
 * `loop` and `client` are borrowed and must outlive the store; `address` (IP
 * address) is copied. Returns NULL, with msp_last_message() set, on failure.
 */
msp_http_store_t *msp_new_http_store(msp_loop_t *loop,
    msp_http_client_t *client, const char *address, uint16_t port);

/* Cancels the pending calls; their `done` is not called. */
void msp_drop_http_store(msp_http_store_t *store);

/* Returns the interface to `store`, which must outlive it. */
msp_store_t msp_http_store(msp_http_store_t *store);

#endif
