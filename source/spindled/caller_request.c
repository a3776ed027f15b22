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
	caller_requests_t *entries = calloc(1, sizeof(*entries));

	(void)daemon;
	if (entries != NULL)
		TAILQ_INIT(&entries->list);
	return entries;
}

static void
free_entry(caller_request_t *entry)
{
	caller_requests_t *entries = entry->daemon->caller_requests;

	TAILQ_REMOVE(&entries->list, entry, link);
	entries->count--;
	drop_proxy_request(&entry->proxy);
	free(entry);
}

void
drop_caller_requests(caller_requests_t *entries)
{
	caller_request_t *entry, *next;

	if (entries == NULL)
		return;
	TAILQ_FOREACH_SAFE(entry, &entries->list, link, next)
		free_entry(entry);
	free(entries);
}

size_t
count_caller_requests(const caller_requests_t *entries)
{
	return entries->count;
}

/* Answers the VM that passed the request on. */
static void
answer_forwarder(caller_request_t *entry, proxy_result_t *result)
{
	msp_response_t response = {0};

	memcpy(result->vm, entry->daemon->settings->vm, sizeof(result->vm));
	if (encode_proxy_result(result, &response) == MSP_OK) {
		msp_answer_exchange(entry->exchange, &response);
		return;
	}
	msp_drop_response(&response);
	answer_error(entry->exchange, MSP_E_INTERNAL);
}

void
answer_caller_request(caller_request_t *entry, proxy_result_t *result)
{
	daemon_t *daemon = entry->daemon;
	msp_headers_t *headers = &result->response.headers;

	if (!result->answered) {
		refuse_caller_request(entry, &result->refusal);
		return;
	}
	msp_add_to_counter(daemon->counters, 1,
	    "msp_requests_total{service=\"%s\",class=\"%s\",ended="
	    "\"answered\"}",
	    entry->proxy.service, msp_request_class_name(entry->proxy.class));
	if (entry->exchange != NULL && entry->forwarded) {
		answer_forwarder(entry, result);
	} else if (entry->exchange != NULL) {
		if (msp_find_header(headers, "x-request-id") == NULL)
			msp_add_header(
			    headers, "X-Request-ID", entry->proxy.id);
		msp_answer_exchange(entry->exchange, &result->response);
	}
	free_entry(entry);
}

void
refuse_caller_request(caller_request_t *entry, const msp_refusal_t *refusal)
{
	daemon_t *daemon = entry->daemon;
	const proxy_request_t *work = &entry->proxy;
	msp_decision_t decision = {.action = "refuse",
	    .request_id = work->id,
	    .service = work->service,
	    .reason = msp_status_name(refusal->status),
	    .wait = msp_now(&daemon->env) - work->arrival};
	problem_t problem = {.refusal = *refusal,
	    .request_id = work->id,
	    .key = work->key,
	    .attempt = entry->attempt_number,
	    .include_run = true};
	proxy_result_t result = {.refusal = *refusal};

	msp_add_to_counter(daemon->counters, 1,
	    "msp_refusals_total{kind=\"%s\"}",
	    msp_status_name(refusal->status));
	log_decision(NULL, &decision);
	if (entry->exchange != NULL && entry->forwarded)
		answer_forwarder(entry, &result);
	else if (entry->exchange != NULL)
		answer_problem(entry->exchange, &problem);
	free_entry(entry);
}

/* A refusal before anything of the request was sent anywhere. */
static void
refuse_early(caller_request_t *entry, msp_status_t status)
{
	const msp_status_info_t *answer = msp_get_status_info(status);
	msp_refusal_t refusal = {.status = status,
	    .run = MSP_RUN_NO,
	    .retry_after_ms = answer->has_retry_after ? RETRY_AFTER_MS : 0,
	    .reason = msp_last_message()};

	/* An earlier try of a commit may have run. */
	if (entry->proxy.key[0] != '\0' && entry->attempt_number != 1)
		refusal.run = MSP_RUN_UNKNOWN;
	refuse_caller_request(entry, &refusal);
}

static void
on_read_done(void *ctx, proxy_request_t *work, proxy_result_t *result)
{
	(void)work;
	answer_caller_request(ctx, result);
}

caller_request_t *
new_caller_request(struct daemon *daemon, msp_exchange_t *exchange)
{
	caller_request_t *entry = calloc(1, sizeof(*entry));

	if (entry == NULL)
		return NULL;
	entry->daemon = daemon;
	entry->exchange = exchange;
	msp_set_exchange_data(exchange, entry);
	TAILQ_INSERT_TAIL(&daemon->caller_requests->list, entry, link);
	daemon->caller_requests->count++;
	return entry;
}

static void
start_entry(daemon_t *daemon, msp_exchange_t *exchange)
{
	caller_request_t *entry = new_caller_request(daemon, exchange);
	msp_status_t status;

	if (entry == NULL) {
		answer_error(exchange, MSP_E_NO_MEMORY);
		return;
	}
	status = parse_caller_request(daemon, entry);
	if (status != MSP_OK) {
		refuse_early(entry, status);
		return;
	}
	if (!entry->proxy.is_idempotent) {
		start_claimed_request(daemon->claimed_requests, entry);
		return;
	}
	entry->proxy.done = on_read_done;
	entry->proxy.ctx = entry;
	route_proxy_request(daemon, &entry->proxy);
}

static void
on_request(void *ctx, msp_exchange_t *exchange)
{
	daemon_t *daemon = ctx;
	const char *path = msp_exchange_request(exchange)->path;

	if (strncmp(path, SERVICES_PATH, sizeof(SERVICES_PATH) - 1) == 0) {
		start_entry(daemon, exchange);
	} else if (strncmp(path, "/v1/entries", 11) == 0 &&
	    (path[11] == '\0' || path[11] == '?')) {
		serve_lookup(daemon, exchange);
	} else {
		msp_fail(MSP_E_UNKNOWN_ROUTE, "no such path");
		answer_error(exchange, MSP_E_UNKNOWN_ROUTE);
	}
}

/*
 * A read is cancelled down to its target. A commit goes on: its outcome is
 * kept for the caller's next try.
 */
void
abandon_caller_request(caller_request_t *entry)
{
	msp_add_to_counter(
	    entry->daemon->counters, 1, "msp_callers_gone_total");
	entry->exchange = NULL;
	if (entry->claim_request != NULL)
		detach_claimed_request(entry->daemon->claimed_requests, entry);
	else
		cancel_proxy_request(&entry->proxy);
	free_entry(entry);
}

static void
on_gone(void *ctx, msp_exchange_t *exchange)
{
	caller_request_t *entry = msp_exchange_data(exchange);

	(void)ctx;
	if (entry != NULL)
		abandon_caller_request(entry);
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
	    .handler = {.on_request = on_request,
		.on_disconnect = on_gone,
		.ctx = daemon},
	};

	return msp_new_http_server(daemon->loop, &options);
}
