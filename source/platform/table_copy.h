#ifndef SPINDLED_TABLE_COPY_H
#define SPINDLED_TABLE_COPY_H

#include "../../platform/store_client.h"
#include "monsoonspindle/base/env.h"

/*
 * A VM's copy of one table of the platform's store, with the rows that were
 * removed of late, so that other VMs can read from it.
 */
typedef struct table_copy table_copy_t;

/* Returns NULL without memory. */
table_copy_t *new_table_copy(const msp_env_t *env);
void drop_table_copy(table_copy_t *copy);

/* Takes in a row, unless a newer version of it is held. */
void put_copy_row(table_copy_t *copy, const store_row_t *row);

/* All rows that were not put since then have gone by `version`. */
void begin_copy_snapshot(table_copy_t *copy);
void end_copy_snapshot(table_copy_t *copy, uint64_t version);

/* Everything up to `version` has been put, as the store was at `as_of`. */
void advance_copy(table_copy_t *copy, uint64_t version, msp_time_t as_of);

/* 0: nothing is held yet. */
uint64_t get_copy_version(const table_copy_t *copy);

/* When the store was as the copy is; 0: never. */
msp_time_t get_copy_time(const table_copy_t *copy);

/* Whether all changes after `version` are held. */
bool has_changes_since(const table_copy_t *copy, uint64_t version);

/*
 * Visits the rows that changed after `version`, the removed ones too; with
 * `whole`, all rows that exist.
 */
void visit_copy_rows(const table_copy_t *copy, bool whole, uint64_t version,
    void (*visit)(void *ctx, const store_row_t *row), void *ctx);

#endif
