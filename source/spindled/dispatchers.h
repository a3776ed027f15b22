#ifndef SPINDLED_DISPATCHERS_H
#define SPINDLED_DISPATCHERS_H

#include "monsoonspindle/net/http_server.h"
#include "monsoonspindle/steer/dispatcher.h"
#include "proxy_request.h"

struct daemon;

/*
 * The dispatchers that this VM runs: one for each service for which rendezvous
 * hashing selects it among the VMs of its data centre.
 */
typedef struct dispatchers dispatchers_t;

dispatchers_t *new_dispatchers(struct daemon *daemon);
void drop_dispatchers(dispatchers_t *dispatchers);

/* Dispatches a request in this VM, or refuses it. */
void dispatch_locally(dispatchers_t *dispatchers, proxy_request_t *request);

/* Applies a change of the release in force. */
void update_dispatchers(dispatchers_t *dispatchers);

/*
 * Retires the dispatchers of services that another VM now dispatches, resumes
 * those that were paused, and refreshes their credit offers.
 */
void reassign_dispatchers(dispatchers_t *dispatchers);

/* Receives the fingerprints of requests that another VM quarantined. */
void receive_quarantine(dispatchers_t *dispatchers, msp_exchange_t *exchange);

/* Number of requests that have not ended yet. */
size_t count_dispatched_requests(const dispatchers_t *dispatchers);

/* Returns NULL if this VM has no dispatcher for the service. */
struct service_dispatcher *find_service_dispatcher(
    const dispatchers_t *dispatchers, const char *service);

struct service_dispatcher;

typedef void visit_dispatcher_t(void *ctx, struct service_dispatcher *service);

/* Visits all dispatchers, including retired ones with requests in flight. */
void visit_dispatchers(
    const dispatchers_t *dispatchers, visit_dispatcher_t *visit, void *ctx);

#endif
