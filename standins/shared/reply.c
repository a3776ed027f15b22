#include "reply.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
reply_json(msp_exchange_t *exchange, int status, json_object *document)
{
	msp_response_t response = {.status = status};

	msp_add_header(&response.headers, "content-type",
	    status < 400 ? "application/json" : "application/problem+json");
	if (status == 503)
		msp_add_header(&response.headers, "retry-after", "1");
	msp_append_printf(&response.body, "%s\n",
	    json_object_to_json_string_ext(document,
		JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(document);
	msp_send_exchange_response(exchange, &response);
}

void
reply_problem(msp_exchange_t *exchange, msp_status_t status)
{
	const msp_status_info_t *info = msp_get_status_info(status);
	json_object *document = json_object_new_object();

	json_object_object_add(
	    document, "type", json_object_new_string("about:blank"));
	json_object_object_add(
	    document, "title", json_object_new_string(info->title));
	json_object_object_add(
	    document, "status", json_object_new_int(info->http_status));
	json_object_object_add(
	    document, "kind", json_object_new_string(info->kind));
	reply_json(exchange, info->http_status, document);
}

json_object *
parse_json_body(const msp_exchange_t *exchange)
{
	const msp_buffer_t *body = &msp_exchange_request(exchange)->body;
	json_object *object = json_tokener_parse(msp_buffer_text(body));

	if (object != NULL && !json_object_is_type(object, json_type_object)) {
		json_object_put(object);
		return NULL;
	}
	return object;
}

long long
get_member_number(
    json_object *object, const char *name, long long default_value)
{
	json_object *value;

	if (!json_object_object_get_ex(object, name, &value) ||
	    !json_object_is_type(value, json_type_int))
		return default_value;
	return json_object_get_int64(value);
}

const char *
get_member_text(
    json_object *object, const char *name, const char *default_value)
{
	json_object *value;

	if (!json_object_object_get_ex(object, name, &value) ||
	    !json_object_is_type(value, json_type_string))
		return default_value;
	return json_object_get_string(value);
}

long long
get_query_number(const char *path, const char *name, long long default_value)
{
	const char *at = strchr(path, '?');
	size_t len = strlen(name);

	while (at != NULL) {
		at++;
		if (strncmp(at, name, len) == 0 && at[len] == '=')
			return strtoll(at + len + 1, NULL, 10);
		at = strchr(at, '&');
	}
	return default_value;
}

void
print_last_error(const char *program)
{
	fprintf(stderr, "%s: %s\n", program, msp_last_message());
}
