#include "monsoonspindle/steer/traffic_split.h"

#include <stdlib.h>

#include "monsoonspindle/base/map.h"

#define SERVICES_MAX 16 /* further services of a route get no requests */

/* State of the weighted round robin of one route. */
typedef struct route_credits {
	int64_t credit[SERVICES_MAX];
	uint32_t weights[SERVICES_MAX]; /* in use for the credits */
} route_credits_t;

struct msp_traffic_split {
	msp_map_t *routes; /* route_credits_t by route name */
};

msp_traffic_split_t *
msp_new_traffic_split(void)
{
	msp_traffic_split_t *split = calloc(1, sizeof(*split));

	if (split == NULL)
		return NULL;
	split->routes = msp_new_map();
	if (split->routes != NULL)
		return split;
	free(split);
	return NULL;
}

void
msp_drop_traffic_split(msp_traffic_split_t *split)
{
	if (split == NULL)
		return;
	msp_drop_map_and_values(split->routes);
	free(split);
}

static route_credits_t *
find_credits(msp_traffic_split_t *split, const char *route)
{
	return msp_map_get_or_add(
	    split->routes, route, sizeof(route_credits_t));
}

/* Resets the credits if the weights have changed. */
static void
update_weights(route_credits_t *credits, const msp_path_route_t *route)
{
	size_t i;
	bool same = true;

	for (i = 0; i < SERVICES_MAX; i++) {
		uint32_t weight =
		    i < route->service_count ? route->services[i].weight : 0;

		same = same && credits->weights[i] == weight;
		credits->weights[i] = weight;
	}
	for (i = 0; i < SERVICES_MAX && !same; i++)
		credits->credit[i] = 0;
}

const char *
msp_pick_service(msp_traffic_split_t *split, const msp_path_route_t *route)
{
	route_credits_t *credits;
	int64_t total = 0;
	size_t best = 0;
	size_t i;

	if (route->service_count == 1)
		return route->services[0].service;
	credits = find_credits(split, route->name);
	if (credits == NULL)
		return route->services[0].service;
	update_weights(credits, route);
	for (i = 0; i < route->service_count && i < SERVICES_MAX; i++) {
		total += credits->weights[i];
		credits->credit[i] += credits->weights[i];
		if (credits->credit[i] > credits->credit[best])
			best = i;
	}
	credits->credit[best] -= total;
	return route->services[best].service;
}
