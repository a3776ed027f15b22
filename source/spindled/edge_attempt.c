#include <stdlib.h>

#include "edge_request.h"
#include "proxy_codec.h"

/* A target that sends nothing for this many expected latencies is silent. */
#define SILENT_LATENCY_FACTOR 2
#define RETRY_AT_ONCE_MS 0 /* at another VM */
#define HTTP_SERVER_ERROR 500
#define HTTP_UNAVAILABLE 503

static msp_time_t
get_now(const edge_t *edge)
{
	return msp_now(&edge->daemon->env);
}

/* Time until the caller's deadline. */
static msp_time_t
get_caller_time(const edge_request_t *request)
{
	msp_time_t now = get_now(request->edge);

	return request->deadline > now ? request->deadline - now : 0;
}

msp_time_t
get_attempt_time(const edge_request_t *request)
{
	msp_time_t left = get_caller_time(request);
	msp_time_t before_stop = msp_target_time_before_stop(
	    get_time_until_stop(request->edge->daemon));

	return left < before_stop ? left : before_stop;
}

/* The end of a pause is known, how long another wait takes is estimated. */
static uint32_t
get_retry_after_ms(const msp_balance_choice_t *choice)
{
	msp_time_t most =
	    choice->is_paused ? MSP_RETRY_AFTER_MAX_MS : RETRY_AFTER_MAX_MS;
	msp_time_t wait_ms = choice->wait / MSP_MS + 1;

	return (uint32_t)(wait_ms < most ? wait_ms : most);
}

void
end_without_target(edge_request_t *request, msp_status_t status)
{
	const msp_balance_choice_t *choice = &request->choice;
	const char *outcome = "no-target";
	uint32_t retry_after_ms = NOT_READY_RETRY_MS;

	if (status == MSP_E_OVERLOAD) {
		outcome = choice->is_limited ? "target-limit" : "overload";
		if (choice->is_paused)
			outcome = "target-pause";
		retry_after_ms = get_retry_after_ms(choice);
	}
	if (request->may_have_run)
		fail_request(request, outcome);
	else
		refuse_request(request, retry_after_ms, outcome);
}

void
end_before_stop(edge_request_t *request)
{
	if (request->may_have_run)
		fail_request(request, "leaving");
	else
		refuse_request(request, RETRY_AT_ONCE_MS, "leaving");
}

void
retry_or_fail(edge_request_t *request, const char *outcome)
{
	if (!may_retry(request)) {
		fail_request(request, outcome);
		return;
	}
	log_request(MSP_LINE_VITAL,
	    "event=retry id=%s reason=%s target=%s sent=%u tried=%zu",
	    request->caller.id, outcome,
	    request->choice.target->registration.id, request->sent_count,
	    request->criteria.tried_count);
	send_request(request);
}

/* Handles a response that says that the request was not executed. */
static void
handle_not_run(
    edge_request_t *request, const target_fields_t *fields, int http_status)
{
	edge_t *edge = request->edge;
	msp_view_target_t *target = request->choice.target;
	msp_time_t now = get_now(edge);
	/* According to the target's last load report. */
	bool had_free_slot =
	    msp_estimate_target_load(&target->traffic, now,
		target->registration.slots) < target->registration.slots;

	if (fields->wrong_target) {
		msp_mark_target_removed(
		    edge->view, target, "another-target-there");
	} else if (http_status == HTTP_UNAVAILABLE &&
	    !msp_target_is_paused(&target->pause, now)) {
		msp_record_target_full(&target->traffic, now);
		/* Refusing with free slots counts as a failure. */
		msp_record_target_outcome(
		    &target->traffic, now, !had_free_slot);
	}
	retry_or_fail(
	    request, fields->wrong_target ? "misdirected" : "target-full");
}

static void
decode_response(const edge_request_t *request, const msp_call_result_t *result,
    target_fields_t *fields)
{
	sent_request_t sent = {.caller_id = request->caller.id,
	    .target_id = request->choice.target->registration.id,
	    .first_on_connection = result->first_on_connection};

	decode_target_fields(result->response, &sent, fields);
}

/* Whether the target's process is the one that the request was sent to. */
static bool
is_same_process(const edge_request_t *request)
{
	return request->choice.target->registration.incarnation ==
	    request->sent_incarnation;
}

static void
observe_wishes(const edge_request_t *request, const target_fields_t *fields)
{
	if (!fields->wrong_target && is_same_process(request))
		observe_target_wishes(request->edge, request->choice.target,
		    &fields->pause, fields->leaving);
}

/* What the head of a response says counts also if its body is cut. */
static void
observe_cut_response(
    const edge_request_t *request, const msp_call_result_t *result)
{
	target_fields_t fields;

	if (result->response->status == 0)
		return;
	decode_response(request, result, &fields);
	observe_wishes(request, &fields);
}

