#include "ledger_state.h"

/* Rejects a snapshot that is newer than the head or has another digest. */
static void
check_snapshot(msp_ledger_t *ledger)
{
	const chain_head_t *head = &ledger->pull.head;
	const msp_release_t *release = ledger->release;
	msp_release_t *empty;

	if (release->version < head->version ||
	    (release->version == head->version &&
		msp_digest_equal(release->digest, head->digest)))
		return;
	report_rejected(ledger, "bad-snapshot", release->version);
	empty = msp_new_release();
	if (empty == NULL)
		return;
	replace_release(ledger, empty);
	ledger->pull.snapshot_rejected = true;
}

static void
handle_head_reply(void *ctx, const msp_store_reply_t *reply)
{
	msp_ledger_t *ledger = ctx;
	chain_head_t *head = &ledger->pull.head;

	if (reply->status != MSP_OK || reply->row_count != 1) {
		handle_pull_result(ledger, false);
		return;
	}
	if (parse_head_row(&reply->rows[0], head) != MSP_OK) {
		report_rejected(ledger, "bad-rows", 0);
		handle_pull_result(ledger, false);
		return;
	}
	check_snapshot(ledger);
	if (ledger->release->version == head->version &&
	    msp_digest_equal(ledger->release->digest, head->digest)) {
		mark_ready(ledger);
		handle_pull_result(ledger, true);
		return;
	}
	start_scan(ledger);
}

static void
read_head(msp_ledger_t *ledger)
{
	static const char *const keys[] = {HEAD_KEY};
	msp_store_t *store = &ledger->options.store;

	ledger->pull.step = PULL_HEAD;
	store->get(store->ctx, keys, 1, ledger->options.store_timeout_ms,
	    handle_head_reply, ledger);
}

static void
handle_snapshot_reply(void *ctx, const msp_store_reply_t *reply)
{
	msp_ledger_t *ledger = ctx;
	msp_release_t *release;

	if (reply->status != MSP_OK && reply->status != MSP_E_NOT_FOUND) {
		count_ledger_event(ledger, "store_failures");
		handle_pull_result(ledger, false);
		return;
	}
	if (reply->status == MSP_OK) {
		if (msp_parse_release(reply->object, reply->object_len,
			SNAPSHOT_NAME, &release) == MSP_OK)
			replace_release(ledger, release);
		else
			report_rejected(ledger, "bad-snapshot", 0);
	}
	read_head(ledger);
}

void
start_boot(msp_ledger_t *ledger)
{
	msp_store_t *store = &ledger->options.store;

	if (ledger->release->version > 0 || ledger->pull.snapshot_rejected) {
		read_head(ledger);
		return;
	}
	ledger->pull.step = PULL_SNAPSHOT;
	store->get_object(store->ctx, SNAPSHOT_NAME,
	    ledger->options.store_timeout_ms, handle_snapshot_reply, ledger);
}
