#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include "claim_row.h"

/*
 * A row is one line of JSON, and after it the outcome's body as it is.
 */

static const char *const state_names[MSP_CLAIM_STATE_COUNT] = {
    [MSP_CLAIM_HELD] = "held",
    [MSP_CLAIM_RELEASED] = "released",
    [MSP_CLAIM_DONE] = "done",
    [MSP_CLAIM_IN_DOUBT] = "doubt",
    [MSP_CLAIM_RULED_RAN] = "ruled-ran",
    [MSP_CLAIM_RULED_NOT_RUN] = "ruled-not-run",
};

static void
add_text(struct json_object *line, const char *name, const char *text)
{
	json_object_object_add(line, name, json_object_new_string(text));
}

static void
add_digest(struct json_object *line, const char *name, msp_digest_t digest)
{
	char text[MSP_DIGEST_TEXT_SIZE];

	msp_print_digest(digest, text);
	add_text(line, name, text);
}

static void
add_outcome(struct json_object *line, const msp_claim_row_t *row)
{
	const msp_claim_outcome_t *outcome = row->outcome;
	struct json_object *fields = json_object_new_array();
	size_t i;

	for (i = 0; i < outcome->field_count; i++) {
		struct json_object *field = json_object_new_array();

		json_object_array_add(
		    field, json_object_new_string(outcome->fields[i].name));
		json_object_array_add(
		    field, json_object_new_string(outcome->fields[i].value));
		json_object_array_add(fields, field);
	}
	json_object_object_add(
	    line, "status", json_object_new_int(outcome->http_status));
	json_object_object_add(line, "fields", fields);
	json_object_object_add(
	    line, "length", json_object_new_uint64(outcome->body_len));
	add_digest(line, "body", msp_digest(outcome->body, outcome->body_len));
	json_object_object_add(
	    line, "object", json_object_new_boolean(row->in_object));
}

msp_status_t
msp_encode_claim_row(const msp_claim_row_t *row, msp_buffer_t *out)
{
	struct json_object *line = json_object_new_object();
	char incarnation[24];
	const char *text;
	msp_status_t status;

	snprintf(
	    incarnation, sizeof(incarnation), "%016" PRIx64, row->incarnation);
	add_text(line, "state", state_names[row->state]);
	add_digest(line, "digest", row->digest);
	add_digest(line, "nonce", row->nonce);
	add_text(line, "owner", incarnation);
	add_text(line, "address", row->address);
	json_object_object_add(
	    line, "at", json_object_new_uint64(row->written_at));
	if (row->operator_name[0] != '\0')
		add_text(line, "who", row->operator_name);
	if (row->state == MSP_CLAIM_DONE)
		add_outcome(line, row);
	text = json_object_to_json_string_ext(line, JSON_C_TO_STRING_PLAIN);
	status = text == NULL
	    ? msp_fail(MSP_E_NO_MEMORY, "no memory for a claim")
	    : msp_append_printf(out, "%s\n", text);
	json_object_put(line);
	if (status == MSP_OK && row->state == MSP_CLAIM_DONE && !row->in_object)
		status = msp_append_data(
		    out, row->outcome->body, row->outcome->body_len);
	return status;
}

static msp_status_t
malformed(const char *name)
{
	return msp_fail(
	    MSP_E_SYNTAX, "the claim's \"%s\" is missing or malformed", name);
}

static const char *
find_text(struct json_object *line, const char *name)
{
	struct json_object *member = NULL;

	if (!json_object_object_get_ex(line, name, &member) ||
	    !json_object_is_type(member, json_type_string))
		return NULL;
	return json_object_get_string(member);
}

static bool
find_number(struct json_object *line, const char *name, uint64_t *number)
{
	struct json_object *member = NULL;

	if (!json_object_object_get_ex(line, name, &member) ||
	    !json_object_is_type(member, json_type_int))
		return false;
	*number = json_object_get_uint64(member);
	return true;
}

static msp_status_t
decode_digest(struct json_object *line, const char *name, msp_digest_t *digest)
{
	const char *text = find_text(line, name);

	if (text == NULL || msp_parse_digest(text, digest) != 0)
		return malformed(name);
	return MSP_OK;
}

static msp_status_t
decode_state(struct json_object *line, msp_claim_state_t *state)
{
	const char *text = find_text(line, "state");
	unsigned int i;

	for (i = 0; text != NULL && i < MSP_CLAIM_STATE_COUNT; i++) {
		if (strcmp(text, state_names[i]) == 0) {
			*state = (msp_claim_state_t)i;
			return MSP_OK;
		}
	}
	return malformed("state");
}

