#include <stdio.h>
#include <string.h>

#include "edge_request.h"
#include "problem.h"
#include "proxy_codec.h"

#define HTTP_GATEWAY_TIMEOUT 504

/* The status of the closed list for each outcome that is no execution. */
static const struct {
	const char *outcome;
	msp_status_t status;
} refusals[] = {
    {"leaving", MSP_E_LEAVING},
    {"no-routes", MSP_E_NOT_READY},
    {"unknown-organisation", MSP_E_NOT_READY},
    {"no-route", MSP_E_UNKNOWN_ROUTE},
    {"quarantined", MSP_E_QUARANTINED},
    {"overload", MSP_E_OVERLOAD},
    {"target-limit", MSP_E_OVERLOAD},
    {"target-pause", MSP_E_OVERLOAD},
    {"target-full", MSP_E_OVERLOAD},
    {"no-memory", MSP_E_NO_MEMORY},
};

static msp_status_t
find_refusal(const char *outcome)
{
	size_t i;

	for (i = 0; i < sizeof(refusals) / sizeof(*refusals); i++) {
		if (strcmp(refusals[i].outcome, outcome) == 0)
			return refusals[i].status;
	}
	return MSP_E_NO_TARGET;
}

static void
describe_refusal(const edge_request_t *request, int http_status,
    const char *outcome, msp_refusal_t *refusal)
{
	refusal->attempt_started = request->sent_count > 0;
	refusal->retry_after_ms = request->retry_after_ms;
	refusal->reason = outcome;
	if (!request->may_have_run) {
		refusal->status = find_refusal(outcome);
		refusal->run = MSP_RUN_NOT_EXECUTED;
		return;
	}
	refusal->status = http_status == HTTP_GATEWAY_TIMEOUT ? MSP_E_DEADLINE
							      : MSP_E_IN_DOUBT;
	refusal->run = MSP_RUN_UNKNOWN;
}

void
encode_forward_answer(const edge_request_t *request, msp_response_t *response,
    const char *outcome)
{
	edge_t *edge = request->edge;
	proxy_result_t result = {.answered = request->from_target};

	msp_add_to_counter(edge->daemon->counters, 1,
	    "msp_forwards_served_total{outcome=\"%s\"}", outcome);
	snprintf(
	    result.vm, sizeof(result.vm), "%s", edge->daemon->settings->vm);
	if (result.answered) {
		/* The name is for logs only and may be cut. */
		snprintf(result.target, sizeof(result.target), "%.*s",
		    (int)sizeof(result.target) - 1,
		    request->choice.target->registration.id);
		result.response = *response;
		/* Only this VM says whether the request was executed. */
		drop_internal_headers(&result.response.headers);
	} else {
		describe_refusal(
		    request, response->status, outcome, &result.refusal);
		msp_drop_response(response);
	}
	*response = (msp_response_t){0};
	/*
	 * Without the id and the number of attempts the first VM takes the
	 * request as one that may have run.
	 */
	if (encode_proxy_result(&result, request->terms.id, response) !=
		MSP_OK ||
	    add_forward_attempts(response, request->sent_count) != MSP_OK)
		drop_internal_headers(&response->headers);
}

void
serve_edge_forward(edge_t *edge, msp_exchange_t *exchange)
{
	forward_terms_t terms;
	msp_status_t status =
	    decode_forward_terms(msp_exchange_request(exchange), &terms);

	if (status != MSP_OK) {
		answer_error(exchange, status);
		return;
	}
	begin_edge_request(edge, exchange, &terms);
}
