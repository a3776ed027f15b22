#include "table_copy.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/base/map.h"
#include "row_history.h"
#include "row_patch.h"

#define REMOVED_ROWS_MAX 512 /* removed rows that are kept */

typedef struct copy_row {
	TAILQ_ENTRY(copy_row) link;
	char key[STORE_KEY_MAX + 1];
	char *value; /* owned; NULL: removed */
	size_t len;
	uint64_t version;
	row_history_t history;
	bool in_snapshot; /* inserted since begin_copy_snapshot() */
} copy_row_t;

struct table_copy {
	msp_env_t env;
	TAILQ_HEAD(copy_rows, copy_row) rows;
	TAILQ_HEAD(, copy_row) removed; /* oldest first */
	size_t removed_count;
	msp_map_t *by_key; /* rows and removed rows */
	uint64_t era; /* of all versions; 0: not known */
	uint64_t version;
	uint64_t history_start; /* changes up to it may be missing */
	msp_time_t as_of;
};

table_copy_t *
new_table_copy(const msp_env_t *env)
{
	table_copy_t *copy = calloc(1, sizeof(*copy));

	if (copy == NULL)
		return NULL;
	copy->env = *env;
	TAILQ_INIT(&copy->rows);
	TAILQ_INIT(&copy->removed);
	copy->by_key = msp_new_map();
	if (copy->by_key != NULL)
		return copy;
	free(copy);
	return NULL;
}

static void
free_row(copy_row_t *row)
{
	clear_row_history(&row->history);
	free(row->value);
	free(row);
}

void
drop_table_copy(table_copy_t *copy)
{
	copy_row_t *row;

	if (copy == NULL)
		return;
	while ((row = TAILQ_FIRST(&copy->rows)) != NULL) {
		TAILQ_REMOVE(&copy->rows, row, link);
		free_row(row);
	}
	while ((row = TAILQ_FIRST(&copy->removed)) != NULL) {
		TAILQ_REMOVE(&copy->removed, row, link);
		free_row(row);
	}
	msp_drop_map(copy->by_key);
	free(copy);
}

/*
 * Discards the oldest removed rows beyond the limit, and with them the history
 * of changes up to their versions.
 */
static void
discard_old_removed(table_copy_t *copy)
{
	copy_row_t *row;
	copy_row_t *next;

	TAILQ_FOREACH_SAFE(row, &copy->removed, link, next) {
		if (copy->removed_count <= REMOVED_ROWS_MAX)
			return;
		if (row->version > copy->history_start)
			copy->history_start = row->version;
		TAILQ_REMOVE(&copy->removed, row, link);
		copy->removed_count--;
		msp_map_remove(copy->by_key, row->key);
		free_row(row);
	}
}

static void
unlink_row(table_copy_t *copy, copy_row_t *row)
{
	if (row->value != NULL) {
		TAILQ_REMOVE(&copy->rows, row, link);
		return;
	}
	TAILQ_REMOVE(&copy->removed, row, link);
	copy->removed_count--;
}

static void
link_row(table_copy_t *copy, copy_row_t *row)
{
	if (row->value != NULL) {
		TAILQ_INSERT_TAIL(&copy->rows, row, link);
		return;
	}
	TAILQ_INSERT_TAIL(&copy->removed, row, link);
	copy->removed_count++;
	discard_old_removed(copy);
}

static copy_row_t *
find_or_add_row(table_copy_t *copy, const char *key)
{
	copy_row_t *row = msp_map_get(copy->by_key, key);

	if (row != NULL || strlen(key) > STORE_KEY_MAX)
		return row;
	row = calloc(1, sizeof(*row));
	if (row == NULL)
		return NULL;
	strcpy(row->key, key);
	open_row_history(&row->history);
	if (msp_map_put(copy->by_key, key, row) != MSP_OK) {
		free(row);
		return NULL;
	}
	TAILQ_INSERT_TAIL(&copy->removed, row, link);
	copy->removed_count++;
	return row;
}

static void
set_row(table_copy_t *copy, copy_row_t *row, const char *value, size_t len,
    uint64_t version)
{
	char *new_value = NULL;

	if (value != NULL) {
		new_value = malloc(len + 1);
		if (new_value == NULL)
			return;
		memcpy(new_value, value, len);
		new_value[len] = '\0';
	}
	unlink_row(copy, row);
	replace_row_value(&row->history, row->value, row->len, row->version,
	    msp_now(&copy->env));
	row->value = new_value;
	row->len = len;
	row->version = version;
	link_row(copy, row);
}

void
put_copy_row(table_copy_t *copy, const store_row_t *row)
{
	copy_row_t *entry = find_or_add_row(copy, row->key);

	if (entry == NULL)
		return;
	entry->in_snapshot = true;
	if (row->version > entry->version)
		set_row(copy, entry, row->value, row->value_len, row->version);
}

static void
drop_removed_rows(table_copy_t *copy)
{
	copy_row_t *row;

	while ((row = TAILQ_FIRST(&copy->removed)) != NULL) {
		TAILQ_REMOVE(&copy->removed, row, link);
		msp_map_remove(copy->by_key, row->key);
		free_row(row);
	}
	copy->removed_count = 0;
}

