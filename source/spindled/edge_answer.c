#include <inttypes.h>
#include <stdlib.h>

#include <bsd/string.h>

#include "edge_request.h"

#define RETRY_AFTER_MIN_MS 100
#define HOMES_SIZE 128 /* bytes of home regions in a log line */
#define SAMPLE_ONE_IN 16 /* of this many successful requests, one is logged */
#define HTTP_BAD_REQUEST 400
#define HTTP_SERVER_ERROR 500
#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504

static msp_time_t
get_now(const edge_t *edge)
{
	return msp_now(&edge->daemon->env);
}

static const char *
get_route_name(const edge_request_t *request)
{
	return request->criteria.route == NULL ? "-"
					       : request->criteria.route->name;
}

/* Who decided on the response to the caller. */
static const char *
get_source(const edge_request_t *request)
{
	return request->from_target ? "target" : "edge";
}

/* Whether a successful request is logged. */
static bool
is_sampled(const edge_request_t *request)
{
	return msp_hash_text(request->caller.id, 0) % SAMPLE_ONE_IN == 0;
}

/* An age or a wait in ms; -1 for MSP_NEVER. */
static int64_t
time_to_log_ms(msp_time_t time)
{
	return time == MSP_NEVER ? -1 : (int64_t)(time / MSP_MS);
}

/* Home regions, separated by commas; "-" if there are none. */
static const char *
print_homes(const msp_region_list_t *homes, char *text, size_t size)
{
	size_t i;

	strlcpy(text, "-", size);
	if (homes == NULL || homes->count == 0)
		return text;
	*text = '\0';
	for (i = 0; i < homes->count; i++) {
		if (i > 0)
			strlcat(text, ",", size);
		strlcat(text, homes->names[i].name, size);
	}
	return text;
}

static const char *
print_organisation(const edge_request_t *request, char *text, size_t size)
{
	const char *name = get_organisation_name(request);

	return name == NULL ? "-" : clean_log_value(name, text, size);
}

/* The id of the last hop, which both VMs log. */
static const char *
get_forward_id(const edge_request_t *request)
{
	if (request->is_forwarded)
		return request->terms.id;
	return request->forward.hop_count > 0 ? request->forward.id : "-";
}

void
log_request_end(const edge_request_t *request, msp_line_rank_t rank,
    int http_status, const char *outcome)
{
	const edge_t *edge = request->edge;
	const msp_balance_choice_t *choice = &request->choice;
	const msp_path_route_t *route = request->criteria.route;
	msp_time_t now = get_now(edge);
	char homes[HOMES_SIZE];
	char organisation_homes[HOMES_SIZE];
	char organisation[MSP_ORGANISATION_NAME_SIZE];

	log_request(rank,
	    "event=request id=%s status=%d outcome=%s route=%s service=%s "
	    "routes=%" PRIu64 " newest_routes=%" PRIu64
	    " routes_age_ms=%" PRId64 " homes=%s organisation=%s "
	    "organisation_homes=%s targets_age_ms=%" PRId64
	    " target=%s region=%s warmth=%s load=%.1f "
	    "wait_ms=%" PRId64
	    " limited=%zu paused=%zu busy=%zu expected_ms=%" PRIu64
	    " took_ms=%" PRIu64 " left_ms=%" PRId64
	    " sent=%u tried=%zu goal_ms=%u hops=%zu forwarded_by=%s forward=%s "
	    "pipeline_position=%zu held_ms=%" PRIu64 " from=%s",
	    request->caller.id, http_status, outcome, get_route_name(request),
	    request->criteria.service == NULL ? "-"
					      : request->criteria.service->name,
	    request->routes == NULL ? 0 : request->routes->version,
	    get_newest_routes_version(edge),
	    time_to_log_ms(get_routes_age(edge)),
	    print_homes(request->criteria.homes.route, homes, sizeof(homes)),
	    print_organisation(request, organisation, sizeof(organisation)),
	    print_homes(request->criteria.homes.organisation,
		organisation_homes, sizeof(organisation_homes)),
	    time_to_log_ms(get_targets_age(edge)),
	    choice->target == NULL ? "-" : choice->target->registration.id,
	    choice->target == NULL ? "-" : choice->target->region,
	    msp_warmth_name(choice->warmth), choice->load,
	    time_to_log_ms(choice->wait), choice->limited_count,
	    choice->paused_count, choice->busy_count,
	    choice->expected_latency / MSP_MS,
	    (now - request->arrival) / MSP_MS,
	    ((int64_t)request->deadline - (int64_t)now) / (int64_t)MSP_MS,
	    request->sent_count, request->criteria.tried_count,
	    route == NULL ? 0 : route->goal_ms, request->forward.hop_count,
	    request->is_forwarded ? request->terms.vm : "-",
	    get_forward_id(request), request->pipeline_position,
	    request->hold_time / MSP_MS, get_source(request));
}

