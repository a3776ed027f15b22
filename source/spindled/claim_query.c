#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claimed_run.h"
#include "claimed_requests_private.h"
#include "problem.h"

#define QUERY_TIMEOUT_MS 1000
#define CLAIM_QUERY_PATH "/v1/claims/ask"
#define NUMBER_SIZE 32

/* Values of the "msp-ask" header. */
static const char *const reply_status_names[] = {
    [MSP_OWNER_RUNNING] = "running",
    [MSP_OWNER_COMPLETED] = "outcome",
    [MSP_OWNER_RELEASED] = "released",
    [MSP_OWNER_IN_DOUBT] = "doubt",
    [MSP_OWNER_NO_RECORD] = "forgotten",
    [MSP_OWNER_REPLACED] = "gone",
};

#define REPLY_STATUS_COUNT \
	(sizeof(reply_status_names) / sizeof(reply_status_names[0]))

/* A query in progress. */
typedef struct query {
	claimed_requests_t *requests;
	msp_owner_query_done_t *done;
	void *done_ctx;
} query_t;

static const char *
get_header(const msp_headers_t *headers, const char *name)
{
	const char *value = msp_find_header(headers, name);

	return value == NULL ? "" : value;
}

static msp_owner_status_t
decode_reply_status(const msp_response_t *response)
{
	const char *name = get_header(&response->headers, "msp-ask");
	size_t i;

	for (i = 0; i < REPLY_STATUS_COUNT; i++) {
		if (strcmp(name, reply_status_names[i]) == 0)
			return (msp_owner_status_t)i;
	}
	return MSP_OWNER_NO_ANSWER;
}

/* Decodes the outcome in a response, leaving out the "msp-" headers. */
static msp_claim_outcome_t
decode_outcome(const msp_response_t *response, msp_claim_field_t *fields)
{
	msp_claim_outcome_t outcome = {.fields = fields,
	    .http_status =
		atoi(get_header(&response->headers, "msp-outcome-status")),
	    .body = msp_buffer_text(&response->body),
	    .body_len = response->body.len};
	size_t i;

	for (i = 0; i < response->headers.count; i++) {
		const msp_header_t *field = &response->headers.fields[i];

		if (strncmp(field->name, "msp-", 4) == 0)
			continue;
		fields[outcome.field_count].name = field->name;
		fields[outcome.field_count++].value = field->value;
	}
	return outcome;
}

static void
handle_query_response(void *ctx, msp_call_result_t *call_result)
{
	query_t *query = ctx;
	msp_owner_reply_t reply = {.status = MSP_OWNER_NO_ANSWER};
	msp_claim_field_t fields[MSP_CLAIM_FIELDS_MAX];
	msp_claim_outcome_t outcome;

	if (call_result->status == MSP_OK &&
	    call_result->response->status == 200) {
		const msp_headers_t *headers = &call_result->response->headers;

		reply.status = decode_reply_status(call_result->response);
		reply.not_run_reported =
		    strcmp(get_header(headers, "msp-said-no"), "1") == 0;
		reply.age =
		    strtoull(get_header(headers, "msp-age-us"), NULL, 10);
	}
	if (reply.status == MSP_OWNER_COMPLETED) {
		outcome = decode_outcome(call_result->response, fields);
		reply.outcome = &outcome;
	}
	query->done(query->done_ctx, &reply);
	schedule_claims_step(query->requests);
	free(query);
}

static msp_status_t
encode_query(const msp_owner_query_t *owner_query, msp_request_t *request)
{
	char nonce[MSP_DIGEST_TEXT_SIZE];
	msp_headers_t *headers = &request->headers;

	msp_print_digest(owner_query->nonce, nonce);
	snprintf(request->method, sizeof(request->method), "POST");
	snprintf(request->path, sizeof(request->path), CLAIM_QUERY_PATH);
	msp_add_header(headers, "msp-service", owner_query->service);
	msp_add_header(headers, "msp-key", owner_query->key);
	msp_add_header(headers, "msp-nonce", nonce);
	return msp_print_header(
	    headers, "msp-incarnation", "%" PRIu64, owner_query->incarnation);
}

/* Splits "address:port". */
static bool
split_address(const char *text, char *address, size_t size, uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	long number;

	if (colon == NULL || (size_t)(colon - text) >= size)
		return false;
	number = strtol(colon + 1, NULL, 10);
	if (number < 1 || number > UINT16_MAX)
		return false;
	memcpy(address, text, (size_t)(colon - text));
	address[colon - text] = '\0';
	*port = (uint16_t)number;
	return true;
}

void
query_claim_owner(void *ctx, const msp_owner_query_t *owner_query,
    msp_owner_query_done_t *done, void *done_ctx)
{
	claimed_requests_t *requests = ctx;
	char address[MSP_ADDRESS_SIZE];
	msp_call_options_t options = {
	    .address = address, .timeout_ms = QUERY_TIMEOUT_MS};
	msp_request_t request = {0};
	query_t *query = calloc(1, sizeof(*query));

	if (query == NULL)
		return;
	query->requests = requests;
	query->done = done;
	query->done_ctx = done_ctx;
	if (!split_address(owner_query->address, address, sizeof(address),
		&options.port)) {
		/*
		 * The claim's row holds no valid address. Connecting to port 1
		 * fails, so that the query ends as MSP_OWNER_NO_ANSWER.
		 */
		strcpy(address, "127.0.0.1");
		options.port = 1;
	}
	if (encode_query(owner_query, &request) != MSP_OK ||
	    msp_start_call(requests->daemon->peer_client, &options, &request,
		handle_query_response, query) == NULL)
		free(query);
	msp_drop_request(&request);
}

static void
answer_query(claimed_requests_t *requests, msp_exchange_t *exchange,
    const msp_owner_query_t *owner_query)
{
	msp_response_t response = {0};
	msp_owner_reply_t reply = {.status = MSP_OWNER_NO_ANSWER};

	msp_answer_owner_query(requests->claims, owner_query, &reply);
	if (reply.status == MSP_OWNER_COMPLETED)
		copy_outcome_to_response(reply.outcome, &response);
	msp_print_header(
	    &response.headers, "msp-outcome-status", "%d", response.status);
	response.status = 200;
	if ((size_t)reply.status < REPLY_STATUS_COUNT)
		msp_add_header(&response.headers, "msp-ask",
		    reply_status_names[reply.status]);
	msp_add_header(&response.headers, "msp-said-no",
	    reply.not_run_reported ? "1" : "0");
	msp_print_header(
	    &response.headers, "msp-age-us", "%" PRIu64, reply.age);
	msp_send_exchange_response(exchange, &response);
	schedule_claims_step(requests);
}

void
serve_claim_query(claimed_requests_t *requests, msp_exchange_t *exchange)
{
	const msp_headers_t *headers = &msp_exchange_request(exchange)->headers;
	msp_owner_query_t owner_query = {
	    .service = get_header(headers, "msp-service"),
	    .key = get_header(headers, "msp-key"),
	    .incarnation =
		strtoull(get_header(headers, "msp-incarnation"), NULL, 10),
	    .address = requests->address};

	if (msp_parse_digest(
		get_header(headers, "msp-nonce"), &owner_query.nonce) != 0 ||
	    owner_query.service[0] == '\0' || owner_query.key[0] == '\0' ||
	    owner_query.incarnation == 0) {
		msp_fail(MSP_E_BAD_REQUEST, "malformed query about a claim");
		answer_error(exchange, MSP_E_BAD_REQUEST);
		return;
	}
	answer_query(requests, exchange, &owner_query);
}
