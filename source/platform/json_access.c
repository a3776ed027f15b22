#include <string.h>

#include "store_json.h"

#define NESTING_MAX 8

struct json_object *
msp_parse_json_object(const char *text, size_t len)
{
	struct json_tokener *tokener = json_tokener_new_ex(NESTING_MAX);
	struct json_object *object;

	if (tokener == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for JSON");
		return NULL;
	}
	json_tokener_set_flags(tokener, JSON_TOKENER_STRICT);
	object = json_tokener_parse_ex(tokener, text, (int)len);
	if (json_tokener_get_error(tokener) != json_tokener_success ||
	    json_tokener_get_parse_end(tokener) != len ||
	    !json_object_is_type(object, json_type_object)) {
		msp_fail(MSP_E_SYNTAX, "not one JSON object");
		json_object_put(object);
		object = NULL;
	}
	json_tokener_free(tokener);
	return object;
}

static msp_status_t
find_member(struct json_object *object, const char *name, enum json_type type,
    struct json_object **out)
{
	if (!json_object_is_type(object, json_type_object) ||
	    !json_object_object_get_ex(object, name, out) ||
	    !json_object_is_type(*out, type))
		return msp_fail(MSP_E_SYNTAX, "\"%s\" is missing or no %s",
		    name, json_type_to_name(type));
	return MSP_OK;
}

msp_status_t
msp_json_text(struct json_object *object, const char *name, const char **out)
{
	struct json_object *member = NULL;
	msp_status_t status =
	    find_member(object, name, json_type_string, &member);

	if (status != MSP_OK)
		return status;
	*out = json_object_get_string(member);
	if (strlen(*out) != (size_t)json_object_get_string_len(member))
		return msp_fail(MSP_E_SYNTAX, "\"%s\" holds a 0", name);
	return MSP_OK;
}

msp_status_t
msp_json_number(
    struct json_object *object, const char *name, uint64_t max, uint64_t *out)
{
	struct json_object *member = NULL;
	msp_status_t status = find_member(object, name, json_type_int, &member);

	if (status != MSP_OK)
		return status;
	*out = json_object_get_uint64(member);
	if (*out > max || (*out == 0 && json_object_get_int64(member) < 0))
		return msp_fail(MSP_E_SYNTAX, "\"%s\" is out of range", name);
	return MSP_OK;
}

msp_status_t
msp_json_array(
    struct json_object *object, const char *name, struct json_object **out)
{
	return find_member(object, name, json_type_array, out);
}

msp_status_t
msp_print_json(msp_buffer_t *out, struct json_object *object)
{
	const char *text =
	    json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN);
	msp_status_t status = text == NULL
	    ? msp_fail(MSP_E_NO_MEMORY, "no memory for JSON")
	    : msp_append_buffer(out, text, strlen(text));

	json_object_put(object);
	return status;
}
