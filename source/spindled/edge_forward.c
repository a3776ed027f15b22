#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <bsd/string.h>

#include "edge_request.h"
#include "proxy_codec.h"

/* Failed connects of one request after which it is forwarded. */
#define FAILED_CONNECTS_MAX 2
/* Time for the answer's way back, in the same region. */
#define RETURN_TIME_MS 20
#define HTTP_SERVER_ERROR 500

static msp_time_t
get_now(const edge_request_t *request)
{
	return msp_now(&request->edge->daemon->env);
}

size_t
count_forwards(const edge_t *edge)
{
	const edge_request_t *request;
	size_t count = 0;

	TAILQ_FOREACH(request, &edge->requests, link) {
		if (request->forward.in_flight)
			count++;
	}
	return count;
}

bool
has_lost_targets(const edge_request_t *request)
{
	return request->forward.failed_connects >= FAILED_CONNECTS_MAX ||
	    has_lost_service(request->edge, request->criteria.service->name);
}

/* The VM of the last hop. */
static msp_forward_vm_t
get_vm(const edge_request_t *request, size_t at)
{
	const edge_hop_t *hop = &request->forward.hops[at];

	return (msp_forward_vm_t){.address = hop->address,
	    .port = hop->port,
	    .place = hop->place,
	    .region = find_place_region(request->edge, hop->place)};
}

static msp_forward_vm_t
get_last_vm(const edge_request_t *request)
{
	return get_vm(request, request->forward.hop_count - 1);
}

/* Counts and logs the end of a hop. */
static void
report_hop(const edge_request_t *request, const char *outcome, int http_status)
{
	const edge_forward_t *forward = &request->forward;
	msp_forward_vm_t vm = get_last_vm(request);
	char id[REQUEST_ID_SIZE];
	msp_line_rank_t rank = MSP_LINE_NOTABLE;

	msp_add_to_counter(request->edge->daemon->counters, 1,
	    "msp_forwarded_total{outcome=\"%s\"}", outcome);
	if (strcmp(outcome, "answered") == 0)
		rank = MSP_LINE_SAMPLE;
	else if (strcmp(outcome, "lost") == 0)
		rank = MSP_LINE_VITAL;
	log_request(rank,
	    "event=forward id=%s forward=%s to=%s:%u place=%s reason=%s "
	    "hop=%zu outcome=%s status=%d attempts=%u took_ms=%" PRIu64,
	    clean_log_value(request->caller.id, id, sizeof(id)), forward->id,
	    vm.address, vm.port, vm.place, forward->reason, forward->hop_count,
	    outcome, http_status, forward->attempts,
	    (get_now(request) - request->sent_at) / MSP_MS);
}

void
report_cancelled_hop(const edge_request_t *request)
{
	report_hop(request, "cancelled", 0);
}

/* Ends a request that no further VM is asked for. */
static void
end_refused_hop(edge_request_t *request, const msp_refusal_t *refusal)
{
	if (request->may_have_run)
		fail_request(request, "forward-refused");
	else if (refusal->status == MSP_E_OVERLOAD)
		refuse_request(request, refusal->retry_after_ms, "overload");
	else if (refusal->status == MSP_E_QUARANTINED)
		refuse_request(request, RETRY_AFTER_MAX_MS, "quarantined");
	else
		end_without_target(request, MSP_E_NO_TARGET);
}

/* The second VM has not had the request executed, and will not. */
static void
handle_refused_hop(
    edge_request_t *request, const msp_refusal_t *refusal, uint32_t attempts)
{
	msp_forward_vm_t vm = get_last_vm(request);

	request->forward.refused = true;
	request->sent_count += attempts;
	if (refusal->status == MSP_E_LEAVING ||
	    refusal->status == MSP_E_NOT_READY)
		msp_pass_over_forward_vm(request->edge->forward_choice, &vm,
		    request->criteria.service->name, MSP_FORWARD_UNREACHABLE);
	else if (refusal->status == MSP_E_NO_TARGET)
		msp_pass_over_forward_vm(request->edge->forward_choice, &vm,
		    request->criteria.service->name, MSP_FORWARD_NO_TARGET);
	if (refusal->status == MSP_E_QUARANTINED ||
	    (attempts > 0 && !may_retry(request)) ||
	    !forward_request(request, request->forward.reason))
		end_refused_hop(request, refusal);
}

