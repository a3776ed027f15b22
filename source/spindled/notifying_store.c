#include "notifying_store.h"

#include <stdlib.h>

/* A call of the store, with its own callback. */
typedef struct wrapped_call {
	notifying_store_t *notifying;
	msp_store_done_t *done;
	void *done_ctx;
} wrapped_call_t;

static void
handle_reply(void *ctx, const msp_store_reply_t *reply)
{
	wrapped_call_t call = *(wrapped_call_t *)ctx;

	free(ctx);
	call.done(call.done_ctx, reply);
	call.notifying->on_replied(call.notifying->ctx);
}

/*
 * Replaces the callback of a call by handle_reply(). Without memory the
 * callback stays: on_replied() isn't called, and the module is stepped by its
 * own timer.
 */
static void
wrap_callback(
    notifying_store_t *notifying, msp_store_done_t **done, void **done_ctx)
{
	wrapped_call_t *call = malloc(sizeof(*call));

	if (call == NULL)
		return;
	*call = (wrapped_call_t){notifying, *done, *done_ctx};
	*done = handle_reply;
	*done_ctx = call;
}

static void
get(void *ctx, const char *const *keys, size_t count, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	notifying_store_t *notifying = ctx;
	const msp_store_t *store = notifying->store;

	wrap_callback(notifying, &done, &done_ctx);
	store->get(store->ctx, keys, count, timeout_ms, done, done_ctx);
}

static void
scan(void *ctx, const char *prefix, const char *after, size_t limit,
    uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	notifying_store_t *notifying = ctx;
	const msp_store_t *store = notifying->store;

	wrap_callback(notifying, &done, &done_ctx);
	store->scan(
	    store->ctx, prefix, after, limit, timeout_ms, done, done_ctx);
}

static void
transact(void *ctx, const msp_txn_t *txn, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	notifying_store_t *notifying = ctx;
	const msp_store_t *store = notifying->store;

	wrap_callback(notifying, &done, &done_ctx);
	store->transact(store->ctx, txn, timeout_ms, done, done_ctx);
}

static void
get_object(void *ctx, const char *name, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	notifying_store_t *notifying = ctx;
	const msp_store_t *store = notifying->store;

	wrap_callback(notifying, &done, &done_ctx);
	store->get_object(store->ctx, name, timeout_ms, done, done_ctx);
}

static void
put_object(void *ctx, const char *name, const void *data, size_t len,
    uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	notifying_store_t *notifying = ctx;
	const msp_store_t *store = notifying->store;

	wrap_callback(notifying, &done, &done_ctx);
	store->put_object(
	    store->ctx, name, data, len, timeout_ms, done, done_ctx);
}

static void
list_vms(void *ctx, uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	notifying_store_t *notifying = ctx;
	const msp_store_t *store = notifying->store;

	wrap_callback(notifying, &done, &done_ctx);
	store->list_vms(store->ctx, timeout_ms, done, done_ctx);
}

msp_store_t
make_notifying_store(notifying_store_t *notifying)
{
	return (msp_store_t){.ctx = notifying,
	    .get = get,
	    .scan = scan,
	    .transact = transact,
	    .get_object = get_object,
	    .put_object = put_object,
	    .list_vms = list_vms};
}
