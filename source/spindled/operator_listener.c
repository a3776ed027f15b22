#include "operator_listener.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include "claimed_requests.h"
#include "daemon.h"
#include "dispatchers.h"
#include "caller_request.h"
#include "gossip.h"
#include "log.h"
#include "members.h"
#include "places.h"
#include "problem.h"
#include "releases.h"

typedef void serve_t(daemon_t *daemon, msp_exchange_t *exchange);

/* A method and path of the operators' API. */
typedef struct operator_route {
	const char *method;
	const char *path;
	bool is_public; /* needs no token */
	serve_t *serve;
} operator_route_t;

static void
serve_health(daemon_t *daemon, msp_exchange_t *exchange)
{
	(void)daemon;
	answer_json(exchange, 200, "{\"healthy\":true}\n");
}

static void
serve_ready(daemon_t *daemon, msp_exchange_t *exchange)
{
	if (!is_daemon_ready(daemon)) {
		msp_fail(
		    MSP_E_NOT_READY, "this VM has not loaded a release yet");
		answer_error(exchange, MSP_E_NOT_READY);
		return;
	}
	if (daemon->leaving) {
		msp_fail(MSP_E_LEAVING, "this VM is leaving");
		answer_error(exchange, MSP_E_LEAVING);
		return;
	}
	answer_json(exchange, 200, "{\"ready\":true}\n");
}

static void
update_gauges(daemon_t *daemon)
{
	msp_counters_t *counters = daemon->counters;

	update_gossip_metrics(daemon->gossip);
	*msp_get_counter(counters, "msp_release_version") =
	    get_daemon_release(daemon)->version;
	*msp_get_counter(counters, "msp_requests_in_hand") =
	    count_caller_requests(daemon->caller_requests);
	*msp_get_counter(counters, "msp_requests_dispatched") =
	    count_dispatched_requests(daemon->dispatchers);
	*msp_get_counter(counters, "msp_commits_open") =
	    count_claimed_requests(daemon->claimed_requests);
}

static void
serve_metrics(daemon_t *daemon, msp_exchange_t *exchange)
{
	msp_response_t response = {.status = 200};

	update_gauges(daemon);
	msp_add_header(&response.headers, "Content-Type",
	    "text/plain; version=0.0.4; charset=utf-8");
	msp_print_counters(daemon->counters, &response.body);
	msp_send_exchange_response(exchange, &response);
}

static json_object *
describe_member(const msp_member_t *member)
{
	json_object *doc = json_object_new_object();

	json_object_object_add(doc, "vm", json_object_new_string(member->name));
	json_object_object_add(
	    doc, "region", json_object_new_string(member->region));
	json_object_object_add(
	    doc, "place", json_object_new_string(member->place));
	json_object_object_add(
	    doc, "address", json_object_new_string(member->address));
	json_object_object_add(
	    doc, "caller_port", json_object_new_int(member->caller_port));
	json_object_object_add(
	    doc, "peer_port", json_object_new_int(member->peer_port));
	json_object_object_add(doc, "state",
	    json_object_new_string(msp_member_state_name(member->state)));
	json_object_object_add(
	    doc, "incarnation", json_object_new_uint64(member->incarnation));
	json_object_object_add(
	    doc, "version", json_object_new_uint64(member->release));
	return doc;
}

static json_object *
describe_members(const daemon_t *daemon, bool with_dead)
{
	const msp_membership_t *list = get_membership(daemon->members);
	json_object *members = json_object_new_array();
	size_t i;

	for (i = 0; i < msp_member_count(list); i++) {
		const msp_member_t *member = msp_member_at(list, i);

		if (with_dead || member->state != MSP_MEMBER_DEAD)
			json_object_array_add(members, describe_member(member));
	}
	return members;
}

static void
answer_document(msp_exchange_t *exchange, json_object *doc)
{
	answer_json(exchange, 200,
	    json_object_to_json_string_ext(doc, JSON_C_TO_STRING_PLAIN));
	json_object_put(doc);
}

static void
serve_members(daemon_t *daemon, msp_exchange_t *exchange)
{
	answer_document(exchange, describe_members(daemon, true));
}

static void
serve_places(daemon_t *daemon, msp_exchange_t *exchange)
{
	answer_document(exchange, describe_places(daemon->places));
}

static const char *
get_state_name(const daemon_t *daemon)
{
	if (daemon->leaving)
		return "leaving";
	return is_daemon_ready(daemon) ? "ready" : "not-ready";
}

static void
serve_status(daemon_t *daemon, msp_exchange_t *exchange)
{
	const msp_release_t *release = get_daemon_release(daemon);
	json_object *doc = json_object_new_object();
	char digest[MSP_DIGEST_TEXT_SIZE];

	msp_print_digest(release->digest, digest);
	json_object_object_add(
	    doc, "vm", json_object_new_string(daemon->settings->vm));
	json_object_object_add(
	    doc, "place", json_object_new_string(daemon->settings->place));
	json_object_object_add(
	    doc, "region", json_object_new_string(daemon->settings->region));
	json_object_object_add(
	    doc, "version", json_object_new_uint64(release->version));
	json_object_object_add(doc, "digest", json_object_new_string(digest));
	json_object_object_add(
	    doc, "note", json_object_new_string(release->note_id));
	json_object_object_add(
	    doc, "state", json_object_new_string(get_state_name(daemon)));
	json_object_object_add(doc, "vms", describe_members(daemon, false));
	json_object_object_add(doc, "places", describe_places(daemon->places));
	answer_document(exchange, doc);
}

