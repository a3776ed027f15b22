#include "field_value.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DOUBLE_DEFAULT_SCALE 1000.0 /* default_value is in thousandths */

size_t
push_field_path(field_context_t *context, const char *key, size_t index)
{
	size_t old_len = context->path_len;
	size_t room = sizeof(context->path) - old_len;
	int len;

	if (key == NULL)
		len = snprintf(context->path + old_len, room, "[%zu]", index);
	else
		len = snprintf(context->path + old_len, room, "%s%.64s",
		    old_len > 0 ? "." : "", key);
	if (len > 0 && (size_t)len < room)
		context->path_len += (size_t)len;
	context->path[context->path_len] = '\0';
	return old_len;
}

void
pop_field_path(field_context_t *context, size_t old_len)
{
	context->path_len = old_len;
	context->path[old_len] = '\0';
}

msp_status_t
fail_field(field_context_t *context, const char *fmt, ...)
{
	char text[256];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	return msp_fail(MSP_E_RANGE, "%s: %s: %s", context->origin,
	    context->path_len > 0 ? context->path : "document", text);
}

msp_status_t
fail_field_type(field_context_t *context, const char *wanted)
{
	return fail_field(context, "wrong type, %s expected", wanted);
}

static msp_status_t
read_object(field_context_t *context, struct json_object *value,
    const field_t *field, char *member)
{
	if (!json_object_is_type(value, json_type_object))
		return fail_field_type(context, "object");
	return read_fields(context, value, field->fields, member);
}

static msp_status_t
read_elements(field_context_t *context, struct json_object *value,
    const field_t *field, char *elements, size_t *count)
{
	size_t len = json_object_array_length(value);
	struct json_object *element;
	msp_status_t status;
	size_t old_len;

	for (*count = 0; *count < len; (*count)++) {
		old_len = push_field_path(context, NULL, *count);
		element = json_object_array_get_idx(value, *count);
		status = read_object(
		    context, element, field, elements + *count * field->size);
		if (status != MSP_OK)
			return status;
		pop_field_path(context, old_len);
	}
	return MSP_OK;
}

