#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "log.h"
#include "problem.h"
#include "releases_private.h"

#define HISTORY_LIMIT_DEFAULT 50
#define HISTORY_LIMIT_MAX 1000

/* A release note that an operator has posted; freed when it is decided. */
typedef struct note_submission {
	bool disconnected; /* the operator's connection was closed */
	msp_exchange_t *exchange;
	releases_t *releases;
	char id[MSP_NOTE_ID_SIZE];
} note_submission_t;

static void
answer_accepted(
    note_submission_t *submission, const msp_submit_result_t *result)
{
	json_object *doc = json_object_new_object();
	char digest[MSP_DIGEST_TEXT_SIZE];

	msp_print_digest(result->digest, digest);
	json_object_object_add(
	    doc, "version", json_object_new_uint64(result->version));
	json_object_object_add(doc, "digest", json_object_new_string(digest));
	json_object_object_add(
	    doc, "id", json_object_new_string(submission->id));
	json_object_object_add(
	    doc, "rebased", json_object_new_boolean(result->rebased));
	answer_json(submission->exchange, 201,
	    json_object_to_json_string_ext(doc, JSON_C_TO_STRING_PLAIN));
	json_object_put(doc);
}

/* Splits "a, b" into a JSON array. */
static json_object *
split_clashes(const char *clashes)
{
	json_object *list = json_object_new_array();
	const char *at = clashes;
	const char *end;

	while (*at != '\0') {
		end = strstr(at, ", ");
		if (end == NULL)
			end = at + strlen(at);
		json_object_array_add(
		    list, json_object_new_string_len(at, (int)(end - at)));
		at = *end == '\0' ? end : end + 2;
	}
	return list;
}

static void
answer_refused(note_submission_t *submission, const msp_submit_result_t *result)
{
	const msp_status_info_t *info = msp_get_status_info(result->status);
	json_object *doc = json_object_new_object();

	json_object_object_add(
	    doc, "title", json_object_new_string(info->title));
	json_object_object_add(
	    doc, "status", json_object_new_int(info->http_status));
	json_object_object_add(doc, "kind", json_object_new_string(info->kind));
	json_object_object_add(doc, "detail",
	    json_object_new_string(
		result->message == NULL ? "" : result->message));
	json_object_object_add(
	    doc, "id", json_object_new_string(submission->id));
	if (result->status == MSP_E_CONFLICT) {
		json_object_object_add(
		    doc, "clashes", split_clashes(result->clashes));
		json_object_object_add(doc, "other_note",
		    json_object_new_string(result->other_note));
	}
	answer_json(submission->exchange, info->http_status,
	    json_object_to_json_string_ext(doc, JSON_C_TO_STRING_PLAIN));
	json_object_put(doc);
}

static void
handle_submitted(void *ctx, const msp_submit_result_t *result)
{
	note_submission_t *submission = ctx;

	log_info("event=note id=%s ended=%s version=%llu", submission->id,
	    msp_status_name(result->status),
	    (unsigned long long)result->version);
	if (!submission->disconnected && result->status == MSP_OK)
		answer_accepted(submission, result);
	else if (!submission->disconnected)
		answer_refused(submission, result);
	free(submission);
}

void
serve_release_submission(releases_t *releases, msp_exchange_t *exchange)
{
	const msp_request_t *request = msp_exchange_request(exchange);
	const char *attempt =
	    msp_find_header(&request->headers, "request-attempt");
	const msp_buffer_t *body = &request->body;
	msp_note_t *note;
	note_submission_t *submission;
	msp_status_t status;

	status = msp_parse_note(
	    msp_buffer_text(body), body->len, "release note", &note);
	if (status == MSP_OK && (note->id[0] == '\0' || !note->has_base)) {
		msp_drop_note(note);
		status = msp_fail(MSP_E_INVALID_NOTE,
		    "release note: id, base_version and base_digest are "
		    "required");
	}
	if (status != MSP_OK) {
		answer_error(exchange, status);
		return;
	}
	submission = calloc(1, sizeof(*submission));
	if (submission == NULL) {
		msp_drop_note(note);
		answer_error(exchange, MSP_E_NO_MEMORY);
		return;
	}
	submission->exchange = exchange;
	submission->releases = releases;
	memcpy(submission->id, note->id, sizeof(submission->id));
	msp_set_exchange_data(exchange, &submission->disconnected);
	/* On its first attempt, the client has just generated the note's id. */
	if (attempt != NULL && strcmp(attempt, "1") == 0)
		msp_submit_new_note(
		    releases->ledger, note, handle_submitted, submission);
	else
		msp_submit_note(
		    releases->ledger, note, handle_submitted, submission);
	msp_drop_note(note);
	schedule_releases_step(releases);
}

void
serve_release_history(releases_t *releases, msp_exchange_t *exchange)
{
	const char *path = msp_exchange_request(exchange)->path;
	msp_buffer_t text = {0};
	uint64_t after;
	uint64_t limit;
	msp_status_t status;

	status = read_number_param(path, "after", &after);
	if (status == MSP_OK)
		status = read_number_param(path, "limit", &limit);
	if (status == MSP_OK && limit == 0)
		limit = HISTORY_LIMIT_DEFAULT;
	if (status == MSP_OK && limit > HISTORY_LIMIT_MAX)
		status = msp_fail(MSP_E_BAD_REQUEST, "limit: must be 1 to %d",
		    HISTORY_LIMIT_MAX);
	if (status == MSP_OK)
		status = msp_print_ledger_history(
		    releases->ledger, after, (size_t)limit, &text);
	if (status == MSP_OK)
		answer_json(exchange, 200, msp_buffer_text(&text));
	else
		answer_error(exchange, status);
	msp_drop_buffer(&text);
}

void
serve_current_release(releases_t *releases, msp_exchange_t *exchange)
{
	msp_response_t response = {.status = 200};
	msp_status_t status =
	    msp_print_release(get_current_release(releases), &response.body);

	if (status != MSP_OK) {
		msp_drop_response(&response);
		answer_error(exchange, status);
		return;
	}
	msp_add_header(
	    &response.headers, "Content-Type", "application/x-ndjson");
	msp_send_exchange_response(exchange, &response);
}
