#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "edge_private.h"
#include "log.h"

#define TRIED_MAX 8 /* targets that one request is offered to */
#define RETRY_PERCENT 100.0 /* of the ratio in the settings */
#define RETRY_SHARE 0.7 /* of the budget that all VMs share */
#define RETRY_BURST 3 /* retries that one VM may make at once */
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 2000
#define NOT_READY_RETRY_MS 500
#define LEFT_MIN_MS 5 /* with less time left a request is not sent */
#define SILENCE_FACTOR 2 /* of the expected latency, without any answer */
#define SAMPLE_ONE_IN 16 /* good requests that are logged */
#define HTTP_NOT_FOUND 404
#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504
#define HTTP_SERVER_ERROR 500
#define DEFAULT_PATIENCE_MS 60000

/* One caller's request. */
struct edge_request {
	TAILQ_ENTRY(edge_request) link;
	edge_t *edge;
	msp_exchange_t *exchange; /* NULL once the caller went away */
	caller_fields_t caller;
	msp_route_table_t *table; /* the version that it is served by */
	msp_digest_t fingerprint;
	msp_time_t arrival;
	msp_time_t end; /* the final answer is due by then */
	msp_balance_request_t wanted;
	msp_view_target_t *tried[TRIED_MAX];
	uint32_t sent_count; /* targets that it may have reached */
	msp_balance_choice_t choice; /* of the try under way */
	msp_call_t *call;
	msp_time_t sent_at;
	bool may_have_run;
};

static msp_time_t
now_of(const edge_t *edge)
{
	return msp_now(&edge->daemon->env);
}

static const char *
route_name(const edge_request_t *request)
{
	return request->wanted.route == NULL ? "-"
					     : request->wanted.route->name;
}

/* Whether a request that went well is among those that are logged. */
static bool
is_sampled(const edge_request_t *request)
{
	return msp_hash_text(request->caller.id, 0) % SAMPLE_ONE_IN == 0;
}

/* One line for the end of a request, with what decided it. */
static void
log_end(const edge_request_t *request, msp_line_rank_t rank, int http_status,
    const char *outcome)
{
	const edge_t *edge = request->edge;
	const msp_balance_choice_t *choice = &request->choice;
	const msp_path_route_t *route = request->wanted.route;
	msp_time_t now = now_of(edge);

	log_request(rank,
	    "event=request id=%s status=%d outcome=%s route=%s service=%s "
	    "routes=%" PRIu64 " routes_age_ms=%" PRIu64
	    " targets_age_ms=%" PRIu64 " target=%s warmth=%s load=%.1f "
	    "wait_ms=%" PRIu64 " expected_ms=%" PRIu64 " took_ms=%" PRIu64
	    " left_ms=%" PRId64 " sent=%u tried=%zu goal_ms=%u",
	    request->caller.id, http_status, outcome, route_name(request),
	    request->wanted.service == NULL ? "-"
					    : request->wanted.service->name,
	    request->table == NULL ? 0 : request->table->version,
	    routes_age(edge) / MSP_MS, targets_age(edge) / MSP_MS,
	    choice->target == NULL ? "-" : choice->target->registration.id,
	    msp_warmth_name(choice->warmth), choice->load,
	    choice->wait / MSP_MS, choice->expected / MSP_MS,
	    (now - request->arrival) / MSP_MS,
	    ((int64_t)request->end - (int64_t)now) / (int64_t)MSP_MS,
	    request->sent_count, request->wanted.tried_count,
	    route == NULL ? 0 : route->goal_ms);
}

static void
free_request(edge_request_t *request)
{
	edge_t *edge = request->edge;
	size_t i;

	TAILQ_REMOVE(&edge->requests, request, link);
	edge->request_count--;
	for (i = 0; i < request->wanted.tried_count; i++)
		msp_release_view_target(request->tried[i]);
	msp_drop_route_table(request->table);
	free(request);
}

static void
record_end(const edge_request_t *request, bool good, msp_time_t took)
{
	edge_t *edge = request->edge;
	edge_durations_t kind = EDGE_ANSWERED;

	if (!good)
		kind = request->may_have_run ? EDGE_FAILED : EDGE_REFUSED;
	msp_record(&edge->durations[kind], took / MSP_MS);
}

