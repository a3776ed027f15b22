#include "target_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HTTP_SERVICE_UNAVAILABLE 503
#define RETRY_AFTER_MAX_S 60
#define PROBE_TIMEOUT_MS 300

static target_call_t *
find_call(dispatched_request_t *dispatch, msp_attempt_id_t attempt)
{
	size_t i;

	for (i = 0; i < DISPATCH_CALLS_MAX; i++) {
		if (dispatch->calls[i].attempt == attempt)
			return &dispatch->calls[i];
	}
	return NULL;
}

/* A target that sheds says 503 with Retry-After: it did not take the request.
 */
static bool
is_shed(const msp_response_t *response, msp_time_t *retry_after)
{
	const char *value;
	long seconds;

	if (response->status != HTTP_SERVICE_UNAVAILABLE)
		return false;
	value = msp_find_header(&response->headers, "retry-after");
	if (value == NULL)
		return false;
	seconds = strtol(value, NULL, 10);
	if (seconds < 0)
		seconds = 0;
	if (seconds > RETRY_AFTER_MAX_S)
		seconds = RETRY_AFTER_MAX_S;
	*retry_after = (msp_time_t)seconds * MSP_SECOND;
	return true;
}

static const char *
outcome_name(msp_outcome_t outcome)
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
judge(const msp_call_result_t *ended, msp_time_t *retry_after)
{
	switch (ended->status) {
	case MSP_OK:
		return is_shed(ended->response, retry_after)
		    ? MSP_OUTCOME_SHED
		    : MSP_OUTCOME_COMPLETE;
	case MSP_E_ANSWER_TOO_LARGE:
		return MSP_OUTCOME_COMPLETE;
	case MSP_E_PEER_DOWN:
		return ended->maybe_sent ? MSP_OUTCOME_CONNECTION_LOST
					 : MSP_OUTCOME_REFUSED_CONNECTION;
	case MSP_E_DEADLINE:
		return ended->silent ? MSP_OUTCOME_FIRST_BYTE_TIMEOUT
				     : MSP_OUTCOME_CONNECTION_LOST;
	default:
		return MSP_OUTCOME_CONNECTION_LOST;
	}
}

/* An answer that waits until the cap of its link has room. */
typedef struct delayed_response {
	LIST_ENTRY(delayed_response) link;
	service_dispatcher_t *service;
	proxy_request_t *work;
	proxy_result_t result;
	msp_timer_t *timer;
} held_answer_t;

static void
free_held(held_answer_t *held)
{
	LIST_REMOVE(held, link);
	msp_drop_timer(held->timer);
	held->service->active_count--;
	free(held);
}

static void
release_held(void *ctx)
{
	held_answer_t *held = ctx;
	proxy_request_t *work = held->work;
	proxy_result_t result = held->result;

	free_held(held);
	finish_proxy_request(work, &result);
}

static void
cancel_held(proxy_request_t *work)
{
	held_answer_t *held = work->runner;

	msp_drop_response(&held->result.response);
	free_held(held);
}

void
drop_delayed_responses(service_dispatcher_t *service)
{
	held_answer_t *held, *next;

	LIST_FOREACH_SAFE(held, &service->delayed_responses, link, next) {
		msp_drop_response(&held->result.response);
		free_held(held);
	}
}

/* Returns false without memory: then the answer goes out at once. */
static bool
hold_answer(service_dispatcher_t *service, proxy_request_t *work,
    proxy_result_t *result, msp_time_t delay)
{
	held_answer_t *held = calloc(1, sizeof(*held));

	if (held == NULL)
		return false;
	held->timer =
	    msp_new_timer(service->daemon->loop, delay, 0, release_held, held);
	if (held->timer == NULL) {
		free(held);
		return false;
	}
	held->service = service;
	held->work = work;
	held->result = *result;
	work->cancel = cancel_held;
	work->runner = held;
	LIST_INSERT_HEAD(&service->delayed_responses, held, link);
	return true;
}

void
finish_dispatched_request(
    dispatched_request_t *dispatch, proxy_result_t *result)
{
	service_dispatcher_t *service = dispatch->service;
	proxy_request_t *work = dispatch->request;
	msp_time_t delay = 0;

	snprintf(result->vm, sizeof(result->vm), "%s",
	    service->daemon->settings->vm);
	if (dispatch->reservation.account != NULL)
		delay = msp_settle_credit(service->granter,
		    &dispatch->reservation, result->response.body.len);
	free(dispatch);
	if (delay > 0 && hold_answer(service, work, result, delay))
		return;
	service->active_count--;
	finish_proxy_request(work, result);
}

