#include "forward_to_issuer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claimed_requests_private.h"
#include "issuer_search.h"
#include "log.h"
#include "members.h"
#include "monsoonspindle/coord/issued_keys.h"
#include "problem.h"
#include "proxy_codec.h"

#define RESPONSE_MARGIN_MS 250

/* A request being forwarded to the VM that issued its key. */
typedef struct forward {
	claimed_requests_t *requests;
	caller_request_t *caller;
	msp_call_t *call;
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t port;
	char release_seen[MSP_DIGEST_TEXT_SIZE]; /* the nonce; "" if none */
	bool after_release;
} forward_t;

static void send_forward(forward_t *forward);

/*
 * If the issuer reports that the key was released, records whether the request
 * arrived here after that, and returns true: the request is then sent again
 * with this information. Returns false for a second report.
 */
static bool
record_release(forward_t *forward, const msp_headers_t *headers)
{
	const proxy_request_t *proxy = &forward->caller->proxy;
	const char *nonce = msp_find_header(headers, "msp-released");
	const char *age = msp_find_header(headers, "msp-age-us");
	msp_time_t waited;

	if (nonce == NULL || age == NULL ||
	    strlen(nonce) >= sizeof(forward->release_seen) ||
	    forward->release_seen[0] != '\0')
		return false;
	strcpy(forward->release_seen, nonce);
	waited = msp_now(&forward->requests->daemon->env) - proxy->arrival;
	forward->after_release = waited < strtoull(age, NULL, 10);
	return true;
}

static void
end_forward(forward_t *forward, msp_call_result_t *call_result)
{
	caller_request_t *caller = forward->caller;
	claimed_requests_t *requests = forward->requests;
	bool never_sent = !call_result->maybe_sent;
	proxy_result_t result = {0};

	free(forward);
	caller->proxy.cancel = NULL;
	if (call_result->status == MSP_OK &&
	    decode_proxy_result(call_result->response, &result) == MSP_OK) {
		answer_caller_request(caller, &result);
		msp_drop_response(&result.response);
		return;
	}
	if (never_sent) {
		/*
		 * The issuer can't be reached. This VM does not run a request
		 * whose key it has not issued, but the table of claims may
		 * hold the outcome.
		 */
		claim_request_here(requests, caller);
		return;
	}
	result.refusal = (msp_refusal_t){.status = MSP_E_IN_DOUBT,
	    .run = MSP_RUN_UNKNOWN,
	    .attempt_started = true,
	    .reason = "the response of the VM that issued the key was lost"};
	refuse_caller_request(caller, &result.refusal);
}

static bool
judge_response(void *ctx, const msp_call_result_t *result)
{
	const forward_t *forward = ctx;

	return is_proxy_result_of(&forward->caller->proxy, result);
}

static void
handle_forward_response(void *ctx, msp_call_result_t *call_result)
{
	forward_t *forward = ctx;

	if (call_result->status == MSP_OK &&
	    !judge_response(forward, call_result))
		call_result->status = MSP_E_TRUNCATED_RESPONSE;
	if (call_result->status == MSP_OK &&
	    record_release(forward, &call_result->response->headers))
		send_forward(forward);
	else
		end_forward(forward, call_result);
}

static void
cancel_forward(proxy_request_t *proxy)
{
	forward_t *forward = proxy->cancel_ctx;

	msp_cancel_call(forward->call);
	free(forward);
}

static msp_status_t
encode_forward(const forward_t *forward, msp_request_t *request)
{
	const caller_request_t *caller = forward->caller;
	msp_time_t now = msp_now(&forward->requests->daemon->env);
	msp_status_t status;

	status =
	    encode_proxy_request(&caller->proxy, FORWARDED_PATH, now, request);
	if (status != MSP_OK)
		return status;
	msp_print_header(
	    &request->headers, "msp-attempt", "%u", caller->attempt_number);
	msp_add_header(
	    &request->headers, "msp-release-seen", forward->release_seen);
	status = msp_add_header(&request->headers, "msp-after-release",
	    forward->after_release ? "1" : "0");
	if (status != MSP_OK)
		msp_drop_request(request);
	return status;
}

static void
send_forward(forward_t *forward)
{
	daemon_t *daemon = forward->requests->daemon;
	proxy_request_t *proxy = &forward->caller->proxy;
	msp_call_options_t options = {.address = forward->address,
	    .port = forward->port,
	    .timeout_ms = get_time_left_ms(proxy, msp_now(&daemon->env)) +
		RESPONSE_MARGIN_MS,
	    .fresh_connection = true,
	    .judge = judge_response};
	msp_call_result_t failed = {.status = MSP_E_NO_MEMORY};
	msp_request_t request;

	if (encode_forward(forward, &request) != MSP_OK) {
		end_forward(forward, &failed);
		return;
	}
	proxy->cancel = cancel_forward;
	proxy->cancel_ctx = forward;
	forward->call = msp_start_call(daemon->peer_client, &options, &request,
	    handle_forward_response, forward);
	msp_drop_request(&request);
	if (forward->call == NULL)
		end_forward(forward, &failed);
}

