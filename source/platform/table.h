#ifndef MSP_PLATFORM_TABLE_H
#define MSP_PLATFORM_TABLE_H

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

/* A row that was removed, for those that follow changes. */
typedef struct msp_removed_row {
	TAILQ_ENTRY(msp_removed_row) link;
	char *key;
	uint64_t version; /* of the transaction that removed it */
} msp_removed_row_t;

TAILQ_HEAD(msp_removed_rows, msp_removed_row);

#define MSP_REMOVED_ROWS_MAX 10000 /* that are remembered */

/* Rows sorted by key. Set up with msp_init_table(). */
typedef struct msp_table {
	struct msp_table_tree tree;
	uint64_t last_version; /* of all transactions; none is reused */
	struct msp_removed_rows removed; /* the first removed first */
	size_t removed_count;
	uint64_t history_start; /* removals up to it may be forgotten */
} msp_table_t;

void msp_init_table(msp_table_t *table);
void msp_clear_table(msp_table_t *table);

/* Returns the row of `key`, or NULL. */
msp_table_row_t *msp_find_row(msp_table_t *table, const char *key);

/* Returns the first row that sorts after `key`, or NULL. */
msp_table_row_t *msp_next_row(msp_table_t *table, const char *key);

/*
 * MSP_E_CONFLICT if a condition does not hold; nothing took effect then. All
 * rows written get the version `last_version`.
 */
msp_status_t msp_apply_txn(msp_table_t *table, const msp_txn_t *txn);

#endif
