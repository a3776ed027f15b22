#include <stdlib.h>
#include <string.h>

#include "edge_request.h"

#define HTTP_NOT_FOUND 404
#define HTTP_UNAVAILABLE 503
#define DEFAULT_TIMEOUT_MS 60000

static msp_digest_t
compute_fingerprint(const msp_request_t *request)
{
	msp_digest_t digest = msp_digest(request->path, strlen(request->path));

	digest =
	    msp_chain_digest(digest, request->method, strlen(request->method));
	if (request->body.len > 0)
		digest = msp_chain_digest(
		    digest, request->body.data, request->body.len);
	return digest;
}

/*
 * Finds the request's route and service. Without a route, ends the request and
 * returns false.
 */
static bool
find_service(edge_request_t *request, const msp_request_t *message)
{
	edge_t *edge = request->edge;
	const msp_path_route_t *route;

	if (edge->routes == NULL) {
		refuse_request(request, NOT_READY_RETRY_MS, "no-routes");
		return false;
	}
	request->routes = msp_keep_route_table(edge->routes);
	route =
	    msp_match_path_route(edge->routes, message->host, message->path);
	if (route == NULL) {
		send_local_reply(request, HTTP_NOT_FOUND, 0, "no-route");
		return false;
	}
	request->criteria.route = route;
	request->criteria.homes.route = &route->homes;
	request->terms_version = edge->routes->version;
	request->criteria.service = msp_find_service_config(
	    edge->routes, msp_pick_service(edge->split, route));
	return true;
}

static void
set_deadline(edge_request_t *request)
{
	uint32_t limit = request->criteria.route->timeout_ms;
	uint32_t caller_limit = request->caller.timeout_ms;

	if (limit == 0)
		limit = DEFAULT_TIMEOUT_MS;
	if (caller_limit != 0 && caller_limit < limit)
		limit = caller_limit;
	if (request->is_forwarded && request->terms.time_left_ms < limit)
		limit = request->terms.time_left_ms;
	request->deadline = request->arrival + limit * MSP_MS;
}

/*
 * Of a forwarded request the first VM has counted the attempts, and the request
 * itself.
 */
static void
set_attempts(edge_request_t *request)
{
	request->max_attempts = request->criteria.route->max_attempts;
	if (!request->is_forwarded)
		count_service_request(
		    request->edge, request->criteria.service->name);
	else if (request->terms.attempts_left < request->max_attempts)
		request->max_attempts = request->terms.attempts_left;
}

static void
refuse_without_memory(edge_t *edge, msp_exchange_t *exchange)
{
	caller_fields_t caller;
	char id[REQUEST_ID_SIZE];
	msp_response_t response = {0};

	decode_caller_fields(msp_exchange_request(exchange), &caller);
	log_request(MSP_LINE_VITAL,
	    "event=request id=%s status=%d outcome=no-memory from=edge",
	    clean_log_value(caller.id, id, sizeof(id)), HTTP_UNAVAILABLE);
	count_refusal(edge, "edge", HTTP_UNAVAILABLE);
	encode_local_reply(
	    &response, HTTP_UNAVAILABLE, "", NOT_READY_RETRY_MS, "no-memory");
	msp_send_exchange_response(exchange, &response);
}

bool
may_edge_request_overlap(void *ctx, const msp_request_t *message)
{
	const edge_t *edge = ctx;
	const msp_path_route_t *route;

	/* Without a route it is refused and runs nowhere. */
	if (edge->routes == NULL)
		return true;
	route =
	    msp_match_path_route(edge->routes, message->host, message->path);
	return route == NULL || route->idempotent;
}

void
handle_edge_request(void *ctx, msp_exchange_t *exchange)
{
	begin_edge_request(ctx, exchange, NULL);
}