void
begin_copy_era(table_copy_t *copy, uint64_t era)
{
	copy_row_t *row;

	drop_removed_rows(copy);
	TAILQ_FOREACH(row, &copy->rows, link) {
		clear_row_history(&row->history);
		row->version = 0;
	}
	copy->version = 0;
	copy->history_start = 0;
	copy->era = era;
}

void
name_copy_era(table_copy_t *copy, uint64_t era)
{
	if (copy->era == 0)
		copy->era = era;
}

uint64_t
get_copy_era(const table_copy_t *copy)
{
	return copy->era;
}

void
begin_copy_snapshot(table_copy_t *copy)
{
	copy_row_t *row;

	TAILQ_FOREACH(row, &copy->rows, link)
		row->in_snapshot = false;
}

void
end_copy_snapshot(table_copy_t *copy, uint64_t version)
{
	copy_row_t *row;
	copy_row_t *next;

	TAILQ_FOREACH_SAFE(row, &copy->rows, link, next) {
		if (!row->in_snapshot && row->version < version)
			set_row(copy, row, NULL, 0, version);
	}
	/* Removals before the first snapshot are unknown. */
	if (copy->version == 0)
		copy->history_start = version;
}

static void
expire_history(table_copy_t *copy)
{
	copy_row_t *row;

	TAILQ_FOREACH(row, &copy->rows, link) {
		if (has_row_history(&row->history))
			expire_row_history(&row->history, msp_now(&copy->env));
	}
}

void
advance_copy(table_copy_t *copy, uint64_t version, msp_time_t as_of)
{
	if (version > copy->version)
		copy->version = version;
	if (as_of > copy->as_of)
		copy->as_of = as_of;
	expire_history(copy);
}

uint64_t
get_copy_version(const table_copy_t *copy)
{
	return copy->version;
}

uint64_t
get_copy_row_version(const table_copy_t *copy, const char *key)
{
	const copy_row_t *row = msp_map_get(copy->by_key, key);

	return row == NULL ? 0 : row->version;
}

msp_time_t
get_copy_time(const table_copy_t *copy)
{
	return copy->as_of;
}

bool
has_changes_since(const table_copy_t *copy, uint64_t version)
{
	return copy->version != 0 && version >= copy->history_start;
}

size_t
get_copy_bytes(const table_copy_t *copy, bool all, uint64_t version)
{
	const copy_row_t *row;
	size_t bytes = 0;

	TAILQ_FOREACH(row, &copy->rows, link) {
		if (all || row->version > version)
			bytes += row->len;
	}
	return bytes;
}

static void
visit_row(const copy_row_t *row,
    void (*visit)(void *ctx, const store_row_t *row), void *ctx)
{
	store_row_t out = {.key = row->key,
	    .value = row->value,
	    .value_len = row->len,
	    .version = row->version};

	visit(ctx, &out);
}

void
visit_copy_rows(const table_copy_t *copy, bool all, uint64_t version,
    void (*visit)(void *ctx, const store_row_t *row), void *ctx)
{
	const copy_row_t *row;

	TAILQ_FOREACH(row, &copy->rows, link) {
		if (all || row->version > version)
			visit_row(row, visit, ctx);
	}
	if (all)
		return;
	TAILQ_FOREACH(row, &copy->removed, link) {
		if (row->version > version)
			visit_row(row, visit, ctx);
	}
}

void
list_patch_bases(const table_copy_t *copy, store_patch_bases_t *bases)
{
	const copy_row_t *row;

	*bases = (store_patch_bases_t){0};
	TAILQ_FOREACH(row, &copy->rows, link) {
		if (row->len >= ROW_LARGE_BYTES && row->version != 0 &&
		    bases->count < STORE_PATCH_BASES_MAX)
			bases->versions[bases->count++] = row->version;
	}
}

bool
get_copy_patch(
    table_copy_t *copy, const store_patch_bases_t *bases, store_row_t *row)
{
	copy_row_t *entry = msp_map_get(copy->by_key, row->key);
	const cached_patch_t *patch;

	if (entry == NULL || entry->value == NULL ||
	    entry->len < ROW_LARGE_BYTES)
		return false;
	patch = get_row_patch(&entry->history, bases, entry->value, entry->len);
	if (patch == NULL)
		return false;
	row->patch = patch->data.data;
	row->patch_len = patch->data.len;
	row->base_version = patch->base_version;
	row->value = NULL;
	return true;
}

msp_status_t
apply_copy_patch(
    const table_copy_t *copy, const store_row_t *row, msp_buffer_t *value)
{
	const copy_row_t *entry = msp_map_get(copy->by_key, row->key);

	if (row->base_version == 0)
		return apply_row_patch(NULL, 0, row->patch, row->patch_len,
		    STORE_VALUE_MAX, value);
	if (entry == NULL || entry->value == NULL ||
	    entry->version != row->base_version)
		return msp_fail(MSP_E_SYNTAX, "a patch is of another base");
	return apply_row_patch(entry->value, entry->len, row->patch,
	    row->patch_len, STORE_VALUE_MAX, value);
}
