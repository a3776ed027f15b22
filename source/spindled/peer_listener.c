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

/* One work that another VM sent. */
typedef struct peer_work {
	daemon_t *daemon;
	msp_exchange_t *exchange;
	proxy_request_t work;
} peer_work_t;

static void
on_work_done(void *ctx, proxy_request_t *work, proxy_result_t *result)
{
	peer_work_t *peer = ctx;
	msp_response_t response = {0};
	msp_status_t status;

	if (result->vm[0] == '\0')
		memcpy(
		    result->vm, peer->daemon->settings->vm, sizeof(result->vm));
	status = encode_proxy_result(result, &response);
	if (status == MSP_OK) {
		msp_answer_exchange(peer->exchange, &response);
	} else {
		msp_drop_response(&response);
		answer_error(peer->exchange, status);
	}
	drop_proxy_request(work);
	free(peer);
}

/* Passes work on that came from another data centre. */
static void
pass_on(daemon_t *daemon, proxy_request_t *work)
{
	const msp_member_t *first =
	    find_dispatcher_vm(daemon->members, work->service);

	work->hops_left--;
	if (first == NULL || strcmp(first->name, daemon->settings->vm) == 0)
		dispatch_locally(daemon->dispatchers, work);
	else
		run_remote(daemon, work, first->address, first->peer_port);
}

static void
take_work(daemon_t *daemon, msp_exchange_t *exchange)
{
	peer_work_t *peer = calloc(1, sizeof(*peer));
	proxy_request_t *work;
	msp_status_t status;

	if (peer == NULL) {
		answer_error(exchange, MSP_E_NO_MEMORY);
		return;
	}
	work = &peer->work;
	peer->daemon = daemon;
	peer->exchange = exchange;
	work->done = on_work_done;
	work->ctx = peer;
	status = decode_proxy_request(msp_exchange_request(exchange), WORK_PATH,
	    msp_now(&daemon->env), work);
	if (status != MSP_OK) {
		answer_error(exchange, status);
		drop_proxy_request(work);
		free(peer);
		return;
	}
	msp_set_exchange_data(exchange, peer);
	if (strcmp(work->place, daemon->settings->place) != 0) {
		refuse_proxy_request(work, MSP_E_NO_TARGET, MSP_RUN_NO, false,
		    RETRY_AFTER_MS, "the work is for another data centre");
		return;
	}
	if (work->hops_left > 0)
		pass_on(daemon, work);
	else
		dispatch_locally(daemon->dispatchers, work);
}

static void
on_request(void *ctx, msp_exchange_t *exchange)
{
	daemon_t *daemon = ctx;
	const msp_request_t *request = msp_exchange_request(exchange);
	const char *path = request->path;

	if (strncmp(path, WORK_PATH "/", sizeof(WORK_PATH)) == 0) {
		take_work(daemon, exchange);
	} else if (strncmp(path, TRIES_PATH "/", sizeof(TRIES_PATH)) == 0) {
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
		msp_fail(MSP_E_UNKNOWN_ROUTE, "no such path");
		answer_error(exchange, MSP_E_UNKNOWN_ROUTE);
	}
}

static void
on_gone(void *ctx, msp_exchange_t *exchange)
{
	const char *path = msp_exchange_request(exchange)->path;
	peer_work_t *peer = msp_exchange_data(exchange);

	(void)ctx;
	if (peer == NULL)
		return;
	if (strncmp(path, TRIES_PATH "/", sizeof(TRIES_PATH)) == 0) {
		abandon_caller_request(msp_exchange_data(exchange));
		return;
	}
	cancel_proxy_request(&peer->work);
	drop_proxy_request(&peer->work);
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
		    /* The system's own headers come on top of a caller's. */
		    .max_headers = settings->limits.max_header_bytes + 8192,
		    .max_connections = settings->limits.max_connections,
		},
	    .handler = {.on_request = on_request,
		.on_disconnect = on_gone,
		.ctx = daemon},
	};

	return msp_new_http_server(daemon->loop, &options);
}
