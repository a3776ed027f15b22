#ifndef SPINDLED_SERVICE_DISPATCHER_H
#define SPINDLED_SERVICE_DISPATCHER_H

#include <bsd/sys/queue.h>

#include "daemon.h"
#include "monsoonspindle/coord/credits.h"
#include "monsoonspindle/steer/dispatcher.h"
#include "proxy_request.h"

/* The dispatcher of one service, with the HTTP calls to its targets. */
typedef struct service_dispatcher {
	LIST_ENTRY(service_dispatcher) link; /* in the list of retired ones */
	daemon_t *daemon;
	char name[MSP_NAME_SIZE];
	msp_dispatcher_t *dispatcher;
	msp_credit_granter_t *granter; /* for clients of other regions */
	bool retired; /* accepts no new requests */
	msp_map_t *addresses; /* target_address_t by "address:port" */
	msp_timer_t *load_poll_timer;
	size_t active_count; /* requests that have not ended */
	LIST_HEAD(, load_poll) load_polls;
	LIST_HEAD(, delayed_response) delayed_responses; /* by a rate cap */
} service_dispatcher_t;

/* Address of a target. Valid as long as the service_dispatcher_t exists. */
typedef struct target_address {
	char address[MSP_ADDRESS_SIZE];
	uint16_t port;
} target_address_t;

/* Returns NULL if out of memory. */
service_dispatcher_t *new_service_dispatcher(
    daemon_t *daemon, const char *name, msp_quarantine_list_t *quarantine);

/* Frees the dispatcher. Requests in flight get no response. */
void drop_service_dispatcher(service_dispatcher_t *service);

/* Applies the targets, policy and caps of the release in force. */
void update_service_dispatcher(service_dispatcher_t *service);

void dispatch_service_request(
    service_dispatcher_t *service, proxy_request_t *request);
void tick_service_dispatcher(service_dispatcher_t *service);

#endif
