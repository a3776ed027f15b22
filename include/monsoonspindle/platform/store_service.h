#ifndef MONSOONSPINDLE_PLATFORM_STORE_SERVICE_H
#define MONSOONSPINDLE_PLATFORM_STORE_SERVICE_H

#include "monsoonspindle/net/http_server.h"
#include "monsoonspindle/platform/memory_store.h"

/*
 * HTTP handler that serves a memory store with the protocol of the platform's
 * store, for the stand-in of the platform. The owner steps the memory store
 * and the service.
 */
typedef struct msp_store_service msp_store_service_t;

/*
 * `store` is borrowed and must exist while the service is used. Returns NULL
 * when out of memory.
 */
msp_store_service_t *msp_new_store_service(msp_memory_store_t *store);

/* Drop the HTTP server and the memory store first. Calls get no response. */
void msp_drop_store_service(msp_store_service_t *service);

/* Answers long polls that have changes to return or have timed out. */
void msp_step_store_service(msp_store_service_t *service);

msp_http_handler_t msp_store_service_handler(msp_store_service_t *service);

#endif
