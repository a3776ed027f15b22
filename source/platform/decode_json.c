#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/base64.h"
#include "check_call.h"
#include "store_json.h"

#define SCAN_LIMIT_MAX 10000 /* rows of one answer */
#define VMS_MAX 10000

/* `*value` is NULL for null, else owned by the caller. */
static msp_status_t
decode_value(struct json_object *row, char **value, size_t *len)
{
	msp_buffer_t data = {.limit = MSP_ROW_VALUE_MAX};
	struct json_object *member;
	msp_status_t status;

	*value = NULL;
	*len = 0;
	if (!json_object_is_type(row, json_type_object) ||
	    !json_object_object_get_ex(row, "value", &member))
		return msp_fail(MSP_E_SYNTAX, "a row has no value");
	if (member == NULL)
		return MSP_OK;
	if (!json_object_is_type(member, json_type_string))
		return msp_fail(MSP_E_SYNTAX, "a value is no string");
	status = msp_append_buffer(&data, "", 0);
	if (status == MSP_OK)
		status =
		    msp_decode_base64(&data, json_object_get_string(member),
			(size_t)json_object_get_string_len(member));
	if (status != MSP_OK) {
		msp_drop_buffer(&data);
		return status;
	}
	*value = data.data;
	*len = data.len;
	return MSP_OK;
}

static msp_status_t
decode_key(struct json_object *row, const char **key)
{
	msp_status_t status = msp_json_text(row, "key", key);

	return status == MSP_OK ? msp_check_row_key(*key) : status;
}

static msp_status_t
decode_conditions(struct json_object *array, msp_condition_t *conditions)
{
	size_t count = json_object_array_length(array);
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < count && status == MSP_OK; i++) {
		struct json_object *item = json_object_array_get_idx(array, i);

		status = decode_key(item, &conditions[i].key);
		if (status == MSP_OK)
			status = msp_json_number(item, "version", UINT64_MAX,
			    &conditions[i].version);
	}
	return status;
}

static msp_status_t
decode_writes(struct json_object *array, msp_write_t *writes)
{
	size_t count = json_object_array_length(array);
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < count && status == MSP_OK; i++) {
		struct json_object *item = json_object_array_get_idx(array, i);
		char *value = NULL;

		status = decode_key(item, &writes[i].key);
		if (status == MSP_OK)
			status =
			    decode_value(item, &value, &writes[i].value_len);
		writes[i].value = value;
	}
	return status;
}

static msp_store_call_t *
decode_txn_arrays(struct json_object *conditions, struct json_object *writes)
{
	msp_condition_t condition_list[MSP_TXN_ITEMS_MAX] = {{0}};
	msp_write_t write_list[MSP_TXN_ITEMS_MAX] = {{0}};
	msp_txn_t txn = {
	    .conditions = condition_list,
	    .condition_count = json_object_array_length(conditions),
	    .writes = write_list,
	    .write_count = json_object_array_length(writes),
	};
	msp_store_call_t *call = NULL;
	size_t i;

	if (txn.condition_count > MSP_TXN_ITEMS_MAX ||
	    txn.write_count > MSP_TXN_ITEMS_MAX) {
		msp_fail(MSP_E_SYNTAX, "a transaction of over %d items",
		    MSP_TXN_ITEMS_MAX);
		return NULL;
	}
	if (decode_conditions(conditions, condition_list) == MSP_OK &&
	    decode_writes(writes, write_list) == MSP_OK)
		call = msp_new_txn_call(&txn);
	for (i = 0; i < txn.write_count; i++)
		free((char *)write_list[i].value);
	return call;
}

msp_store_call_t *
msp_decode_txn(struct json_object *message)
{
	struct json_object *conditions;
	struct json_object *writes;

	if (msp_json_array(message, "conditions", &conditions) != MSP_OK ||
	    msp_json_array(message, "writes", &writes) != MSP_OK)
		return NULL;
	return decode_txn_arrays(conditions, writes);
}

msp_store_call_t *
msp_decode_keys(struct json_object *message)
{
	const char *keys[MSP_TXN_ITEMS_MAX];
	struct json_object *array;
	size_t count;
	size_t i;

	if (msp_json_array(message, "keys", &array) != MSP_OK)
		return NULL;
	count = json_object_array_length(array);
	if (count > MSP_TXN_ITEMS_MAX) {
		msp_fail(MSP_E_SYNTAX, "over %d keys", MSP_TXN_ITEMS_MAX);
		return NULL;
	}
	for (i = 0; i < count; i++) {
		struct json_object *key = json_object_array_get_idx(array, i);

		if (!json_object_is_type(key, json_type_string)) {
			msp_fail(MSP_E_SYNTAX, "a key is no string");
			return NULL;
		}
		keys[i] = json_object_get_string(key);
		if (strlen(keys[i]) !=
		    (size_t)json_object_get_string_len(key)) {
			msp_fail(MSP_E_SYNTAX, "a key holds a 0");
			return NULL;
		}
		if (msp_check_row_key(keys[i]) != MSP_OK)
			return NULL;
	}
	return msp_new_store_call(MSP_STORE_GET, keys, count);
}