static void
serve_leave(daemon_t *daemon, msp_exchange_t *exchange)
{
	answer_json(exchange, 202, "{\"state\":\"leaving\"}\n");
	start_leaving(daemon);
}

static void
serve_post_release(daemon_t *daemon, msp_exchange_t *exchange)
{
	serve_release_submission(daemon->releases, exchange);
}

static void
serve_history(daemon_t *daemon, msp_exchange_t *exchange)
{
	serve_release_history(daemon->releases, exchange);
}

static void
serve_release(daemon_t *daemon, msp_exchange_t *exchange)
{
	serve_current_release(daemon->releases, exchange);
}

static void
serve_get_doubt(daemon_t *daemon, msp_exchange_t *exchange)
{
	serve_in_doubt_list(daemon->claimed_requests, exchange);
}

static void
serve_post_doubt(daemon_t *daemon, msp_exchange_t *exchange)
{
	serve_in_doubt_ruling(daemon->claimed_requests, exchange);
}

static const operator_route_t routes[] = {
    {"GET", "/healthz", true, serve_health},
    {"GET", "/readyz", true, serve_ready},
    {"GET", "/metrics", false, serve_metrics},
    {"GET", "/v1/status", false, serve_status},
    {"GET", "/v1/members", false, serve_members},
    {"GET", "/v1/places", false, serve_places},
    {"GET", "/v1/release", false, serve_release},
    {"GET", "/v1/releases", false, serve_history},
    {"POST", "/v1/releases", false, serve_post_release},
    {"GET", "/v1/doubt", false, serve_get_doubt},
    {"POST", "/v1/doubt", false, serve_post_doubt},
    {"POST", "/v1/leave", false, serve_leave},
};

/*
 * Compares the tokens in a time that does not depend on where they differ, so
 * that the valid token cannot be guessed byte by byte from response times.
 */
static bool
is_token_valid(const daemon_t *daemon, const msp_request_t *request)
{
	const char *token = daemon->settings->operator_token;
	const char *given = msp_find_header(&request->headers, "authorization");
	size_t len = strlen(token);
	unsigned char diff = 0;
	size_t i;

	if (given == NULL || strncmp(given, "Bearer ", 7) != 0)
		return false;
	given += 7;
	if (strlen(given) != len)
		return false;
	for (i = 0; i < len; i++)
		diff |= (unsigned char)(given[i] ^ token[i]);
	return diff == 0;
}

static void
handle_request(void *ctx, msp_exchange_t *exchange)
{
	daemon_t *daemon = ctx;
	const msp_request_t *request = msp_exchange_request(exchange);
	size_t len = strcspn(request->path, "?");
	bool path_known = false;
	size_t i;

	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		const operator_route_t *route = &routes[i];

		if (strlen(route->path) != len ||
		    strncmp(route->path, request->path, len) != 0)
			continue;
		path_known = true;
		if (strcmp(route->method, request->method) != 0)
			continue;
		if (!route->is_public && !is_token_valid(daemon, request)) {
			log_warn("event=operator-refused peer=%s path=%s",
			    msp_exchange_client_address(exchange), route->path);
			msp_fail(MSP_E_UNAUTHORIZED,
			    "Authorization: Bearer TOKEN is required");
			answer_error(exchange, MSP_E_UNAUTHORIZED);
			return;
		}
		route->serve(daemon, exchange);
		return;
	}
	msp_fail(path_known ? MSP_E_METHOD : MSP_E_UNKNOWN_ROUTE,
	    path_known ? "method not allowed" : "unknown path");
	answer_error(exchange, path_known ? MSP_E_METHOD : MSP_E_UNKNOWN_ROUTE);
}

/*
 * The data of an exchange is NULL or a flag of the request that waits for the
 * store. Once the flag is set the request is not answered.
 */
static void
handle_operator_disconnect(void *ctx, msp_exchange_t *exchange)
{
	bool *disconnected = msp_exchange_data(exchange);

	(void)ctx;
	if (disconnected != NULL)
		*disconnected = true;
}

msp_http_server_t *
open_operator_listener(struct daemon *daemon)
{
	const msp_settings_t *settings = daemon->settings;
	msp_http_server_options_t options = {
	    .address = settings->address,
	    .port = settings->operator_port,
	    .limits = {.max_body = 4 << 20},
	    .handler = {.on_request = handle_request,
		.on_disconnect = handle_operator_disconnect,
		.ctx = daemon},
	};

	return msp_new_http_server(daemon->loop, &options);
}
