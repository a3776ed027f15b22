#ifndef MONSOONSPINDLE_PLATFORM_HTTP_STORE_H
#define MONSOONSPINDLE_PLATFORM_HTTP_STORE_H

#include "monsoonspindle/net/http_client.h"
#include "monsoonspindle/platform/store.h"

/*
 * The platform over HTTP, by the protocol of docs/PLATFORM.md. No connection,
 * or an answer that says so, is MSP_E_STORE_DOWN; any other failure once a
 * byte may have left, and a malformed answer, is MSP_E_LOST.
 */
typedef struct msp_http_store msp_http_store_t;

/*
 * `loop` and `client` are borrowed and must outlive the store; `address` (IP
 * number) is copied. Returns NULL with a last message.
 */
msp_http_store_t *msp_new_http_store(msp_loop_t *loop,
    msp_http_client_t *client, const char *address, uint16_t port);

/* Cancels the calls under way; their `done` is not called. */
void msp_drop_http_store(msp_http_store_t *store);

/* The callbacks over `store`, which is borrowed. */
msp_store_t msp_http_store(msp_http_store_t *store);

#endif
