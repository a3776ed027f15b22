#include "edge_request.h"

#define HTTP_BAD_REQUEST 400
#define HTTP_UNAUTHORIZED 401

const char *
get_organisation_name(const edge_request_t *request)
{
	const msp_organisation_t *organisation = request->criteria.organisation;

	return organisation == NULL ? NULL : organisation->name;
}

static void
set_organisation(
    edge_request_t *request, const msp_organisation_t *organisation)
{
	request->criteria.organisation = organisation;
	request->criteria.homes.organisation =
	    organisation == NULL ? NULL : &organisation->homes;
}

/* The organisation that the request names, by the given routes; or NULL. */
static const msp_organisation_t *
look_up(const edge_request_t *request, const msp_route_table_t *routes)
{
	const caller_fields_t *caller = &request->caller;

	if (routes->organisations == NULL)
		return NULL;
	if (request->is_forwarded)
		return msp_find_organisation(
		    routes->organisations, request->terms.organisation);
	if (caller->key_field != KEY_FIELD_VALID)
		return NULL;
	return msp_find_key_holder(
	    routes->organisations, caller->key, caller->key_len);
}

static void
count_key(edge_t *edge, const char *result)
{
	msp_add_to_counter(
	    edge->daemon->counters, 1, "msp_keys_total{result=\"%s\"}", result);
}

static void
reject(edge_request_t *request, int http_status, const char *outcome)
{
	msp_response_t response = {0};

	encode_local_reply(
	    &response, http_status, request->caller.id, 0, outcome);
	if (http_status == HTTP_UNAUTHORIZED)
		add_key_challenge(&response);
	count_key(request->edge, outcome);
	answer_request(request, &response, outcome);
}

/* Ends a request without a key that is known here. */
static void
reject_key(edge_request_t *request)
{
	const edge_t *edge = request->edge;

	if (request->caller.key_field == KEY_FIELD_REPEATED) {
		reject(request, HTTP_BAD_REQUEST, "key-repeated");
	} else if (request->caller.key_field == KEY_FIELD_MISSING) {
		reject(request, HTTP_UNAUTHORIZED, "key-missing");
	} else if (request->caller.key_field == KEY_FIELD_MALFORMED) {
		reject(request, HTTP_UNAUTHORIZED, "key-malformed");
	} else if (get_newest_routes_version(edge) > get_routes_version(edge)) {
		/* The key may have been added since. */
		count_key(request->edge, "routes-outdated");
		refuse_request(request, NOT_READY_RETRY_MS, "routes-outdated");
	} else {
		reject(request, HTTP_UNAUTHORIZED, "key-unknown");
	}
}

bool
find_organisation(edge_request_t *request)
{
	const msp_organisation_t *organisation;

	request->has_organisations = request->routes->organisations != NULL;
	if (!request->has_organisations)
		return true;
	organisation = look_up(request, request->routes);
	set_organisation(request, organisation);
	if (organisation != NULL || request->criteria.route->is_public) {
		count_key(
		    request->edge, organisation == NULL ? "public" : "known");
		return true;
	}
	if (request->is_forwarded)
		refuse_request(
		    request, NOT_READY_RETRY_MS, "unknown-organisation");
	else
		reject_key(request);
	return false;
}

/*
 * A request that was accepted without an organisation remains so while
 * organisations are in force: no limit has admitted it. One from before there
 * were any counts for no limit either.
 */
void
update_organisation(edge_request_t *request, const msp_path_route_t *route)
{
	msp_route_table_t *routes = request->edge->routes;
	const msp_organisation_t *organisation;

	if (routes->organisations == NULL)
		return;
	organisation =
	    request->has_organisations && request->criteria.organisation == NULL
	    ? NULL
	    : look_up(request, routes);
	request->has_organisations = true;
	if (organisation == NULL && !route->is_public) {
		request->is_revoked = true;
		return;
	}
	set_organisation(request, organisation);
	msp_drop_route_table(request->organisation_routes);
	request->organisation_routes = msp_keep_route_table(routes);
}

void
end_revoked_request(edge_request_t *request)
{
	if (request->may_have_run)
		fail_request(request, "key-revoked");
	else if (request->is_forwarded)
		refuse_request(
		    request, NOT_READY_RETRY_MS, "unknown-organisation");
	else
		reject(request, HTTP_UNAUTHORIZED, "key-revoked");
}