static void
handle_response(edge_request_t *request, const msp_call_result_t *result)
{
	msp_response_t *response = result->response;
	edge_t *edge = request->edge;
	msp_view_target_t *target = request->choice.target;
	msp_time_t now = get_now(edge);
	msp_time_t duration = now - request->sent_at;
	target_fields_t fields;
	bool failed;
	bool ok;

	record_target_contact(edge, target);
	decode_response(request, result, &fields);
	ok = fields.id_matches && fields.has_signature && !fields.not_run &&
	    !fields.unconfirmed_refusal;
	failed = response->status >= HTTP_SERVER_ERROR;
	msp_end_balanced_request(
	    edge->balancer, &request->criteria, &request->choice, duration, ok);
	if (fields.has_load && fields.id_matches)
		msp_record_server_load(&target->traffic, now, &fields.load);
	observe_wishes(request, &fields);
	if (fields.is_own && !fields.wrong_target && is_same_process(request))
		observe_target_limit(edge, target, request->sent_at,
		    fields.limit_field, fields.limit_per_second);
	/* Another request's "not executed" says nothing about this one. */
	if (fields.not_run && fields.is_own) {
		report_attempt_response(
		    request, result, &fields, ATTEMPT_NOT_EXECUTED);
		handle_not_run(request, &fields, response->status);
		return;
	}
	report_attempt_response(
	    request, result, &fields, ok ? ATTEMPT_EXECUTED : ATTEMPT_UNKNOWN);
	request->may_have_run = true;
	/* A target that asks for a pause has not failed. */
	if (!msp_target_is_paused(&target->pause, now))
		msp_record_target_outcome(&target->traffic, now, ok && !failed);
	if (!ok && !failed) {
		/* Not a valid response to this request. */
		if (request->is_idempotent)
			retry_or_fail(request, "wrong-answer");
		else
			fail_request(request, "wrong-answer");
		return;
	}
	if (failed && request->is_idempotent && may_retry(request)) {
		log_request(MSP_LINE_VITAL,
		    "event=retry id=%s reason=target-error status=%d "
		    "target=%s sent=%u",
		    request->caller.id, response->status,
		    target->registration.id, request->sent_count);
		send_request(request);
		return;
	}
	if (ok)
		msp_clear_known_strikes(
		    edge->strike_sync, request->fingerprint);
	if (!fields.id_matches || fields.unconfirmed_refusal) {
		fail_request(request, "target-error");
		return;
	}
	request->from_target = true;
	strip_target_fields(response);
	answer_request(request, response, failed ? "target-error" : "answered");
}

/*
 * Whether a target that did not answer had enough time to do so. Callers with
 * short deadlines give up on healthy targets.
 */
static bool
is_silent(const edge_request_t *request, msp_time_t duration)
{
	msp_time_t goal = request->criteria.route->goal_ms * MSP_MS;

	return duration >= goal &&
	    duration >=
	    request->choice.expected_latency * SILENT_LATENCY_FACTOR;
}

/* Handles a call that ended without a complete response. */
static void
handle_call_failure(edge_request_t *request, const msp_call_result_t *result)
{
	edge_t *edge = request->edge;
	msp_view_target_t *target = request->choice.target;
	msp_time_t now = get_now(edge);
	bool late = now + TIME_LEFT_MIN_MS * MSP_MS >= request->deadline;
	static const msp_digest_t no_fingerprint;

	msp_end_balanced_request(edge->balancer, &request->criteria,
	    &request->choice, now - request->sent_at, false);
	observe_cut_response(request, result);
	report_attempt_failure(request, result,
	    result->maybe_sent ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_EXECUTED);
	if (!result->maybe_sent) {
		/* No byte of the request reached the target. */
		request->sent_count--;
		if (result->status == MSP_E_PEER_DOWN) {
			request->forward.failed_connects++;
			record_no_connection(edge, target);
			suspect_target(
			    edge, target, no_fingerprint, now, "no-connection");
		}
		retry_or_fail(request,
		    result->status == MSP_E_OVERLOAD ? "busy"
						     : "no-connection");
		return;
	}
	request->may_have_run = true;
	msp_record_target_outcome(&target->traffic, now, false);
	if (result->no_first_byte ? is_silent(request, now - request->sent_at)
				  : !late)
		suspect_target(edge, target,
		    result->no_first_byte ? no_fingerprint
					  : request->fingerprint,
		    request->sent_at, result->no_first_byte ? "silent" : "cut");
	if (request->is_idempotent && !late)
		retry_or_fail(request, "cut");
	else
		fail_request(request, late ? "timeout" : "cut");
}

static void
handle_call_done(void *ctx, msp_call_result_t *result)
{
	edge_request_t *request = ctx;

	request->call = NULL;
	if (result->status == MSP_OK)
		handle_response(request, result);
	else
		handle_call_failure(request, result);
}

/* Whether the target's response belongs to the request. */
static bool
judge_response(void *ctx, const msp_call_result_t *result)
{
	target_fields_t fields;

	decode_response(ctx, result, &fields);
	return fields.is_own;
}

