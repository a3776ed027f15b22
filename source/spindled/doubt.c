#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "claimed_requests_private.h"
#include "problem.h"
#include "monsoonspindle/net/query.h"

#define DEPTH_MAX 8
#define CURSOR_SIZE 512
#define PAGES_MAX 200 /* of the table, read for one response */

/* An operator's request that waits for the store. */
typedef struct doubt_request {
	bool disconnected; /* set when the operator disconnects */
	msp_exchange_t *exchange;
	claimed_requests_t *requests;
	json_object *list; /* the claims in doubt found so far; owned */
	unsigned int pages; /* read so far */
} doubt_request_t;

static doubt_request_t *
start_doubt_request(claimed_requests_t *requests, msp_exchange_t *exchange)
{
	doubt_request_t *doubt_request = calloc(1, sizeof(*doubt_request));

	if (doubt_request == NULL) {
		answer_error(exchange, MSP_E_NO_MEMORY);
		return NULL;
	}
	doubt_request->requests = requests;
	doubt_request->exchange = exchange;
	msp_set_exchange_data(exchange, &doubt_request->disconnected);
	return doubt_request;
}

static json_object *
describe_doubt(const msp_in_doubt_claim_t *doubt)
{
	json_object *doc = json_object_new_object();
	msp_time_t now = get_wall_time(NULL);

	json_object_object_add(
	    doc, "service", json_object_new_string(doubt->service));
	json_object_object_add(doc, "key", json_object_new_string(doubt->key));
	json_object_object_add(doc, "since_ms",
	    json_object_new_uint64(now > doubt->claimed_at
		    ? (now - doubt->claimed_at) / MSP_MS
		    : 0));
	json_object_object_add(
	    doc, "owner", json_object_new_string(doubt->address));
	json_object_object_add(doc, "reason",
	    json_object_new_string(
		doubt->owner_ended ? "owner-gone" : "answer-lost"));
	return doc;
}

static void
answer_doubts(doubt_request_t *doubt_request, const char *next)
{
	msp_response_t response = {.status = 200};
	const char *text = json_object_to_json_string_ext(
	    doubt_request->list, JSON_C_TO_STRING_PLAIN);

	msp_add_header(&response.headers, "Content-Type", "application/json");
	if (next != NULL)
		msp_add_header(&response.headers, "X-Next", next);
	msp_append_data(&response.body, text, strlen(text));
	msp_send_exchange_response(doubt_request->exchange, &response);
}

/* Adds one page of the table, and reads the next one up to PAGES_MAX. */
static void
handle_doubts_listed(void *ctx, msp_status_t status,
    const msp_in_doubt_claim_t *doubts, size_t count, const char *next)
{
	doubt_request_t *doubt_request = ctx;
	size_t i;

	for (i = 0; i < count; i++)
		json_object_array_add(
		    doubt_request->list, describe_doubt(&doubts[i]));
	if (status == MSP_OK && next != NULL && !doubt_request->disconnected &&
	    ++doubt_request->pages < PAGES_MAX) {
		msp_list_in_doubt_claims(doubt_request->requests->claims, next,
		    handle_doubts_listed, doubt_request);
		return;
	}
	if (!doubt_request->disconnected && status != MSP_OK) {
		msp_fail(status, "the store did not answer");
		answer_error(doubt_request->exchange, status);
	} else if (!doubt_request->disconnected) {
		answer_doubts(doubt_request, next);
	}
	json_object_put(doubt_request->list);
	free(doubt_request);
}

void
serve_in_doubt_list(claimed_requests_t *requests, msp_exchange_t *exchange)
{
	char after[CURSOR_SIZE];
	doubt_request_t *doubt_request;

	if (msp_get_query_param(msp_exchange_request(exchange)->path, "after",
		after, sizeof(after)) != MSP_OK) {
		answer_error(exchange, MSP_E_BAD_REQUEST);
		return;
	}
	doubt_request = start_doubt_request(requests, exchange);
	if (doubt_request == NULL)
		return;
	doubt_request->list = json_object_new_array();
	msp_list_in_doubt_claims(
	    requests->claims, after, handle_doubts_listed, doubt_request);
	schedule_claims_step(requests);
}

static void
handle_ruling_recorded(void *ctx, msp_status_t status)
{
	doubt_request_t *doubt_request = ctx;

	if (!doubt_request->disconnected && status == MSP_OK) {
		answer_json(doubt_request->exchange, 200, "{\"ruled\":true}\n");
	} else if (!doubt_request->disconnected) {
		msp_fail(status, "the ruling was not recorded: %s",
		    msp_get_status_info(status)->title);
		answer_error(doubt_request->exchange, status);
	}
	free(doubt_request);
}

static const char *
get_string(json_object *doc, const char *key)
{
	json_object *value;

	if (!json_object_object_get_ex(doc, key, &value) ||
	    !json_object_is_type(value, json_type_string))
		return NULL;
	return json_object_get_string(value);
}

/* Decodes {"service": S, "key": K, "ran": true or false, "who": W}. */
static msp_status_t
decode_ruling(json_object *doc, msp_ruling_t *ruling)
{
	json_object *ran;

	ruling->service = get_string(doc, "service");
	ruling->key = get_string(doc, "key");
	ruling->operator_name = get_string(doc, "who");
	if (ruling->service == NULL || ruling->key == NULL ||
	    ruling->operator_name == NULL)
		return msp_fail(
		    MSP_E_BAD_REQUEST, "service, key and who must be strings");
	if (!json_object_object_get_ex(doc, "ran", &ran) ||
	    !json_object_is_type(ran, json_type_boolean))
		return msp_fail(MSP_E_BAD_REQUEST, "ran must be true or false");
	ruling->ran = json_object_get_boolean(ran);
	return MSP_OK;
}

void
serve_in_doubt_ruling(claimed_requests_t *requests, msp_exchange_t *exchange)
{
	const msp_buffer_t *body = &msp_exchange_request(exchange)->body;
	json_tokener *tokener = json_tokener_new_ex(DEPTH_MAX);
	json_object *doc = NULL;
	msp_ruling_t ruling = {0};
	doubt_request_t *doubt_request;
	msp_status_t status;

	if (tokener != NULL)
		doc = json_tokener_parse_ex(
		    tokener, msp_buffer_text(body), (int)body->len + 1);
	status = json_object_is_type(doc, json_type_object)
	    ? decode_ruling(doc, &ruling)
	    : msp_fail(MSP_E_BAD_REQUEST, "not a JSON object");
	if (status != MSP_OK) {
		answer_error(exchange, status);
	} else {
		doubt_request = start_doubt_request(requests, exchange);
		if (doubt_request != NULL)
			msp_rule_claim(requests->claims, &ruling,
			    handle_ruling_recorded, doubt_request);
		schedule_claims_step(requests);
	}
	json_object_put(doc);
	json_tokener_free(tokener);
}
