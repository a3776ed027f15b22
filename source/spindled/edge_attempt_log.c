#include <inttypes.h>

#include "edge_request.h"

#define HTTP_BAD_REQUEST 400

static const char *const conclusions[] = {
    [ATTEMPT_NOT_EXECUTED] = "not-executed",
    [ATTEMPT_EXECUTED] = "executed",
    [ATTEMPT_UNKNOWN] = "unknown",
};

/* Counts the end of an attempt; `result` is the value of a label. */
static void
count_attempt(
    const edge_request_t *request, const char *result, bool maybe_sent)
{
	msp_add_to_counter(request->edge->daemon->counters, 1,
	    "msp_edge_attempts_total{result=\"%s\",maybe_sent=\"%d\"}", result,
	    maybe_sent);
}

static uint64_t
get_attempt_ms(const edge_request_t *request)
{
	return (msp_now(&request->edge->daemon->env) - request->sent_at) /
	    MSP_MS;
}

/* Whose request id the response has. */
static const char *
get_id_owner(const target_fields_t *fields)
{
	if (fields->id_matches)
		return "own";
	return fields->other_id[0] == '\0' ? "missing" : "other";
}

static void
log_response(const edge_request_t *request, const msp_call_result_t *result,
    const target_fields_t *fields, attempt_conclusion_t conclusion)
{
	char id[REQUEST_ID_SIZE];
	char other_id[REQUEST_ID_SIZE];
	/* Ordinary refusals must leave room for the ends of requests. */
	msp_line_rank_t rank =
	    fields->other_id[0] != '\0' ? MSP_LINE_VITAL : MSP_LINE_NOTABLE;

	log_request(rank,
	    "event=attempt id=%s target=%s attempt=%zu concluded=%s status=%d "
	    "response_id=%s response_of=%s not_executed=%d signed=%d "
	    "wrong_target=%d conn=%" PRIu64 " nth=%u took_ms=%" PRIu64,
	    clean_log_value(request->caller.id, id, sizeof(id)),
	    request->choice.target->registration.id,
	    request->criteria.tried_count, conclusions[conclusion],
	    result->response->status, get_id_owner(fields),
	    clean_log_value(
		fields->other_id[0] == '\0' ? NULL : fields->other_id, other_id,
		sizeof(other_id)),
	    fields->not_run, fields->has_signature, fields->wrong_target,
	    result->connection, result->responses_before,
	    get_attempt_ms(request));
}

void
report_attempt_response(const edge_request_t *request,
    const msp_call_result_t *result, const target_fields_t *fields,
    attempt_conclusion_t conclusion)
{
	count_attempt(request, conclusions[conclusion], true);
	msp_add_to_counter(request->edge->daemon->counters, 1,
	    "msp_target_responses_total{id=\"%s\",not_executed=\"%d\"}",
	    get_id_owner(fields), fields->not_run);
	if (conclusion != ATTEMPT_EXECUTED ||
	    result->response->status >= HTTP_BAD_REQUEST)
		log_response(request, result, fields, conclusion);
}

void
report_attempt_failure(const edge_request_t *request,
    const msp_call_result_t *result, attempt_conclusion_t conclusion)
{
	char id[REQUEST_ID_SIZE];

	count_attempt(
	    request, msp_status_name(result->status), result->maybe_sent);
	log_request(conclusion == ATTEMPT_NOT_EXECUTED ? MSP_LINE_VITAL
						       : MSP_LINE_NOTABLE,
	    "event=attempt id=%s target=%s attempt=%zu concluded=%s error=%s "
	    "maybe_sent=%d no_first_byte=%d conn=%" PRIu64
	    " nth=%u took_ms=%" PRIu64,
	    clean_log_value(request->caller.id, id, sizeof(id)),
	    request->choice.target->registration.id,
	    request->criteria.tried_count, conclusions[conclusion],
	    msp_status_name(result->status), result->maybe_sent,
	    result->no_first_byte, result->connection, result->responses_before,
	    get_attempt_ms(request));
}

void
report_cancelled_attempt(const edge_request_t *request)
{
	count_attempt(request, "cancelled", msp_call_maybe_sent(request->call));
}
