#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "claimed_requests_private.h"
#include "problem.h"
#include "monsoonspindle/net/query.h"

#define DEPTH_MAX 8
#define PLACE_SIZE 512
#define PAGES_MAX 200 /* of the table, for one answer */

/* An operator's request that waits for the store. */
typedef struct waiting {
	bool gone; /* the operator went away */
	msp_exchange_t *exchange;
	claimed_requests_t *commits;
	json_object *list; /* of doubts */
	unsigned int pages; /* read so far */
} waiting_t;

static waiting_t *
wait_for_store(claimed_requests_t *commits, msp_exchange_t *exchange)
{
	waiting_t *waiting = calloc(1, sizeof(*waiting));

	if (waiting == NULL) {
		answer_error(exchange, MSP_E_NO_MEMORY);
		return NULL;
	}
	waiting->commits = commits;
	waiting->exchange = exchange;
	msp_set_exchange_data(exchange, &waiting->gone);
	return waiting;
}

static json_object *
describe_doubt(const msp_in_doubt_claim_t *doubt)
{
	json_object *doc = json_object_new_object();
	msp_time_t now = wall_clock(NULL);

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
		doubt->owner_gone ? "owner-gone" : "answer-lost"));
	return doc;
}

static void
answer_doubts(waiting_t *waiting, const char *next)
{
	msp_response_t response = {.status = 200};
	const char *text = json_object_to_json_string_ext(
	    waiting->list, JSON_C_TO_STRING_PLAIN);

	msp_add_header(&response.headers, "Content-Type", "application/json");
	if (next != NULL)
		msp_add_header(&response.headers, "X-Next", next);
	msp_append_buffer(&response.body, text, strlen(text));
	msp_answer_exchange(waiting->exchange, &response);
}

/* One page of the table: goes on until the end, or for PAGES_MAX pages. */
static void
on_doubts(void *ctx, msp_status_t status, const msp_in_doubt_claim_t *doubts,
    size_t count, const char *next)
{
	waiting_t *waiting = ctx;
	size_t i;

	for (i = 0; i < count; i++)
		json_object_array_add(
		    waiting->list, describe_doubt(&doubts[i]));
	if (status == MSP_OK && next != NULL && !waiting->gone &&
	    ++waiting->pages < PAGES_MAX) {
		msp_list_in_doubt_claims(
		    waiting->commits->claims, next, on_doubts, waiting);
		return;
	}
	if (!waiting->gone && status != MSP_OK) {
		msp_fail(status, "the store did not answer");
		answer_error(waiting->exchange, status);
	} else if (!waiting->gone) {
		answer_doubts(waiting, next);
	}
	json_object_put(waiting->list);
	free(waiting);
}

void
get_doubt(claimed_requests_t *commits, msp_exchange_t *exchange)
{
	char after[PLACE_SIZE];
	waiting_t *waiting;

	if (msp_read_query(msp_exchange_request(exchange)->path, "after", after,
		sizeof(after)) != MSP_OK) {
		answer_error(exchange, MSP_E_BAD_REQUEST);
		return;
	}
	waiting = wait_for_store(commits, exchange);
	if (waiting == NULL)
		return;
	waiting->list = json_object_new_array();
	msp_list_in_doubt_claims(commits->claims, after, on_doubts, waiting);
	schedule_claims_step(commits);
}

static void
on_ruled(void *ctx, msp_status_t status)
{
	waiting_t *waiting = ctx;

	if (!waiting->gone && status == MSP_OK) {
		answer_json(waiting->exchange, 200, "{\"ruled\":true}\n");
	} else if (!waiting->gone) {
		msp_fail(status, "the claim was not ruled: %s",
		    msp_status_answer(status)->title);
		answer_error(waiting->exchange, status);
	}
	free(waiting);
}

static const char *
find_text(json_object *doc, const char *key)
{
	json_object *value;

	if (!json_object_object_get_ex(doc, key, &value) ||
	    !json_object_is_type(value, json_type_string))
		return NULL;
	return json_object_get_string(value);
}

/* {"service": S, "key": K, "ran": true or false, "who": W} */
static msp_status_t
read_ruling(json_object *doc, msp_ruling_t *ruling)
{
	json_object *ran;

	ruling->service = find_text(doc, "service");
	ruling->key = find_text(doc, "key");
	ruling->operator_name = find_text(doc, "who");
	if (ruling->service == NULL || ruling->key == NULL ||
	    ruling->operator_name == NULL)
		return msp_fail(MSP_E_BAD_REQUEST,
		    "service, key and who are needed, as text");
	if (!json_object_object_get_ex(doc, "ran", &ran) ||
	    !json_object_is_type(ran, json_type_boolean))
		return msp_fail(
		    MSP_E_BAD_REQUEST, "ran: neither true nor false");
	ruling->ran = json_object_get_boolean(ran);
	return MSP_OK;
}

void
post_doubt(claimed_requests_t *commits, msp_exchange_t *exchange)
{
	const msp_buffer_t *body = &msp_exchange_request(exchange)->body;
	json_tokener *tokener = json_tokener_new_ex(DEPTH_MAX);
	json_object *doc = NULL;
	msp_ruling_t ruling = {0};
	waiting_t *waiting;
	msp_status_t status;

	if (tokener != NULL)
		doc = json_tokener_parse_ex(
		    tokener, msp_buffer_text(body), (int)body->len + 1);
	status = json_object_is_type(doc, json_type_object)
	    ? read_ruling(doc, &ruling)
	    : msp_fail(MSP_E_BAD_REQUEST, "not a JSON object");
	if (status != MSP_OK) {
		answer_error(exchange, status);
	} else {
		waiting = wait_for_store(commits, exchange);
		if (waiting != NULL)
			msp_rule_claim(
			    commits->claims, &ruling, on_ruled, waiting);
		schedule_claims_step(commits);
	}
	json_object_put(doc);
	json_tokener_free(tokener);
}
