#ifndef MSP_PLATFORM_TABLE_H
#define MSP_PLATFORM_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>

#include "monsoonspindle/platform/store.h"

/* One row, owned by its table. */
typedef struct msp_table_row {
	RB_ENTRY(msp_table_row) entry;
	char *key;
	char *value;
	size_t value_len;
	uint64_t version;
} msp_table_row_t;

RB_HEAD(msp_table_tree, msp_table_row);

/* A removed row, kept in the history for readers of changes. */
typedef struct msp_removed_row {
	TAILQ_ENTRY(msp_removed_row) link;
	char *key;
	uint64_t version; /* of the transaction that removed it */
} msp_removed_row_t;

TAILQ_HEAD(msp_removed_rows, msp_removed_row);

#define MSP_REMOVED_ROWS_MAX 10000 /* kept in the history */

/* A table of rows sorted by key. Initialise it with msp_init_table(). */
typedef struct msp_table {
	struct msp_table_tree tree;
	uint64_t last_version; /* of the last transaction; never reused */
	struct msp_removed_rows removed; /* oldest first */
	size_t removed_count;
	uint64_t history_start; /* removals up to it may be missing */
} msp_table_t;

void msp_init_table(msp_table_t *table);
void msp_clear_table(msp_table_t *table);

/* Returns the row of `key`, or NULL. */
msp_table_row_t *msp_find_row(msp_table_t *table, const char *key);

/* Returns the first row that sorts after `key`, or NULL. */
msp_table_row_t *msp_next_row(msp_table_t *table, const char *key);

/*
 * Applies a transaction. All rows that it writes get the version
 * `last_version`. Returns MSP_E_CONFLICT, with nothing applied, if a condition
 * fails.
 */
msp_status_t msp_apply_txn(msp_table_t *table, const msp_txn_t *txn);

/* Whether the conditions of a transaction hold now. */
bool msp_conditions_hold(msp_table_t *table, const msp_txn_t *txn);

/*
 * Sets a row as it was, without a transaction; a `value` of NULL removes it
 * without a trace in the history.
 */
msp_status_t msp_restore_row(msp_table_t *table, const char *key,
    const char *value, size_t value_len, uint64_t version);

/* Forgets the removals of transactions after `version`. */
void msp_forget_removals_after(msp_table_t *table, uint64_t version);

#endif
