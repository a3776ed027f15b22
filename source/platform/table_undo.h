#ifndef MSP_PLATFORM_TABLE_UNDO_H
#define MSP_PLATFORM_TABLE_UNDO_H

#include "monsoonspindle/base/env.h"
#include "table.h"

/*
 * What undoes the last transactions of a table, so that it can go back to an
 * older state.
 */

/* The row before one write of a transaction. */
typedef struct msp_undo_write {
	TAILQ_ENTRY(msp_undo_write) link;
	char *key;
	char *value; /* NULL: there was no row */
	size_t value_len;
	uint64_t version;
	uint64_t written_by; /* the version of the transaction */
	msp_time_t at;
} msp_undo_write_t;

/* Zero-initialise and call msp_open_undo(). */
typedef struct msp_undo {
	TAILQ_HEAD(msp_undo_writes, msp_undo_write) writes; /* newest first */
	msp_time_t span; /* for which writes are kept; 0: none are */
} msp_undo_t;

void msp_open_undo(msp_undo_t *undo);
void msp_drop_undo(msp_undo_t *undo);

/* To be called before a transaction is applied whose conditions hold. */
msp_status_t msp_record_undo(
    msp_undo_t *undo, msp_table_t *table, const msp_txn_t *txn, msp_time_t now);

/*
 * Takes the table back to its state at `at`. Versions given out since will be
 * given out again.
 */
msp_status_t msp_undo_since(
    msp_undo_t *undo, msp_table_t *table, msp_time_t at);

#endif
