#ifndef MSP_PLATFORM_TABLE_COPY_H
#define MSP_PLATFORM_TABLE_COPY_H

#include "../../platform/store_client.h"
#include "monsoonspindle/base/env.h"

/*
 * A VM's copy of one table of the platform's store. It keeps recently removed
 * rows too, so that other VMs can read changes from it.
 */
typedef struct table_copy table_copy_t;

/* Returns NULL when out of memory. */
table_copy_t *new_table_copy(const msp_env_t *env);
void drop_table_copy(table_copy_t *copy);

/* Inserts a row, unless the copy has a newer version of it. */
void put_copy_row(table_copy_t *copy, const store_row_t *row);

/*
 * The rows that follow are of another era of the store. Rows stay until the
 * snapshot that must be inserted next has ended, but their versions mean
 * nothing any more: the version of the copy is 0 until then.
 */
void begin_copy_era(table_copy_t *copy, uint64_t era);

/* Names the era that the copy is of, if that was not known. */
void name_copy_era(table_copy_t *copy, uint64_t era);

/* Returns the era of the copy's versions; 0: not known. */
uint64_t get_copy_era(const table_copy_t *copy);

/*
 * Call these before and after the insertion of all rows of the table as of
 * `version`. Rows that were not inserted and are older than `version` become
 * removed rows.
 */
void begin_copy_snapshot(table_copy_t *copy);
void end_copy_snapshot(table_copy_t *copy, uint64_t version);

/* Records that the copy is complete up to `version`, as of time `as_of`. */
void advance_copy(table_copy_t *copy, uint64_t version, msp_time_t as_of);

/* Returns the version that the copy is complete up to; 0: none yet. */
uint64_t get_copy_version(const table_copy_t *copy);

/* Returns the version of a row, removed ones included; 0: not known. */
uint64_t get_copy_row_version(const table_copy_t *copy, const char *key);

/* Returns the time as of which the copy is complete; 0: never. */
msp_time_t get_copy_time(const table_copy_t *copy);

/* Returns whether the copy has all changes after `version`. */
bool has_changes_since(const table_copy_t *copy, uint64_t version);

/*
 * Returns the bytes of the values that visit_copy_rows() visits with the same
 * arguments.
 */
size_t get_copy_bytes(const table_copy_t *copy, bool all, uint64_t version);

/*
 * Visits the rows that changed after `version`, including removed ones, or with
 * `all`, all rows except removed ones.
 */
void visit_copy_rows(const table_copy_t *copy, bool all, uint64_t version,
    void (*visit)(void *ctx, const store_row_t *row), void *ctx);

/* Lists the large rows, as a reader that accepts patches of them. */
void list_patch_bases(const table_copy_t *copy, store_patch_bases_t *bases);

/*
 * Replaces the value of a row that is visited by a patch, if it is large, for a
 * reader that has the bases. Returns false if there is no smaller patch. The
 * patch is borrowed until the copy changes.
 */
bool get_copy_patch(
    table_copy_t *copy, const store_patch_bases_t *bases, store_row_t *row);

/*
 * Appends the value that the patch of a row makes of this copy's. Returns
 * MSP_E_SYNTAX if it is of another base.
 */
msp_status_t apply_copy_patch(
    const table_copy_t *copy, const store_row_t *row, msp_buffer_t *value);

#endif
