#include "problem.h"

#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

static json_object *
build_document(const problem_t *problem)
{
	const msp_refusal_t *refusal = &problem->refusal;
	const msp_status_info_t *info = msp_get_status_info(refusal->status);
	json_object *doc = json_object_new_object();
	char type[96];

	snprintf(
	    type, sizeof(type), "urn:monsoonspindle:problem:%s", info->kind);
	json_object_object_add(doc, "type", json_object_new_string(type));
	json_object_object_add(
	    doc, "title", json_object_new_string(info->title));
	json_object_object_add(
	    doc, "status", json_object_new_int(info->http_status));
	json_object_object_add(doc, "kind", json_object_new_string(info->kind));
	if (refusal->reason != NULL && refusal->reason[0] != '\0')
		json_object_object_add(
		    doc, "detail", json_object_new_string(refusal->reason));
	if (problem->include_run) {
		json_object_object_add(doc, "run",
		    json_object_new_string(msp_run_status_name(refusal->run)));
		json_object_object_add(doc, "try",
		    json_object_new_string(
			refusal->attempt_started ? "started" : "not started"));
	}
	if (problem->request_id != NULL)
		json_object_object_add(doc, "request_id",
		    json_object_new_string(problem->request_id));
	if (problem->key != NULL && problem->key[0] != '\0')
		json_object_object_add(
		    doc, "key", json_object_new_string(problem->key));
	if (problem->attempt_number != 0)
		json_object_object_add(doc, "attempt",
		    json_object_new_int64(problem->attempt_number));
	if (refusal->retry_after_ms != 0)
		json_object_object_add(doc, "retry_after_ms",
		    json_object_new_int64(refusal->retry_after_ms));
	return doc;
}

void
answer_problem(msp_exchange_t *exchange, const problem_t *problem)
{
	const msp_refusal_t *refusal = &problem->refusal;
	msp_response_t response = {0};
	json_object *doc = build_document(problem);
	const char *text =
	    json_object_to_json_string_ext(doc, JSON_C_TO_STRING_PLAIN);

	response.status = msp_get_status_info(refusal->status)->http_status;
	msp_add_header(
	    &response.headers, "Content-Type", "application/problem+json");
	if (problem->request_id != NULL)
		msp_add_header(
		    &response.headers, "X-Request-ID", problem->request_id);
	if (refusal->retry_after_ms != 0)
		msp_print_header(&response.headers, "Retry-After", "%u",
		    (refusal->retry_after_ms + 999) / 1000);
	msp_append_data(&response.body, text, strlen(text));
	json_object_put(doc);
	msp_send_exchange_response(exchange, &response);
}

void
answer_error(msp_exchange_t *exchange, msp_status_t status)
{
	problem_t problem = {
	    .refusal = {.status = status, .reason = msp_last_message()}};

	answer_problem(exchange, &problem);
}

void
answer_json(msp_exchange_t *exchange, int http_status, const char *text)
{
	msp_response_t response = {.status = http_status};

	msp_add_header(&response.headers, "Content-Type", "application/json");
	msp_append_data(&response.body, text, strlen(text));
	msp_send_exchange_response(exchange, &response);
}
