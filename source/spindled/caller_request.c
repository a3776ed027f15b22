#include "caller_request.h"

#include <stdlib.h>
#include <string.h>

#include "claimed_requests.h"
#include "daemon.h"
#include "caller_request_parse.h"
#include "log.h"
#include "lookup.h"
#include "problem.h"
#include "route.h"
#include "proxy_codec.h"

#define RETRY_AFTER_MS 1000

struct caller_requests {
	TAILQ_HEAD(, caller_request) list;
	size_t count;
};

caller_requests_t *
new_caller_requests(struct daemon *daemon)
{
	caller_requests_t *requests = calloc(1, sizeof(*requests));

	(void)daemon;
	if (requests != NULL)
		TAILQ_INIT(&requests->list);
	return requests;
}

static void
free_request(caller_request_t *request)
{
	caller_requests_t *requests = request->daemon->caller_requests;

	TAILQ_REMOVE(&requests->list, request, link);
	requests->count--;
	drop_proxy_request(&request->proxy);
	free(request);
}

void
drop_caller_requests(caller_requests_t *requests)
{
	caller_request_t *request, *next;

	if (requests == NULL)
		return;
	TAILQ_FOREACH_SAFE(request, &requests->list, link, next)
		free_request(request);
	free(requests);
}

size_t
count_caller_requests(const caller_requests_t *requests)
{
	return requests->count;
}

/* Answers the VM that forwarded the request. */
static void
answer_forwarding_vm(caller_request_t *request, proxy_result_t *result)
{
	msp_response_t response = {0};

	memcpy(result->vm, request->daemon->settings->vm, sizeof(result->vm));
	if (encode_proxy_result(result, request->proxy.id, &response) ==
	    MSP_OK) {
		msp_send_exchange_response(request->exchange, &response);
		return;
	}
	msp_drop_response(&response);
	answer_error(request->exchange, MSP_E_INTERNAL);
}

void
answer_caller_request(caller_request_t *request, proxy_result_t *result)
{
	daemon_t *daemon = request->daemon;
	msp_headers_t *headers = &result->response.headers;

	if (!result->answered) {
		refuse_caller_request(request, &result->refusal);
		return;
	}
	msp_add_to_counter(daemon->counters, 1,
	    "msp_requests_total{service=\"%s\",class=\"%s\",ended="
	    "\"answered\"}",
	    request->proxy.service,
	    msp_request_class_name(request->proxy.class));
	if (request->exchange != NULL && request->forwarded) {
		answer_forwarding_vm(request, result);
	} else if (request->exchange != NULL) {
		if (msp_find_header(headers, "x-request-id") == NULL)
			msp_add_header(
			    headers, "X-Request-ID", request->proxy.id);
		msp_send_exchange_response(
		    request->exchange, &result->response);
	}
	free_request(request);
}

void
refuse_caller_request(caller_request_t *request, const msp_refusal_t *refusal)
{
	daemon_t *daemon = request->daemon;
	const proxy_request_t *proxy = &request->proxy;
	msp_decision_t decision = {.action = "refuse",
	    .request_id = proxy->id,
	    .service = proxy->service,
	    .reason = msp_status_name(refusal->status),
	    .wait = msp_now(&daemon->env) - proxy->arrival};
	problem_t problem = {.refusal = *refusal,
	    .request_id = proxy->id,
	    .key = proxy->key,
	    .attempt_number = request->attempt_number,
	    .include_run = true};
	proxy_result_t result = {.refusal = *refusal};

	msp_add_to_counter(daemon->counters, 1,
	    "msp_refusals_total{kind=\"%s\"}",
	    msp_status_name(refusal->status));
	log_decision(NULL, &decision);
	if (request->exchange != NULL && request->forwarded)
		answer_forwarding_vm(request, &result);
	else if (request->exchange != NULL)
		answer_problem(request->exchange, &problem);
	free_request(request);
}

