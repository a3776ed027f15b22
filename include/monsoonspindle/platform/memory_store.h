#ifndef MONSOONSPINDLE_PLATFORM_MEMORY_STORE_H
#define MONSOONSPINDLE_PLATFORM_MEMORY_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/platform/store.h"

/*
 * An implementation of msp_store_t in the memory of this process, with a table,
 * an object store and a list of VMs. For experiments and tests: its data is
 * lost when it is dropped.
 *
 * Calls are queued; msp_step_memory_store() applies and answers them. Call it
 * at msp_memory_store_deadline().
 */
typedef struct msp_memory_store msp_memory_store_t;

/*
 * Faults to inject. With all fields 0, each call is answered at once. May be
 * changed at any time, with effect on the calls made afterwards.
 */
typedef struct msp_store_faults {
	bool down; /* calls fail with MSP_E_STORE_DOWN */
	msp_time_t latency; /* from a call to its reply */
	msp_time_t jitter; /* maximum of a random addition to the latency */
	unsigned int lose_call_pct; /* calls that never reach the store */
	unsigned int lose_reply_pct; /* calls whose reply is lost */
	unsigned int late_effect_pct; /* writes applied after their timeout */
	msp_time_t late_effect; /* how long after the timeout */
	/*
	 * Maximum write rate; 0: unlimited. A write that would wait for more
	 * than 500 ms fails with MSP_E_STORE_DOWN.
	 */
	unsigned int writes_per_second;
	bool count_rows; /* the rate counts rows instead of transactions */
} msp_store_faults_t;

/* Counters of the store. Failed transactions are not counted. */
typedef struct msp_store_stats {
	uint64_t transactions; /* applied, with at least one write */
	uint64_t rows_written;
	uint64_t conflicts; /* transactions with a failed condition */
	uint64_t reads; /* get, scan, get_object and list_vms */
	uint64_t objects_written;
} msp_store_stats_t;

/* `env` is copied. Returns NULL when out of memory. */
msp_memory_store_t *msp_new_memory_store(const msp_env_t *env);

/* Cancels the pending calls; their `done` is not called. */
void msp_drop_memory_store(msp_memory_store_t *store);

/* Returns the interface to `store`, which must outlive it. */
msp_store_t msp_memory_store(msp_memory_store_t *store);

/* Returns the current faults, which may be changed. Owned by the store. */
msp_store_faults_t *msp_memory_store_faults(msp_memory_store_t *store);
const msp_store_stats_t *msp_memory_store_stats(
    const msp_memory_store_t *store);

/*
 * Replaces the list of VMs with a copy of `vms`. list_vms returns the previous
 * list until `lag` has passed.
 */
msp_status_t msp_set_memory_store_vms(msp_memory_store_t *store,
    const msp_vm_t *vms, size_t count, msp_time_t lag);

/* Returns whether a list of VMs was set. */
bool msp_has_listed_vms(const msp_memory_store_t *store);

/*
 * Writes a row at once, or removes it if `value` is NULL, like the platform's
 * operator: without the limits of msp_store_t, and in spite of the faults.
 */
msp_status_t msp_put_memory_store_row(msp_memory_store_t *store,
    const char *key, const void *value, size_t value_len);

/*
 * Returns the value of a row, null-terminated, in spite of the faults; NULL if
 * there is none. Borrowed until the row changes.
 */
const char *msp_peek_memory_store_row(
    msp_memory_store_t *store, const char *key, size_t *len);

/*
 * Keeps what is needed to go back by up to `span`, and names eras from now on.
 */
void msp_keep_memory_store_copies(msp_memory_store_t *store, msp_time_t span);

/*
 * Brings the rows back as they were `age` ago, and begins the next era.
 * Versions given out since will be given out again.
 */
msp_status_t msp_restore_memory_store(
    msp_memory_store_t *store, msp_time_t age);

/* Returns the number of the era; 0: the store names none. */
uint64_t msp_memory_store_era(const msp_memory_store_t *store);

/* Returns the version of the last transaction. */
uint64_t msp_memory_store_version(const msp_memory_store_t *store);

/*
 * Visits the rows whose key begins with `prefix` and that changed after
 * `version`; removed rows have the value NULL. Returns false, without visiting
 * any, if the history does not go back to `version`.
 */
bool msp_visit_changed_rows(msp_memory_store_t *store, const char *prefix,
    uint64_t version, void (*visit)(void *ctx, const msp_row_t *row),
    void *ctx);

/* Discards the history of removed rows, up to the current version. */
void msp_discard_removed_rows(msp_memory_store_t *store);

/*
 * Applies the calls and sends the replies that are due. `done` callbacks may
 * make further calls.
 */
void msp_step_memory_store(msp_memory_store_t *store);

/* Returns when msp_step_memory_store() is due next; MSP_NEVER: no calls. */
msp_time_t msp_memory_store_deadline(const msp_memory_store_t *store);

#endif
