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
 * One call to the memory store, with copies of its arguments. It takes effect
 * at `effect_at` and is answered at `answer_at`, in either order.
 */
typedef struct msp_store_call {
	TAILQ_ENTRY(msp_store_call) effect_entry;
	TAILQ_ENTRY(msp_store_call) answer_entry;
	msp_time_t effect_at; /* MSP_NEVER: it does not reach the store */
	msp_time_t answer_at;
	bool effect_pending;
	bool answer_pending;
	bool answer_lost;
	msp_store_op_t op;
	char **keys; /* of get and of conditions; [0]: prefix or name */
	size_t key_count;
	char *after; /* of scan */
	size_t limit; /* of scan */
	msp_condition_t *conditions;
	msp_write_t *writes;
	size_t write_count;
	char *object; /* of put_object */
	size_t object_len;
	msp_store_done_t *done;
	void *done_ctx;
	msp_captured_reply_t captured;
} msp_store_call_t;

/* Each returns NULL without memory. */
msp_store_call_t *msp_new_store_call(
    msp_store_op_t op, const char *const *keys, size_t count);
msp_store_call_t *msp_new_txn_call(const msp_txn_t *txn);

void msp_drop_store_call(msp_store_call_t *call);

#endif
