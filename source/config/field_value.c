#include "field_value.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/config/prefix.h"
#include "monsoonspindle/config/settings.h"

void
store_uint(const field_t *field, uint64_t value, char *member)
{
	uint16_t u16 = (uint16_t)value;
	uint32_t u32 = (uint32_t)value;

	if (field->size == sizeof(u16))
		memcpy(member, &u16, sizeof(u16));
	else if (field->size == sizeof(u32))
		memcpy(member, &u32, sizeof(u32));
	else
		memcpy(member, &value, sizeof(value));
}

msp_status_t
read_uint(field_context_t *context, struct json_object *value,
    const field_t *field, char *member)
{
	const char *text = json_object_get_string(value);
	uint64_t number;

	if (!json_object_is_type(value, json_type_int))
		return fail_field_type(context, "integer");
	number = json_object_get_uint64(value);
	if (text[0] == '-' || number < field->min || number > field->max)
		return fail_field(context,
		    "%s is out of range %" PRIu64 "..%" PRIu64, text,
		    field->min, field->max);
	store_uint(field, number, member);
	return MSP_OK;
}

msp_status_t
read_enum(field_context_t *context, struct json_object *value,
    const field_t *field, char *member)
{
	char list[128] = "";
	const char *text;
	uint32_t i;

	if (!json_object_is_type(value, json_type_string))
		return fail_field_type(context, "string");
	text = json_object_get_string(value);
	for (i = 0; field->choices[i] != NULL; i++) {
		if (strcmp(field->choices[i], text) == 0) {
			memcpy(member, &i, sizeof(i));
			return MSP_OK;
		}
		snprintf(list + strlen(list), sizeof(list) - strlen(list),
		    "%s%s", i > 0 ? ", " : "", field->choices[i]);
	}
	return fail_field(context, "\"%.40s\" is none of %s", text, list);
}

static int
is_name(const char *text)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz0123456789._-";

	if (text[0] == '.' || text[0] == '_' || text[0] == '-')
		return 0;
	return strspn(text, allowed) == strlen(text);
}

static int
is_printable(const char *text)
{
	for (; *text != '\0'; text++) {
		if ((unsigned char)*text < 0x20 || (unsigned char)*text > 0x7e)
			return 0;
	}
	return 1;
}

msp_status_t
read_string(field_context_t *context, struct json_object *value,
    const field_t *field, char *member)
{
	const char *text;
	size_t len;

	if (!json_object_is_type(value, json_type_string))
		return fail_field_type(context, "string");
	text = json_object_get_string(value);
	len = strlen(text);
	if (len < field->min || len > field->max)
		return fail_field(context,
		    "%zu bytes, out of range %" PRIu64 "..%" PRIu64 " bytes",
		    len, field->min, field->max);
	if (field->type == FIELD_NAME && !is_name(text))
		return fail_field(context,
		    "\"%.40s\" is not a name of [a-z0-9][a-z0-9._-]*", text);
	if (!is_printable(text))
		return fail_field(
		    context, "contains a byte that isn't printable ASCII");
	memcpy(member, text, len + 1);
	return MSP_OK;
}

msp_status_t
read_address(field_context_t *context, struct json_object *value,
    const field_t *field, char *member)
{
	const char *text;

	if (!json_object_is_type(value, json_type_string))
		return fail_field_type(context, "string");
	text = json_object_get_string(value);
	if (msp_normalise_address(text, member, field->size) != MSP_OK)
		return fail_field(
		    context, "\"%.40s\" is not an IP address", text);
	return MSP_OK;
}

msp_status_t
read_prefix(field_context_t *context, struct json_object *value, char *member)
{
	msp_prefix_t prefix;
	const char *text;

	if (!json_object_is_type(value, json_type_string))
		return fail_field_type(context, "string");
	text = json_object_get_string(value);
	if (msp_parse_prefix(text, &prefix) != MSP_OK)
		return fail_field(
		    context, "\"%.60s\": %s", text, msp_last_message());
	memcpy(member, &prefix, sizeof(prefix));
	return MSP_OK;
}

void
store_double(double value, char *member)
{
	memcpy(member, &value, sizeof(value));
}

msp_status_t
read_double(field_context_t *context, struct json_object *value,
    const field_t *field, char *member)
{
	double number;

	if (!json_object_is_type(value, json_type_int) &&
	    !json_object_is_type(value, json_type_double))
		return fail_field_type(context, "number");
	number = json_object_get_double(value);
	if (!(number >= (double)field->min && number <= (double)field->max))
		return fail_field(context,
		    "%g is out of range %" PRIu64 "..%" PRIu64, number,
		    field->min, field->max);
	store_double(number, member);
	return MSP_OK;
}

msp_status_t
read_endpoint_field(
    field_context_t *context, struct json_object *value, char *member)
{
	msp_endpoint_t endpoint = {0};
	char address[MSP_ADDRESS_SIZE];
	const char *text;
	const char *colon;
	unsigned long port;
	size_t digits;

	if (!json_object_is_type(value, json_type_string))
		return fail_field_type(context, "string");
	text = json_object_get_string(value);
	colon = strrchr(text, ':');
	if (colon == NULL || (size_t)(colon - text) >= sizeof(address))
		return fail_field(context, "\"%.60s\" is not IP:PORT", text);
	memcpy(address, text, (size_t)(colon - text));
	address[colon - text] = '\0';
	digits = strspn(colon + 1, "0123456789");
	port = strtoul(colon + 1, NULL, 10);
	if (digits == 0 || colon[1 + digits] != '\0' || port == 0 ||
	    port > UINT16_MAX)
		return fail_field(context, "\"%.60s\" has no valid port", text);
	if (msp_normalise_address(
		address, endpoint.address, sizeof(endpoint.address)) != MSP_OK)
		return fail_field(
		    context, "\"%.60s\" has no valid IP address", text);
	endpoint.port = (uint16_t)port;
	memcpy(member, &endpoint, sizeof(endpoint));
	return MSP_OK;
}
