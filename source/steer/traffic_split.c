#include "monsoonspindle/steer/traffic_split.h"

#include <stdlib.h>

#include "monsoonspindle/base/map.h"

#define PARTS_MAX 16 /* further services of a route get nothing */

/* What each service of a route is owed, in weights. */
typedef struct route_balance {
	int64_t owed[PARTS_MAX];
	uint32_t weights[PARTS_MAX]; /* that these were counted with */
} route_balance_t;

struct msp_traffic_split {
	msp_map_t *balances; /* by route name */
};

msp_traffic_split_t *
msp_new_traffic_split(void)
{
	msp_traffic_split_t *split = calloc(1, sizeof(*split));

	if (split == NULL)
		return NULL;
	split->balances = msp_new_map();
	if (split->balances != NULL)
		return split;
	free(split);
	return NULL;
}

void
msp_drop_traffic_split(msp_traffic_split_t *split)
{
	size_t cursor = 0;
	void *balance;

	if (split == NULL)
		return;
	while (msp_map_next(split->balances, &cursor, NULL, &balance))
		free(balance);
	msp_drop_map(split->balances);
	free(split);
}

static route_balance_t *
find_balance(msp_traffic_split_t *split, const char *route)
{
	route_balance_t *balance = msp_map_get(split->balances, route);

	if (balance != NULL)
		return balance;
	balance = calloc(1, sizeof(*balance));
	if (balance == NULL)
		return NULL;
	if (msp_map_put(split->balances, route, balance) == MSP_OK)
		return balance;
	free(balance);
	return NULL;
}

/* With other weights the count starts anew. */
static void
follow_weights(route_balance_t *balance, const msp_path_route_t *route)
{
	size_t i;
	bool same = true;

	for (i = 0; i < PARTS_MAX; i++) {
		uint32_t weight =
		    i < route->service_count ? route->services[i].weight : 0;

		same = same && balance->weights[i] == weight;
		balance->weights[i] = weight;
	}
	for (i = 0; i < PARTS_MAX && !same; i++)
		balance->owed[i] = 0;
}

const char *
msp_pick_service(msp_traffic_split_t *split, const msp_path_route_t *route)
{
	route_balance_t *balance;
	int64_t total = 0;
	size_t best = 0;
	size_t i;

	if (route->service_count == 1)
		return route->services[0].service;
	balance = find_balance(split, route->name);
	if (balance == NULL)
		return route->services[0].service;
	follow_weights(balance, route);
	for (i = 0; i < route->service_count && i < PARTS_MAX; i++) {
		total += balance->weights[i];
		balance->owed[i] += balance->weights[i];
		if (balance->owed[i] > balance->owed[best])
			best = i;
	}
	balance->owed[best] -= total;
	return route->services[best].service;
}
