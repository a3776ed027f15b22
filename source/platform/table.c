#include "table.h"

#include <stdlib.h>
#include <string.h>

#ifndef __unused
#define __unused __attribute__((unused)) /* needed by RB_GENERATE_STATIC */
#endif

static int
compare_rows(const msp_table_row_t *a, const msp_table_row_t *b)
{
	return strcmp(a->key, b->key);
}

/* The analyser can't follow rows through the generated tree code. */
/* NOLINTBEGIN(clang-analyzer-unix.Malloc) */
/* cppcheck-suppress unknownMacro */
RB_GENERATE_STATIC(msp_table_tree, msp_table_row, entry, compare_rows)

void
msp_init_table(msp_table_t *table)
{
	RB_INIT(&table->tree);
	TAILQ_INIT(&table->removed);
	table->last_version = 0;
	table->removed_count = 0;
	table->history_start = 0;
}

static void
drop_row(msp_table_row_t *row)
{
	if (row == NULL)
		return;
	free(row->key);
	free(row->value);
	free(row);
}

static void
discard_oldest_removed(msp_table_t *table)
{
	msp_removed_row_t *removed = TAILQ_FIRST(&table->removed);

	TAILQ_REMOVE(&table->removed, removed, link);
	table->removed_count--;
	table->history_start = removed->version;
	free(removed->key);
	free(removed);
}

/*
 * If memory runs out, the history starts anew, so that readers of changes have
 * to read the whole table.
 */
static void
add_removed(msp_table_t *table, const char *key)
{
	msp_removed_row_t *removed = calloc(1, sizeof(*removed));

	if (removed != NULL)
		removed->key = strdup(key);
	if (removed == NULL || removed->key == NULL) {
		free(removed);
		table->history_start = table->last_version;
		return;
	}
	removed->version = table->last_version;
	TAILQ_INSERT_TAIL(&table->removed, removed, link);
	table->removed_count++;
	if (table->removed_count > MSP_REMOVED_ROWS_MAX)
		discard_oldest_removed(table);
}

void
msp_clear_table(msp_table_t *table)
{
	msp_table_row_t *row;

	while (!TAILQ_EMPTY(&table->removed))
		discard_oldest_removed(table);
	while ((row = RB_ROOT(&table->tree)) != NULL) {
		RB_REMOVE(msp_table_tree, &table->tree, row);
		drop_row(row);
	}
}

msp_table_row_t *
msp_find_row(msp_table_t *table, const char *key)
{
	msp_table_row_t probe = {.key = (char *)key};

	return RB_FIND(msp_table_tree, &table->tree, &probe);
}

msp_table_row_t *
msp_next_row(msp_table_t *table, const char *key)
{
	msp_table_row_t probe = {.key = (char *)key};
	msp_table_row_t *row = RB_NFIND(msp_table_tree, &table->tree, &probe);

	if (row != NULL && strcmp(row->key, key) == 0)
		row = RB_NEXT(msp_table_tree, &table->tree, row);
	return row;
}

bool
msp_conditions_hold(msp_table_t *table, const msp_txn_t *txn)
{
	size_t i;

	for (i = 0; i < txn->condition_count; i++) {
		const msp_condition_t *condition = &txn->conditions[i];
		const msp_table_row_t *row =
		    msp_find_row(table, condition->key);

		if ((row == NULL ? 0 : row->version) != condition->version)
			return false;
	}
	return true;
}

static msp_table_row_t *
new_row(const msp_write_t *write)
{
	msp_table_row_t *row = calloc(1, sizeof(*row));

	if (row == NULL)
		return NULL;
	row->key = strdup(write->key);
	row->value = malloc(write->value_len + 1);
	if (row->key == NULL || row->value == NULL) {
		drop_row(row);
		return NULL;
	}
	memcpy(row->value, write->value, write->value_len);
	row->value[write->value_len] = '\0';
	row->value_len = write->value_len;
	return row;
}

msp_status_t
msp_restore_row(msp_table_t *table, const char *key, const char *value,
    size_t value_len, uint64_t version)
{
	const msp_write_t write = {
	    .key = key, .value = value, .value_len = value_len};
	msp_table_row_t *old = msp_find_row(table, key);
	msp_table_row_t *row = NULL;

	if (value != NULL) {
		row = new_row(&write);
		if (row == NULL)
			return msp_fail(MSP_E_NO_MEMORY, "no memory for a row");
		row->version = version;
	}
	if (old != NULL) {
		RB_REMOVE(msp_table_tree, &table->tree, old);
		drop_row(old);
	}
	if (row != NULL)
		RB_INSERT(msp_table_tree, &table->tree, row);
	return MSP_OK;
}

void
msp_forget_removals_after(msp_table_t *table, uint64_t version)
{
	msp_removed_row_t *removed;

	while (!TAILQ_EMPTY(&table->removed)) {
		removed = TAILQ_LAST(&table->removed, msp_removed_rows);
		if (removed->version <= version)
			break;
		TAILQ_REMOVE(&table->removed, removed, link);
		table->removed_count--;
		free(removed->key);
		free(removed);
	}
	if (table->history_start > version)
		table->history_start = version;
}

static void
apply_write(msp_table_t *table, const msp_write_t *write, msp_table_row_t *row)
{
	msp_table_row_t *old = msp_find_row(table, write->key);

	if (old != NULL) {
		RB_REMOVE(msp_table_tree, &table->tree, old);
		drop_row(old);
	}
	if (row == NULL) {
		add_removed(table, write->key);
		return;
	}
	row->version = table->last_version;
	RB_INSERT(msp_table_tree, &table->tree, row);
}

msp_status_t
msp_apply_txn(msp_table_t *table, const msp_txn_t *txn)
{
	msp_table_row_t *rows[MSP_TXN_ITEMS_MAX] = {NULL};
	const size_t count = txn->write_count;
	size_t i;

	if (count > MSP_TXN_ITEMS_MAX)
		return msp_fail(MSP_E_TOO_LARGE, "too many writes");
	if (!msp_conditions_hold(table, txn))
		return MSP_E_CONFLICT;
	for (i = 0; i < count; i++) {
		if (txn->writes[i].value == NULL)
			continue;
		rows[i] = new_row(&txn->writes[i]);
		if (rows[i] == NULL)
			goto no_memory;
	}
	if (count > 0)
		table->last_version++;
	for (i = 0; i < count; i++)
		apply_write(table, &txn->writes[i], rows[i]);
	return MSP_OK;

no_memory:
	while (i > 0)
		drop_row(rows[--i]);
	return msp_fail(MSP_E_NO_MEMORY, "no memory for a row");
}
/* NOLINTEND(clang-analyzer-unix.Malloc) */
