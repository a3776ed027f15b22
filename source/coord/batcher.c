#include "batcher.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/base/hash.h"

#define BATCH_BYTES_MAX (1024 * 1024) /* of values in one transaction */

TAILQ_HEAD(batch_writes, msp_batch_write);

struct msp_batch_write {
	TAILQ_ENTRY(msp_batch_write) entry;
	msp_batcher_t *batcher;
	char *key;
	uint64_t key_hash;
	char *value;
	size_t len;
	uint64_t version;
	bool sent; /* in a transaction that is in flight */
	bool cancelled;
	msp_batch_done_t *done;
	void *ctx;
};

/* A transaction in flight, or the read-back after its reply was lost. */
typedef struct batch {
	TAILQ_ENTRY(batch) entry;
	msp_batcher_t *batcher; /* NULL: the batcher was dropped */
	size_t count;
	msp_batch_write_t *writes[MSP_TXN_ITEMS_MAX];
} batch_t;

struct msp_batcher {
	msp_batcher_options_t options;
	struct batch_writes queue;
	size_t queued;
	TAILQ_HEAD(batches, batch) batches;
	unsigned int in_flight;
	msp_alarm_t alarm;
};

static void send_queued_writes(msp_batcher_t *batcher);

static void
handle_alarm(void *ctx)
{
	send_queued_writes(ctx);
}

msp_batcher_t *
msp_new_batcher(const msp_batcher_options_t *options)
{
	msp_batcher_t *batcher = calloc(1, sizeof(*batcher));

	if (batcher == NULL)
		return NULL;
	batcher->options = *options;
	if (batcher->options.max_rows > MSP_TXN_ITEMS_MAX)
		batcher->options.max_rows = MSP_TXN_ITEMS_MAX;
	batcher->alarm.fire = handle_alarm;
	batcher->alarm.ctx = batcher;
	TAILQ_INIT(&batcher->queue);
	TAILQ_INIT(&batcher->batches);
	return batcher;
}

static void
free_write(msp_batch_write_t *write)
{
	free(write->key);
	free(write->value);
	free(write);
}

static void
free_batch_writes(batch_t *batch)
{
	size_t i;

	for (i = 0; i < batch->count; i++)
		free_write(batch->writes[i]);
	batch->count = 0;
}

void
msp_drop_batcher(msp_batcher_t *batcher)
{
	msp_batch_write_t *write;
	msp_batch_write_t *next;
	batch_t *batch;

	if (batcher == NULL)
		return;
	TAILQ_FOREACH_SAFE(write, &batcher->queue, entry, next)
		free_write(write);
	TAILQ_FOREACH(batch, &batcher->batches, entry) {
		free_batch_writes(batch);
		batch->batcher = NULL;
	}
	msp_clear_alarm(batcher->options.alarms, &batcher->alarm);
	free(batcher);
}

/* Calls `done`, which may queue other writes, and frees the write. */
static void
finish_write(msp_batch_write_t *write, const msp_batch_result_t *result)
{
	if (!write->cancelled)
		write->done(write->ctx, result);
	free_write(write);
}

/* Removes the batch from its batcher, so that `done` may use the batcher. */
static msp_batcher_t *
remove_batch(batch_t *batch)
{
	msp_batcher_t *batcher = batch->batcher;

	TAILQ_REMOVE(&batcher->batches, batch, entry);
	batcher->in_flight--;
	return batcher;
}

static void
handle_read_back(void *ctx, const msp_store_reply_t *reply)
{
	batch_t *batch = ctx;
	msp_batch_result_t result = {.status = MSP_E_LOST};
	msp_batcher_t *batcher;
	size_t i;

	if (batch->batcher == NULL) {
		free(batch);
		return;
	}
	batcher = remove_batch(batch);
	for (i = 0; i < batch->count; i++) {
		result.row = reply->status == MSP_OK ? &reply->rows[i] : NULL;
		finish_write(batch->writes[i], &result);
	}
	free(batch);
	send_queued_writes(batcher);
}

static void
read_back(batch_t *batch)
{
	const msp_batcher_options_t *options = &batch->batcher->options;
	const char *keys[MSP_TXN_ITEMS_MAX];
	size_t i;

	for (i = 0; i < batch->count; i++)
		keys[i] = batch->writes[i]->key;
	options->store.get(options->store.ctx, keys, batch->count,
	    options->timeout_ms, handle_read_back, batch);
}

/* Puts a write back at the head of the queue. */
static void
requeue_write(msp_batcher_t *batcher, msp_batch_write_t *write)
{
	if (write->cancelled) {
		free_write(write);
		return;
	}
	write->sent = false;
	TAILQ_INSERT_HEAD(&batcher->queue, write, entry);
	batcher->queued++;
}

/* Requeues the writes whose conditions hold and ends the others. */
static void
split_conflicting_writes(
    msp_batcher_t *batcher, batch_t *batch, const msp_store_reply_t *reply)
{
	msp_batch_result_t result = {.status = MSP_E_CONFLICT};
	size_t i;

	for (i = batch->count; i-- > 0;) {
		msp_batch_write_t *write = batch->writes[i];

		if (reply->rows[i].version != write->version)
			continue;
		batch->writes[i] = NULL;
		requeue_write(batcher, write);
	}
	for (i = 0; i < batch->count; i++) {
		msp_batch_write_t *write = batch->writes[i];

		if (write == NULL)
			continue;
		result.row = &reply->rows[i];
		finish_write(write, &result);
	}
}

