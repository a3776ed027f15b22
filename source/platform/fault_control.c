#include "fault_control.h"

#include <string.h>

#include "../../platform/json_reader.h"

#define PERCENT_MAX 100

static msp_status_t
set_bool(struct json_object *value, bool *flag)
{
	if (!json_object_is_type(value, json_type_boolean))
		return msp_fail(MSP_E_SYNTAX, "a flag is not a boolean");
	*flag = json_object_get_boolean(value);
	return MSP_OK;
}

static msp_status_t
set_number(struct json_object *message, const char *name, uint32_t max,
    unsigned int *out)
{
	uint64_t number;
	msp_status_t status = read_json_uint(message, name, max, &number);

	if (status == MSP_OK)
		*out = (unsigned int)number;
	return status;
}

static msp_status_t
set_duration(
    struct json_object *message, const char *name, msp_time_t *duration)
{
	uint64_t number;
	msp_status_t status =
	    read_json_uint(message, name, UINT32_MAX, &number);

	if (status == MSP_OK)
		*duration = number * MSP_MS;
	return status;
}

static msp_status_t
set_fault(msp_store_faults_t *faults, struct json_object *message,
    const char *name, struct json_object *value)
{
	if (strcmp(name, "down") == 0)
		return set_bool(value, &faults->down);
	if (strcmp(name, "latency_ms") == 0)
		return set_duration(message, name, &faults->latency);
	if (strcmp(name, "jitter_ms") == 0)
		return set_duration(message, name, &faults->jitter);
	if (strcmp(name, "lose_call_pct") == 0)
		return set_number(
		    message, name, PERCENT_MAX, &faults->lose_call_pct);
	if (strcmp(name, "lose_answer_pct") == 0)
		return set_number(
		    message, name, PERCENT_MAX, &faults->lose_reply_pct);
	if (strcmp(name, "late_effect_pct") == 0)
		return set_number(
		    message, name, PERCENT_MAX, &faults->late_effect_pct);
	if (strcmp(name, "late_effect_ms") == 0)
		return set_duration(message, name, &faults->late_effect);
	if (strcmp(name, "writes_per_second") == 0)
		return set_number(
		    message, name, UINT32_MAX, &faults->writes_per_second);
	if (strcmp(name, "count_rows") == 0)
		return set_bool(value, &faults->count_rows);
	return msp_fail(MSP_E_SYNTAX, "unknown fault \"%s\"", name);
}

static msp_status_t
print_stats(const msp_store_stats_t *stats, msp_buffer_t *out)
{
	struct json_object *message = json_object_new_object();
	msp_status_t status;
	const char *text;

	json_object_object_add(message, "transactions",
	    json_object_new_uint64(stats->transactions));
	json_object_object_add(message, "rows_written",
	    json_object_new_uint64(stats->rows_written));
	json_object_object_add(
	    message, "conflicts", json_object_new_uint64(stats->conflicts));
	json_object_object_add(
	    message, "reads", json_object_new_uint64(stats->reads));
	json_object_object_add(message, "objects_written",
	    json_object_new_uint64(stats->objects_written));
	text = json_object_to_json_string_ext(message, JSON_C_TO_STRING_PLAIN);
	status = text == NULL ? msp_fail(MSP_E_NO_MEMORY, "no memory for JSON")
			      : msp_append_data(out, text, strlen(text));
	json_object_put(message);
	return status;
}

msp_status_t
msp_set_store_faults(
    msp_memory_store_t *store, struct json_object *message, msp_buffer_t *out)
{
	msp_store_faults_t faults = *msp_memory_store_faults(store);
	struct json_object_iterator at = json_object_iter_begin(message);
	struct json_object_iterator end = json_object_iter_end(message);
	msp_status_t status = MSP_OK;

	while (!json_object_iter_equal(&at, &end) && status == MSP_OK) {
		status =
		    set_fault(&faults, message, json_object_iter_peek_name(&at),
			json_object_iter_peek_value(&at));
		json_object_iter_next(&at);
	}
	if (status != MSP_OK)
		return status;
	*msp_memory_store_faults(store) = faults;
	return print_stats(msp_memory_store_stats(store), out);
}
