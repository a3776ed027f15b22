#include "target_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "proxy_codec.h"

#define HTTP_SERVICE_UNAVAILABLE 503
#define PROBE_TIMEOUT_MS 300

static target_call_t *
find_call(dispatched_request_t *dispatched, msp_attempt_id_t attempt)
{
	size_t i;

	for (i = 0; i < DISPATCH_CALLS_MAX; i++) {
		if (dispatched->calls[i].attempt == attempt)
			return &dispatched->calls[i];
	}
	return NULL;
}

/*
 * Whether the target shed the request: a 503 with Retry-After means that it was
 * not executed.
 */
static bool
is_shed(const msp_response_t *response, msp_time_t *retry_after)
{
	msp_retry_after_t field;

	if (response->status != HTTP_SERVICE_UNAVAILABLE)
		return false;
	field = msp_read_retry_after(&response->headers);
	*retry_after = field.ms * MSP_MS;
	return field.form != MSP_RETRY_AFTER_MISSING;
}

static const char *
get_outcome_name(msp_outcome_t outcome)
{
	static const char *const names[MSP_OUTCOME_COUNT] = {
	    [MSP_OUTCOME_COMPLETE] = "whole",
	    [MSP_OUTCOME_SHED] = "shed",
	    [MSP_OUTCOME_REFUSED_CONNECTION] = "refused-connection",
	    [MSP_OUTCOME_CONNECTION_LOST] = "cut",
	    [MSP_OUTCOME_FIRST_BYTE_TIMEOUT] = "silent",
	    [MSP_OUTCOME_CRASHED] = "crashed",
	    [MSP_OUTCOME_CANCELLED] = "cancelled",
	};

	return names[outcome];
}

static msp_outcome_t
classify_result(const msp_call_result_t *call_result, msp_time_t *retry_after)
{
	switch (call_result->status) {
	case MSP_OK:
		return is_shed(call_result->response, retry_after)
		    ? MSP_OUTCOME_SHED
		    : MSP_OUTCOME_COMPLETE;
	case MSP_E_RESPONSE_TOO_LARGE:
		return MSP_OUTCOME_COMPLETE;
	case MSP_E_PEER_DOWN:
		return call_result->maybe_sent ? MSP_OUTCOME_CONNECTION_LOST
					       : MSP_OUTCOME_REFUSED_CONNECTION;
	case MSP_E_DEADLINE:
		return call_result->no_first_byte
		    ? MSP_OUTCOME_FIRST_BYTE_TIMEOUT
		    : MSP_OUTCOME_CONNECTION_LOST;
	default:
		return MSP_OUTCOME_CONNECTION_LOST;
	}
}

/* A response that waits because of the rate cap between two regions. */
typedef struct delayed_response {
	LIST_ENTRY(delayed_response) link;
	service_dispatcher_t *service;
	proxy_request_t *proxy;
	proxy_result_t result;
	msp_timer_t *timer;
} delayed_response_t;

static void
free_delayed_response(delayed_response_t *delayed)
{
	LIST_REMOVE(delayed, link);
	msp_drop_timer(delayed->timer);
	delayed->service->active_count--;
	free(delayed);
}

static void
send_delayed_response(void *ctx)
{
	delayed_response_t *delayed = ctx;
	proxy_request_t *proxy = delayed->proxy;
	proxy_result_t result = delayed->result;

	free_delayed_response(delayed);
	finish_proxy_request(proxy, &result);
}

static void
cancel_delayed_response(proxy_request_t *proxy)
{
	delayed_response_t *delayed = proxy->cancel_ctx;

	msp_drop_response(&delayed->result.response);
	free_delayed_response(delayed);
}

void
drop_delayed_responses(service_dispatcher_t *service)
{
	delayed_response_t *delayed, *next;

	LIST_FOREACH_SAFE(delayed, &service->delayed_responses, link, next) {
		msp_drop_response(&delayed->result.response);
		free_delayed_response(delayed);
	}
}

/* Returns false if out of memory; the response is then sent at once. */
static bool
delay_response(service_dispatcher_t *service, proxy_request_t *proxy,
    proxy_result_t *result, msp_time_t delay)
{
	delayed_response_t *delayed = calloc(1, sizeof(*delayed));

	if (delayed == NULL)
		return false;
	delayed->timer = msp_new_timer(
	    service->daemon->loop, delay, 0, send_delayed_response, delayed);
	if (delayed->timer == NULL) {
		free(delayed);
		return false;
	}
	delayed->service = service;
	delayed->proxy = proxy;
	delayed->result = *result;
	proxy->cancel = cancel_delayed_response;
	proxy->cancel_ctx = delayed;
	LIST_INSERT_HEAD(&service->delayed_responses, delayed, link);
	return true;
}

void
finish_dispatched_request(
    dispatched_request_t *dispatched, proxy_result_t *result)
{
	service_dispatcher_t *service = dispatched->service;
	proxy_request_t *proxy = dispatched->request;
	msp_time_t delay = 0;

	snprintf(result->vm, sizeof(result->vm), "%s",
	    service->daemon->settings->vm);
	if (dispatched->reservation.account != NULL)
		delay = msp_settle_credit(service->granter,
		    &dispatched->reservation, result->response.body.len);
	free(dispatched);
	if (delay > 0 && delay_response(service, proxy, result, delay))
		return;
	service->active_count--;
	finish_proxy_request(proxy, result);
}

/*
 * Reports the end of an attempt to the dispatcher, and finishes the request if
 * that was its final result.
 */
