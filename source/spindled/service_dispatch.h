#ifndef SPINDLED_SERVICE_DISPATCH_H
#define SPINDLED_SERVICE_DISPATCH_H

#include <bsd/sys/queue.h>

#include "daemon.h"
#include "monsoonspindle/coord/credits.h"
#include "monsoonspindle/steer/dispatcher.h"
#include "work.h"

/* The dispatcher of one service, wired to its targets over HTTP. */
typedef struct service_dispatch {
	LIST_ENTRY(service_dispatch) link; /* of the retired ones */
	daemon_t *daemon;
	char name[MSP_NAME_SIZE];
	msp_dispatcher_t *dispatcher;
	msp_credit_granter_t *granter; /* of credits to other regions */
	bool retired; /* finishes what is in flight */
	msp_map_t *addresses; /* "address:port" to target_address_t */
	msp_timer_t *report_timer;
	size_t busy; /* work that has not ended */
	LIST_HEAD(, report_call) reports;
	LIST_HEAD(, held_answer) held; /* until the cap has room */
} service_dispatch_t;

/* Where a target is. Lives as long as the service_dispatch_t. */
typedef struct target_address {
	char address[MSP_ADDRESS_SIZE];
	uint16_t port;
} target_address_t;

/* Returns NULL without memory. */
service_dispatch_t *new_service_dispatch(
    daemon_t *daemon, const char *name, msp_quarantine_list_t *quarantine);

/* Ends what is in flight without an answer. */
void drop_service_dispatch(service_dispatch_t *service);

/* Takes targets and policy from the release in force. */
void update_service_dispatch(service_dispatch_t *service);

void run_service_work(service_dispatch_t *service, work_t *work);
void tick_service(service_dispatch_t *service);

#endif
