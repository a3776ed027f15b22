#include "monsoonspindle/base/base64.h"
#include "store_json.h"

/* Each sets *status if it fails, and leaves it else. */
static struct json_object *
encode_value(const char *value, size_t len, msp_status_t *status)
{
	msp_buffer_t text = {0};
	struct json_object *member;
	msp_status_t encoded;

	if (value == NULL)
		return NULL;
	encoded = msp_encode_base64(&text, value, len);
	if (encoded != MSP_OK)
		*status = encoded;
	member =
	    json_object_new_string_len(msp_buffer_text(&text), (int)text.len);
	msp_drop_buffer(&text);
	return member;
}

static struct json_object *
encode_row(const char *key, const char *value, size_t len, msp_status_t *status)
{
	struct json_object *row = json_object_new_object();

	json_object_object_add(row, "key", json_object_new_string(key));
	json_object_object_add(row, "value", encode_value(value, len, status));
	return row;
}

static void
add_version(struct json_object *row, uint64_t version)
{
	json_object_object_add(row, "version", json_object_new_uint64(version));
}

/* Prints `message`, unless a part of it failed; drops it in any case. */
static msp_status_t
print_if(msp_status_t status, msp_buffer_t *out, struct json_object *message)
{
	if (status == MSP_OK)
		return msp_print_json(out, message);
	json_object_put(message);
	return status;
}

msp_status_t
msp_encode_txn(msp_buffer_t *out, const msp_txn_t *txn)
{
	struct json_object *message = json_object_new_object();
	struct json_object *conditions = json_object_new_array();
	struct json_object *writes = json_object_new_array();
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < txn->condition_count; i++) {
		struct json_object *item = json_object_new_object();

		json_object_object_add(item, "key",
		    json_object_new_string(txn->conditions[i].key));
		add_version(item, txn->conditions[i].version);
		json_object_array_add(conditions, item);
	}
	for (i = 0; i < txn->write_count; i++)
		json_object_array_add(writes,
		    encode_row(txn->writes[i].key, txn->writes[i].value,
			txn->writes[i].value_len, &status));
	json_object_object_add(message, "conditions", conditions);
	json_object_object_add(message, "writes", writes);
	return print_if(status, out, message);
}

msp_status_t
msp_encode_keys(msp_buffer_t *out, const char *const *keys, size_t count)
{
	struct json_object *message = json_object_new_object();
	struct json_object *array = json_object_new_array();
	size_t i;

	for (i = 0; i < count; i++)
		json_object_array_add(array, json_object_new_string(keys[i]));
	json_object_object_add(message, "keys", array);
	return msp_print_json(out, message);
}

msp_status_t
msp_encode_scan(
    msp_buffer_t *out, const char *prefix, const char *after, size_t limit)
{
	struct json_object *message = json_object_new_object();

	json_object_object_add(
	    message, "prefix", json_object_new_string(prefix));
	json_object_object_add(message, "after",
	    json_object_new_string(after == NULL ? "" : after));
	json_object_object_add(message, "limit", json_object_new_uint64(limit));
	return msp_print_json(out, message);
}

msp_status_t
msp_encode_rows(msp_buffer_t *out, const msp_row_t *rows, size_t count)
{
	struct json_object *message = json_object_new_object();
	struct json_object *array = json_object_new_array();
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < count; i++) {
		struct json_object *row = encode_row(
		    rows[i].key, rows[i].value, rows[i].value_len, &status);

		add_version(row, rows[i].version);
		json_object_array_add(array, row);
	}
	json_object_object_add(message, "rows", array);
	return print_if(status, out, message);
}

msp_status_t
msp_encode_vms(msp_buffer_t *out, const msp_vm_t *vms, size_t count)
{
	struct json_object *message = json_object_new_object();
	struct json_object *array = json_object_new_array();
	size_t i;

	for (i = 0; i < count; i++) {
		struct json_object *vm = json_object_new_object();

		json_object_object_add(
		    vm, "name", json_object_new_string(vms[i].name));
		json_object_object_add(
		    vm, "place", json_object_new_string(vms[i].place));
		json_object_object_add(
		    vm, "address", json_object_new_string(vms[i].address));
		json_object_object_add(vm, "caller_port",
		    json_object_new_uint64(vms[i].caller_port));
		json_object_object_add(
		    vm, "peer_port", json_object_new_uint64(vms[i].peer_port));
		json_object_object_add(
		    vm, "leaving", json_object_new_boolean(vms[i].leaving));
		json_object_array_add(array, vm);
	}
	json_object_object_add(message, "vms", array);
	return msp_print_json(out, message);
}
