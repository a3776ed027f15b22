#include "ledger_state.h"

static void
handle_put_reply(void *ctx, const msp_store_reply_t *reply)
{
	count_ledger_event(
	    ctx, reply->status == MSP_OK ? "snapshots" : "snapshot_failures");
}

/*
 * A failure is not retried: the notes stay in the store, and the next snapshot
 * replaces this one.
 */
void
put_snapshot(msp_ledger_t *ledger)
{
	msp_store_t *store = &ledger->options.store;
	msp_buffer_t text = {0};

	if (msp_print_release(ledger->release, &text) == MSP_OK)
		store->put_object(store->ctx, SNAPSHOT_NAME, text.data,
		    text.len, ledger->options.store_timeout_ms,
		    handle_put_reply, ledger);
	msp_drop_buffer(&text);
}