static void
end_attempt(target_call_t *call, msp_outcome_t outcome, msp_time_t retry_after,
    msp_call_result_t *call_result)
{
	dispatched_request_t *dispatched = call->request;
	service_dispatcher_t *service = dispatched->service;
	msp_attempt_id_t attempt = call->attempt;
	proxy_result_t result = {0};

	memcpy(result.target, call->target, sizeof(result.target));
	memset(call, 0, sizeof(*call));
	msp_add_to_counter(service->daemon->counters, 1,
	    "msp_target_attempts_total{service=\"%s\",target=\"%s\","
	    "ended=\"%s\"}",
	    service->name, result.target, get_outcome_name(outcome));
	if (msp_end_attempt(service->dispatcher, &dispatched->job, attempt,
		outcome, retry_after) != MSP_JOB_DONE)
		return;
	if (call_result->status == MSP_E_RESPONSE_TOO_LARGE) {
		result.refusal = (msp_refusal_t){
		    .status = MSP_E_RESPONSE_TOO_LARGE,
		    .run = MSP_RUN_UNKNOWN,
		    .attempt_started = true,
		    .reason = "the target's response exceeds the size limit",
		};
	} else {
		result.answered = true;
		result.response = *call_result->response;
		drop_internal_headers(&result.response.headers);
		memset(
		    call_result->response, 0, sizeof(*call_result->response));
	}
	finish_dispatched_request(dispatched, &result);
}

static void
handle_probe_done(void *ctx, msp_call_result_t *call_result)
{
	/*
	 * A crashing target may still accept a connection and then close it,
	 * so that a cut response also counts as a crash.
	 */
	bool crashed = call_result->status == MSP_E_PEER_DOWN ||
	    call_result->status == MSP_E_TRUNCATED_RESPONSE;

	end_attempt(ctx,
	    crashed ? MSP_OUTCOME_CRASHED : MSP_OUTCOME_CONNECTION_LOST, 0,
	    call_result);
}

/*
 * Called when a connection closed before a complete response: requests the
 * target's load to find out at once whether it crashed. Returns false if out of
 * memory.
 */
static bool
probe_target(target_call_t *call)
{
	daemon_t *daemon = call->request->service->daemon;
	msp_call_options_t options = {.address = call->address->address,
	    .port = call->address->port,
	    .timeout_ms = PROBE_TIMEOUT_MS,
	    .fresh_connection = true};
	msp_request_t request = {.method = "GET", .path = "/load"};

	call->call = msp_start_call(
	    daemon->target_client, &options, &request, handle_probe_done, call);
	msp_drop_request(&request);
	return call->call != NULL;
}

static void
handle_target_response(void *ctx, msp_call_result_t *call_result)
{
	target_call_t *call = ctx;
	msp_time_t retry_after = 0;
	msp_outcome_t outcome = classify_result(call_result, &retry_after);

	if (outcome == MSP_OUTCOME_CONNECTION_LOST &&
	    call_result->status == MSP_E_TRUNCATED_RESPONSE &&
	    probe_target(call))
		return;
	end_attempt(call, outcome, retry_after, call_result);
}

/* Adds the request's id, unless it has one, and the time that is left. */
static msp_status_t
add_headers(
    const proxy_request_t *proxy, msp_time_t now, msp_request_t *request)
{
	msp_headers_t *headers = &request->headers;

	if (msp_find_header(headers, "x-request-id") == NULL &&
	    msp_add_header(headers, "X-Request-ID", proxy->id) != MSP_OK)
		return MSP_E_HEADERS_TOO_LARGE;
	return msp_print_header(
	    headers, "Request-Time-Left", "%u", get_time_left_ms(proxy, now));
}

void
start_target_call(void *ctx, msp_job_t *job, const msp_target_ref_t *target,
    bool fresh_connection, msp_attempt_id_t attempt)
{
	service_dispatcher_t *service = ctx;
	dispatched_request_t *dispatched = job->user;
	daemon_t *daemon = service->daemon;
	const target_address_t *address = target->address;
	msp_time_t now = msp_now(&daemon->env);
	target_call_t *call = find_call(dispatched, 0);
	msp_call_options_t options = {.address = address->address,
	    .port = address->port,
	    .timeout_ms = get_time_left_ms(dispatched->request, now),
	    .fresh_connection = fresh_connection,
	    /* A target's responses don't tell which request they are of. */
	    .unused_connection = !dispatched->request->is_idempotent};
	msp_request_t request;

	if (copy_proxy_request(dispatched->request, &request) != MSP_OK)
		goto fail;
	if (call == NULL ||
	    add_headers(dispatched->request, now, &request) != MSP_OK) {
		msp_drop_request(&request);
		goto fail;
	}
	call->request = dispatched;
	call->attempt = attempt;
	call->address = address;
	snprintf(call->target, sizeof(call->target), "%s", target->name);
	call->call = msp_start_call(daemon->target_client, &options, &request,
	    handle_target_response, call);
	msp_drop_request(&request);
	if (call->call != NULL)
		return;
	memset(call, 0, sizeof(*call));
fail:
	msp_end_attempt(service->dispatcher, job, attempt,
	    MSP_OUTCOME_REFUSED_CONNECTION, 0);
}

void
cancel_target_call(void *ctx, msp_job_t *job, msp_attempt_id_t attempt)
{
	dispatched_request_t *dispatched = job->user;
	target_call_t *call = find_call(dispatched, attempt);

	(void)ctx;
	if (call == NULL)
		return;
	msp_cancel_call(call->call);
	memset(call, 0, sizeof(*call));
}