void
begin_edge_request(
    edge_t *edge, msp_exchange_t *exchange, const forward_terms_t *terms)
{
	edge_request_t *request = calloc(1, sizeof(*request));
	const msp_request_t *message = msp_exchange_request(exchange);

	if (request == NULL) {
		refuse_without_memory(edge, exchange);
		return;
	}
	request->edge = edge;
	request->exchange = exchange;
	request->arrival = msp_exchange_arrival(exchange);
	request->deadline = request->arrival;
	request->pipeline_position = msp_exchange_position(exchange);
	request->hold_time = msp_exchange_hold_time(exchange);
	if (request->pipeline_position > 0)
		msp_add_to_counter(edge->daemon->counters, 1,
		    "msp_pipelined_requests_total{held=\"%s\"}",
		    request->hold_time > 0 ? "yes" : "no");
	msp_set_exchange_data(exchange, request);
	TAILQ_INSERT_TAIL(&edge->requests, request, link);
	edge->request_count++;
	decode_caller_fields(message, &request->caller);
	if (terms != NULL) {
		request->is_forwarded = true;
		request->terms = *terms;
	}
	if (request->is_forwarded && edge->daemon->leaving) {
		refuse_request(request, NOT_READY_RETRY_MS, "leaving");
		return;
	}
	if (!find_service(request, message) || !find_organisation(request))
		return;
	request->is_idempotent = request->criteria.route->idempotent &&
	    (!request->is_forwarded || request->terms.is_idempotent);
	set_deadline(request);
	request->fingerprint = compute_fingerprint(message);
	request->criteria.tried = request->tried;
	request->criteria.has_object =
	    request->criteria.route->sticky && request->caller.has_object;
	request->criteria.object_hash = msp_hash_text(
	    request->criteria.service->name, request->caller.object_hash);
	if (msp_check_suspicion(edge->quarantine, request->fingerprint, NULL) ==
	    MSP_SUSPICION_QUARANTINED) {
		refuse_request(request, RETRY_AFTER_MAX_MS, "quarantined");
		return;
	}
	admit_by_rate(request);
}

void
start_admitted_request(edge_request_t *request)
{
	set_attempts(request);
	send_request(request);
}

/* Ends the attempt that is in flight, at a target or at another VM. */
static void
cancel_attempt(edge_request_t *request)
{
	edge_t *edge = request->edge;

	if (request->forward.in_flight)
		report_cancelled_hop(request);
	else
		report_cancelled_attempt(request);
	if (msp_call_maybe_sent(request->call))
		request->may_have_run = true;
	msp_cancel_call(request->call);
	request->call = NULL;
	if (request->forward.in_flight)
		return;
	msp_end_balanced_request(edge->balancer, &request->criteria,
	    &request->choice, msp_now(&edge->daemon->env) - request->sent_at,
	    false);
}

void
recall_request(edge_request_t *request, const char *reason)
{
	cancel_attempt(request);
	request->sent_count--;
	retry_or_fail(request, reason);
}

void
handle_edge_caller_disconnect(void *ctx, msp_exchange_t *exchange)
{
	edge_request_t *request = msp_exchange_data(exchange);
	edge_t *edge = ctx;

	if (request == NULL)
		return;
	request->exchange = NULL;
	msp_add_to_counter(edge->daemon->counters, 1, "msp_callers_gone_total");
	log_request_end(request, MSP_LINE_NOTABLE, 0, "caller-gone");
	if (request->rate == RATE_WAITING) {
		free_edge_request(request);
		return;
	}
	/* A request that must not be repeated is left to complete. */
	if (!request->is_idempotent && msp_call_maybe_sent(request->call))
		return;
	cancel_attempt(request);
	free_edge_request(request);
}

/* A request of which nothing was sent; NULL if there is none. */
static edge_request_t *
find_unsent_request(const edge_t *edge)
{
	edge_request_t *request;

	TAILQ_FOREACH(request, &edge->requests, link) {
		if (request->rate == RATE_WAITING ||
		    (request->exchange != NULL && request->call != NULL &&
			!msp_call_maybe_sent(request->call)))
			return request;
	}
	return NULL;
}

/*
 * A refusal may show that its connection is closed, which frees other requests
 * of the connection; so each turn starts at the first.
 */
void
refuse_unsent_requests(edge_t *edge)
{
	edge_request_t *request;

	while ((request = find_unsent_request(edge)) != NULL) {
		if (request->rate != RATE_WAITING)
			cancel_attempt(request);
		end_before_stop(request);
	}
}

void
drop_edge_requests(edge_t *edge)
{
	edge_request_t *request;
	edge_request_t *next;

	TAILQ_FOREACH_SAFE(request, &edge->requests, link, next) {
		if (request->exchange != NULL) {
			log_request_end(request, MSP_LINE_VITAL, 0, "stopped");
			msp_set_exchange_data(request->exchange, NULL);
		}
		if (request->call != NULL) {
			msp_cancel_call(request->call);
			request->call = NULL;
			if (!request->forward.in_flight)
				msp_release_view_target(request->choice.target);
		}
		free_edge_request(request);
	}
}
