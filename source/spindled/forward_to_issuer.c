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

#define ANSWER_MARGIN_MS 250

/* One try on its way to the VM that issued its key. */
typedef struct forward {
	claimed_requests_t *commits;
	caller_request_t *entry;
	msp_call_t *call;
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t port;
	char release_seen[MSP_DIGEST_TEXT_SIZE]; /* nonce, or "" */
	bool after_release;
} forward_t;

static void send_forward(forward_t *forward);

/* The key was released meanwhile: whether the try came later is told once. */
static bool
note_release(forward_t *forward, const msp_headers_t *headers)
{
	const proxy_request_t *work = &forward->entry->work;
	const char *nonce = msp_find_header(headers, "msp-released");
	const char *age = msp_find_header(headers, "msp-age-us");
	msp_time_t waited;

	if (nonce == NULL || age == NULL ||
	    strlen(nonce) >= sizeof(forward->release_seen) ||
	    forward->release_seen[0] != '\0')
		return false;
	strcpy(forward->release_seen, nonce);
	waited = msp_now(&forward->commits->daemon->env) - work->arrival;
	forward->after_release = waited < strtoull(age, NULL, 10);
	return true;
}

static void
end_forward(forward_t *forward, msp_call_result_t *ended)
{
	caller_request_t *entry = forward->entry;
	claimed_requests_t *commits = forward->commits;
	bool never_sent = !ended->maybe_sent;
	proxy_result_t result = {0};

	free(forward);
	entry->work.cancel = NULL;
	if (ended->status == MSP_OK &&
	    decode_proxy_result(ended->response, &result) == MSP_OK) {
		answer_caller_request(entry, &result);
		msp_drop_response(&result.response);
		return;
	}
	if (never_sent) {
		/* Nothing runs here; an outcome may be recorded. */
		claim_request_here(commits, entry);
		return;
	}
	result.refusal = (msp_refusal_t){.status = MSP_E_IN_DOUBT,
	    .run = MSP_RUN_UNKNOWN,
	    .try_started = true,
	    .reason = "the answer of the VM that issued the key was lost"};
	refuse_caller_request(entry, &result.refusal);
}

static void
on_answer(void *ctx, msp_call_result_t *ended)
{
	forward_t *forward = ctx;

	if (ended->status == MSP_OK &&
	    note_release(forward, &ended->response->headers))
		send_forward(forward);
	else
		end_forward(forward, ended);
}

static void
cancel_forward(proxy_request_t *work)
{
	forward_t *forward = work->runner;

	msp_cancel_call(forward->call);
	free(forward);
}

static msp_status_t
write_forward(const forward_t *forward, msp_request_t *request)
{
	const caller_request_t *entry = forward->entry;
	msp_time_t now = msp_now(&forward->commits->daemon->env);
	msp_status_t status;

	status = encode_proxy_request(&entry->work, TRIES_PATH, now, request);
	if (status != MSP_OK)
		return status;
	msp_print_header(
	    &request->headers, "msp-attempt", "%u", entry->attempt);
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
	daemon_t *daemon = forward->commits->daemon;
	proxy_request_t *work = &forward->entry->work;
	msp_call_options_t options = {.address = forward->address,
	    .port = forward->port,
	    .timeout_ms = get_time_left_ms(work, msp_now(&daemon->env)) +
		ANSWER_MARGIN_MS,
	    .fresh = true};
	msp_call_result_t failed = {.status = MSP_E_NO_MEMORY};
	msp_request_t request;

	if (write_forward(forward, &request) != MSP_OK) {
		end_forward(forward, &failed);
		return;
	}
	work->cancel = cancel_forward;
	work->runner = forward;
	forward->call = msp_start_call(
	    daemon->peer_client, &options, &request, on_answer, forward);
	msp_drop_request(&request);
	if (forward->call == NULL)
		end_forward(forward, &failed);
}

static void
tell_forward(const caller_request_t *entry, const char *vm, const char *reason)
{
	msp_decision_t decision = {.what = "route",
	    .request_id = entry->work.id,
	    .service = entry->work.service,
	    .vm = vm,
	    .reason = reason};

	log_decision(NULL, &decision);
}