/*
 * Ends a request that is not to wait for further failed connects: another VM
 * has found no target either, or is the one that has forwarded it. Otherwise
 * returns false.
 */
static bool
end_at_lost_targets(edge_request_t *request)
{
	if (!request->is_forwarded && !request->forward.refused)
		return false;
	end_without_target(request, MSP_E_NO_TARGET);
	return true;
}

static uint64_t
hash_address(const msp_registration_t *registration)
{
	return msp_hash_text(registration->address, registration->port);
}

/* Whether an earlier attempt of the request went to the address. */
static bool
was_address_tried(
    const edge_request_t *request, const msp_registration_t *registration)
{
	uint64_t hash = hash_address(registration);
	size_t i;

	for (i = 0; i < request->criteria.tried_count; i++) {
		if (request->tried_addresses[i] == hash)
			return true;
	}
	return false;
}

static void
fill_call_options(const edge_request_t *request, msp_call_options_t *options)
{
	const msp_registration_t *registration =
	    &request->choice.target->registration;

	*options = (msp_call_options_t){
	    .address = registration->address,
	    .port = registration->port,
	    .timeout_ms = (uint32_t)(get_caller_time(request) / MSP_MS),
	    .judge = judge_response,
	    /*
	     * The request's id does not tell a late response to an earlier
	     * attempt from one to this attempt.
	     */
	    .unused_connection = was_address_tried(request, registration),
	};
}

/* Notes the target to which the request has been sent. */
static void
record_tried_target(edge_request_t *request)
{
	msp_view_target_t *target = request->choice.target;
	size_t index = request->criteria.tried_count++;

	request->tried[index] = msp_keep_view_target(target);
	request->tried_addresses[index] = hash_address(&target->registration);
	request->sent_incarnation = target->registration.incarnation;
}

/*
 * Chooses a target that is expected to respond in time: before the deadline,
 * and well before this VM stops.
 */
static msp_status_t
choose_target(edge_request_t *request, msp_time_t time_left)
{
	edge_t *edge = request->edge;
	msp_balance_request_t *criteria = &request->criteria;

	criteria->time_left = time_left;
	criteria->is_stopping = edge->daemon->leaving;
	criteria->stops_in = get_time_until_stop(edge->daemon);
	return msp_balance(edge->balancer, criteria, &request->choice);
}

/* Handles a request for which choose_target() has found none. */
static void
handle_no_target(
    edge_request_t *request, msp_time_t time_left, msp_status_t status)
{
	const msp_balance_choice_t *choice = &request->choice;

	if (choice->all_suspect && forward_request(request, "all-suspect"))
		return;
	if (request->edge->daemon->leaving && status == MSP_E_OVERLOAD &&
	    choice->target != NULL && choice->expected_latency <= time_left)
		end_before_stop(request);
	else
		end_without_target(request, status);
}

void
send_request(edge_request_t *request)
{
	edge_t *edge = request->edge;
	msp_time_t now = get_now(edge);
	msp_time_t time_left = get_attempt_time(request);
	msp_request_t out = {0};
	msp_call_options_t options;
	target_terms_t terms;
	const char *kind;
	msp_status_t status;

	update_request_terms(request);
	if (request->is_revoked) {
		end_revoked_request(request);
		return;
	}
	if (!are_terms_known(request)) {
		if (request->may_have_run)
			fail_request(request, "routes-outdated");
		else
			refuse_request(
			    request, NOT_READY_RETRY_MS, "routes-outdated");
		return;
	}
	if (edge->daemon->leaving && time_left < TIME_LEFT_MIN_MS * MSP_MS) {
		end_before_stop(request);
		return;
	}
	if (has_lost_targets(request) &&
	    (forward_request(request, "lost-targets") ||
		end_at_lost_targets(request)))
		return;
	status = choose_target(request, time_left);
	if (status != MSP_OK) {
		handle_no_target(request, time_left, status);
		return;
	}
	fill_call_options(request, &options);
	terms = (target_terms_t){
	    .target_id = request->choice.target->registration.id,
	    .time_left_ms = (uint32_t)(time_left / MSP_MS),
	    .has_organisations = request->has_organisations,
	    .organisation = get_organisation_name(request)};
	status = encode_target_request(
	    msp_exchange_request(request->exchange), &terms, &out);
	if (status == MSP_OK) {
		drop_internal_headers(&out.headers);
		request->call = msp_start_call(edge->target_client, &options,
		    &out, handle_call_done, request);
		msp_drop_request(&out);
	}
	if (status != MSP_OK || request->call == NULL) {
		fail_request(request, "no-memory");
		return;
	}
	kind = request->criteria.tried_count == 0 ? "request" : "retry";
	msp_begin_balanced_request(edge->balancer, &request->choice);
	count_sent_request(edge, request->choice.target, kind);
	report_paused_send(
	    edge, request->choice.target, kind, request->caller.id);
	record_tried_target(request);
	request->sent_count++;
	request->sent_at = now;
}