msp_store_call_t *
msp_decode_scan(struct json_object *message)
{
	msp_store_call_t *call;
	const char *prefix;
	const char *after;
	uint64_t limit;

	if (msp_json_text(message, "prefix", &prefix) != MSP_OK ||
	    msp_json_text(message, "after", &after) != MSP_OK ||
	    msp_json_number(message, "limit", SCAN_LIMIT_MAX, &limit) !=
		MSP_OK ||
	    msp_check_row_key(prefix) != MSP_OK)
		return NULL;
	call = msp_new_store_call(MSP_STORE_SCAN, &prefix, 1);
	if (call == NULL)
		return NULL;
	call->limit = limit;
	call->after = strdup(after);
	if (call->after == NULL) {
		msp_drop_store_call(call);
		return NULL;
	}
	return call;
}

static msp_status_t
decode_row(struct json_object *row, msp_captured_reply_t *captured)
{
	const char *key;
	char *value;
	size_t len;
	uint64_t version;
	msp_status_t status = decode_key(row, &key);

	if (status == MSP_OK)
		status = msp_json_number(row, "version", UINT64_MAX, &version);
	if (status != MSP_OK)
		return status;
	status = decode_value(row, &value, &len);
	if (status != MSP_OK)
		return status;
	if ((value == NULL) != (version == 0))
		status = msp_fail(
		    MSP_E_SYNTAX, "a row's version and value disagree");
	else
		status = msp_capture_row(captured, key, value, len, version);
	free(value);
	return status;
}

msp_status_t
msp_decode_rows(struct json_object *message, msp_captured_reply_t *captured)
{
	struct json_object *array;
	msp_status_t status = msp_json_array(message, "rows", &array);
	size_t count;
	size_t i;

	if (status != MSP_OK)
		return status;
	count = json_object_array_length(array);
	for (i = 0; i < count && status == MSP_OK; i++)
		status =
		    decode_row(json_object_array_get_idx(array, i), captured);
	return status;
}

static msp_status_t
decode_label(struct json_object *object, const char *name, char out[64])
{
	const char *text;
	msp_status_t status = msp_json_text(object, name, &text);

	if (status != MSP_OK)
		return status;
	if (strlen(text) >= 64)
		return msp_fail(MSP_E_SYNTAX, "\"%s\" is too long", name);
	memcpy(out, text, strlen(text) + 1);
	return MSP_OK;
}

static msp_status_t
decode_port(struct json_object *object, const char *name, uint16_t *port)
{
	uint64_t number;
	msp_status_t status =
	    msp_json_number(object, name, UINT16_MAX, &number);

	if (status == MSP_OK)
		*port = (uint16_t)number;
	return status;
}

static msp_status_t
decode_vm(struct json_object *object, msp_vm_t *vm)
{
	struct json_object *leaving;
	msp_status_t status = decode_label(object, "name", vm->name);

	if (status == MSP_OK)
		status = decode_label(object, "place", vm->place);
	if (status == MSP_OK)
		status = decode_label(object, "address", vm->address);
	if (status == MSP_OK)
		status = decode_port(object, "caller_port", &vm->caller_port);
	if (status == MSP_OK)
		status = decode_port(object, "peer_port", &vm->peer_port);
	if (status != MSP_OK)
		return status;
	if (!json_object_object_get_ex(object, "leaving", &leaving) ||
	    !json_object_is_type(leaving, json_type_boolean))
		return msp_fail(MSP_E_SYNTAX, "\"leaving\" is no boolean");
	vm->leaving = json_object_get_boolean(leaving);
	return MSP_OK;
}

msp_status_t
msp_decode_vms(struct json_object *message, msp_captured_reply_t *captured)
{
	struct json_object *array;
	msp_status_t status = msp_json_array(message, "vms", &array);
	msp_vm_t *vms;
	size_t count;
	size_t i;

	if (status != MSP_OK)
		return status;
	count = json_object_array_length(array);
	if (count > VMS_MAX)
		return msp_fail(MSP_E_SYNTAX, "over %d VMs", VMS_MAX);
	vms = calloc(count + 1, sizeof(*vms));
	if (vms == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for VMs");
	for (i = 0; i < count && status == MSP_OK; i++)
		status =
		    decode_vm(json_object_array_get_idx(array, i), &vms[i]);
	if (status == MSP_OK)
		status = msp_capture_vms(captured, vms, count);
	free(vms);
	return status;
}
