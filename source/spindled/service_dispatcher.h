#ifndef SPINDLED_SERVICE_DISPATCHER_H
#define SPINDLED_SERVICE_DISPATCHER_H

#include <bsd/sys/queue.h>

#include "daemon.h"
#include "monsoonspindle/coord/credits.h"
#include "monsoonspindle/steer/dispatcher.h"
#include "proxy_request.h"

/* The dispatcher of one service, wired to its targets over HTTP. */
typedef struct service_dispatcher {
	LIST_ENTRY(service_dispatcher) link; /* of the retired ones */
	daemon_t *daemon;
	char name[MSP_NAME_SIZE];
	msp_dispatcher_t *dispatcher;
	msp_credit_granter_t *granter; /* of credits to other regions */
	bool retired; /* finishes what is in flight */
	msp_map_t *addresses; /* "address:port" to target_address_t */
	msp_timer_t *load_poll_timer;
	size_t active_count; /* work that has not ended */
	LIST_HEAD(, load_poll) load_polls;
	LIST_HEAD(, delayed_response)
	delayed_responses; /* until the cap has room */
} service_dispatcher_t;

/* Where a target is. Lives as long as the service_dispatcher_t. */
typedef struct target_address {
	char address[MSP_ADDRESS_SIZE];
	uint16_t port;
} target_address_t;

/* Returns NULL without memory. */
service_dispatcher_t *new_service_dispatcher(
    daemon_t *daemon, const char *name, msp_quarantine_list_t *quarantine);

/* Ends what is in flight without an answer. */
void drop_service_dispatcher(service_dispatcher_t *service);

/* Takes targets and policy from the release in force. */
void update_service_dispatcher(service_dispatcher_t *service);

void dispatch_service_request(
    service_dispatcher_t *service, proxy_request_t *work);
void tick_service_dispatcher(service_dispatcher_t *service);

#endif