/* Hands the answer over, if the caller is still there, and frees `request`. */
static void
answer(edge_request_t *request, msp_response_t *response, const char *outcome)
{
	edge_t *edge = request->edge;
	msp_time_t took = now_of(edge) - request->arrival;
	bool good = response->status < HTTP_SERVER_ERROR;
	bool late = request->wanted.route != NULL &&
	    took > request->wanted.route->goal_ms * MSP_MS;

	record_end(request, good, took);
	msp_count(edge->daemon->counters, 1,
	    "msp_requests_total{outcome=\"%s\",status=\"%d\"}", outcome,
	    response->status);
	if (!good || request->wanted.tried_count > 1)
		log_end(request, MSP_LINE_VITAL, response->status, outcome);
	else if (late)
		log_end(request, MSP_LINE_NOTABLE, response->status, outcome);
	else if (is_sampled(request))
		log_end(request, MSP_LINE_SAMPLE, response->status, outcome);
	if (request->exchange != NULL)
		msp_answer_exchange(request->exchange, response);
	msp_drop_response(response);
	free_request(request);
}

/* An answer of this system's own. */
static void
answer_own(edge_request_t *request, int http_status, uint32_t retry_after_ms,
    const char *outcome)
{
	msp_response_t response = {0};

	encode_own_answer(&response, http_status, request->caller.id,
	    retry_after_ms, outcome);
	answer(request, &response, outcome);
}

/* The request has run nowhere and will not: the caller may come back. */
static void
refuse(edge_request_t *request, uint32_t retry_after_ms, const char *outcome)
{
	edge_t *edge = request->edge;

	if (retry_after_ms < RETRY_AFTER_MIN_MS)
		retry_after_ms = RETRY_AFTER_MIN_MS;
	if (retry_after_ms > RETRY_AFTER_MAX_MS)
		retry_after_ms = RETRY_AFTER_MAX_MS;
	/* Those refused together come back one after the other. */
	retry_after_ms +=
	    (uint32_t)msp_random_below(&edge->daemon->env, retry_after_ms + 1);
	answer_own(request, HTTP_UNAVAILABLE, retry_after_ms, outcome);
}

/* No answer can be had any more. */
static void
give_up(edge_request_t *request, const char *outcome)
{
	bool late;

	if (!request->may_have_run) {
		refuse(request, RETRY_AFTER_MIN_MS, outcome);
		return;
	}
	/* A call ends within its last millisecond. */
	late = now_of(request->edge) + LEFT_MIN_MS * MSP_MS >= request->end;
	answer_own(request, late ? HTTP_GATEWAY_TIMEOUT : HTTP_BAD_GATEWAY, 0,
	    outcome);
}

static msp_retry_budget_t *
find_budget(edge_t *edge, const char *service)
{
	msp_retry_budget_t *budget = msp_map_get(edge->budgets, service);
	double ratio = edge->daemon->settings->edge.retry_ratio;

	if (budget != NULL)
		return budget;
	budget = calloc(1, sizeof(*budget));
	if (budget == NULL)
		return NULL;
	msp_set_retry_budget(budget,
	    (uint32_t)(ratio * RETRY_SHARE * RETRY_PERCENT), RETRY_BURST);
	if (msp_map_put(edge->budgets, service, budget) == MSP_OK)
		return budget;
	free(budget);
	return NULL;
}

static bool
may_retry(edge_request_t *request)
{
	edge_t *edge = request->edge;
	msp_retry_budget_t *budget;

	if (request->exchange == NULL ||
	    now_of(edge) + LEFT_MIN_MS * MSP_MS >= request->end ||
	    request->wanted.tried_count >= TRIED_MAX)
		return false;
	/* Nothing reached a target yet: this is still the first try. */
	if (request->sent_count == 0)
		return true;
	if (request->sent_count >= request->wanted.route->max_attempts)
		return false;
	budget = find_budget(edge, request->wanted.service->name);
	return budget != NULL && msp_spend_retry(budget);
}

static void send_request(edge_request_t *request);

static void
retry_or(edge_request_t *request, const char *outcome)
{
	if (!may_retry(request)) {
		give_up(request, outcome);
		return;
	}
	log_request(MSP_LINE_VITAL,
	    "event=retry id=%s reason=%s target=%s sent=%u tried=%zu",
	    request->caller.id, outcome,
	    request->choice.target->registration.id, request->sent_count,
	    request->wanted.tried_count);
	send_request(request);
}

/* The target said that it did not run the request. */
static void
handle_not_run(
    edge_request_t *request, const target_fields_t *fields, int http_status)
{
	edge_t *edge = request->edge;
	msp_view_target_t *target = request->choice.target;
	msp_time_t now = now_of(edge);
	/* As far as its last report goes. */
	bool had_room =
	    msp_estimate_target_load(&target->traffic, now,
		target->registration.slots) < target->registration.slots;

	if (fields->names_other) {
		msp_disown_target(edge->view, target, "another-target-there");
	} else if (http_status == HTTP_UNAVAILABLE) {
		msp_note_target_full(&target->traffic, now);
		/* One that has room and refuses is at fault itself. */
		msp_note_target_outcome(&target->traffic, now, !had_room);
	}
	retry_or(request, fields->names_other ? "misdirected" : "target-full");
}

