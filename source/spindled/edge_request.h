#ifndef SPINDLED_EDGE_REQUEST_H
#define SPINDLED_EDGE_REQUEST_H

#include "edge_private.h"
#include "log.h"

#define TRIED_MAX 8 /* targets that one request is offered to */
#define RETRY_AFTER_MAX_MS 2000
#define NOT_READY_RETRY_MS 500
#define TIME_LEFT_MIN_MS 5 /* with less time left a request is not sent */

/* One caller's request. */
struct edge_request {
	TAILQ_ENTRY(edge_request) link;
	edge_t *edge;
	msp_exchange_t *exchange; /* NULL once the caller went away */
	caller_fields_t caller;
	msp_route_table_t *routes; /* the version that it is served by */
	msp_digest_t fingerprint;
	msp_time_t arrival;
	msp_time_t deadline; /* the final answer is due by then */
	msp_balance_request_t criteria;
	msp_view_target_t *tried[TRIED_MAX];
	uint32_t sent_count; /* targets that it may have reached */
	msp_balance_choice_t choice; /* of the try under way */
	msp_call_t *call;
	msp_time_t sent_at;
	bool may_have_run;
};

/* edge_answer.c: how a request ends. All but the first free it. */

/* One line for the end of a request, with what decided it. */
void log_request_end(const edge_request_t *request, msp_line_rank_t rank,
    int http_status, const char *outcome);
void free_edge_request(edge_request_t *request);

/* Hands the answer over, if the caller is still there. */
void answer_request(
    edge_request_t *request, msp_response_t *response, const char *outcome);

/* An answer of this system's own. */
void send_local_reply(edge_request_t *request, int http_status,
    uint32_t retry_after_ms, const char *outcome);

/* The request has run nowhere and will not: the caller may come back. */
void refuse_request(
    edge_request_t *request, uint32_t retry_after_ms, const char *outcome);

/* No answer can be had any more. */
void fail_request(edge_request_t *request, const char *outcome);

/* edge_try.c: the targets that a request is sent to */

/* Counts a request of the service for the budget of retries. */
void refill_service_retry_budget(edge_t *edge, const char *service);

/*
 * Sends the request to the best target that it has not been sent to, and sees
 * it to its end: answered, refused or given up.
 */
void send_request(edge_request_t *request);

#endif
