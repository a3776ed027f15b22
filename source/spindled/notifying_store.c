#include "notifying_store.h"

#include <stdlib.h>

/* One call whose answer is to be noticed. */
typedef struct noticed_call {
	notifying_store_t *noticed;
	msp_store_done_t *done;
	void *done_ctx;
} noticed_call_t;

static void
on_reply(void *ctx, const msp_store_reply_t *reply)
{
	noticed_call_t call = *(noticed_call_t *)ctx;

	free(ctx);
	call.done(call.done_ctx, reply);
	call.noticed->on_replied(call.noticed->ctx);
}

/*
 * Without memory the answer comes without a notice: the module is then stepped
 * at its own time.
 */
static void
wrap(notifying_store_t *noticed, msp_store_done_t **done, void **done_ctx)
{
	noticed_call_t *call = malloc(sizeof(*call));

	if (call == NULL)
		return;
	*call = (noticed_call_t){noticed, *done, *done_ctx};
	*done = on_reply;
	*done_ctx = call;
}

static void
get(void *ctx, const char *const *keys, size_t count, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	notifying_store_t *noticed = ctx;
	const msp_store_t *store = noticed->store;

	wrap(noticed, &done, &done_ctx);
	store->get(store->ctx, keys, count, timeout_ms, done, done_ctx);
}

static void
scan(void *ctx, const char *prefix, const char *after, size_t limit,
    uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	notifying_store_t *noticed = ctx;
	const msp_store_t *store = noticed->store;

	wrap(noticed, &done, &done_ctx);
	store->scan(
	    store->ctx, prefix, after, limit, timeout_ms, done, done_ctx);
}

static void
transact(void *ctx, const msp_txn_t *txn, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	notifying_store_t *noticed = ctx;
	const msp_store_t *store = noticed->store;

	wrap(noticed, &done, &done_ctx);
	store->transact(store->ctx, txn, timeout_ms, done, done_ctx);
}

static void
get_object(void *ctx, const char *name, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	notifying_store_t *noticed = ctx;
	const msp_store_t *store = noticed->store;

	wrap(noticed, &done, &done_ctx);
	store->get_object(store->ctx, name, timeout_ms, done, done_ctx);
}

static void
put_object(void *ctx, const char *name, const void *data, size_t len,
    uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	notifying_store_t *noticed = ctx;
	const msp_store_t *store = noticed->store;

	wrap(noticed, &done, &done_ctx);
	store->put_object(
	    store->ctx, name, data, len, timeout_ms, done, done_ctx);
}

static void
list_vms(void *ctx, uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	notifying_store_t *noticed = ctx;
	const msp_store_t *store = noticed->store;

	wrap(noticed, &done, &done_ctx);
	store->list_vms(store->ctx, timeout_ms, done, done_ctx);
}

msp_store_t
make_notifying_store(notifying_store_t *noticed)
{
	return (msp_store_t){.ctx = noticed,
	    .get = get,
	    .scan = scan,
	    .transact = transact,
	    .get_object = get_object,
	    .put_object = put_object,
	    .list_vms = list_vms};
}
