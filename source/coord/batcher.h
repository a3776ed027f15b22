#ifndef MSP_COORD_BATCHER_H
#define MSP_COORD_BATCHER_H

#include "alarms.h"
#include "monsoonspindle/platform/store.h"

/*
 * Puts conditional writes of single rows together into transactions. Each
 * write ends by itself: those whose condition fails are split out, and the
 * others go on. At most one write of a row may be under way.
 */
typedef struct msp_batcher msp_batcher_t;

typedef struct msp_batcher_options {
	msp_env_t env;
	msp_store_t store;
	msp_alarms_t *alarms; /* borrowed */
	msp_time_t window; /* a write waits for others, at most */
	size_t max_rows; /* of one transaction */
	unsigned int max_batches; /* under way at once */
	uint32_t timeout_ms; /* of one store call */
} msp_batcher_options_t;

typedef struct msp_batch_write msp_batch_write_t;

/*
 * How a write ended. Borrowed.
 *
 * MSP_OK            took effect; `version` is the row's
 * MSP_E_CONFLICT    the row is not at the version; `row` is its state
 * MSP_E_STORE_DOWN  not taken, and never will be
 * MSP_E_LOST        may have taken effect, or still may; `row` is its state
 *                   read afterwards, or NULL if that failed too
 * MSP_E_BAD_REQUEST not taken
 */
typedef struct msp_batch_result {
	msp_status_t status;
	uint64_t version;
	const msp_row_t *row;
} msp_batch_result_t;

typedef void msp_batch_done_t(void *ctx, const msp_batch_result_t *result);

msp_batcher_t *msp_new_batcher(const msp_batcher_options_t *options);

/* Forgets all writes; what is under way is orphaned. */
void msp_drop_batcher(msp_batcher_t *batcher);

/*
 * Writes `value` (copied) to the row `key` (copied) if it is at `version`.
 * `done` is called from the store's callback. Returns NULL without memory.
 */
msp_batch_write_t *msp_batch_write(msp_batcher_t *batcher, const char *key,
    uint64_t version, const char *value, size_t len, msp_batch_done_t *done,
    void *ctx);

/*
 * `done` is not called any more. Returns whether the write may have been sent
 * and so may take effect.
 */
bool msp_cancel_batch_write(msp_batch_write_t *write);

#endif
