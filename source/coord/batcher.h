#ifndef MSP_COORD_BATCHER_H
#define MSP_COORD_BATCHER_H

#include "alarms.h"
#include "monsoonspindle/platform/store.h"

/*
 * Collects conditional writes of single rows into transactions. Each write has
 * its own result: if conditions of a transaction fail, their writes end and the
 * other writes are sent again. The caller must not have more than one write of
 * a row in flight.
 */
typedef struct msp_batcher msp_batcher_t;

typedef struct msp_batcher_options {
	msp_env_t env;
	msp_store_t store;
	msp_alarms_t *alarms; /* borrowed */
	msp_time_t window; /* how long a write waits for others, at most */
	size_t max_rows; /* of one transaction */
	unsigned int max_batches; /* transactions in flight */
	uint32_t timeout_ms; /* of one store call */
} msp_batcher_options_t;

typedef struct msp_batch_write msp_batch_write_t;

/*
 * The result of a write. Valid during the callback only.
 *
 * MSP_OK            took effect; `version` is the row's new version
 * MSP_E_CONFLICT    the row is not at the expected version; `row` is its state
 * MSP_E_STORE_DOWN  did not take effect and never will
 * MSP_E_LOST        may have taken effect, or still may; `row` is its state as
 *                   read afterwards, or NULL if that read failed too
 * MSP_E_BAD_REQUEST the store rejected it
 */
typedef struct msp_batch_result {
	msp_status_t status;
	uint64_t version;
	const msp_row_t *row;
} msp_batch_result_t;

typedef void msp_batch_done_t(void *ctx, const msp_batch_result_t *result);

msp_batcher_t *msp_new_batcher(const msp_batcher_options_t *options);

/* Drops all writes without calling back. Those in flight may take effect. */
void msp_drop_batcher(msp_batcher_t *batcher);

/*
 * Writes `value` (copied) to the row `key` (copied) if it is at `version`.
 * `done` is called from the store's callback. Returns NULL when out of memory.
 */
msp_batch_write_t *msp_batch_write(msp_batcher_t *batcher, const char *key,
    uint64_t version, const char *value, size_t len, msp_batch_done_t *done,
    void *ctx);

/*
 * Cancels a write; its `done` is not called any more. Returns whether the write
 * was sent and so may take effect.
 */
bool msp_cancel_batch_write(msp_batch_write_t *write);

#endif