static void
handle_transaction_reply(void *ctx, const msp_store_reply_t *reply)
{
	batch_t *batch = ctx;
	msp_batch_result_t result = {
	    .status = reply->status, .version = reply->version};
	msp_batcher_t *batcher;
	size_t i;

	if (batch->batcher == NULL) {
		free(batch);
		return;
	}
	if (reply->status == MSP_E_LOST) {
		read_back(batch);
		return;
	}
	batcher = remove_batch(batch);
	if (reply->status == MSP_E_CONFLICT) {
		split_conflicting_writes(batcher, batch, reply);
	} else {
		for (i = 0; i < batch->count; i++)
			finish_write(batch->writes[i], &result);
	}
	free(batch);
	send_queued_writes(batcher);
}

/*
 * Two writes of one row must not share a transaction, even if the first was
 * cancelled: both conditions would hold, and both would report success.
 */
static bool
has_write_of_row(const batch_t *batch, const msp_batch_write_t *write)
{
	size_t i;

	for (i = 0; i < batch->count; i++) {
		if (batch->writes[i]->key_hash == write->key_hash)
			return true;
	}
	return false;
}

/* Moves queued writes into `batch`, up to the limits of one transaction. */
static void
fill_batch(msp_batcher_t *batcher, batch_t *batch)
{
	size_t bytes = 0;
	msp_batch_write_t *write;

	while ((write = TAILQ_FIRST(&batcher->queue)) != NULL &&
	    batch->count < batcher->options.max_rows) {
		if (batch->count > 0 && bytes + write->len > BATCH_BYTES_MAX)
			break;
		if (has_write_of_row(batch, write))
			break;
		TAILQ_REMOVE(&batcher->queue, write, entry);
		batcher->queued--;
		write->sent = true;
		bytes += write->len;
		batch->writes[batch->count++] = write;
	}
}

static void
send_batch(msp_batcher_t *batcher)
{
	const msp_batcher_options_t *options = &batcher->options;
	msp_condition_t conditions[MSP_TXN_ITEMS_MAX];
	msp_write_t writes[MSP_TXN_ITEMS_MAX];
	msp_txn_t txn = {.conditions = conditions, .writes = writes};
	batch_t *batch = calloc(1, sizeof(*batch));
	size_t i;

	if (batch == NULL)
		return;
	batch->batcher = batcher;
	fill_batch(batcher, batch);
	for (i = 0; i < batch->count; i++) {
		msp_batch_write_t *write = batch->writes[i];

		conditions[i] = (msp_condition_t){write->key, write->version};
		writes[i] = (msp_write_t){write->key, write->value, write->len};
	}
	txn.condition_count = batch->count;
	txn.write_count = batch->count;
	TAILQ_INSERT_TAIL(&batcher->batches, batch, entry);
	batcher->in_flight++;
	options->store.transact(options->store.ctx, &txn, options->timeout_ms,
	    handle_transaction_reply, batch);
}

/* Sends queued writes while fewer than `max_batches` are in flight. */
static void
send_queued_writes(msp_batcher_t *batcher)
{
	if (batcher->alarm.set)
		return;
	while (batcher->queued > 0 &&
	    batcher->in_flight < batcher->options.max_batches)
		send_batch(batcher);
}

msp_batch_write_t *
msp_batch_write(msp_batcher_t *batcher, const char *key, uint64_t version,
    const char *value, size_t len, msp_batch_done_t *done, void *ctx)
{
	msp_batch_write_t *write = calloc(1, sizeof(*write));

	if (write == NULL)
		return NULL;
	write->batcher = batcher;
	write->key = strdup(key);
	write->value = malloc(len + 1);
	if (write->key == NULL || write->value == NULL) {
		free_write(write);
		return NULL;
	}
	memcpy(write->value, value, len);
	write->key_hash = msp_hash_text(key, 0);
	write->len = len;
	write->version = version;
	write->done = done;
	write->ctx = ctx;
	TAILQ_INSERT_TAIL(&batcher->queue, write, entry);
	batcher->queued++;
	if (batcher->queued >= batcher->options.max_rows)
		msp_clear_alarm(batcher->options.alarms, &batcher->alarm);
	else if (batcher->queued == 1)
		msp_set_alarm(batcher->options.alarms, &batcher->alarm,
		    msp_now(&batcher->options.env) + batcher->options.window);
	send_queued_writes(batcher);
	return write;
}

bool
msp_cancel_batch_write(msp_batch_write_t *write)
{
	bool sent = write->sent;
	msp_batcher_t *batcher = write->batcher;

	write->cancelled = true;
	if (sent)
		return true;
	TAILQ_REMOVE(&batcher->queue, write, entry);
	batcher->queued--;
	free_write(write);
	return false;
}
