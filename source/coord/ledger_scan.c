#include "ledger_state.h"

#define SCAN_ROWS NOTE_PARTS_MAX /* at least one whole note */

/* Applies the notes in `rows`. Sets `bad` if one was rejected. */
static void
apply_rows(msp_ledger_t *ledger, const msp_row_t *rows, size_t count, bool *bad)
{
	msp_buffer_t text = {0};
	msp_status_t status = MSP_OK;
	uint64_t version;
	size_t used;

	*bad = false;
	while (count > 0 && status == MSP_OK) {
		msp_clear_buffer(&text);
		status = join_parts(rows, count, &text, &version, &used);
		if (status == MSP_E_SYNTAX)
			report_rejected(ledger, "bad-rows", 0);
		*bad = status != MSP_OK && status != MSP_E_NOT_FOUND;
		if (status != MSP_OK)
			break;
		status =
		    apply_note_text(ledger, msp_buffer_text(&text), text.len);
		*bad = status != MSP_OK;
		rows += used;
		count -= used;
	}
	msp_drop_buffer(&text);
}

/* Marks the ledger ready if it has reached the head that was read. */
static void
check_startup(msp_ledger_t *ledger, bool bad)
{
	const chain_head_t *head = &ledger->pull.head;

	if (ledger->release->version >= head->version &&
	    (ledger->release->version > head->version ||
		msp_digest_equal(ledger->release->digest, head->digest))) {
		mark_ready(ledger);
		return;
	}
	/* The release does not lead to the head: start from an empty one. */
	if (bad && ledger->release->version > 0) {
		msp_release_t *empty = msp_new_release();

		if (empty == NULL)
			return;
		report_rejected(
		    ledger, "bad-snapshot", ledger->release->version);
		replace_release(ledger, empty);
		ledger->pull.snapshot_rejected = true;
	}
}

static void
handle_scan_reply(void *ctx, const msp_store_reply_t *reply)
{
	msp_ledger_t *ledger = ctx;
	bool complete;
	bool bad;

	if (reply->status != MSP_OK) {
		count_ledger_event(ledger, "store_failures");
		handle_pull_result(ledger, false);
		return;
	}
	complete = reply->row_count < SCAN_ROWS;
	apply_rows(ledger, reply->rows, reply->row_count, &bad);
	if (!ledger->ready)
		check_startup(ledger, bad);
	handle_pull_result(ledger, complete);
}

void
start_scan(msp_ledger_t *ledger)
{
	msp_store_t *store = &ledger->options.store;
	char after[LEDGER_KEY_SIZE];

	ledger->pull.step = PULL_SCAN;
	print_scan_start_key(ledger->release->version, after);
	count_ledger_event(ledger, "scans");
	store->scan(store->ctx, NOTE_PREFIX, after, SCAN_ROWS,
	    ledger->options.store_timeout_ms, handle_scan_reply, ledger);
}
