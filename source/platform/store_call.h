#ifndef MSP_PLATFORM_STORE_CALL_H
#define MSP_PLATFORM_STORE_CALL_H

#include <stdbool.h>

#include <bsd/sys/queue.h>

#include "captured_reply.h"
#include "monsoonspindle/base/env.h"

typedef enum msp_store_op {
	MSP_STORE_GET,
	MSP_STORE_SCAN,
	MSP_STORE_TRANSACT,
	MSP_STORE_GET_OBJECT,
	MSP_STORE_PUT_OBJECT,
	MSP_STORE_LIST_VMS
} msp_store_op_t;

/*
 * One call to a store, with copies of its arguments. The memory store applies
 * it at `effect_at` and replies at `reply_at`, in either order.
 */
typedef struct msp_store_call {
	TAILQ_ENTRY(msp_store_call) effect_entry;
	TAILQ_ENTRY(msp_store_call) reply_entry;
	msp_time_t effect_at; /* MSP_NEVER: the call is lost */
	msp_time_t reply_at;
	bool effect_pending;
	bool reply_pending;
	bool reply_lost; /* the caller gets MSP_E_LOST */
	msp_store_op_t op;
	char **keys; /* of rows (get) or conditions; else a prefix or name */
	size_t key_count;
	char *after; /* scan */
	size_t limit; /* scan: rows */
	msp_condition_t *conditions; /* key_count; their keys are in `keys` */
	msp_write_t *writes;
	size_t write_count;
	char *object; /* put_object */
	size_t object_len; /* bytes */
	msp_store_done_t *done;
	void *done_ctx;
	msp_captured_reply_t captured;
} msp_store_call_t;

/* Each returns NULL when out of memory. */
msp_store_call_t *msp_new_store_call(
    msp_store_op_t op, const char *const *keys, size_t count);
msp_store_call_t *msp_new_txn_call(const msp_txn_t *txn);

void msp_drop_store_call(msp_store_call_t *call);

#endif
