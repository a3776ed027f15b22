#ifndef SPINDLED_EDGE_REQUEST_H
#define SPINDLED_EDGE_REQUEST_H

#include "edge_private.h"
#include "forward_codec.h"
#include "log.h"

#define TRIED_MAX 8 /* targets to which one request is sent at most */
#define RETRY_AFTER_MAX_MS 2000
#define NOT_READY_RETRY_MS 500
#define TIME_LEFT_MIN_MS 5 /* a request with less time left is not sent */

#define FORWARD_VMS_MAX 4 /* VMs to which one request is forwarded at most */

/* A VM to which the request was forwarded. */
typedef struct edge_hop {
	char address[MSP_ADDRESS_SIZE];
	uint16_t port;
	char place[MSP_NAME_SIZE];
} edge_hop_t;

/*
 * A request that none of this VM's targets can take is forwarded to other VMs,
 * one after the other.
 */
typedef struct edge_forward {
	edge_hop_t hops[FORWARD_VMS_MAX]; /* the last may be in flight */
	size_t hop_count;
	bool in_flight;
	bool refused; /* by a VM that was reached, and not executed there */
	char id[PROXY_ID_SIZE]; /* of the last hop */
	uint32_t attempts; /* that the last VM may use */
	const char *reason; /* of the last hop; static */
	uint32_t failed_connects; /* to targets, with nothing sent */
} edge_forward_t;

/* What became of a request by the rate limit of its organisation. */
typedef enum rate_state {
	RATE_FREE, /* no limit, or another VM has admitted it */
	RATE_WAITING, /* for the owner of the limit */
	RATE_ADMITTED,
} rate_state_t;

/* One caller's request. */
struct edge_request {
	TAILQ_ENTRY(edge_request) link;
	edge_t *edge;
	msp_exchange_t *exchange; /* NULL once the caller has disconnected */
	caller_fields_t caller;
	msp_route_table_t *routes; /* in force at its arrival; a reference */
	/* References to newer routes that the criteria point to; or NULL. */
	msp_route_table_t *home_routes; /* criteria.homes.route */
	msp_route_table_t *organisation_routes; /* criteria.organisation */
	uint64_t terms_version; /* of the routes by which these were set */
	bool has_organisations; /* some routes that it was handled by have */
	bool is_revoked; /* the caller's key was taken away meanwhile */
	msp_digest_t fingerprint;
	msp_time_t arrival;
	msp_time_t deadline; /* for the final response */
	/* Unanswered requests before it on its connection when it arrived. */
	size_t pipeline_position;
	msp_time_t hold_time; /* that it waited for them before it began */
	msp_balance_request_t criteria;
	msp_view_target_t *tried[TRIED_MAX];
	uint64_t tried_addresses[TRIED_MAX]; /* their hashes when tried */
	uint32_t sent_count; /* attempts that may have reached a target */
	uint32_t max_attempts; /* of these */
	msp_balance_choice_t choice; /* of the current attempt */
	msp_call_t *call;
	msp_time_t sent_at;
	uint64_t sent_incarnation; /* of the target when it was sent */
	bool is_idempotent; /* by the routes of all VMs that have handled it */
	bool may_have_run;
	bool from_target; /* the response to the caller is a target's */
	edge_forward_t forward;
	/* Set if another VM has forwarded the request here. */
	bool is_forwarded;
	forward_terms_t terms;
	uint32_t retry_after_ms; /* of a refusal, without jitter */
	rate_state_t rate;
	/* By whose limit it was admitted or waits; part of `routes`. */
	const msp_organisation_t *rate_organisation;
	TAILQ_ENTRY(edge_request) rate_link; /* if RATE_WAITING */
};

/* edge_request.c */

/*
 * Begins a request that was received from a caller, or, with `terms`, from
 * another VM.
 */
void begin_edge_request(
    edge_t *edge, msp_exchange_t *exchange, const forward_terms_t *terms);

/* Goes on with a request that its organisation's limit admits. */
void start_admitted_request(edge_request_t *request);

/*
 * Takes the request back from a target to which nothing of it was sent, and
 * sends it to another one, if it may be; `reason` is for logs.
 */
void recall_request(edge_request_t *request, const char *reason);

/*
 * edge_routes.c: before an attempt, takes the caller's organisation and the
 * home regions from the routes that are in force now. A route that is no longer
 * there keeps its home regions.
 */
void update_request_terms(edge_request_t *request);

/*
 * Whether the request's home regions and organisation, if it has any, are
 * known. If other VMs have had newer routes for some time, they may have
 * changed.
 */
bool are_terms_known(const edge_request_t *request);

/* edge_organisation.c: which organisation a request belongs to */

/*
 * Finds the request's organisation by its API key, or by the name that the VM
 * has told which forwarded it. Returns false, and has ended the request, if it
 * may not be served.
 */
bool find_organisation(edge_request_t *request);

