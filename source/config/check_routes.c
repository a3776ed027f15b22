#include "monsoonspindle/config/check_routes.h"

#include <stdio.h>
#include <string.h>

#include "finding.h"

static void
check_homes(finding_writer_t *writer, const msp_region_list_t *homes,
    const msp_check_options_t *options)
{
	size_t i;
	size_t j;

	for (i = 0; i < homes->count && options->region_count > 0; i++) {
		for (j = 0; j < options->region_count; j++) {
			if (strcmp(homes->names[i].name, options->regions[j]) ==
			    0)
				break;
		}
		if (j == options->region_count)
			report_finding(writer, MSP_FINDING_WARNING,
			    "no data centre is in its home region %s",
			    homes->names[i].name);
	}
}

static void
check_weights(finding_writer_t *writer, const msp_path_route_t *route)
{
	size_t i;

	for (i = 0; i < route->service_count; i++) {
		if (route->services[i].weight == 0)
			report_finding(writer, MSP_FINDING_WARNING,
			    "service %s has the weight 0 and gets nothing",
			    route->services[i].service);
	}
}

static void
check_times(finding_writer_t *writer, const msp_path_route_t *route)
{
	if (route->timeout_ms != 0 && route->goal_ms > route->timeout_ms)
		report_finding(writer, MSP_FINDING_WARNING,
		    "its latency objective of %u ms is above its timeout of "
		    "%u ms",
		    route->goal_ms, route->timeout_ms);
	if (!route->idempotent && route->max_attempts > 1)
		report_finding(writer, MSP_FINDING_NOTE,
		    "may run once only: of %u attempts all but one must have "
		    "been refused",
		    route->max_attempts);
}

const msp_path_route_t *
find_same_route(const msp_route_table_t *table, const msp_path_route_t *route)
{
	size_t i;

	for (i = 0; i < table->route_count; i++) {
		if (strcmp(table->routes[i].host, route->host) == 0 &&
		    strcmp(table->routes[i].prefix, route->prefix) == 0)
			return &table->routes[i];
	}
	return NULL;
}

static void
check_one_route(const msp_route_table_t *table, size_t index,
    const msp_check_options_t *options, const msp_finding_callback_t *callback)
{
	const msp_path_route_t *route = &table->routes[index];
	const msp_path_route_t *same = find_same_route(table, route);
	finding_writer_t writer = {.callback = callback};

	set_finding_place(&writer, "route %s", route->name);
	if (msp_check_path_route(table, route) != MSP_OK)
		report_finding(
		    &writer, MSP_FINDING_ERROR, "%s", msp_last_message());
	if (same != route)
		report_finding(&writer, MSP_FINDING_ERROR,
		    "never matches: route %s has its host and prefix, %s%s",
		    same->name, route->host, route->prefix);
	check_weights(&writer, route);
	check_times(&writer, route);
	check_homes(&writer, &route->homes, options);
}

/* Whether a route sends requests to the service. */
static bool
is_used(const msp_route_table_t *table, const char *service)
{
	size_t i;
	size_t j;

	for (i = 0; i < table->route_count; i++) {
		const msp_path_route_t *route = &table->routes[i];

		for (j = 0; j < route->service_count; j++) {
			if (strcmp(route->services[j].service, service) == 0)
				return true;
		}
	}
	return false;
}

static void
check_services(
    const msp_route_table_t *table, const msp_finding_callback_t *callback)
{
	finding_writer_t writer = {.callback = callback};
	size_t i;

	for (i = 0; i < table->service_count; i++) {
		set_finding_place(
		    &writer, "service %s", table->services[i].name);
		if (!is_used(table, table->services[i].name))
			report_finding(&writer, MSP_FINDING_WARNING,
			    "no route sends requests to it");
	}
}

static void
check_limit(
    finding_writer_t *writer, const msp_rate_limit_t *limit, unsigned int vms)
{
	if (limit->per_second <= 0 && limit->burst > 0)
		report_finding(writer, MSP_FINDING_WARNING,
		    "its burst of %.3g has no effect without a rate",
		    limit->burst);
	if (limit->per_second > 0 && limit->burst < limit->per_second)
		report_finding(writer, MSP_FINDING_WARNING,
		    "its burst of %.3g is less than a second of its rate of "
		    "%.3g: callers that come together are refused below it",
		    limit->burst, limit->per_second);
	if (limit->per_second > 0 && limit->per_second < vms)
		report_finding(writer, MSP_FINDING_NOTE,
		    "its rate of %.3g a second is below the number of VMs, %u",
		    limit->per_second, vms);
}

static bool
have_common_region(const msp_region_list_t *a, const msp_region_list_t *b)
{
	const msp_homes_t homes = {.route = a, .organisation = b};
	size_t i;

	if (a->count == 0 || b->count == 0)
		return true;
	for (i = 0; i < a->count; i++) {
		if (msp_homes_allow(&homes, a->names[i].name))
			return true;
	}
	return false;
}

static void
check_common_homes(finding_writer_t *writer, const msp_route_table_t *table,
    const msp_organisation_t *organisation)
{
	size_t i;

	for (i = 0; i < table->route_count; i++) {
		const msp_path_route_t *route = &table->routes[i];

		if (!have_common_region(&route->homes, &organisation->homes))
			report_finding(writer, MSP_FINDING_WARNING,
			    "is refused on route %s: their home regions have "
			    "none in common",
			    route->name);
	}
}

/* State of the check of organisations. */
typedef struct organisation_check {
	const msp_route_table_t *table;
	const msp_check_options_t *options;
	finding_writer_t writer;
} organisation_check_t;

static void
check_organisation(
    void *ctx, const msp_organisation_t *organisation, size_t key_count)
{
	organisation_check_t *check = ctx;

	set_finding_place(
	    &check->writer, "organisation %s", organisation->name);
	if (key_count == 0)
		report_finding(&check->writer, MSP_FINDING_WARNING,
		    "has no key, so that nobody is served in its name");
	check_limit(&check->writer, &organisation->limit, check->options->vms);
	check_homes(&check->writer, &organisation->homes, check->options);
	check_common_homes(&check->writer, check->table, organisation);
}

static void
check_organisations(const msp_route_table_t *table,
    const msp_check_options_t *options, const msp_finding_callback_t *callback)
{
	organisation_check_t check = {.table = table,
	    .options = options,
	    .writer = {.callback = callback}};
	finding_writer_t writer = {.callback = callback};

	if (table->organisations == NULL)
		return;
	msp_visit_organisations(
	    table->organisations, check_organisation, &check);
	set_finding_place(&writer, "organisations");
	if (msp_count_organisations(table->organisations) == 0)
		report_finding(&writer, MSP_FINDING_WARNING,
		    "the list is empty: only public routes are served");
}

void
msp_check_route_table(const msp_route_table_t *table,
    const msp_check_options_t *options, const msp_finding_callback_t *callback)
{
	size_t i;

	for (i = 0; i < table->route_count; i++)
		check_one_route(table, i, options, callback);
	check_services(table, callback);
	check_organisations(table, options, callback);
}

const char *
msp_finding_level_name(msp_finding_level_t level)
{
	static const char *const names[] = {
	    [MSP_FINDING_NOTE] = "note",
	    [MSP_FINDING_WARNING] = "warning",
	    [MSP_FINDING_ERROR] = "error",
	};

	return names[level];
}