/* The request may have been executed, and there is no answer. */
static void
handle_lost_hop(edge_request_t *request, uint32_t attempts, const char *outcome)
{
	request->may_have_run = true;
	request->sent_count += attempts > 0 ? attempts : 1;
	if (request->is_idempotent && may_retry(request))
		send_request(request);
	else
		fail_request(request, outcome);
}

static void
handle_hop_answer(edge_request_t *request, msp_response_t *response)
{
	uint32_t attempts =
	    get_forward_attempts(response, request->forward.attempts);
	msp_forward_vm_t vm = get_last_vm(request);
	proxy_result_t result;

	if (decode_proxy_result(response, &result) != MSP_OK) {
		report_hop(request, "lost", response->status);
		handle_lost_hop(
		    request, request->forward.attempts, "forward-lost");
		return;
	}
	if (result.answered) {
		report_hop(request, "answered", result.response.status);
		msp_trust_forward_vm(request->edge->forward_choice, &vm,
		    request->criteria.service->name);
		request->sent_count += attempts;
		request->may_have_run = true;
		request->from_target = true;
		answer_request(request, &result.response,
		    result.response.status >= HTTP_SERVER_ERROR ? "target-error"
								: "answered");
		return;
	}
	report_hop(request,
	    result.refusal.run == MSP_RUN_NOT_EXECUTED
		? msp_status_name(result.refusal.status)
		: "failed",
	    response->status);
	if (result.refusal.run == MSP_RUN_NOT_EXECUTED)
		handle_refused_hop(request, &result.refusal, attempts);
	else
		handle_lost_hop(request, attempts, "forward-lost");
}

/* Handles a call that ended without a complete response to it. */
static void
handle_hop_failure(edge_request_t *request, const msp_call_result_t *result)
{
	msp_forward_vm_t vm = get_last_vm(request);

	report_hop(request, result->maybe_sent ? "lost" : "unreachable", 0);
	if (result->status != MSP_E_DEADLINE)
		msp_pass_over_forward_vm(request->edge->forward_choice, &vm,
		    request->criteria.service->name, MSP_FORWARD_UNREACHABLE);
	if (result->maybe_sent)
		handle_lost_hop(
		    request, request->forward.attempts, "forward-lost");
	else if (request->exchange == NULL ||
	    get_now(request) + TIME_LEFT_MIN_MS * MSP_MS >= request->deadline)
		fail_request(request, "no-connection");
	else if (!forward_request(request, request->forward.reason))
		send_request(request);
}

static void
handle_hop_done(void *ctx, msp_call_result_t *result)
{
	edge_request_t *request = ctx;

	request->call = NULL;
	request->forward.in_flight = false;
	if (result->status == MSP_OK &&
	    is_forward_answer(result->response, request->forward.id))
		handle_hop_answer(request, result->response);
	else
		handle_hop_failure(request, result);
}

/* Whether the second VM's response belongs to the hop. */
static bool
judge_response(void *ctx, const msp_call_result_t *result)
{
	const edge_request_t *request = ctx;

	return is_forward_answer(result->response, request->forward.id);
}

/*
 * Attempts for the second VM. Of a request that may be repeated one is kept, if
 * there are two, so that it can be sent once more if the answer is lost.
 */
static uint32_t
get_attempts(const edge_request_t *request)
{
	uint32_t left = 1;

	if (request->sent_count < request->max_attempts)
		left = request->max_attempts - request->sent_count;
	if (left > 1 && request->is_idempotent)
		left--;
	return left;
}

/* Time that the second VM has for its answer, 0 if it is too short. */
static uint32_t
get_forward_time_ms(const edge_request_t *request, const msp_forward_vm_t *vm)
{
	const msp_settings_t *settings = request->edge->daemon->settings;
	msp_time_t left = get_attempt_time(request) / MSP_MS;
	msp_time_t margin = RETURN_TIME_MS;

	if (vm->region == NULL || strcmp(vm->region, settings->region) != 0)
		margin += settings->edge.far_prior_ms;
	return left > margin + TIME_LEFT_MIN_MS ? (uint32_t)(left - margin) : 0;
}

