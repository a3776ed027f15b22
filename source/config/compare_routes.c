#include <inttypes.h>
#include <string.h>

#include "finding.h"
#include "monsoonspindle/base/hash.h"

/* Compares two configurations, for operators. */

static double
compute_share(const msp_path_route_t *route, const char *service)
{
	double total = 0;
	double own = 0;
	size_t i;

	for (i = 0; i < route->service_count; i++) {
		total += route->services[i].weight;
		if (strcmp(route->services[i].service, service) == 0)
			own += route->services[i].weight;
	}
	return total > 0 ? own / total : 0;
}

/* Reports services that get another share of the route's requests. */
static void
compare_shares(finding_writer_t *writer, const msp_path_route_t *before,
    const msp_path_route_t *after)
{
	size_t i;

	for (i = 0; i < after->service_count; i++) {
		const char *service = after->services[i].service;
		double old_share = compute_share(before, service);
		double new_share = compute_share(after, service);

		if (old_share != new_share && new_share > 0)
			report_finding(writer, MSP_FINDING_NOTE,
			    "service %s gets %.0f%% of its requests, %.0f%% "
			    "before",
			    service, 100 * new_share, 100 * old_share);
	}
	for (i = 0; i < before->service_count; i++) {
		const char *service = before->services[i].service;

		if (compute_share(before, service) > 0 &&
		    compute_share(after, service) == 0)
			report_finding(writer, MSP_FINDING_NOTE,
			    "service %s gets none of its requests any more",
			    service);
	}
}

static void
compare_number(
    finding_writer_t *writer, const char *name, uint32_t before, uint32_t after)
{
	if (before != after)
		report_finding(writer, MSP_FINDING_NOTE, "%s: %u, %u before",
		    name, after, before);
}

static void
compare_rate(
    finding_writer_t *writer, const char *name, double before, double after)
{
	if (before != after)
		report_finding(writer, MSP_FINDING_NOTE,
		    "%s: %.3g, %.3g before", name, after, before);
}

static void
compare_text(finding_writer_t *writer, const char *name, const char *before,
    const char *after)
{
	if (strcmp(before, after) != 0)
		report_finding(writer, MSP_FINDING_NOTE,
		    "%s: \"%s\", \"%s\" before", name, after, before);
}

static void
compare_flag(
    finding_writer_t *writer, const char *name, bool before, bool after)
{
	if (before != after)
		report_finding(writer, MSP_FINDING_NOTE, "%s: %s, %s before",
		    name, after ? "yes" : "no", before ? "yes" : "no");
}

static void
compare_homes(finding_writer_t *writer, const msp_region_list_t *before,
    const msp_region_list_t *after)
{
	size_t i;

	for (i = 0; i < after->count; i++) {
		if (!msp_lists_region(before, after->names[i].name))
			report_finding(writer, MSP_FINDING_NOTE,
			    "home region %s is added%s", after->names[i].name,
			    before->count == 0
				? "; any region could serve it before"
				: "");
	}
	for (i = 0; i < before->count; i++) {
		if (!msp_lists_region(after, before->names[i].name))
			report_finding(writer, MSP_FINDING_NOTE,
			    "home region %s is removed%s",
			    before->names[i].name,
			    after->count == 0 ? "; any region may serve it now"
					      : "");
	}
}

static void
compare_route(finding_writer_t *writer, const msp_path_route_t *before,
    const msp_path_route_t *after)
{
	compare_shares(writer, before, after);
	compare_number(
	    writer, "timeout, ms", before->timeout_ms, after->timeout_ms);
	compare_number(
	    writer, "latency objective, ms", before->goal_ms, after->goal_ms);
	compare_number(writer, "priority", before->priority, after->priority);
	compare_number(
	    writer, "attempts", before->max_attempts, after->max_attempts);
	compare_flag(
	    writer, "idempotent", before->idempotent, after->idempotent);
	compare_flag(writer, "public", before->is_public, after->is_public);
	compare_flag(writer, "sticky", before->sticky, after->sticky);
	compare_homes(writer, &before->homes, &after->homes);
}

static void
compare_all_routes(const msp_route_table_t *before,
    const msp_route_table_t *after, finding_writer_t *writer)
{
	const msp_path_route_t *other;
	size_t i;

	for (i = 0; i < after->route_count; i++) {
		const msp_path_route_t *route = &after->routes[i];

		set_finding_place(writer, "route %s", route->name);
		other = find_same_route(before, route);
		if (other == NULL)
			report_finding(writer, MSP_FINDING_NOTE,
			    "is added for %s%s", route->host, route->prefix);
		else
			compare_route(writer, other, route);
	}
	for (i = 0; i < before->route_count; i++) {
		const msp_path_route_t *route = &before->routes[i];

		set_finding_place(writer, "route %s", route->name);
		if (find_same_route(after, route) == NULL)
			report_finding(writer, MSP_FINDING_NOTE,
			    "is removed: requests for %s%s fall to a shorter "
			    "prefix, or get 404",
			    route->host, route->prefix);
	}
}