static msp_status_t
decode_owner(struct json_object *line, msp_claim_row_t *row)
{
	const char *owner = find_text(line, "owner");
	const char *address = find_text(line, "address");
	const char *who = find_text(line, "who");

	if (owner == NULL || strlen(owner) != 16 ||
	    sscanf(owner, "%16" SCNx64, &row->incarnation) != 1)
		return malformed("owner");
	if (address == NULL || strlen(address) >= sizeof(row->address))
		return malformed("address");
	snprintf(row->address, sizeof(row->address), "%s", address);
	if (who != NULL)
		snprintf(
		    row->operator_name, sizeof(row->operator_name), "%s", who);
	if (!find_number(line, "at", &row->written_at))
		return malformed("at");
	return MSP_OK;
}

/* Fills `fields`, whose strings belong to `array`. */
static msp_status_t
decode_fields(struct json_object *array, msp_claim_field_t *fields)
{
	size_t count = json_object_array_length(array);
	size_t i;

	if (count > MSP_CLAIM_FIELDS_MAX)
		return malformed("fields");
	for (i = 0; i < count; i++) {
		struct json_object *pair = json_object_array_get_idx(array, i);

		if (!json_object_is_type(pair, json_type_array) ||
		    json_object_array_length(pair) != 2)
			return malformed("fields");
		fields[i].name =
		    json_object_get_string(json_object_array_get_idx(pair, 0));
		fields[i].value =
		    json_object_get_string(json_object_array_get_idx(pair, 1));
		if (fields[i].name == NULL || fields[i].value == NULL)
			return malformed("fields");
	}
	return MSP_OK;
}

static msp_status_t
decode_outcome(struct json_object *line, const char *body, size_t len,
    msp_claim_row_t *row)
{
	msp_claim_field_t fields[MSP_CLAIM_FIELDS_MAX];
	msp_claim_outcome_t outcome = {.fields = fields, .body = body};
	struct json_object *array = NULL;
	struct json_object *object = NULL;
	uint64_t status;
	uint64_t length;
	msp_status_t result;

	if (!find_number(line, "status", &status) ||
	    !find_number(line, "length", &length) ||
	    !json_object_object_get_ex(line, "fields", &array) ||
	    !json_object_is_type(array, json_type_array) ||
	    !json_object_object_get_ex(line, "object", &object))
		return malformed("status");
	row->in_object = json_object_get_boolean(object);
	row->body_len = length;
	result = decode_digest(line, "body", &row->body_digest);
	if (result == MSP_OK)
		result = decode_fields(array, fields);
	if (result != MSP_OK)
		return result;
	if (len != (row->in_object ? 0 : row->body_len))
		return malformed("length");
	outcome.http_status = (int)status;
	outcome.field_count = json_object_array_length(array);
	outcome.body_len = len;
	row->outcome = msp_copy_claim_outcome(&outcome);
	if (row->outcome == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for an outcome");
	if (!row->in_object &&
	    !msp_digest_equal(msp_digest(body, len), row->body_digest))
		return malformed("body");
	return MSP_OK;
}

static msp_status_t
decode_line(struct json_object *line, const char *body, size_t len,
    msp_claim_row_t *row)
{
	msp_status_t status = decode_state(line, &row->state);

	if (status == MSP_OK)
		status = decode_digest(line, "digest", &row->digest);
	if (status == MSP_OK)
		status = decode_digest(line, "nonce", &row->nonce);
	if (status == MSP_OK)
		status = decode_owner(line, row);
	if (status == MSP_OK && row->state == MSP_CLAIM_DONE)
		status = decode_outcome(line, body, len, row);
	return status;
}

msp_status_t
msp_decode_claim_row(const char *value, size_t len, msp_claim_row_t *row)
{
	const char *end = memchr(value, '\n', len);
	struct json_tokener *tokener;
	struct json_object *line;
	msp_status_t status;

	*row = (msp_claim_row_t){0};
	if (end == NULL)
		return msp_fail(MSP_E_SYNTAX, "a claim without a line");
	tokener = json_tokener_new();
	if (tokener == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a claim");
	line = json_tokener_parse_ex(tokener, value, (int)(end - value));
	if (!json_object_is_type(line, json_type_object))
		status = msp_fail(MSP_E_SYNTAX, "a claim is no JSON object");
	else
		status = decode_line(
		    line, end + 1, len - (size_t)(end + 1 - value), row);
	json_object_put(line);
	json_tokener_free(tokener);
	if (status != MSP_OK)
		msp_drop_claim_row(row);
	return status;
}