/* Starts the call of a hop that has been recorded as the last one. */
static bool
start_hop(edge_request_t *request, const forward_terms_t *terms)
{
	const edge_forward_t *forward = &request->forward;
	const edge_hop_t *hop = &forward->hops[forward->hop_count - 1];
	msp_call_options_t options = {.address = hop->address,
	    .port = hop->port,
	    .timeout_ms =
		(uint32_t)((request->deadline - get_now(request)) / MSP_MS),
	    .fresh_connection = !request->is_idempotent,
	    .judge = judge_response};
	msp_request_t out;

	if (encode_forwarded_request(
		msp_exchange_request(request->exchange), terms, &out) != MSP_OK)
		return false;
	if (request->has_organisations)
		strip_organisation_fields(&out.headers);
	request->call = msp_start_call(request->edge->forward_client, &options,
	    &out, handle_hop_done, request);
	msp_drop_request(&out);
	return request->call != NULL;
}

/* Records a hop to the VM and fills the terms. */
static void
add_hop(edge_request_t *request, const msp_forward_vm_t *vm, const char *reason,
    forward_terms_t *terms)
{
	const daemon_t *daemon = request->edge->daemon;
	edge_forward_t *forward = &request->forward;
	edge_hop_t *hop = &forward->hops[forward->hop_count++];
	uint64_t number = msp_random_below(&daemon->env, UINT64_MAX);

	strlcpy(hop->address, vm->address, sizeof(hop->address));
	strlcpy(hop->place, vm->place, sizeof(hop->place));
	hop->port = vm->port;
	snprintf(forward->id, sizeof(forward->id), "%016" PRIx64, number);
	forward->attempts = terms->attempts_left;
	forward->reason = reason;
	strlcpy(terms->id, forward->id, sizeof(terms->id));
	strlcpy(terms->vm, daemon->settings->vm, sizeof(terms->vm));
}

static bool
find_vm(const edge_request_t *request, msp_forward_pick_t *pick)
{
	const edge_t *edge = request->edge;
	const edge_forward_t *forward = &request->forward;
	msp_forward_vm_t tried[FORWARD_VMS_MAX];
	msp_forward_query_t query = {.place = edge->daemon->settings->place,
	    .region = edge->daemon->settings->region,
	    .service = request->criteria.service->name,
	    .homes = request->criteria.homes,
	    .tried = tried,
	    .tried_count = forward->hop_count};
	size_t i;

	for (i = 0; i < forward->hop_count; i++)
		tried[i] = get_vm(request, i);
	return pick_forward_vm(edge, &query, pick);
}

bool
forward_request(edge_request_t *request, const char *reason)
{
	edge_forward_t *forward = &request->forward;
	msp_forward_pick_t pick;
	forward_terms_t terms = {.is_idempotent = request->is_idempotent,
	    .routes_version = get_routes_version(request->edge),
	    .attempts_left = get_attempts(request)};

	if (request->is_forwarded || request->exchange == NULL ||
	    forward->hop_count == FORWARD_VMS_MAX)
		return false;
	update_request_terms(request);
	if (request->is_revoked || !are_terms_known(request))
		return false;
	if (request->criteria.organisation != NULL)
		strlcpy(terms.organisation,
		    request->criteria.organisation->name,
		    sizeof(terms.organisation));
	if (!find_vm(request, &pick)) {
		refresh_edge_vms(request->edge);
		return false;
	}
	terms.time_left_ms = get_forward_time_ms(request, &pick.vm);
	if (terms.time_left_ms == 0)
		return false;
	add_hop(request, &pick.vm, reason, &terms);
	if (!start_hop(request, &terms)) {
		forward->hop_count--;
		return false;
	}
	request->choice = (msp_balance_choice_t){0};
	request->sent_at = get_now(request);
	forward->in_flight = true;
	return true;
}
