#ifndef MSP_PLATFORM_TABLE_FOLLOWER_H
#define MSP_PLATFORM_TABLE_FOLLOWER_H

#include "../../platform/store_client.h"
#include "table_copy.h"

/*
 * Follows one table of the platform's store: reads all rows (a snapshot), then
 * the changes since, from the store or from another VM's copy. If the changes
 * are no longer in the history there, it reads a new snapshot. The rows are
 * kept in a copy, from which other VMs can read.
 */
typedef struct table_follower table_follower_t;

typedef struct table_follower_options {
	const char *table; /* borrowed */
	uint32_t store_wait_ms; /* long poll of the store */
	msp_time_t store_interval; /* between two reads of the store */
	uint32_t vm_wait_ms; /* long poll of another VM */
	msp_time_t vm_interval; /* between two reads of another VM */
	/*
	 * Shorter outages of the store don't affect the writers of the table.
	 * After a longer one, another VM is read to find out whether it lost
	 * the store too.
	 */
	msp_time_t outage_threshold;
} table_follower_options_t;

/* The end of a read. */
typedef struct table_read_end {
	const store_source_t *vm; /* that was read; NULL: the store */
	const store_reply_t *reply;
	msp_time_t took;
	unsigned int attempt; /* as for choose_source */
} table_read_end_t;

typedef struct table_follower_callbacks {
	/*
	 * Chooses where to read. Fills `source` and returns true for a VM;
	 * returns false for the store. `attempt` counts the attempts since the
	 * last fresh response, from 0.
	 */
	bool (*choose_source)(
	    void *ctx, unsigned int attempt, store_source_t *source);
	/* Fills `source` with any other VM; returns false if none is known. */
	bool (*choose_vm)(void *ctx, store_source_t *source);
	/*
	 * Chooses a VM that may have changes that are not here yet, to be read
	 * beside a slow read. `attempt` counts those since the copy last
	 * changed, from 0. Returns false if there is none to ask.
	 */
	bool (*choose_second_vm)(
	    void *ctx, unsigned int attempt, store_source_t *source);
	/* A VM had changes that the slow read has not brought yet. */
	void (*on_second_read)(void *ctx, const table_read_end_t *end);
	/*
	 * A source names a newer era of the store: it has come back from an
	 * older copy of its data. `before` is the era of the copy, 0 if it was
	 * not known; `from_vm`: another VM was asked.
	 */
	void (*on_newer_era)(
	    void *ctx, uint64_t era, uint64_t before, bool from_vm);
	/*
	 * The snapshot that begins next is the first of this era: its rows are
	 * in no order with those before, and some of these may be missing.
	 */
	void (*on_era_begin)(void *ctx, uint64_t era);
	/* on_row is called for all rows of the table next. */
	void (*on_snapshot_begin)(void *ctx);
	/* A row was read; its value is NULL if it was removed. */
	void (*on_row)(void *ctx, const store_row_t *row);
	/* All rows as of `version` were passed to on_row. */
	void (*on_snapshot_end)(void *ctx, uint64_t version);
	/* The version or the time of the copy may have advanced. */
	void (*on_update)(void *ctx);
	/* A read brought a usable response, or none. */
	void (*on_read_done)(void *ctx, const table_read_end_t *end);
	void (*on_read_failed)(void *ctx, const table_read_end_t *end);
	/* This VM can't read from the store any more, or can again. */
	void (*on_store_lost)(void *ctx, msp_status_t status);
	void (*on_store_recovered)(void *ctx, msp_time_t lost_for);
	/*
	 * The copy is older than TABLE_FRESH_MAX_AGE, or a source has fresh
	 * data again, whose rows follow. `was_down`: as far as is known, the
	 * store was down for all VMs, not only unreachable from this one.
	 */
	void (*on_stale)(void *ctx);
	void (*on_fresh)(void *ctx, msp_time_t stale_for, bool was_down);
	void *ctx;
} table_follower_callbacks_t;

/* Maximum age of a fresh copy. An older one is stale. */
#define TABLE_FRESH_MAX_AGE (1800 * MSP_MS)

/*
 * Starts to read at once. `store` is borrowed. Returns NULL when out of memory.
 */
table_follower_t *new_table_follower(msp_loop_t *loop, const msp_env_t *env,
    store_client_t *store, const table_follower_options_t *options,
    const table_follower_callbacks_t *callbacks);
void drop_table_follower(table_follower_t *follower);

/*
 * Reads changes from another VM too, if the current read is slow: its response
 * has begun long ago, or `is_behind` says that other VMs have newer rows. The
 * read that brings the changes first ends the other. To be called several times
 * a second.
 */
void check_slow_read(table_follower_t *follower, bool is_behind);

/*
 * Returns the time since the store was in the state of the copy; MSP_NEVER
 * before the first snapshot.
 */
msp_time_t get_table_age(const table_follower_t *follower);

/* Returns for how long the copy has been fresh; 0: it is stale. */
msp_time_t get_table_fresh_time(const table_follower_t *follower);

/* Whether the copy has all rows as of its version. */
bool is_copy_whole(const table_follower_t *follower);

/* Returns whether a snapshot has been read. */
bool is_table_loaded(const table_follower_t *follower);

/* Returns the copy of the table. Borrowed. */
table_copy_t *get_table_copy(const table_follower_t *follower);

#endif