static void
handle_answer(edge_request_t *request, msp_response_t *response)
{
	edge_t *edge = request->edge;
	msp_view_target_t *target = request->choice.target;
	msp_time_t now = now_of(edge);
	msp_time_t took = now - request->sent_at;
	target_fields_t fields;
	bool failed;
	bool ok;

	decode_target_fields(
	    response, request->caller.id, target->registration.id, &fields);
	ok = fields.same_id && fields.signed_answer && !fields.not_run;
	failed = response->status >= HTTP_SERVER_ERROR;
	msp_end_balanced(
	    edge->balancer, &request->wanted, &request->choice, took, ok);
	if (fields.has_load && fields.same_id)
		msp_note_load_told(&target->traffic, now, &fields.load);
	if (fields.not_run && fields.same_id) {
		handle_not_run(request, &fields, response->status);
		return;
	}
	if (fields.not_run && response->status >= 400) {
		handle_not_run(request, &fields, response->status);
		return;
	}
	request->may_have_run = true;
	msp_note_target_outcome(&target->traffic, now, ok && !failed);
	if (!ok && !failed) {
		/* Bytes that are not this request's answer. */
		if (request->wanted.route->idempotent)
			retry_or(request, "wrong-answer");
		else
			give_up(request, "wrong-answer");
		return;
	}
	if (failed && request->wanted.route->idempotent && may_retry(request)) {
		log_request(MSP_LINE_VITAL,
		    "event=retry id=%s reason=target-error status=%d "
		    "target=%s sent=%u",
		    request->caller.id, response->status,
		    target->registration.id, request->sent_count);
		send_request(request);
		return;
	}
	if (ok)
		msp_clear_strikes(edge->quarantine, request->fingerprint);
	if (!fields.same_id) {
		give_up(request, "target-error");
		return;
	}
	strip_target_fields(response);
	answer(request, response, failed ? "target-error" : "answered");
}

/*
 * Whether a target that did not answer had long enough to: callers with little
 * time give up on sound ones.
 */
static bool
is_silent(const edge_request_t *request, msp_time_t took)
{
	msp_time_t goal = request->wanted.route->goal_ms * MSP_MS;

	return took >= goal &&
	    took >= request->choice.expected * SILENCE_FACTOR;
}

/* The call ended without a whole answer. */
static void
handle_failure(edge_request_t *request, const msp_call_result_t *result)
{
	edge_t *edge = request->edge;
	msp_view_target_t *target = request->choice.target;
	msp_time_t now = now_of(edge);
	bool late = now + LEFT_MIN_MS * MSP_MS >= request->end;
	static const msp_digest_t nothing;

	msp_end_balanced(edge->balancer, &request->wanted, &request->choice,
	    now - request->sent_at, false);
	if (!result->maybe_sent) {
		/* It never reached the target. */
		request->sent_count--;
		if (result->status == MSP_E_PEER_DOWN)
			suspect_target(
			    edge, target, nothing, now, "no-connection");
		retry_or(request, "no-connection");
		return;
	}
	request->may_have_run = true;
	msp_note_target_outcome(&target->traffic, now, false);
	if (result->silent ? is_silent(request, now - request->sent_at) : !late)
		suspect_target(edge, target,
		    result->silent ? nothing : request->fingerprint,
		    request->sent_at, result->silent ? "silent" : "cut");
	if (request->wanted.route->idempotent && !late)
		retry_or(request, "cut");
	else
		give_up(request, late ? "timeout" : "cut");
}

static void
on_target_done(void *ctx, msp_call_result_t *result)
{
	edge_request_t *request = ctx;

	request->call = NULL;
	if (result->status == MSP_OK)
		handle_answer(request, result->response);
	else
		handle_failure(request, result);
}

/* Sends the request to the best target that it has not been sent to. */
static void
send_request(edge_request_t *request)
{
	edge_t *edge = request->edge;
	msp_time_t now = now_of(edge);
	msp_request_t out = {0};
	msp_call_options_t options = {0};
	msp_status_t status;
	const msp_registration_t *registration;

	request->wanted.left = request->end > now ? request->end - now : 0;
	status =
	    msp_balance(edge->balancer, &request->wanted, &request->choice);
	if (status != MSP_OK) {
		const char *outcome =
		    status == MSP_E_OVERLOAD ? "overload" : "no-target";

		if (request->may_have_run)
			give_up(request, outcome);
		else
			refuse(request,
			    status == MSP_E_OVERLOAD
				? (uint32_t)(request->choice.wait / MSP_MS)
				: NOT_READY_RETRY_MS,
			    outcome);
		return;
	}
	registration = &request->choice.target->registration;
	options.address = registration->address;
	options.port = registration->port;
	options.timeout_ms = (uint32_t)(request->wanted.left / MSP_MS);
	status = encode_target_request(msp_exchange_request(request->exchange),
	    registration->id, options.timeout_ms, &out);
	if (status == MSP_OK) {
		request->call = msp_start_call(edge->target_client, &options,
		    &out, on_target_done, request);
		msp_drop_request(&out);
	}
	if (status != MSP_OK || request->call == NULL) {
		give_up(request, "no-memory");
		return;
	}
	msp_begin_balanced(edge->balancer, &request->choice);
	request->tried[request->wanted.tried_count++] =
	    msp_keep_view_target(request->choice.target);
	request->sent_count++;
	request->sent_at = now;
}

