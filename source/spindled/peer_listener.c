#include "peer_listener.h"

#include <stdlib.h>
#include <string.h>

#include "claimed_requests.h"
#include "daemon.h"
#include "dispatchers.h"
#include "issuer_search.h"
#include "forward_to_issuer.h"
#include "members.h"
#include "problem.h"
#include "quarantine_sync.h"
#include "releases.h"
#include "remote.h"
#include "proxy_codec.h"

#define RETRY_AFTER_MS 500

/* A request that another VM sent to be dispatched. */
typedef struct peer_request {
	daemon_t *daemon;
	msp_exchange_t *exchange;
	proxy_request_t request;
} peer_request_t;

static void
handle_request_done(void *ctx, proxy_request_t *request, proxy_result_t *result)
{
	peer_request_t *peer = ctx;
	msp_response_t response = {0};
	msp_status_t status;

	if (result->vm[0] == '\0')
		memcpy(
		    result->vm, peer->daemon->settings->vm, sizeof(result->vm));
	status = encode_proxy_result(result, request->id, &response);
	if (status == MSP_OK) {
		msp_send_exchange_response(peer->exchange, &response);
	} else {
		msp_drop_response(&response);
		answer_error(peer->exchange, status);
	}
	drop_proxy_request(request);
	free(peer);
}

/*
 * Sends a request from another data centre on to the VM that dispatches its
 * service in this one.
 */
static void
forward_request(daemon_t *daemon, proxy_request_t *request)
{
	const msp_member_t *dispatcher =
	    find_dispatcher_vm(daemon->members, request->service);

	request->hops_left--;
	if (dispatcher == NULL ||
	    strcmp(dispatcher->name, daemon->settings->vm) == 0)
		dispatch_locally(daemon->dispatchers, request);
	else
		dispatch_remotely(daemon, request, dispatcher->address,
		    dispatcher->peer_port);
}

static void
receive_request(daemon_t *daemon, msp_exchange_t *exchange)
{
	peer_request_t *peer = calloc(1, sizeof(*peer));
	proxy_request_t *request;
	msp_status_t status;

	if (peer == NULL) {
		answer_error(exchange, MSP_E_NO_MEMORY);
		return;
	}
	request = &peer->request;
	peer->daemon = daemon;
	peer->exchange = exchange;
	request->done = handle_request_done;
	request->ctx = peer;
	status = decode_proxy_request(msp_exchange_request(exchange),
	    DISPATCH_PATH, msp_now(&daemon->env), request);
	if (status != MSP_OK) {
		answer_error(exchange, status);
		drop_proxy_request(request);
		free(peer);
		return;
	}
	msp_set_exchange_data(exchange, peer);
	if (strcmp(request->place, daemon->settings->place) != 0) {
		refuse_proxy_request(request, MSP_E_NO_TARGET,
		    MSP_RUN_NOT_EXECUTED, false, RETRY_AFTER_MS,
		    "the request is for another data centre");
		return;
	}
	if (request->hops_left > 0)
		forward_request(daemon, request);
	else
		dispatch_locally(daemon->dispatchers, request);
}

static void
handle_request(void *ctx, msp_exchange_t *exchange)
{
	daemon_t *daemon = ctx;
	const msp_request_t *request = msp_exchange_request(exchange);
	const char *path = request->path;

	if (strncmp(path, DISPATCH_PATH "/", sizeof(DISPATCH_PATH)) == 0) {
		receive_request(daemon, exchange);
	} else if (strncmp(path, FORWARDED_PATH "/", sizeof(FORWARDED_PATH)) ==
	    0) {
		serve_forwarded_request(daemon->claimed_requests, exchange);
	} else if (strncmp(path, QUARANTINE_PATH,
		       sizeof(QUARANTINE_PATH) - 1) == 0) {
		receive_quarantine(daemon->dispatchers, exchange);
	} else if (strncmp(path, ISSUER_PATH "?", sizeof(ISSUER_PATH)) == 0) {
		serve_issuer_query(daemon, exchange);
	} else if (strncmp(path, "/v1/notes", 9) == 0) {
		serve_release_notes(daemon->releases, exchange);
	} else if (strncmp(path, "/v1/claims/", 11) == 0) {
		serve_claim_query(daemon->claimed_requests, exchange);
	} else {
		msp_fail(MSP_E_UNKNOWN_ROUTE, "unknown path");
		answer_error(exchange, MSP_E_UNKNOWN_ROUTE);
	}
}

static void
handle_peer_disconnect(void *ctx, msp_exchange_t *exchange)
{
	const char *path = msp_exchange_request(exchange)->path;
	peer_request_t *peer = msp_exchange_data(exchange);

	(void)ctx;
	if (peer == NULL)
		return;
	if (strncmp(path, FORWARDED_PATH "/", sizeof(FORWARDED_PATH)) == 0) {
		abandon_caller_request(msp_exchange_data(exchange));
		return;
	}
	cancel_proxy_request(&peer->request);
	drop_proxy_request(&peer->request);
	free(peer);
}

msp_http_server_t *
open_peer_listener(struct daemon *daemon)
{
	const msp_settings_t *settings = daemon->settings;
	msp_http_server_options_t options = {
	    .address = settings->address,
	    .port = settings->peer_port,
	    .limits =
		{
		    .max_body = settings->limits.max_body_bytes,
		    /* Internal headers are added to those of the caller. */
		    .max_headers = settings->limits.max_header_bytes + 8192,
		    .max_connections = settings->limits.max_connections,
		},
	    .handler = {.on_request = handle_request,
		.on_disconnect = handle_peer_disconnect,
		.ctx = daemon},
	};

	return msp_new_http_server(daemon->loop, &options);
}
