#include "load_report.h"

#include <string.h>

#include <json-c/json.h>

#define SLOTS_MAX 10000
#define DEPTH_MAX 8

static msp_status_t
parse_count(json_object *doc, const char *key, uint32_t *out)
{
	json_object *value;
	int64_t number;

	if (!json_object_object_get_ex(doc, key, &value) ||
	    !json_object_is_type(value, json_type_int))
		return msp_fail(
		    MSP_E_SYNTAX, "load report: missing integer \"%s\"", key);
	number = json_object_get_int64(value);
	if (number < 0 || number > SLOTS_MAX)
		return msp_fail(MSP_E_RANGE,
		    "load report: \"%s\" is not in the range 0 to %d", key,
		    SLOTS_MAX);
	*out = (uint32_t)number;
	return MSP_OK;
}

static msp_status_t
parse_state(json_object *doc, msp_target_state_t *state)
{
	json_object *value;
	const char *name;

	if (!json_object_object_get_ex(doc, "state", &value) ||
	    !json_object_is_type(value, json_type_string))
		return msp_fail(
		    MSP_E_SYNTAX, "load report: missing string \"state\"");
	name = json_object_get_string(value);
	if (strcmp(name, "ready") == 0)
		*state = MSP_TARGET_READY;
	else if (strcmp(name, "cold") == 0)
		*state = MSP_TARGET_COLD;
	else if (strcmp(name, "leaving") == 0)
		*state = MSP_TARGET_LEAVING;
	else
		return msp_fail(MSP_E_RANGE, "load report: unknown state");
	return MSP_OK;
}

msp_status_t
parse_load_report(const char *text, size_t len, load_report_t *report)
{
	json_tokener *tokener = json_tokener_new_ex(DEPTH_MAX);
	json_object *doc = NULL;
	msp_status_t status;

	if (tokener == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a load report");
	if (len <= INT32_MAX)
		doc = json_tokener_parse_ex(tokener, text, (int)len);
	if (json_object_is_type(doc, json_type_object)) {
		status = parse_count(doc, "slots", &report->slots);
		if (status == MSP_OK)
			status = parse_count(doc, "in_use", &report->in_use);
		if (status == MSP_OK)
			status = parse_state(doc, &report->state);
	} else {
		status = msp_fail(MSP_E_SYNTAX, "load report: not an object");
	}
	json_object_put(doc);
	json_tokener_free(tokener);
	return status;
}
