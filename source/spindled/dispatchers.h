#ifndef SPINDLED_DISPATCHERS_H
#define SPINDLED_DISPATCHERS_H

#include "monsoonspindle/net/http_server.h"
#include "monsoonspindle/steer/dispatcher.h"
#include "proxy_request.h"

struct daemon;

/*
 * The dispatchers that this VM runs: one for each service of its data centre
 * for which it is the first choice of rendezvous hashing.
 */
typedef struct dispatchers dispatchers_t;

dispatchers_t *new_dispatchers(struct daemon *daemon);
void drop_dispatchers(dispatchers_t *dispatchers);

/* Dispatches the work here. */
void dispatch_locally(dispatchers_t *dispatchers, proxy_request_t *work);

/* The release in force has changed. */
void update_dispatchers(dispatchers_t *dispatchers);

/* Hands over what this VM is no longer the first choice for. */
void reassign_dispatchers(dispatchers_t *dispatchers);

/* Takes in what another VM quarantined. */
void receive_quarantine(dispatchers_t *dispatchers, msp_exchange_t *exchange);

/* Work that has not ended yet. */
size_t count_dispatched_requests(const dispatchers_t *dispatchers);

/* NULL if this VM has no dispatcher for the service. */
struct service_dispatcher *find_service_dispatcher(
    const dispatchers_t *dispatchers, const char *service);

struct service_dispatcher;

typedef void visit_dispatcher_t(void *ctx, struct service_dispatcher *service);

/* Visits all dispatchers, those that finish their last work too. */
void visit_dispatchers(
    const dispatchers_t *dispatchers, visit_dispatcher_t *visit, void *ctx);

#endif
