#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "field.h"
#include "monsoonspindle/config/prefix.h"
#include "monsoonspindle/config/settings.h"

#define COLUMN_SIZE 96

static uint64_t
load_uint(const field_t *field, const char *member)
{
	uint16_t u16;
	uint32_t u32;
	uint64_t u64;

	if (field->size == sizeof(u16)) {
		memcpy(&u16, member, sizeof(u16));
		return u16;
	}
	if (field->size == sizeof(u32)) {
		memcpy(&u32, member, sizeof(u32));
		return u32;
	}
	memcpy(&u64, member, sizeof(u64));
	return u64;
}

msp_status_t
print_json_string(const char *text, msp_buffer_t *out)
{
	msp_status_t status = msp_append_data(out, "\"", 1);
	size_t len;

	while (status == MSP_OK && *text != '\0') {
		for (len = 0; (unsigned char)text[len] >= 0x20 &&
		     text[len] != '"' && text[len] != '\\';)
			len++;
		status = msp_append_data(out, text, len);
		text += len;
		if (status != MSP_OK || *text == '\0')
			break;
		status = msp_append_printf(
		    out, "\\u%04x", (unsigned int)(unsigned char)*text++);
	}
	if (status != MSP_OK)
		return status;
	return msp_append_data(out, "\"", 1);
}

static msp_status_t
print_list(const field_t *field, const char *in, msp_buffer_t *out)
{
	msp_status_t status = msp_append_data(out, "[", 1);
	const char *elements;
	size_t count;
	size_t i;

	memcpy(&elements, in + field->offset, sizeof(elements));
	memcpy(&count, in + field->count_offset, sizeof(count));
	for (i = 0; i < count && status == MSP_OK; i++) {
		if (i > 0)
			status = msp_append_data(out, ",", 1);
		if (status == MSP_OK)
			status = print_fields(
			    field->fields, elements + i * field->size, out);
	}
	return status == MSP_OK ? msp_append_data(out, "]", 1) : status;
}

static msp_status_t
print_prefix(const char *member, msp_buffer_t *out)
{
	char text[MSP_PREFIX_TEXT_SIZE];
	msp_prefix_t prefix;

	memcpy(&prefix, member, sizeof(prefix));
	msp_print_prefix(&prefix, text);
	return print_json_string(text, out);
}

static msp_status_t
print_field(const field_t *field, const char *in, msp_buffer_t *out)
{
	const char *member = in + field->offset;
	msp_endpoint_t endpoint;
	double real;
	bool flag;

	switch (field->type) {
	case FIELD_NAME:
	case FIELD_STRING:
	case FIELD_ADDRESS:
		return print_json_string(member, out);
	case FIELD_PREFIX:
		return print_prefix(member, out);
	case FIELD_UINT:
		return msp_append_printf(
		    out, "%" PRIu64, load_uint(field, member));
	case FIELD_ENUM:
		return print_json_string(
		    field->choices[load_uint(field, member)], out);
	case FIELD_OBJECT:
		return print_fields(field->fields, member, out);
	case FIELD_LIST:
		return print_list(field, in, out);
	case FIELD_DOUBLE:
		memcpy(&real, member, sizeof(real));
		return msp_append_printf(out, "%g", real);
	case FIELD_ENDPOINT:
		memcpy(&endpoint, member, sizeof(endpoint));
		return msp_append_printf(
		    out, "\"%s:%u\"", endpoint.address, endpoint.port);
	case FIELD_BOOL:
		memcpy(&flag, member, sizeof(flag));
		return msp_append_printf(out, "%s", flag ? "true" : "false");
	}
	return msp_fail(MSP_E_INTERNAL, "unknown field type");
}

msp_status_t
print_fields(const field_t *fields, const void *in, msp_buffer_t *out)
{
	msp_status_t status = msp_append_data(out, "{", 1);
	const field_t *field;

	for (field = fields; field->name != NULL && status == MSP_OK; field++) {
		status = msp_append_printf(
		    out, "%s\"%s\":", field == fields ? "" : ",", field->name);
		if (status == MSP_OK)
			status = print_field(field, in, out);
	}
	return status == MSP_OK ? msp_append_data(out, "}", 1) : status;
}

static void
describe_enum(const field_t *field, char *out, size_t size)
{
	size_t len = 0;
	size_t i;

	out[0] = '\0';
	for (i = 0; field->choices[i] != NULL && len < size; i++)
		len += (size_t)snprintf(out + len, size - len, "%s%s",
		    i > 0 ? "|" : "", field->choices[i]);
}

static void
describe_type(const field_t *field, char *out, size_t size)
{
	switch (field->type) {
	case FIELD_NAME:
		snprintf(out, size, "name of %" PRIu64 "..%" PRIu64 " bytes",
		    field->min, field->max);
		break;
	case FIELD_STRING:
		snprintf(out, size, "string of %" PRIu64 "..%" PRIu64 " bytes",
		    field->min, field->max);
		break;
	case FIELD_ADDRESS:
		snprintf(out, size, "IP address");
		break;
	case FIELD_PREFIX:
		snprintf(out, size, "IP address/bits");
		break;
	case FIELD_UINT:
		snprintf(
		    out, size, "%" PRIu64 "..%" PRIu64, field->min, field->max);
		break;
	case FIELD_DOUBLE:
		snprintf(out, size, "number %" PRIu64 "..%" PRIu64, field->min,
		    field->max);
		break;
	case FIELD_ENDPOINT:
		snprintf(out, size, "IP:PORT");
		break;
	case FIELD_BOOL:
		snprintf(out, size, "true|false");
		break;
	case FIELD_ENUM:
		describe_enum(field, out, size);
		break;
	case FIELD_OBJECT:
		snprintf(out, size, "object");
		break;
	case FIELD_LIST:
		snprintf(out, size, "list of %" PRIu64 "..%" PRIu64, field->min,
		    field->max);
		break;
	}
}

static void
describe_default(const field_t *field, char *out, size_t size)
{
	if (field->required)
		snprintf(out, size, "required");
	else if (field->type == FIELD_UINT)
		snprintf(out, size, "%" PRIu64, field->default_value);
	else if (field->type == FIELD_DOUBLE)
		snprintf(out, size, "%g", (double)field->default_value / 1000);
	else if (field->type == FIELD_BOOL)
		snprintf(
		    out, size, "%s", field->default_value ? "true" : "false");
	else if (field->type == FIELD_ENUM)
		snprintf(out, size, "%s", field->choices[field->default_value]);
	else
		snprintf(out, size, "none");
}

msp_status_t
print_fields_help(const field_t *fields, const char *prefix, msp_buffer_t *out)
{
	msp_status_t status = MSP_OK;
	const field_t *field;
	char name[COLUMN_SIZE];
	char type[COLUMN_SIZE];
	char default_value[COLUMN_SIZE];

	for (field = fields; field->name != NULL && status == MSP_OK; field++) {
		snprintf(name, sizeof(name), "%s%s%s", prefix, field->name,
		    field->type == FIELD_LIST ? "[]" : "");
		describe_type(field, type, sizeof(type));
		describe_default(field, default_value, sizeof(default_value));
		if (field->type != FIELD_OBJECT)
			status =
			    msp_append_printf(out, "%-26s %-24s %-10s %s\n",
				name, type, default_value, field->help);
		if (status != MSP_OK || field->fields == NULL)
			continue;
		snprintf(name + strlen(name), sizeof(name) - strlen(name), ".");
		status = print_fields_help(field->fields, name, out);
	}
	return status;
}