static void
log_forward(const caller_request_t *caller, const char *vm, const char *reason)
{
	msp_decision_t decision = {.action = "route",
	    .request_id = caller->proxy.id,
	    .service = caller->proxy.service,
	    .vm = vm,
	    .reason = reason};

	log_decision(NULL, &decision);
}

/*
 * Forwards the request. If out of memory, decides it here instead, which never
 * runs a request whose key another VM issued.
 */
static void
start_forward(claimed_requests_t *requests, caller_request_t *caller,
    const char *address, uint16_t port)
{
	forward_t *forward = calloc(1, sizeof(*forward));

	if (forward == NULL) {
		claim_request_here(requests, caller);
		return;
	}
	forward->requests = requests;
	forward->caller = caller;
	snprintf(forward->address, sizeof(forward->address), "%s", address);
	forward->port = port;
	send_forward(forward);
}

static void
handle_search_done(void *ctx, const char *address, uint16_t port)
{
	caller_request_t *caller = ctx;
	claimed_requests_t *requests = caller->daemon->claimed_requests;

	caller->proxy.cancel = NULL;
	if (address == NULL) {
		claim_request_here(requests, caller);
		return;
	}
	log_forward(caller, address, "issued-elsewhere");
	start_forward(requests, caller, address, port);
}

static void
cancel_search(proxy_request_t *proxy)
{
	cancel_issuer_search(proxy->cancel_ctx);
}

/* Searches other data centres; false if no VM there can be queried. */
static bool
search_issuer(claimed_requests_t *requests, caller_request_t *caller,
    uint64_t incarnation)
{
	issuer_search_t *search = start_issuer_search(
	    requests->daemon, incarnation, handle_search_done, caller);

	if (search == NULL)
		return false;
	caller->proxy.cancel = cancel_search;
	caller->proxy.cancel_ctx = search;
	return true;
}

bool
forward_to_issuer(claimed_requests_t *requests, caller_request_t *caller)
{
	const daemon_t *daemon = requests->daemon;
	const msp_member_t *member;
	msp_issued_key_t issued;

	if (!msp_parse_issued_key(caller->proxy.key, &issued) ||
	    issued.incarnation == daemon->incarnation)
		return false;
	member =
	    find_member_by_incarnation(daemon->members, issued.incarnation);
	if (member == NULL)
		return search_issuer(requests, caller, issued.incarnation);
	log_forward(caller, member->name, "issued-key");
	start_forward(requests, caller, member->address, member->peer_port);
	return true;
}

static msp_status_t
decode_forwarded(claimed_requests_t *requests, const msp_request_t *request,
    caller_request_t *caller)
{
	const msp_headers_t *headers = &request->headers;
	const char *seen = msp_find_header(headers, "msp-release-seen");
	const char *after = msp_find_header(headers, "msp-after-release");
	const char *attempt = msp_find_header(headers, "msp-attempt");
	msp_status_t status;

	status = decode_proxy_request(request, FORWARDED_PATH,
	    msp_now(&requests->daemon->env), &caller->proxy);
	if (status != MSP_OK)
		return status;
	if (attempt == NULL || after == NULL || caller->proxy.is_idempotent ||
	    caller->proxy.key[0] == '\0')
		return msp_fail(
		    MSP_E_BAD_REQUEST, "malformed forwarded request");
	caller->attempt_number = (uint32_t)strtoul(attempt, NULL, 10);
	caller->arrived_after_release = strcmp(after, "1") == 0;
	if (seen != NULL && seen[0] != '\0' &&
	    msp_parse_digest(seen, &caller->released_nonce) != 0)
		return msp_fail(
		    MSP_E_BAD_REQUEST, "msp-release-seen: invalid nonce");
	return MSP_OK;
}

void
serve_forwarded_request(claimed_requests_t *requests, msp_exchange_t *exchange)
{
	caller_request_t *caller =
	    new_caller_request(requests->daemon, exchange);
	msp_refusal_t refusal = {.run = MSP_RUN_UNKNOWN};

	if (caller == NULL) {
		answer_error(exchange, MSP_E_NO_MEMORY);
		return;
	}
	caller->forwarded = true;
	refusal.status =
	    decode_forwarded(requests, msp_exchange_request(exchange), caller);
	refusal.reason = msp_last_message();
	if (refusal.status == MSP_OK)
		claim_request_here(requests, caller);
	else
		refuse_caller_request(caller, &refusal);
}