/* Refuses a request that was not sent to any other VM or target. */
static void
refuse_early(caller_request_t *request, msp_status_t status)
{
	const msp_status_info_t *info = msp_get_status_info(status);
	msp_refusal_t refusal = {.status = status,
	    .run = MSP_RUN_NOT_EXECUTED,
	    .retry_after_ms = info->has_retry_after ? RETRY_AFTER_MS : 0,
	    .reason = msp_last_message()};

	/* An earlier attempt with the same idempotency key may have run. */
	if (request->proxy.key[0] != '\0' && request->attempt_number != 1)
		refusal.run = MSP_RUN_UNKNOWN;
	refuse_caller_request(request, &refusal);
}

static void
handle_proxy_done(void *ctx, proxy_request_t *proxy, proxy_result_t *result)
{
	(void)proxy;
	answer_caller_request(ctx, result);
}

caller_request_t *
new_caller_request(struct daemon *daemon, msp_exchange_t *exchange)
{
	caller_request_t *request = calloc(1, sizeof(*request));

	if (request == NULL)
		return NULL;
	request->daemon = daemon;
	request->exchange = exchange;
	msp_set_exchange_data(exchange, request);
	TAILQ_INSERT_TAIL(&daemon->caller_requests->list, request, link);
	daemon->caller_requests->count++;
	return request;
}

static void
start_request(daemon_t *daemon, msp_exchange_t *exchange)
{
	caller_request_t *request = new_caller_request(daemon, exchange);
	msp_status_t status;

	if (request == NULL) {
		answer_error(exchange, MSP_E_NO_MEMORY);
		return;
	}
	status = parse_caller_request(daemon, request);
	if (status != MSP_OK) {
		refuse_early(request, status);
		return;
	}
	if (!request->proxy.is_idempotent) {
		start_claimed_request(daemon->claimed_requests, request);
		return;
	}
	request->proxy.done = handle_proxy_done;
	request->proxy.ctx = request;
	route_proxy_request(daemon, &request->proxy);
}

static void
handle_request(void *ctx, msp_exchange_t *exchange)
{
	daemon_t *daemon = ctx;
	const char *path = msp_exchange_request(exchange)->path;

	if (strncmp(path, SERVICES_PATH, sizeof(SERVICES_PATH) - 1) == 0) {
		start_request(daemon, exchange);
	} else if (strncmp(path, "/v1/entries", 11) == 0 &&
	    (path[11] == '\0' || path[11] == '?')) {
		serve_lookup(daemon, exchange);
	} else {
		msp_fail(MSP_E_UNKNOWN_ROUTE, "unknown path");
		answer_error(exchange, MSP_E_UNKNOWN_ROUTE);
	}
}

void
abandon_caller_request(caller_request_t *request)
{
	msp_add_to_counter(
	    request->daemon->counters, 1, "msp_callers_gone_total");
	request->exchange = NULL;
	if (request->claim_request != NULL)
		detach_claimed_request(
		    request->daemon->claimed_requests, request);
	else
		cancel_proxy_request(&request->proxy);
	free_request(request);
}

static void
handle_caller_disconnect(void *ctx, msp_exchange_t *exchange)
{
	caller_request_t *request = msp_exchange_data(exchange);

	(void)ctx;
	if (request != NULL)
		abandon_caller_request(request);
}

msp_http_server_t *
open_caller_listener(struct daemon *daemon)
{
	const msp_settings_limits_t *limits = &daemon->settings->limits;
	msp_http_server_options_t options = {
	    .address = daemon->settings->address,
	    .port = daemon->settings->caller_port,
	    .limits = {.max_body = limits->max_body_bytes,
		.max_headers = limits->max_header_bytes,
		.max_connections = limits->max_connections,
		.head_timeout_ms = limits->head_timeout_ms,
		.body_timeout_ms = limits->body_timeout_ms},
	    .handler = {.on_request = handle_request,
		.on_disconnect = handle_caller_disconnect,
		.ctx = daemon},
	};

	return msp_new_http_server(daemon->loop, &options);
}
