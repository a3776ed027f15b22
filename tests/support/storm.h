#ifndef SUPPORT_STORM_H
#define SUPPORT_STORM_H

#include "fleet.h"

#define STORM_CALLERS 12
#define STORM_KEYS 4000
#define STORM_TRIES 4 /* of one order */
#define STORM_TIMEOUT_MS 2500 /* of one try */

/* One order of a caller, over all its tries. */
typedef struct storm_order {
	char key[128];
	unsigned int tries;
	bool answered; /* with a whole answer */
	bool said_no; /* the last answer said "run":"no" */
	bool in_doubt; /* some answer left it open */
	char answer[160]; /* the first whole one */
	bool differed; /* a later whole answer was another */
} storm_order_t;

typedef struct storm_caller {
	struct storm *storm;
	storm_order_t *order; /* under way, or NULL */
} storm_caller_t;

/*
 * Callers that send commits, and try each again at another VM until it is
 * answered, refused for good, or was tried STORM_TRIES times.
 */
typedef struct storm {
	fleet_t *fleet;
	const char *name; /* start of the keys */
	storm_caller_t callers[STORM_CALLERS];
	storm_order_t orders[STORM_KEYS];
	size_t order_count;
	size_t open;
	size_t answered; /* orders with a whole answer */
	size_t refused; /* answers that said no */
	size_t unknown; /* answers that said unknown, or none came */
	bool ended; /* starts nothing new */
} storm_t;

void start_storm(storm_t *storm, fleet_t *fleet, const char *name);

/* Waits until `count` more orders have a whole answer. */
bool wait_storm(storm_t *storm, size_t count);

/* Waits for `ms` by the clock while the storm goes on. */
void run_storm(storm_t *storm, uint32_t ms);

/* Ends the storm and waits for the open tries. */
bool end_storm(storm_t *storm);

/*
 * Checks the promises against the targets' journal. Returns 0, or the number
 * of broken ones, with the first in `what`.
 */
int judge_storm(const storm_t *storm, char *what, size_t size);

#endif