/* Sends the try on; without memory it is decided here, where nothing runs. */
static void
start_forward(claimed_requests_t *commits, caller_request_t *entry,
    const char *address, uint16_t port)
{
	forward_t *forward = calloc(1, sizeof(*forward));

	if (forward == NULL) {
		claim_request_here(commits, entry);
		return;
	}
	forward->commits = commits;
	forward->entry = entry;
	snprintf(forward->address, sizeof(forward->address), "%s", address);
	forward->port = port;
	send_forward(forward);
}

static void
on_found(void *ctx, const char *address, uint16_t port)
{
	caller_request_t *entry = ctx;
	claimed_requests_t *commits = entry->daemon->claimed_requests;

	entry->work.cancel = NULL;
	if (address == NULL) {
		claim_request_here(commits, entry);
		return;
	}
	tell_forward(entry, address, "issued-elsewhere");
	start_forward(commits, entry, address, port);
}

static void
cancel_search(proxy_request_t *work)
{
	cancel_issuer_search(work->runner);
}

/* Looks for the issuer in other data centres; false if none can be asked. */
static bool
search_issuer(
    claimed_requests_t *commits, caller_request_t *entry, uint64_t incarnation)
{
	issuer_search_t *search =
	    start_issuer_search(commits->daemon, incarnation, on_found, entry);

	if (search == NULL)
		return false;
	entry->work.cancel = cancel_search;
	entry->work.runner = search;
	return true;
}

bool
forward_to_issuer(claimed_requests_t *commits, caller_request_t *entry)
{
	const daemon_t *daemon = commits->daemon;
	const msp_member_t *member;
	msp_issued_key_t issued;

	if (!msp_parse_issued_key(entry->work.key, &issued) ||
	    issued.incarnation == daemon->incarnation)
		return false;
	member =
	    find_member_by_incarnation(daemon->members, issued.incarnation);
	if (member == NULL)
		return search_issuer(commits, entry, issued.incarnation);
	tell_forward(entry, member->name, "issued-key");
	start_forward(commits, entry, member->address, member->peer_port);
	return true;
}

static msp_status_t
read_forwarded(claimed_requests_t *commits, const msp_request_t *request,
    caller_request_t *entry)
{
	const msp_headers_t *headers = &request->headers;
	const char *seen = msp_find_header(headers, "msp-release-seen");
	const char *after = msp_find_header(headers, "msp-after-release");
	const char *attempt = msp_find_header(headers, "msp-attempt");
	msp_status_t status;

	status = decode_proxy_request(
	    request, TRIES_PATH, msp_now(&commits->daemon->env), &entry->work);
	if (status != MSP_OK)
		return status;
	if (attempt == NULL || after == NULL || entry->work.is_idempotent ||
	    entry->work.key[0] == '\0')
		return msp_fail(MSP_E_BAD_REQUEST, "not a forwarded try");
	entry->attempt = (uint32_t)strtoul(attempt, NULL, 10);
	entry->arrived_after_release = strcmp(after, "1") == 0;
	if (seen != NULL && seen[0] != '\0' &&
	    msp_parse_digest(seen, &entry->released_nonce) != 0)
		return msp_fail(
		    MSP_E_BAD_REQUEST, "msp-release-seen: no nonce");
	return MSP_OK;
}

void
serve_forwarded_request(claimed_requests_t *commits, msp_exchange_t *exchange)
{
	caller_request_t *entry = new_caller_request(commits->daemon, exchange);
	msp_refusal_t refusal = {.run = MSP_RUN_UNKNOWN};

	if (entry == NULL) {
		answer_error(exchange, MSP_E_NO_MEMORY);
		return;
	}
	entry->forwarded = true;
	refusal.status =
	    read_forwarded(commits, msp_exchange_request(exchange), entry);
	refusal.reason = msp_last_message();
	if (refusal.status == MSP_OK)
		claim_request_here(commits, entry);
	else
		refuse_caller_request(entry, &refusal);
}
