#include "store_data.h"

#include <string.h>

void
msp_init_store_data(msp_store_data_t *data)
{
	msp_init_table(&data->table);
	msp_open_undo(&data->undo);
	msp_init_table(&data->objects);
	msp_init_vm_list(&data->vms);
}

void
msp_clear_store_data(msp_store_data_t *data)
{
	msp_clear_table(&data->table);
	msp_drop_undo(&data->undo);
	msp_clear_table(&data->objects);
	msp_clear_vm_list(&data->vms);
}

bool
msp_is_store_write(const msp_store_call_t *call)
{
	return call->op == MSP_STORE_TRANSACT ||
	    call->op == MSP_STORE_PUT_OBJECT;
}

static msp_status_t
read_rows(msp_store_data_t *data, msp_store_call_t *call)
{
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < call->key_count && status == MSP_OK; i++) {
		const msp_table_row_t *row =
		    msp_find_row(&data->table, call->keys[i]);

		if (row == NULL)
			status = msp_capture_row(
			    &call->captured, call->keys[i], NULL, 0, 0);
		else
			status = msp_capture_row(&call->captured, row->key,
			    row->value, row->value_len, row->version);
	}
	return status;
}

static msp_status_t
scan_rows(msp_store_data_t *data, msp_store_call_t *call)
{
	const char *prefix = call->keys[0];
	size_t len = strlen(prefix);
	const char *from =
	    strcmp(call->after, prefix) > 0 ? call->after : prefix;
	const msp_table_row_t *row = NULL;
	msp_status_t status = MSP_OK;

	if (from == prefix)
		row = msp_find_row(&data->table, prefix);
	if (row == NULL || strcmp(row->key, call->after) <= 0)
		row = msp_next_row(&data->table, from);
	while (row != NULL && strncmp(row->key, prefix, len) == 0 &&
	    call->captured.reply.row_count < call->limit && status == MSP_OK) {
		status = msp_capture_row(&call->captured, row->key, row->value,
		    row->value_len, row->version);
		row = msp_next_row(&data->table, row->key);
	}
	return status;
}

msp_status_t
msp_transact_store_data(
    msp_store_data_t *data, const msp_txn_t *txn, msp_time_t now)
{
	msp_status_t status = MSP_OK;

	if (msp_conditions_hold(&data->table, txn))
		status = msp_record_undo(&data->undo, &data->table, txn, now);
	return status == MSP_OK ? msp_apply_txn(&data->table, txn) : status;
}

static msp_status_t
run_transaction(msp_store_data_t *data, msp_store_call_t *call, msp_time_t now)
{
	msp_txn_t txn = {
	    .conditions = call->conditions,
	    .condition_count = call->key_count,
	    .writes = call->writes,
	    .write_count = call->write_count,
	};
	msp_status_t status = msp_transact_store_data(data, &txn, now);
	msp_status_t read;

	if (status == MSP_OK)
		call->captured.reply.version = data->table.last_version;
	if (status == MSP_OK && txn.write_count > 0) {
		data->stats.transactions++;
		data->stats.rows_written += txn.write_count;
	}
	if (status != MSP_E_CONFLICT)
		return status;
	data->stats.conflicts++;
	read = read_rows(data, call);
	return read == MSP_OK ? MSP_E_CONFLICT : read;
}

static msp_status_t
read_object(msp_store_data_t *data, msp_store_call_t *call)
{
	const msp_table_row_t *row =
	    msp_find_row(&data->objects, call->keys[0]);

	if (row == NULL)
		return MSP_E_NOT_FOUND;
	return msp_capture_object(&call->captured, row->value, row->value_len);
}

static msp_status_t
write_object(msp_store_data_t *data, msp_store_call_t *call)
{
	msp_write_t write = {
	    .key = call->keys[0],
	    .value = call->object,
	    .value_len = call->object_len,
	};
	msp_txn_t txn = {.writes = &write, .write_count = 1};

	data->stats.objects_written++;
	return msp_apply_txn(&data->objects, &txn);
}

static msp_status_t
run_call(msp_store_data_t *data, msp_store_call_t *call, msp_time_t now)
{
	if (!msp_is_store_write(call))
		data->stats.reads++;
	switch (call->op) {
	case MSP_STORE_GET:
		return read_rows(data, call);
	case MSP_STORE_SCAN:
		return scan_rows(data, call);
	case MSP_STORE_TRANSACT:
		return run_transaction(data, call, now);
	case MSP_STORE_GET_OBJECT:
		return read_object(data, call);
	case MSP_STORE_PUT_OBJECT:
		return write_object(data, call);
	case MSP_STORE_LIST_VMS:
		return msp_capture_vm_list(&data->vms, now, &call->captured);
	}
	return msp_fail(MSP_E_INTERNAL, "unknown call");
}

void
msp_run_store_call(
    msp_store_data_t *data, msp_store_call_t *call, msp_time_t now)
{
	call->captured.reply.status = run_call(data, call, now);
}
