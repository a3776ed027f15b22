#ifndef SPINDLED_TABLE_FOLLOWER_H
#define SPINDLED_TABLE_FOLLOWER_H

#include "../../platform/store_client.h"

/*
 * Keeps up with one table of the platform's store: reads it whole, then the
 * changes since. If the store no longer has the changes, or after a reset, it
 * reads the table whole once more.
 */
typedef struct table_follower table_follower_t;

typedef struct table_follower_options {
	const char *table; /* static */
	uint32_t wait_ms; /* the store waits so long for a change; 0: not */
	msp_time_t pace; /* between two reads */
	uint32_t timeout_ms; /* of one read, beyond `wait_ms` */
} table_follower_options_t;

typedef struct table_follower_callbacks {
	/* The table is about to be given whole. */
	void (*on_begin)(void *ctx);
	/* A row; its value is NULL if it was removed. */
	void (*on_row)(void *ctx, const store_row_t *row);
	/* The table was given whole, as of `version`. */
	void (*on_end)(void *ctx, uint64_t version);
	/* The store does not answer, or answers once more. */
	void (*on_lost)(void *ctx, msp_status_t status);
	void (*on_back)(void *ctx, msp_time_t lost_for);
	void *ctx;
} table_follower_callbacks_t;

/* Returns NULL without memory. `store` is borrowed. Starts at once. */
table_follower_t *new_table_follower(msp_loop_t *loop, const msp_env_t *env,
    store_client_t *store, const table_follower_options_t *options,
    const table_follower_callbacks_t *callbacks);
void drop_table_follower(table_follower_t *follower);

/* How long ago the last answer came; MSP_NEVER: none yet. */
msp_time_t table_age(const table_follower_t *follower);

/* The store's version up to which everything has been seen; 0: none. */
uint64_t table_version(const table_follower_t *follower);

/* The table has been given whole at least once. */
bool is_table_known(const table_follower_t *follower);

#endif
