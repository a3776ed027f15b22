#include "monsoonspindle/config/route_table.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "growing_array.h"

msp_route_table_t *
msp_new_route_table(uint64_t version)
{
	msp_route_table_t *table = calloc(1, sizeof(*table));

	if (table == NULL)
		return NULL;
	table->ref_count = 1;
	table->version = version;
	return table;
}

msp_route_table_t *
msp_keep_route_table(msp_route_table_t *table)
{
	table->ref_count++;
	return table;
}

void
msp_drop_route_table(msp_route_table_t *table)
{
	size_t i;

	if (table == NULL || --table->ref_count > 0)
		return;
	for (i = 0; i < table->route_count; i++) {
		free(table->routes[i].services);
		msp_clear_regions(&table->routes[i].homes);
	}
	free(table->routes);
	free(table->services);
	msp_drop_organisations(table->organisations);
	free(table);
}

msp_path_route_t *
msp_add_path_route(msp_route_table_t *table)
{
	return append_element((void **)&table->routes, &table->route_count,
	    sizeof(*table->routes));
}

msp_service_config_t *
msp_add_service_config(msp_route_table_t *table)
{
	return append_element((void **)&table->services, &table->service_count,
	    sizeof(*table->services));
}

msp_weighted_service_t *
msp_add_weighted_service(msp_path_route_t *route)
{
	return append_element((void **)&route->services, &route->service_count,
	    sizeof(*route->services));
}

static int
compare_routes(const void *a, const void *b)
{
	const msp_path_route_t *left = a;
	const msp_path_route_t *right = b;
	int order = strcmp(left->host, right->host);
	size_t left_len = strlen(left->prefix);
	size_t right_len = strlen(right->prefix);

	if (order != 0)
		return order;
	if (left_len != right_len)
		return left_len > right_len ? -1 : 1;
	return strcmp(left->prefix, right->prefix);
}

static int
compare_services(const void *a, const void *b)
{
	return strcmp(((const msp_service_config_t *)a)->name,
	    ((const msp_service_config_t *)b)->name);
}

msp_status_t
msp_check_path_route(
    const msp_route_table_t *table, const msp_path_route_t *route)
{
	size_t len = strlen(route->prefix);
	uint64_t total_weight = 0;
	size_t i;

	if (len == 0 || route->prefix[0] != '/' ||
	    route->prefix[len - 1] != '/')
		return msp_fail(MSP_E_INVALID_NOTE,
		    "route %s: the prefix must begin and end with a slash",
		    route->name);
	for (i = 0; i < route->service_count; i++) {
		total_weight += route->services[i].weight;
		if (msp_find_service_config(
			table, route->services[i].service) == NULL)
			return msp_fail(MSP_E_INVALID_NOTE,
			    "route %s: no service \"%s\"", route->name,
			    route->services[i].service);
	}
	if (total_weight == 0)
		return msp_fail(MSP_E_INVALID_NOTE,
		    "route %s: all weights are 0", route->name);
	return MSP_OK;
}

static void
sort_array(void *array, size_t count, size_t size,
    int (*compare)(const void *, const void *))
{
	if (count > 1)
		qsort(array, count, size, compare);
}

msp_status_t
msp_finish_route_table(msp_route_table_t *table)
{
	msp_status_t status = MSP_OK;
	size_t i;

	if (table->organisations != NULL)
		status = msp_finish_organisations(table->organisations);
	sort_array(table->services, table->service_count,
	    sizeof(*table->services), compare_services);
	sort_array(table->routes, table->route_count, sizeof(*table->routes),
	    compare_routes);
	for (i = 0; i < table->route_count && status == MSP_OK; i++) {
		status = msp_check_path_route(table, &table->routes[i]);
		if (status == MSP_OK && i > 0 &&
		    compare_routes(&table->routes[i - 1], &table->routes[i]) ==
			0)
			status = msp_fail(MSP_E_INVALID_NOTE,
			    "routes %s and %s have the same prefix",
			    table->routes[i - 1].name, table->routes[i].name);
	}
	return status;
}

/* Compares a Host header, without its port, with a route's host. */
static bool
is_same_host(const char *header, const char *host)
{
	while (*host != '\0' && tolower((unsigned char)*header) == *host) {
		header++;
		host++;
	}
	return *host == '\0' && (*header == '\0' || *header == ':');
}

const msp_path_route_t *
msp_match_path_route(
    const msp_route_table_t *table, const char *host, const char *path)
{
	size_t path_len = strcspn(path, "?");
	size_t i;

	for (i = 0; i < table->route_count; i++) {
		const msp_path_route_t *route = &table->routes[i];
		size_t len = strlen(route->prefix);

		if (len <= path_len && memcmp(path, route->prefix, len) == 0 &&
		    is_same_host(host, route->host))
			return route;
	}
	return NULL;
}

const msp_service_config_t *
msp_find_service_config(const msp_route_table_t *table, const char *name)
{
	size_t i;

	for (i = 0; i < table->service_count; i++) {
		if (strcmp(table->services[i].name, name) == 0)
			return &table->services[i];
	}
	return NULL;
}
