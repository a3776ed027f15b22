#include <string.h>

#include "monsoonspindle/config/item.h"

/* Whether `path` begins with `prefix`, up to a '/', a '?' or its end. */
static bool
matches_path(const char *prefix, size_t len, const char *path)
{
	if (strncmp(prefix, path, len) != 0)
		return false;
	if (prefix[len - 1] == '/')
		return true;
	return strchr("/?", path[len]) != NULL;
}

/* Returns how well a route's method matches; 0: not at all. */
static int
rank_method(const char *route_method, const char *method)
{
	if (strcmp(route_method, method) == 0)
		return 3;
	if (strcmp(route_method, "GET") == 0 && strcmp(method, "HEAD") == 0)
		return 2;
	return strcmp(route_method, "*") == 0 ? 1 : 0;
}

const msp_service_route_t *
msp_match_service_route(
    const msp_service_t *service, const char *method, const char *path)
{
	const msp_service_route_t *best = NULL;
	size_t best_len = 0;
	int best_rank = 0;
	size_t i;

	for (i = 0; i < service->route_count; i++) {
		const msp_service_route_t *route = &service->routes[i];
		size_t len = strlen(route->prefix);
		int rank = rank_method(route->method, method);

		if (rank == 0 || len < best_len)
			continue;
		if (len == best_len && rank <= best_rank)
			continue;
		if (!matches_path(route->prefix, len, path))
			continue;
		best = route;
		best_len = len;
		best_rank = rank;
	}
	return best;
}
