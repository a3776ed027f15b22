#ifndef SUPPORT_ORDER_TRAFFIC_H
#define SUPPORT_ORDER_TRAFFIC_H

#include "fleet.h"

#define TRAFFIC_CALLERS 12
#define TRAFFIC_ORDERS_MAX 4000
#define TRAFFIC_ATTEMPTS_MAX 4 /* of one order */
#define TRAFFIC_TIMEOUT_MS 2500 /* of one try */

/* One order of a caller, over all its tries. */
typedef struct traffic_order {
	char key[128];
	unsigned int attempts;
	bool answered; /* with a whole answer */
	bool not_run_reported; /* the last answer said "run":"no" */
	bool unknown_reported; /* some answer left it open */
	char response[160]; /* the first whole one */
	bool responses_differ; /* a later whole answer was another */
} traffic_order_t;

typedef struct traffic_caller {
	struct order_traffic *traffic;
	traffic_order_t *order; /* under way, or NULL */
} traffic_caller_t;

/*
 * Callers that send commits, and try each again at another VM until it is
 * answered, refused for good, or was tried TRAFFIC_ATTEMPTS_MAX times.
 */
typedef struct order_traffic {
	fleet_t *fleet;
	const char *key_prefix; /* start of the keys */
	traffic_caller_t callers[TRAFFIC_CALLERS];
	traffic_order_t orders[TRAFFIC_ORDERS_MAX];
	size_t order_count;
	size_t pending;
	size_t answered; /* orders with a whole answer */
	size_t not_run_count; /* answers that said no */
	size_t unknown_count; /* answers that said unknown, or none came */
	bool stopped; /* starts nothing new */
} order_traffic_t;

void start_order_traffic(
    order_traffic_t *storm, fleet_t *fleet, const char *name);

/* Waits until `count` more orders have a whole answer. */
bool wait_for_responses(order_traffic_t *storm, size_t count);

/* Waits for `ms` by the clock while the storm goes on. */
void run_order_traffic(order_traffic_t *storm, uint32_t ms);

/* Ends the storm and waits for the open tries. */
bool stop_order_traffic(order_traffic_t *storm);

/*
 * Checks the promises against the targets' journal. Returns 0, or the number
 * of broken ones, with the first in `what`.
 */
int check_order_traffic(const order_traffic_t *storm, char *what, size_t size);

#endif
