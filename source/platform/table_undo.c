#include "table_undo.h"

#include <stdlib.h>
#include <string.h>

void
msp_open_undo(msp_undo_t *undo)
{
	TAILQ_INIT(&undo->writes);
}

static void
drop_write(msp_undo_t *undo, msp_undo_write_t *write)
{
	TAILQ_REMOVE(&undo->writes, write, link);
	free(write->key);
	free(write->value);
	free(write);
}

void
msp_drop_undo(msp_undo_t *undo)
{
	msp_undo_write_t *write;
	msp_undo_write_t *next;

	TAILQ_FOREACH_SAFE(write, &undo->writes, link, next)
		drop_write(undo, write);
}

static void
expire(msp_undo_t *undo, msp_time_t now)
{
	msp_undo_write_t *write;
	msp_undo_write_t *next;

	TAILQ_FOREACH_REVERSE_SAFE(
	    write, &undo->writes, msp_undo_writes, link, next)
	{
		if (write->at + undo->span >= now)
			return;
		drop_write(undo, write);
	}
}

static msp_status_t
copy_row(msp_undo_write_t *write, const msp_table_row_t *row)
{
	write->value = malloc(row->value_len + 1);
	if (write->value == NULL)
		return MSP_E_NO_MEMORY;
	memcpy(write->value, row->value, row->value_len + 1);
	write->value_len = row->value_len;
	write->version = row->version;
	return MSP_OK;
}

static msp_status_t
record_write(
    msp_undo_t *undo, msp_table_t *table, const char *key, msp_time_t now)
{
	msp_undo_write_t *write = calloc(1, sizeof(*write));
	const msp_table_row_t *row = msp_find_row(table, key);

	if (write == NULL)
		return MSP_E_NO_MEMORY;
	TAILQ_INSERT_HEAD(&undo->writes, write, link);
	write->at = now;
	write->written_by = table->last_version + 1;
	write->key = strdup(key);
	if (write->key == NULL ||
	    (row != NULL && copy_row(write, row) != MSP_OK)) {
		drop_write(undo, write);
		return MSP_E_NO_MEMORY;
	}
	return MSP_OK;
}

msp_status_t
msp_record_undo(
    msp_undo_t *undo, msp_table_t *table, const msp_txn_t *txn, msp_time_t now)
{
	msp_status_t status = MSP_OK;
	size_t i;

	if (undo->span == 0)
		return MSP_OK;
	expire(undo, now);
	for (i = 0; i < txn->write_count && status == MSP_OK; i++)
		status = record_write(undo, table, txn->writes[i].key, now);
	return status;
}

msp_status_t
msp_undo_since(msp_undo_t *undo, msp_table_t *table, msp_time_t at)
{
	msp_undo_write_t *write;
	msp_undo_write_t *next;
	msp_status_t status = MSP_OK;

	TAILQ_FOREACH_SAFE(write, &undo->writes, link, next) {
		if (status != MSP_OK || write->at <= at)
			break;
		status = msp_restore_row(table, write->key, write->value,
		    write->value_len, write->version);
		table->last_version = write->written_by - 1;
		drop_write(undo, write);
	}
	msp_forget_removals_after(table, table->last_version);
	return status;
}