static msp_status_t
read_list(field_context_t *context, struct json_object *value,
    const field_t *field, char *out)
{
	msp_status_t status;
	char *elements;
	size_t count;
	size_t len;

	if (!json_object_is_type(value, json_type_array))
		return fail_field_type(context, "list");
	len = json_object_array_length(value);
	if (len < field->min || len > field->max)
		return fail_field(context,
		    "%zu elements, out of range %" PRIu64 "..%" PRIu64, len,
		    field->min, field->max);
	if (len == 0)
		return MSP_OK;
	elements = calloc(len, field->size);
	if (elements == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a list");
	status = read_elements(context, value, field, elements, &count);
	memcpy(out + field->offset, &elements, sizeof(elements));
	memcpy(out + field->count_offset, &count, sizeof(count));
	return status;
}

msp_status_t
read_field(field_context_t *context, struct json_object *value,
    const field_t *field, void *out)
{
	char *member = (char *)out + field->offset;
	bool flag;

	switch (field->type) {
	case FIELD_NAME:
	case FIELD_STRING:
		return read_string(context, value, field, member);
	case FIELD_ADDRESS:
		return read_address(context, value, field, member);
	case FIELD_PREFIX:
		return read_prefix(context, value, member);
	case FIELD_UINT:
		return read_uint(context, value, field, member);
	case FIELD_DOUBLE:
		return read_double(context, value, field, member);
	case FIELD_ENDPOINT:
		return read_endpoint_field(context, value, member);
	case FIELD_ENUM:
		return read_enum(context, value, field, member);
	case FIELD_OBJECT:
		return read_object(context, value, field, member);
	case FIELD_LIST:
		return read_list(context, value, field, out);
	case FIELD_BOOL:
		if (!json_object_is_type(value, json_type_boolean))
			return fail_field_type(context, "true or false");
		flag = json_object_get_boolean(value);
		memcpy(member, &flag, sizeof(flag));
		return MSP_OK;
	}
	return msp_fail(MSP_E_INTERNAL, "unknown field type");
}

static msp_status_t
check_keys(
    field_context_t *context, struct json_object *object, const field_t *fields)
{
	const field_t *field;

	json_object_object_foreach(object, key, value)
	{
		(void)value;
		for (field = fields; field->name != NULL; field++) {
			if (strcmp(field->name, key) == 0)
				break;
		}
		if (field->name != NULL)
			continue;
		push_field_path(context, key, 0);
		return fail_field(context, "unknown key");
	}
	return MSP_OK;
}

/* Handles an absent key; a nested object gets all its members' defaults. */
static msp_status_t
set_default(field_context_t *context, const field_t *field, void *out)
{
	struct json_object *empty;
	char *member = (char *)out + field->offset;
	msp_status_t status;
	bool flag = field->default_value != 0;

	if (field->required)
		return fail_field(context, "missing; %s", field->help);
	if (field->type == FIELD_UINT || field->type == FIELD_ENUM)
		store_uint(field, field->default_value, member);
	if (field->type == FIELD_DOUBLE)
		store_double(
		    (double)field->default_value / DOUBLE_DEFAULT_SCALE,
		    member);
	if (field->type == FIELD_BOOL)
		memcpy(member, &flag, sizeof(flag));
	if (field->type != FIELD_OBJECT)
		return MSP_OK;
	empty = json_object_new_object();
	if (empty == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for an object");
	status = read_fields(context, empty, field->fields, member);
	json_object_put(empty);
	return status;
}

msp_status_t
read_fields(field_context_t *context, struct json_object *object,
    const field_t *fields, void *out)
{
	msp_status_t status = check_keys(context, object, fields);
	struct json_object *value;
	const field_t *field;
	size_t old_len;

	for (field = fields; field->name != NULL && status == MSP_OK; field++) {
		old_len = push_field_path(context, field->name, 0);
		if (json_object_object_get_ex(object, field->name, &value))
			status = read_field(context, value, field, out);
		else
			status = set_default(context, field, out);
		if (status == MSP_OK)
			pop_field_path(context, old_len);
	}
	if (status != MSP_OK)
		drop_fields(fields, out);
	return status;
}

static void
drop_list(const field_t *field, char *out)
{
	char *elements;
	size_t count;
	size_t i;

	memcpy(&elements, out + field->offset, sizeof(elements));
	memcpy(&count, out + field->count_offset, sizeof(count));
	for (i = 0; i < count; i++)
		drop_fields(field->fields, elements + i * field->size);
	free(elements);
	elements = NULL;
	count = 0;
	memcpy(out + field->offset, &elements, sizeof(elements));
	memcpy(out + field->count_offset, &count, sizeof(count));
}

void
drop_fields(const field_t *fields, void *out)
{
	const field_t *field;

	for (field = fields; field->name != NULL; field++) {
		if (field->type == FIELD_LIST)
			drop_list(field, out);
		if (field->type == FIELD_OBJECT)
			drop_fields(field->fields, (char *)out + field->offset);
	}
}

struct json_object *
parse_json_document(
    const char *text, size_t len, const char *origin, msp_status_t *status)
{
	struct json_tokener *tokener;
	struct json_object *object;

	*status = check_json(text, len, origin);
	if (*status != MSP_OK)
		return NULL;
	tokener = json_tokener_new_ex(JSON_DEPTH_MAX + 2);
	if (tokener == NULL) {
		*status = msp_fail(MSP_E_NO_MEMORY, "no memory for a parser");
		return NULL;
	}
	object = json_tokener_parse_ex(tokener, text, (int)len);
	if (json_tokener_get_error(tokener) == json_tokener_continue)
		object = json_tokener_parse_ex(tokener, "", 1);
	json_tokener_free(tokener);
	if (object != NULL && json_object_is_type(object, json_type_object))
		return object;
	json_object_put(object);
	*status =
	    msp_fail(MSP_E_SYNTAX, "%s: document: not a JSON object", origin);
	return NULL;
}