void
free_edge_request(edge_request_t *request)
{
	edge_t *edge = request->edge;
	size_t i;

	end_rate_use(request);
	TAILQ_REMOVE(&edge->requests, request, link);
	edge->request_count--;
	for (i = 0; i < request->criteria.tried_count; i++)
		msp_release_view_target(request->tried[i]);
	msp_drop_route_table(request->routes);
	msp_drop_route_table(request->home_routes);
	msp_drop_route_table(request->organisation_routes);
	free(request);
}

static void
record_duration(
    const edge_request_t *request, bool succeeded, msp_time_t duration)
{
	edge_t *edge = request->edge;
	edge_outcome_t outcome = EDGE_ANSWERED;

	if (!succeeded)
		outcome = request->may_have_run ? EDGE_FAILED : EDGE_REFUSED;
	msp_record_value(&edge->durations[outcome], duration / MSP_MS);
}

void
count_refusal(edge_t *edge, const char *source, int http_status)
{
	if (is_refusal_status(http_status))
		msp_add_to_counter(edge->daemon->counters, 1,
		    "msp_edge_refusals_total{source=\"%s\",status=\"%d\"}",
		    source, http_status);
}

/* Logs the end of a request if its response or its duration is notable. */
static void
log_answer(const edge_request_t *request, int http_status, const char *outcome,
    bool late)
{
	if (http_status >= HTTP_SERVER_ERROR ||
	    is_refusal_status(http_status) || request->criteria.tried_count > 1)
		log_request_end(request, MSP_LINE_VITAL, http_status, outcome);
	else if (http_status >= HTTP_BAD_REQUEST || late)
		log_request_end(
		    request, MSP_LINE_NOTABLE, http_status, outcome);
	else if (is_sampled(request))
		log_request_end(request, MSP_LINE_SAMPLE, http_status, outcome);
}

void
answer_request(
    edge_request_t *request, msp_response_t *response, const char *outcome)
{
	edge_t *edge = request->edge;
	msp_time_t duration = get_now(edge) - request->arrival;
	bool succeeded = response->status < HTTP_SERVER_ERROR;
	bool late = request->criteria.route != NULL &&
	    duration > request->criteria.route->goal_ms * MSP_MS;

	record_duration(request, succeeded, duration);
	msp_add_to_counter(edge->daemon->counters, 1,
	    "msp_requests_total{outcome=\"%s\",status=\"%d\"}", outcome,
	    response->status);
	log_answer(request, response->status, outcome, late);
	if (request->exchange != NULL) {
		count_refusal(edge, get_source(request), response->status);
		if (request->is_forwarded)
			encode_forward_answer(request, response, outcome);
		msp_send_exchange_response(request->exchange, response);
	}
	msp_drop_response(response);
	free_edge_request(request);
}

void
send_local_reply(edge_request_t *request, int http_status,
    uint32_t retry_after_ms, const char *outcome)
{
	msp_response_t response = {0};

	encode_local_reply(&response, http_status, request->caller.id,
	    retry_after_ms, outcome);
	answer_request(request, &response, outcome);
}

void
refuse_request(
    edge_request_t *request, uint32_t retry_after_ms, const char *outcome)
{
	edge_t *edge = request->edge;
	uint32_t jitter_ms;

	if (retry_after_ms < RETRY_AFTER_MIN_MS)
		retry_after_ms = RETRY_AFTER_MIN_MS;
	request->retry_after_ms = retry_after_ms;
	/* Jitter, so that callers refused together don't return together. */
	jitter_ms = retry_after_ms < RETRY_AFTER_MAX_MS ? retry_after_ms
							: RETRY_AFTER_MAX_MS;
	retry_after_ms +=
	    (uint32_t)msp_random_below(&edge->daemon->env, jitter_ms + 1);
	send_local_reply(request, HTTP_UNAVAILABLE, retry_after_ms, outcome);
}

void
fail_request(edge_request_t *request, const char *outcome)
{
	bool late;

	if (!request->may_have_run) {
		refuse_request(request, RETRY_AFTER_MIN_MS, outcome);
		return;
	}
	/*
	 * Calls time out up to a millisecond before the deadline, so that the
	 * comparison needs a margin.
	 */
	late = get_now(request->edge) + TIME_LEFT_MIN_MS * MSP_MS >=
	    request->deadline;
	send_local_reply(request,
	    late ? HTTP_GATEWAY_TIMEOUT : HTTP_BAD_GATEWAY, 0, outcome);
}
