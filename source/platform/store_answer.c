#include "store_answer.h"

#include <string.h>

#include "store_json.h"

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_TOO_LARGE 413
#define HTTP_UNAVAILABLE 503

/* Whether the rows are those of the keys asked for, in their order. */
static bool
answers_keys(const msp_store_call_t *args, const msp_captured_reply_t *captured)
{
	size_t i;

	if (captured->reply.row_count != args->key_count)
		return false;
	for (i = 0; i < args->key_count; i++) {
		if (strcmp(captured->rows[i].key, args->keys[i]) != 0)
			return false;
	}
	return true;
}

static bool
answers_scan(const msp_store_call_t *args, const msp_captured_reply_t *captured)
{
	size_t len = strlen(args->keys[0]);
	size_t i;

	if (captured->reply.row_count > args->limit)
		return false;
	for (i = 0; i < captured->reply.row_count; i++) {
		const msp_row_t *row = &captured->rows[i];

		if (strncmp(row->key, args->keys[0], len) != 0 ||
		    row->value == NULL)
			return false;
		if (i > 0 && strcmp(captured->rows[i - 1].key, row->key) >= 0)
			return false;
	}
	return true;
}

static msp_status_t
read_json(const msp_store_call_t *args, const msp_buffer_t *body,
    msp_captured_reply_t *captured)
{
	struct json_object *message =
	    msp_parse_json_object(msp_buffer_text(body), body->len);
	msp_status_t status = MSP_E_LOST;

	if (message == NULL)
		return MSP_E_LOST;
	if (args->op == MSP_STORE_LIST_VMS)
		status = msp_decode_vms(message, captured);
	else
		status = msp_decode_rows(message, captured);
	json_object_put(message);
	if (status != MSP_OK)
		return MSP_E_LOST;
	if (args->op == MSP_STORE_LIST_VMS)
		return MSP_OK;
	if (args->op == MSP_STORE_SCAN)
		return answers_scan(args, captured) ? MSP_OK : MSP_E_LOST;
	return answers_keys(args, captured) ? MSP_OK : MSP_E_LOST;
}

static msp_status_t
read_version(const msp_store_call_t *args, const msp_buffer_t *body,
    msp_captured_reply_t *captured)
{
	struct json_object *message =
	    msp_parse_json_object(msp_buffer_text(body), body->len);
	msp_status_t status = MSP_E_LOST;

	if (message == NULL)
		return MSP_E_LOST;
	if (args->write_count == 0 ||
	    msp_json_number(message, "version", UINT64_MAX,
		&captured->reply.version) == MSP_OK)
		status = MSP_OK;
	json_object_put(message);
	return status;
}

static msp_status_t
read_ok(const msp_store_call_t *args, const msp_buffer_t *body,
    msp_captured_reply_t *captured)
{
	struct json_object *message;

	switch (args->op) {
	case MSP_STORE_GET_OBJECT:
		return msp_capture_object(
		    captured, msp_buffer_text(body), body->len);
	case MSP_STORE_TRANSACT:
		return read_version(args, body, captured);
	case MSP_STORE_PUT_OBJECT:
		message =
		    msp_parse_json_object(msp_buffer_text(body), body->len);
		json_object_put(message);
		return message == NULL ? MSP_E_LOST : MSP_OK;
	default:
		return read_json(args, body, captured);
	}
}

static msp_status_t
read_answer(const msp_store_call_t *args, const msp_response_t *response,
    msp_captured_reply_t *captured)
{
	msp_status_t status;

	switch (response->status) {
	case HTTP_OK:
		return read_ok(args, &response->body, captured);
	case HTTP_BAD_REQUEST:
	case HTTP_TOO_LARGE:
		return msp_fail(MSP_E_BAD_REQUEST, "refused by the platform");
	case HTTP_NOT_FOUND:
		return args->op == MSP_STORE_GET_OBJECT ? MSP_E_NOT_FOUND
							: MSP_E_LOST;
	case HTTP_CONFLICT:
		if (args->op != MSP_STORE_TRANSACT)
			return MSP_E_LOST;
		status = read_json(args, &response->body, captured);
		return status == MSP_OK ? MSP_E_CONFLICT : status;
	case HTTP_UNAVAILABLE:
		return MSP_E_STORE_DOWN;
	default:
		return MSP_E_LOST;
	}
}

void
msp_read_store_answer(const msp_store_call_t *args,
    const msp_call_result_t *result, msp_captured_reply_t *captured)
{
	msp_status_t status;

	if (result->status == MSP_OK)
		status = read_answer(args, result->response, captured);
	else if (!result->maybe_sent)
		status = MSP_E_STORE_DOWN;
	else
		status = MSP_E_LOST;
	if (status == MSP_E_LOST)
		msp_drop_captured_reply(captured);
	captured->reply.status = status;
}
