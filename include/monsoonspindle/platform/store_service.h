#ifndef MONSOONSPINDLE_PLATFORM_STORE_SERVICE_H
#define MONSOONSPINDLE_PLATFORM_STORE_SERVICE_H

#include "monsoonspindle/net/http_server.h"
#include "monsoonspindle/platform/memory_store.h"

/*
 * Serves a memory store by the protocol of the users' platform: the handler
 * of its stand-in. The owner steps the memory store and the service.
 */
typedef struct msp_store_service msp_store_service_t;

/* Returns NULL without memory. `store` is borrowed and must outlive it. */
msp_store_service_t *msp_new_store_service(msp_memory_store_t *store);

/* Drop the HTTP server and the memory store first: no call is answered. */
void msp_drop_store_service(msp_store_service_t *service);

/* Answers readers that wait for a change, when there is one or time is up. */
void msp_step_store_service(msp_store_service_t *service);

msp_http_handler_t msp_store_service_handler(msp_store_service_t *service);

#endif
