#include <inttypes.h>

#include "edge_request.h"
#include "members.h"

/* Within this time other VMs' newer routes normally arrive here too. */
#define OUTDATED_TOLERANCE MSP_SECOND
#define LATE_TOLERANCE (300 * MSP_MS) /* after it they are asked for */

uint64_t
get_newest_routes_version(const edge_t *edge)
{
	const msp_membership_t *list = get_membership(edge->daemon->members);
	uint64_t newest = get_routes_version(edge);
	size_t i;

	for (i = 0; i < msp_member_count(list); i++) {
		const msp_member_t *member = msp_member_at(list, i);

		if (member->state == MSP_MEMBER_ALIVE &&
		    member->release > newest)
			newest = member->release;
	}
	return newest;
}

void
update_request_terms(edge_request_t *request)
{
	const edge_t *edge = request->edge;
	const msp_request_t *message = msp_exchange_request(request->exchange);
	const msp_path_route_t *route;

	if (edge->routes->version == request->terms_version)
		return;
	request->terms_version = edge->routes->version;
	route =
	    msp_match_path_route(edge->routes, message->host, message->path);
	update_organisation(
	    request, route == NULL ? request->criteria.route : route);
	if (route == NULL)
		return;
	msp_drop_route_table(request->home_routes);
	request->home_routes = msp_keep_route_table(edge->routes);
	request->criteria.homes.route = &route->homes;
}

/*
 * Whether other VMs have had newer routes for some time, so that the home
 * regions of the own ones may have changed.
 */
static bool
has_outdated_routes(const edge_t *edge)
{
	return msp_version_is_outdated(
	    &edge->routes_lag, msp_now(&edge->daemon->env), OUTDATED_TOLERANCE);
}

bool
are_routes_late(const edge_t *edge)
{
	return msp_version_is_outdated(
	    &edge->routes_lag, msp_now(&edge->daemon->env), LATE_TOLERANCE);
}

void
update_routes_lag(edge_t *edge)
{
	bool outdated;

	msp_update_version_lag(&edge->routes_lag, msp_now(&edge->daemon->env),
	    get_routes_version(edge), get_newest_routes_version(edge));
	outdated = has_outdated_routes(edge);
	if (outdated == edge->routes_outdated)
		return;
	edge->routes_outdated = outdated;
	log_info("event=routes state=%s version=%" PRIu64 " newest=%" PRIu64,
	    outdated ? "outdated" : "up-to-date", get_routes_version(edge),
	    edge->routes_lag.newest);
}

bool
are_terms_known(const edge_request_t *request)
{
	const edge_t *edge = request->edge;

	if (!msp_has_homes(&request->criteria.homes) &&
	    request->criteria.organisation == NULL)
		return true;
	if (request->is_forwarded &&
	    request->terms.routes_version > get_routes_version(edge))
		return false;
	return !has_outdated_routes(edge);
}
