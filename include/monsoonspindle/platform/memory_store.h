#ifndef MONSOONSPINDLE_PLATFORM_MEMORY_STORE_H
#define MONSOONSPINDLE_PLATFORM_MEMORY_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/platform/store.h"

/*
 * The platform held in this process's memory: table, object store and list of
 * VMs, behind msp_store_t. For trying out and for tests; nothing outlives it.
 *
 * Calls are queued and answered by msp_step_memory_store(), which is to be
 * called at msp_memory_store_deadline().
 */
typedef struct msp_memory_store msp_memory_store_t;

/*
 * How the store misbehaves. All zero: it answers each call at once. May be
 * changed at any time; a change holds for the calls made after it.
 */
typedef struct msp_store_faults {
	bool down; /* each call is refused: MSP_E_STORE_DOWN */
	msp_time_t latency; /* from a call to its answer */
	msp_time_t jitter; /* a random part on top, at most */
	unsigned int lose_call_pct; /* calls that never reach the store */
	unsigned int lose_answer_pct; /* calls whose answer is lost */
	unsigned int late_effect_pct; /* writes that take effect after the */
	msp_time_t late_effect; /* answer was given up, by this much */
	/*
	 * Most writes it takes; 0: any. What would wait for more than 500 ms
	 * is refused: MSP_E_STORE_DOWN.
	 */
	unsigned int writes_per_second;
	bool count_rows; /* a row is a write; else a transaction is */
} msp_store_faults_t;

/* What the store has done; failed transactions are not counted. */
typedef struct msp_store_stats {
	uint64_t transactions; /* that took effect with at least one write */
	uint64_t rows_written;
	uint64_t conflicts;
	uint64_t reads; /* get, scan, get_object and list_vms */
	uint64_t objects_written;
} msp_store_stats_t;

/* Returns NULL without memory. `env` is copied. */
msp_memory_store_t *msp_new_memory_store(const msp_env_t *env);

/* Calls that are not answered yet are dropped; their `done` is not called. */
void msp_drop_memory_store(msp_memory_store_t *store);

/* The callbacks over `store`, which is borrowed. */
msp_store_t msp_memory_store(msp_memory_store_t *store);

/* The faults in force, for change. Owned by the store. */
msp_store_faults_t *msp_memory_store_faults(msp_memory_store_t *store);
const msp_store_stats_t *msp_memory_store_stats(
    const msp_memory_store_t *store);

/*
 * Replaces the list of VMs, copying it. list_vms answers the list before it
 * until `lag` has passed.
 */
msp_status_t msp_set_memory_store_vms(msp_memory_store_t *store,
    const msp_vm_t *vms, size_t count, msp_time_t lag);

/* Whether a list of VMs was set. */
bool msp_has_listed_vms(const msp_memory_store_t *store);

/* Version of the last transaction. */
uint64_t msp_memory_store_version(const msp_memory_store_t *store);

/*
 * Visits the rows whose key begins with `prefix` that changed after `version`;
 * of those that were removed since, the value is NULL. Returns false, and
 * visits none, if not all such changes are remembered.
 */
bool msp_visit_changed_rows(msp_memory_store_t *store, const char *prefix,
    uint64_t version, void (*visit)(void *ctx, const msp_row_t *row),
    void *ctx);

/* Forgets which rows were removed up to now. */
void msp_discard_removed_rows(msp_memory_store_t *store);

/* Does what is due now. `done` callbacks may make further calls. */
void msp_step_memory_store(msp_memory_store_t *store);

/* When something is due next; MSP_NEVER if nothing is. */
msp_time_t msp_memory_store_deadline(const msp_memory_store_t *store);

#endif