static void
compare_service(finding_writer_t *writer, const msp_service_config_t *before,
    const msp_service_config_t *after)
{
	compare_text(
	    writer, "health path", before->health_path, after->health_path);
	compare_number(writer, "connections to a target",
	    before->max_connections, after->max_connections);
	compare_rate(writer, "requests a second of a cold target",
	    before->cold_requests_per_s, after->cold_requests_per_s);
	compare_number(
	    writer, "time until warm, ms", before->cold_ms, after->cold_ms);
}

static void
compare_all_services(const msp_route_table_t *before,
    const msp_route_table_t *after, finding_writer_t *writer)
{
	const msp_service_config_t *other;
	size_t i;

	for (i = 0; i < after->service_count; i++) {
		const msp_service_config_t *service = &after->services[i];

		other = msp_find_service_config(before, service->name);
		set_finding_place(writer, "service %s", service->name);
		if (other == NULL)
			report_finding(writer, MSP_FINDING_NOTE, "is added");
		else
			compare_service(writer, other, service);
	}
	for (i = 0; i < before->service_count; i++) {
		const char *name = before->services[i].name;

		set_finding_place(writer, "service %s", name);
		if (msp_find_service_config(after, name) == NULL)
			report_finding(writer, MSP_FINDING_NOTE, "is removed");
	}
}

/* State of the comparison of organisations. */
typedef struct organisation_comparison {
	const msp_organisations_t *other; /* NULL: none */
	finding_writer_t *writer;
	bool is_after; /* the visited set is the newer one */
} organisation_comparison_t;

static void
compare_limits(finding_writer_t *writer, const msp_rate_limit_t *before,
    const msp_rate_limit_t *after)
{
	if (before->per_second != after->per_second)
		report_finding(writer, MSP_FINDING_NOTE,
		    "its rate is %s: %.3g a second, %.3g before (0: none)",
		    after->per_second <= 0 ||
			    (before->per_second > 0 &&
				after->per_second > before->per_second)
			? "raised"
			: "lowered",
		    after->per_second, before->per_second);
	compare_rate(writer, "its burst", before->burst, after->burst);
}

static void
compare_organisation(
    void *ctx, const msp_organisation_t *organisation, size_t key_count)
{
	organisation_comparison_t *comparison = ctx;
	finding_writer_t *writer = comparison->writer;
	const msp_organisation_t *other = comparison->other == NULL
	    ? NULL
	    : msp_find_organisation(comparison->other, organisation->name);

	(void)key_count;
	set_finding_place(writer, "organisation %s", organisation->name);
	if (other == NULL) {
		report_finding(writer, MSP_FINDING_NOTE, "is %s",
		    comparison->is_after ? "added" : "removed");
		return;
	}
	if (!comparison->is_after)
		return;
	compare_limits(writer, &other->limit, &organisation->limit);
	compare_flag(writer, "priority of its own", other->has_priority,
	    organisation->has_priority);
	compare_number(
	    writer, "priority", other->priority, organisation->priority);
	compare_homes(writer, &other->homes, &organisation->homes);
}

static void
compare_key(void *ctx, const msp_organisation_t *organisation, const char *key,
    size_t len)
{
	organisation_comparison_t *comparison = ctx;
	const msp_organisation_t *holder = comparison->other == NULL
	    ? NULL
	    : msp_find_key_holder(comparison->other, key, len);
	uint32_t hash = (uint32_t)msp_hash(key, len, 0);

	if (holder != NULL && strcmp(holder->name, organisation->name) == 0)
		return;
	set_finding_place(
	    comparison->writer, "organisation %s", organisation->name);
	report_finding(comparison->writer, MSP_FINDING_NOTE,
	    comparison->is_after ? "key %08" PRIx32 " is added"
				 : "key %08" PRIx32
				   " is taken away: its requests get 401",
	    hash);
}

static void
compare_all_organisations(const msp_organisations_t *before,
    const msp_organisations_t *after, finding_writer_t *writer)
{
	organisation_comparison_t comparison = {
	    .other = before, .writer = writer, .is_after = true};

	if (after != NULL) {
		msp_visit_organisations(
		    after, compare_organisation, &comparison);
		msp_visit_api_keys(after, compare_key, &comparison);
	}
	comparison.other = after;
	comparison.is_after = false;
	if (before != NULL) {
		msp_visit_organisations(
		    before, compare_organisation, &comparison);
		msp_visit_api_keys(before, compare_key, &comparison);
	}
	set_finding_place(writer, "organisations");
	if (before == NULL && after != NULL)
		report_finding(writer, MSP_FINDING_NOTE,
		    "requests need keys from now on, but on public routes");
	if (before != NULL && after == NULL)
		report_finding(
		    writer, MSP_FINDING_NOTE, "requests need no keys any more");
}

void
msp_compare_route_tables(const msp_route_table_t *before,
    const msp_route_table_t *after, const msp_finding_callback_t *callback)
{
	finding_writer_t writer = {.callback = callback};

	set_finding_place(&writer, "version");
	if (after->version <= before->version)
		report_finding(&writer, MSP_FINDING_WARNING,
		    "%" PRIu64 " is not above %" PRIu64
		    ": it will not come in force",
		    after->version, before->version);
	compare_all_routes(before, after, &writer);
	compare_all_services(before, after, &writer);
	compare_all_organisations(
	    before->organisations, after->organisations, &writer);
}