/* Tells the dispatcher how an attempt ended, and passes a final answer on. */
static void
end_attempt(target_call_t *call, msp_outcome_t outcome, msp_time_t retry_after,
    msp_call_result_t *ended)
{
	dispatched_request_t *dispatch = call->request;
	service_dispatcher_t *service = dispatch->service;
	msp_attempt_id_t attempt = call->attempt;
	proxy_result_t result = {0};

	memcpy(result.target, call->target, sizeof(result.target));
	memset(call, 0, sizeof(*call));
	msp_count(service->daemon->counters, 1,
	    "msp_target_attempts_total{service=\"%s\",target=\"%s\","
	    "ended=\"%s\"}",
	    service->name, result.target, outcome_name(outcome));
	if (msp_end_attempt(service->dispatcher, &dispatch->job, attempt,
		outcome, retry_after) != MSP_JOB_DONE)
		return;
	if (ended->status == MSP_E_ANSWER_TOO_LARGE) {
		result.refusal = (msp_refusal_t){
		    .status = MSP_E_ANSWER_TOO_LARGE,
		    .run = MSP_RUN_UNKNOWN,
		    .try_started = true,
		    .reason = "the target's answer is over the bound",
		};
	} else {
		result.answered = true;
		result.response = *ended->response;
		memset(ended->response, 0, sizeof(*ended->response));
	}
	finish_dispatched_request(dispatch, &result);
}

static void
on_probe(void *ctx, msp_call_result_t *ended)
{
	/* A dying target may still accept a connection, and cut that too. */
	bool crashed = ended->status == MSP_E_PEER_DOWN ||
	    ended->status == MSP_E_CUT_ANSWER;

	end_attempt(ctx,
	    crashed ? MSP_OUTCOME_CRASHED : MSP_OUTCOME_CONNECTION_LOST, 0,
	    ended);
}

/*
 * A connection that ended without an answer: asks the target for its load, to
 * know at once whether it died. Returns false without memory.
 */
static bool
probe_target(target_call_t *call)
{
	daemon_t *daemon = call->request->service->daemon;
	msp_call_options_t options = {.address = call->address->address,
	    .port = call->address->port,
	    .timeout_ms = PROBE_TIMEOUT_MS,
	    .fresh = true};
	msp_request_t request = {.method = "GET", .path = "/load"};

	call->call = msp_start_call(
	    daemon->target_client, &options, &request, on_probe, call);
	msp_drop_request(&request);
	return call->call != NULL;
}

static void
on_target_answer(void *ctx, msp_call_result_t *ended)
{
	target_call_t *call = ctx;
	msp_time_t retry_after = 0;
	msp_outcome_t outcome = judge(ended, &retry_after);

	if (outcome == MSP_OUTCOME_CONNECTION_LOST &&
	    ended->status == MSP_E_CUT_ANSWER && probe_target(call))
		return;
	end_attempt(call, outcome, retry_after, ended);
}

/* What the target needs to know of the request's way here. */
static msp_status_t
add_headers(const proxy_request_t *work, msp_time_t now, msp_request_t *request)
{
	msp_headers_t *headers = &request->headers;

	if (msp_find_header(headers, "x-request-id") == NULL &&
	    msp_add_header(headers, "X-Request-ID", work->id) != MSP_OK)
		return MSP_E_HEADERS_TOO_LARGE;
	return msp_print_header(
	    headers, "Request-Time-Left", "%u", get_time_left_ms(work, now));
}

void
start_target_call(void *ctx, msp_job_t *job, const msp_target_ref_t *target,
    bool fresh, msp_attempt_id_t attempt)
{
	service_dispatcher_t *service = ctx;
	dispatched_request_t *dispatch = job->user;
	daemon_t *daemon = service->daemon;
	const target_address_t *address = target->address;
	msp_time_t now = msp_now(&daemon->env);
	target_call_t *call = find_call(dispatch, 0);
	msp_call_options_t options = {.address = address->address,
	    .port = address->port,
	    .timeout_ms = get_time_left_ms(dispatch->request, now),
	    .fresh = fresh};
	msp_request_t request;

	if (copy_proxy_request(dispatch->request, &request) != MSP_OK)
		goto fail;
	if (call == NULL ||
	    add_headers(dispatch->request, now, &request) != MSP_OK) {
		msp_drop_request(&request);
		goto fail;
	}
	call->request = dispatch;
	call->attempt = attempt;
	call->address = address;
	snprintf(call->target, sizeof(call->target), "%s", target->name);
	call->call = msp_start_call(
	    daemon->target_client, &options, &request, on_target_answer, call);
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
	dispatched_request_t *dispatch = job->user;
	target_call_t *call = find_call(dispatch, attempt);

	(void)ctx;
	if (call == NULL)
		return;
	msp_cancel_call(call->call);
	memset(call, 0, sizeof(*call));
}