static msp_digest_t
fingerprint_of(const msp_request_t *request)
{
	msp_digest_t digest = msp_digest(request->path, strlen(request->path));

	digest =
	    msp_chain_digest(digest, request->method, strlen(request->method));
	if (request->body.len > 0)
		digest = msp_chain_digest(
		    digest, request->body.data, request->body.len);
	return digest;
}

/* Finds route and service; false if the request was answered. */
static bool
find_service(edge_request_t *request, const msp_request_t *message)
{
	edge_t *edge = request->edge;
	const msp_path_route_t *route;

	if (edge->routes == NULL) {
		refuse(request, NOT_READY_RETRY_MS, "no-routes");
		return false;
	}
	request->table = msp_keep_route_table(edge->routes);
	route =
	    msp_match_path_route(edge->routes, message->host, message->path);
	if (route == NULL) {
		answer_own(request, HTTP_NOT_FOUND, 0, "no-route");
		return false;
	}
	request->wanted.route = route;
	request->wanted.service = msp_find_service_rule(
	    edge->routes, msp_split_request(edge->split, route));
	return true;
}

static void
set_end(edge_request_t *request)
{
	uint32_t limit = request->wanted.route->timeout_ms;
	uint32_t patience = request->caller.patience_ms;

	if (limit == 0)
		limit = DEFAULT_PATIENCE_MS;
	if (patience != 0 && patience < limit)
		limit = patience;
	request->end = request->arrival + limit * MSP_MS;
}

void
take_edge_request(void *ctx, msp_exchange_t *exchange)
{
	edge_t *edge = ctx;
	edge_request_t *request = calloc(1, sizeof(*request));
	const msp_request_t *message = msp_exchange_request(exchange);
	msp_response_t response = {0};
	msp_retry_budget_t *budget;

	if (request == NULL) {
		encode_own_answer(&response, HTTP_UNAVAILABLE, "",
		    NOT_READY_RETRY_MS, "no-memory");
		msp_answer_exchange(exchange, &response);
		return;
	}
	request->edge = edge;
	request->exchange = exchange;
	request->arrival = msp_exchange_arrival(exchange);
	request->end = request->arrival;
	msp_set_exchange_data(exchange, request);
	TAILQ_INSERT_TAIL(&edge->requests, request, link);
	edge->request_count++;
	decode_caller_fields(message, &request->caller);
	if (!find_service(request, message))
		return;
	set_end(request);
	request->fingerprint = fingerprint_of(message);
	request->wanted.tried = request->tried;
	request->wanted.has_object =
	    request->wanted.route->sticky && request->caller.has_object;
	request->wanted.object = msp_hash_text(
	    request->wanted.service->name, request->caller.object);
	if (msp_check_suspicion(edge->quarantine, request->fingerprint, NULL) ==
	    MSP_SUSPICION_QUARANTINED) {
		refuse(request, RETRY_AFTER_MAX_MS, "quarantined");
		return;
	}
	budget = find_budget(edge, request->wanted.service->name);
	if (budget != NULL)
		msp_earn_retry(budget);
	send_request(request);
}

void
leave_edge_request(void *ctx, msp_exchange_t *exchange)
{
	edge_request_t *request = msp_exchange_data(exchange);
	edge_t *edge = ctx;

	if (request == NULL)
		return;
	request->exchange = NULL;
	msp_count(edge->daemon->counters, 1, "msp_callers_gone_total");
	log_end(request, MSP_LINE_NOTABLE, 0, "caller-gone");
	/* What must not be repeated runs to its end. */
	if (!request->wanted.route->idempotent)
		return;
	msp_cancel_call(request->call);
	msp_end_balanced(edge->balancer, &request->wanted, &request->choice,
	    now_of(edge) - request->sent_at, false);
	free_request(request);
}

void
drop_edge_requests(edge_t *edge)
{
	edge_request_t *request;
	edge_request_t *next;

	TAILQ_FOREACH_SAFE(request, &edge->requests, link, next) {
		if (request->call != NULL) {
			msp_cancel_call(request->call);
			msp_release_view_target(request->choice.target);
		}
		free_request(request);
	}
}