/*
 * The same by the routes that are in force now, in which `route` is that of the
 * request; sets `is_revoked`.
 */
void update_organisation(
    edge_request_t *request, const msp_path_route_t *route);

/*
 * Ends a request whose key is no longer valid; no target has executed it unless
 * `may_have_run` is set.
 */
void end_revoked_request(edge_request_t *request);

/* The name of the request's organisation; NULL if it has none. */
const char *get_organisation_name(const edge_request_t *request);

/*
 * edge_answer.c: how a request ends. All functions but log_request_end() free
 * the request.
 */

/* Logs the end of a request and the state that the decision was based on. */
void log_request_end(const edge_request_t *request, msp_line_rank_t rank,
    int http_status, const char *outcome);
void free_edge_request(edge_request_t *request);

/* Sends the response, unless the caller has disconnected, and drops it. */
void answer_request(
    edge_request_t *request, msp_response_t *response, const char *outcome);

/* Sends a response that is generated here rather than by a target. */
void send_local_reply(edge_request_t *request, int http_status,
    uint32_t retry_after_ms, const char *outcome);

/*
 * Answers 503 with Retry-After. For requests that no target has executed or
 * will execute, so that the caller may retry.
 */
void refuse_request(
    edge_request_t *request, uint32_t retry_after_ms, const char *outcome);

/*
 * Ends a request for which no target's response can be had any more: 502 or 504
 * if a target may have executed it, otherwise as refuse_request().
 */
void fail_request(edge_request_t *request, const char *outcome);

/*
 * edge_attempt_log.c: what came back from one attempt, in the log and in the
 * counters. To be called before the request's current target changes.
 */

/* What the edge concludes from the end of an attempt. */
typedef enum attempt_conclusion {
	ATTEMPT_NOT_EXECUTED, /* the target has not executed it and will not */
	ATTEMPT_EXECUTED, /* the response is the target's own to the request */
	ATTEMPT_UNKNOWN, /* the target may have executed the request */
} attempt_conclusion_t;

/* Counts a response; logs it unless it is the request's own success. */
void report_attempt_response(const edge_request_t *request,
    const msp_call_result_t *result, const target_fields_t *fields,
    attempt_conclusion_t conclusion);

/* Counts and logs a call that ended without a complete response. */
void report_attempt_failure(const edge_request_t *request,
    const msp_call_result_t *result, attempt_conclusion_t conclusion);

/* Counts an attempt that is cancelled since the caller has disconnected. */
void report_cancelled_attempt(const edge_request_t *request);

/* edge_forward.c: requests that this VM forwards to another */

/*
 * Whether connects to targets are not tried, or no longer, since several have
 * failed.
 */
bool has_lost_targets(const edge_request_t *request);

/*
 * Forwards the request to a VM that it was not forwarded to yet. Returns false,
 * and changes nothing, if it may not be forwarded or no such VM is known.
 */
bool forward_request(edge_request_t *request, const char *reason);

/* Counts and logs a hop that is cancelled since the caller is gone. */
void report_cancelled_hop(const edge_request_t *request);

/* edge_forward_serve.c: requests that another VM has forwarded to this one */

/* Turns this VM's response into that to the VM that forwarded the request. */
void encode_forward_answer(const edge_request_t *request,
    msp_response_t *response, const char *outcome);

/* edge_rates.c: rate limits of organisations */

/*
 * Admits the request by the limit of its organisation, if that has one, and
 * then calls start_admitted_request(), now or later; or refuses it.
 */
void admit_by_rate(edge_request_t *request);

/* The request may be executed a second time. */
void charge_retry(const edge_request_t *request);

/* To be called before a request is freed. */
void end_rate_use(edge_request_t *request);

/* edge_retry.c: whether it is sent once more */

/*
 * Whether the request may be sent to one more target, here or by another VM.
 * Counts it against this VM's share of the retry budget if that is a retry.
 */
bool may_retry(edge_request_t *request);

/* Counts a request to the service, by which retries are limited. */
void count_service_request(edge_t *edge, const char *service);

/* edge_attempt.c: sends a request to targets */

/*
 * Time that a target or another VM may have for one more attempt: until the
 * caller's deadline, and before this VM stops.
 */
msp_time_t get_attempt_time(const edge_request_t *request);

/*
 * Sends the request to another target, or ends it if it may not be sent again;
 * `outcome` is why the last attempt has failed.
 */
void retry_or_fail(edge_request_t *request, const char *outcome);

/* Ends a request for which no target was found, for the given reason. */
void end_without_target(edge_request_t *request, msp_status_t status);

/* Ends a request that this VM, which stops, can't finish in time. */
void end_before_stop(edge_request_t *request);

/*
 * Sends the request to the best target that it has not been sent to yet. Each
 * request ends by one of the functions of edge_answer.c, now or later.
 */
void send_request(edge_request_t *request);

#endif
