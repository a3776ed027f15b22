#ifndef SPINDLED_TABLE_FOLLOWER_H
#define SPINDLED_TABLE_FOLLOWER_H

#include "../../platform/store_client.h"
#include "table_copy.h"

/*
 * Keeps up with one table of the platform's store: reads it whole, then the
 * changes since, from the store or from another VM's copy. If the changes are
 * no longer held there, it reads the table whole once more. What it has read
 * is kept in a copy of its own, for other VMs.
 */
typedef struct table_follower table_follower_t;

typedef struct table_follower_options {
	const char *table; /* static */
	uint32_t store_wait_ms; /* the store waits so long for a change */
	msp_time_t store_interval; /* between two reads of the store */
	uint32_t vm_wait_ms; /* another VM waits so long for one */
	msp_time_t vm_interval;
	/*
	 * An outage of the store that is shorter changes nothing for those that
	 * write there. After a longer one another VM is asked whether it saw
	 * it.
	 */
	msp_time_t outage_threshold;
} table_follower_options_t;

typedef struct table_follower_callbacks {
	/*
	 * Where to read, for the `attempt`th time (from 0) since the last
	 * fresh answer. Fills `source` and returns true for a VM; false: the
	 * store.
	 */
	bool (*choose_source)(
	    void *ctx, unsigned int attempt, store_source_t *source);
	/* Any other VM; false if none is known. */
	bool (*choose_vm)(void *ctx, store_source_t *source);
	/* The table is about to be given whole. */
	void (*on_snapshot_begin)(void *ctx);
	/* A row; its value is NULL if it was removed. */
	void (*on_row)(void *ctx, const store_row_t *row);
	/* The table was given whole, as of `version`. */
	void (*on_snapshot_end)(void *ctx, uint64_t version);
	/* More is known than before: up to the copy's version. */
	void (*on_update)(void *ctx);
	/* The store does not answer this VM, or answers once more. */
	void (*on_store_lost)(void *ctx, msp_status_t status);
	void (*on_store_recovered)(void *ctx, msp_time_t lost_for);
	/*
	 * No source tells how the store is now; or one does again, before its
	 * rows are given. `was_down`: as far as is known, the store was away
	 * for all, not only out of reach of this VM.
	 */
	void (*on_stale)(void *ctx);
	void (*on_fresh)(void *ctx, msp_time_t stale_for, bool was_down);
	void *ctx;
} table_follower_callbacks_t;

/* What is older than this does not tell how the store is now. */
#define TABLE_FRESH_MAX_AGE (1800 * MSP_MS)

/* Returns NULL without memory. `store` is borrowed. Starts at once. */
table_follower_t *new_table_follower(msp_loop_t *loop, const msp_env_t *env,
    store_client_t *store, const table_follower_options_t *options,
    const table_follower_callbacks_t *callbacks);
void drop_table_follower(table_follower_t *follower);

/* How long ago the store was as it is known here; MSP_NEVER: unknown. */
msp_time_t get_table_age(const table_follower_t *follower);

/* For how long it has been known here how the store is; 0: it isn't. */
msp_time_t get_table_fresh_time(const table_follower_t *follower);

/* The table has been given whole at least once. */
bool is_table_loaded(const table_follower_t *follower);

/* What has been read. Borrowed. */
const table_copy_t *get_table_copy(const table_follower_t *follower);

#endif
