#ifndef MONSOONSPINDLE_PLATFORM_STORE_H
#define MONSOONSPINDLE_PLATFORM_STORE_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/status.h"

#define MSP_ROW_KEY_MAX 200 /* bytes, without the terminating null byte */
#define MSP_ROW_VALUE_MAX (64 * 1024) /* bytes */
#define MSP_TXN_ITEMS_MAX 50 /* conditions of a transaction, and writes */

/* One row of the platform's table. Version 0: no row has this key. */
typedef struct msp_row {
	const char *key;
	const char *value; /* NULL if the row is absent */
	size_t value_len; /* bytes */
	uint64_t version; /* of the transaction that wrote it; never reused */
} msp_row_t;

/* True if the row is at `version` (0: absent). */
typedef struct msp_condition {
	const char *key;
	uint64_t version;
} msp_condition_t;

/* Sets a row, or deletes it if `value` is NULL. */
typedef struct msp_write {
	const char *key;
	const char *value;
	size_t value_len;
} msp_write_t;

/* Applies all writes atomically if all conditions are true, else none. */
typedef struct msp_txn {
	const msp_condition_t *conditions;
	size_t condition_count;
	const msp_write_t *writes;
	size_t write_count;
} msp_txn_t;

/* A VM of the platform's list, which may be out of date. */
typedef struct msp_vm {
	char name[64];
	char place[64]; /* data centre */
	char address[64]; /* IP address */
	uint16_t caller_port;
	uint16_t peer_port; /* for other VMs */
	int leaving; /* takes no new requests */
} msp_vm_t;

/*
 * The reply to one call. All pointers are borrowed and valid only during the
 * callback.
 *
 * MSP_OK            the data was read, or the write was applied
 * MSP_E_CONFLICT    transact: a condition failed and nothing was applied;
 *                   `rows` holds the current row of each condition
 * MSP_E_STORE_DOWN  the call was not processed and never will be
 * MSP_E_LOST        no valid reply: a write may have been applied, or may be
 *                   applied later
 * MSP_E_NOT_FOUND   get_object: no such object
 * MSP_E_BAD_REQUEST an argument is out of bounds; nothing was applied
 */
typedef struct msp_store_reply {
	msp_status_t status;
	uint64_t version; /* transact, MSP_OK: of all rows written */
	const msp_row_t *rows; /* in the order of the keys; scan: sorted */
	size_t row_count;
	const char *object; /* get_object */
	size_t object_len; /* bytes */
	const msp_vm_t *vms; /* list_vms */
	size_t vm_count;
} msp_store_reply_t;

typedef void msp_store_done_t(void *ctx, const msp_store_reply_t *reply);

/*
 * Interface to the platform's table, object store and list of VMs. An
 * implementation calls `done` exactly once per call, within `timeout_ms`
 * milliseconds but never before the call returns. Arguments are borrowed until
 * the call returns.
 */
typedef struct msp_store {
	void *ctx;
	void (*get)(void *ctx, const char *const *keys, size_t count,
	    uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx);
	/* Reads rows whose key starts with `prefix` and sorts after `after`. */
	void (*scan)(void *ctx, const char *prefix, const char *after,
	    size_t limit, uint32_t timeout_ms, msp_store_done_t *done,
	    void *done_ctx);
	void (*transact)(void *ctx, const msp_txn_t *txn, uint32_t timeout_ms,
	    msp_store_done_t *done, void *done_ctx);
	void (*get_object)(void *ctx, const char *name, uint32_t timeout_ms,
	    msp_store_done_t *done, void *done_ctx);
	void (*put_object)(void *ctx, const char *name, const void *data,
	    size_t len, uint32_t timeout_ms, msp_store_done_t *done,
	    void *done_ctx);
	void (*list_vms)(void *ctx, uint32_t timeout_ms, msp_store_done_t *done,
	    void *done_ctx);
} msp_store_t;

#endif
