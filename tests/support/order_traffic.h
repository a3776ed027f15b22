#ifndef SUPPORT_ORDER_TRAFFIC_H
#define SUPPORT_ORDER_TRAFFIC_H

#include "fleet.h"

#define TRAFFIC_CALLERS 12
#define TRAFFIC_ORDERS_MAX 4000
#define TRAFFIC_ATTEMPTS_MAX 4 /* of one order */
#define TRAFFIC_TIMEOUT_MS 2500 /* of one attempt */

/* One order, a request that is not idempotent, with all its attempts. */
typedef struct traffic_order {
	char key[128];
	unsigned int attempts;
	bool answered; /* got a complete response */
	bool not_run_reported; /* the last response said "run":"no" */
	bool unknown_reported; /* by a response, or an attempt got none */
	char response[160]; /* body of the first complete response */
	bool responses_differ; /* a later complete response had another body */
} traffic_order_t;

typedef struct traffic_caller {
	struct order_traffic *traffic;
	traffic_order_t *order; /* in progress, or NULL */
} traffic_caller_t;

/*
 * Callers that send orders to a fleet. Each order is sent to a random VM, and
 * again until it has a complete response or was sent TRAFFIC_ATTEMPTS_MAX
 * times.
 */
typedef struct order_traffic {
	fleet_t *fleet;
	const char *key_prefix; /* of the idempotency keys; not copied */
	traffic_caller_t callers[TRAFFIC_CALLERS];
	traffic_order_t orders[TRAFFIC_ORDERS_MAX];
	size_t order_count;
	size_t pending; /* attempts without a response */
	size_t answered; /* orders with a complete response */
	size_t not_run_count; /* responses that said "run":"no" */
	size_t unknown_count; /* attempts that ended otherwise */
	bool stopped; /* sends nothing more */
} order_traffic_t;

void start_order_traffic(
    order_traffic_t *traffic, fleet_t *fleet, const char *key_prefix);

/* Waits until `count` more orders have a complete response. */
bool wait_for_responses(order_traffic_t *traffic, size_t count);

/* Runs the event loop for `ms` while callers send orders. */
void run_order_traffic(order_traffic_t *traffic, uint32_t ms);

/* Sends nothing more, and waits for the pending attempts. */
bool stop_order_traffic(order_traffic_t *traffic);

/*
 * Checks the responses against the runs in the targets' journal. Returns the
 * number of violations, and describes the first in `violation`.
 */
int check_order_traffic(
    const order_traffic_t *traffic, char *violation, size_t size);

#endif
