#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claimed_run.h"
#include "claimed_requests_private.h"
#include "problem.h"

#define ASK_TIMEOUT_MS 1000
#define QUESTION_PATH "/v1/claims/ask"
#define NUMBER_SIZE 32

/* Names of msp_owner_status_t on the wire. */
static const char *const status_names[] = {
    [MSP_OWNER_RUNNING] = "running",
    [MSP_OWNER_COMPLETED] = "outcome",
    [MSP_OWNER_RELEASED] = "released",
    [MSP_OWNER_IN_DOUBT] = "doubt",
    [MSP_OWNER_NO_RECORD] = "forgotten",
    [MSP_OWNER_REPLACED] = "gone",
};

#define STATUS_NAMES (sizeof(status_names) / sizeof(status_names[0]))

/* A question that is under way. */
typedef struct question {
	claimed_requests_t *commits;
	msp_owner_query_done_t *done;
	void *done_ctx;
} question_t;

static const char *
header(const msp_headers_t *headers, const char *name)
{
	const char *value = msp_find_header(headers, name);

	return value == NULL ? "" : value;
}

static msp_owner_status_t
read_status(const msp_response_t *response)
{
	const char *name = header(&response->headers, "msp-ask");
	size_t i;

	for (i = 0; i < STATUS_NAMES; i++) {
		if (strcmp(name, status_names[i]) == 0)
			return (msp_owner_status_t)i;
	}
	return MSP_OWNER_NO_ANSWER;
}

/* The outcome in an answer, without the system's own headers. */
static msp_claim_outcome_t
read_outcome(const msp_response_t *response, msp_claim_field_t *fields)
{
	msp_claim_outcome_t outcome = {.fields = fields,
	    .http_status =
		atoi(header(&response->headers, "msp-outcome-status")),
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
on_answer(void *ctx, msp_call_result_t *ended)
{
	question_t *question = ctx;
	msp_owner_reply_t reply = {.status = MSP_OWNER_NO_ANSWER};
	msp_claim_field_t fields[MSP_CLAIM_FIELDS_MAX];
	msp_claim_outcome_t outcome;

	if (ended->status == MSP_OK && ended->response->status == 200) {
		const msp_headers_t *headers = &ended->response->headers;

		reply.status = read_status(ended->response);
		reply.not_run_reported =
		    strcmp(header(headers, "msp-said-no"), "1") == 0;
		reply.age = strtoull(header(headers, "msp-age-us"), NULL, 10);
	}
	if (reply.status == MSP_OWNER_COMPLETED) {
		outcome = read_outcome(ended->response, fields);
		reply.outcome = &outcome;
	}
	question->done(question->done_ctx, &reply);
	schedule_claims_step(question->commits);
	free(question);
}

static msp_status_t
write_question(const msp_owner_query_t *ask, msp_request_t *request)
{
	char nonce[MSP_DIGEST_TEXT_SIZE];
	msp_headers_t *headers = &request->headers;

	msp_print_digest(ask->nonce, nonce);
	snprintf(request->method, sizeof(request->method), "POST");
	snprintf(request->path, sizeof(request->path), QUESTION_PATH);
	msp_add_header(headers, "msp-service", ask->service);
	msp_add_header(headers, "msp-key", ask->key);
	msp_add_header(headers, "msp-nonce", nonce);
	return msp_print_header(
	    headers, "msp-incarnation", "%" PRIu64, ask->incarnation);
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
query_claim_owner(void *ctx, const msp_owner_query_t *ask,
    msp_owner_query_done_t *done, void *done_ctx)
{
	claimed_requests_t *commits = ctx;
	char address[MSP_ADDRESS_SIZE];
	msp_call_options_t options = {
	    .address = address, .timeout_ms = ASK_TIMEOUT_MS};
	msp_request_t request = {0};
	question_t *question = calloc(1, sizeof(*question));

	if (question == NULL)
		return;
	question->commits = commits;
	question->done = done;
	question->done_ctx = done_ctx;
	if (!split_address(
		ask->address, address, sizeof(address), &options.port)) {
		/* A row that names no address: the owner can't be asked. */
		strcpy(address, "127.0.0.1");
		options.port = 1;
	}
	if (write_question(ask, &request) != MSP_OK ||
	    msp_start_call(commits->daemon->peer_client, &options, &request,
		on_answer, question) == NULL)
		free(question);
	msp_drop_request(&request);
}

static void
answer_question(claimed_requests_t *commits, msp_exchange_t *exchange,
    const msp_owner_query_t *ask)
{
	msp_response_t response = {0};
	msp_owner_reply_t reply = {.status = MSP_OWNER_NO_ANSWER};

	msp_answer_owner_query(commits->claims, ask, &reply);
	if (reply.status == MSP_OWNER_COMPLETED)
		copy_outcome_to_response(reply.outcome, &response);
	msp_print_header(
	    &response.headers, "msp-outcome-status", "%d", response.status);
	response.status = 200;
	if ((size_t)reply.status < STATUS_NAMES)
		msp_add_header(
		    &response.headers, "msp-ask", status_names[reply.status]);
	msp_add_header(&response.headers, "msp-said-no",
	    reply.not_run_reported ? "1" : "0");
	msp_print_header(
	    &response.headers, "msp-age-us", "%" PRIu64, reply.age);
	msp_answer_exchange(exchange, &response);
	schedule_claims_step(commits);
}

void
serve_claim_query(claimed_requests_t *commits, msp_exchange_t *exchange)
{
	const msp_headers_t *headers = &msp_exchange_request(exchange)->headers;
	msp_owner_query_t ask = {.service = header(headers, "msp-service"),
	    .key = header(headers, "msp-key"),
	    .incarnation =
		strtoull(header(headers, "msp-incarnation"), NULL, 10),
	    .address = commits->address};

	if (msp_parse_digest(header(headers, "msp-nonce"), &ask.nonce) != 0 ||
	    ask.service[0] == '\0' || ask.key[0] == '\0' ||
	    ask.incarnation == 0) {
		msp_fail(MSP_E_BAD_REQUEST, "not a question about a claim");
		answer_error(exchange, MSP_E_BAD_REQUEST);
		return;
	}
	answer_question(commits, exchange, &ask);
}
