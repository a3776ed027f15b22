#include "ledger_state.h"

#define FETCH_ROWS NOTE_PARTS_MAX /* at least one whole note */
#define FETCH_BYTES (16 << 20)

const logged_note_t *
find_known_note(const msp_ledger_t *ledger, const submission_t *submission,
    uint64_t version)
{
	const logged_note_t *note = find_logged_note(&ledger->log, version);

	if (note != NULL)
		return note;
	return find_logged_note(&submission->fetched, version);
}

/* Returns the version after which the next scan starts. */
static uint64_t
last_fetched(const submission_t *submission)
{
	return submission->note->base_version + submission->fetched.count;
}

/* Appends a note if it is the next one and continues the fetched chain. */
static msp_status_t
append_fetched_note(
    submission_t *submission, const msp_buffer_t *text, uint64_t version)
{
	const logged_note_t *before =
	    find_logged_note(&submission->fetched, version - 1);
	msp_digest_t digest;
	msp_note_t *note;
	msp_status_t status;

	status =
	    msp_parse_note(msp_buffer_text(text), text->len, "note", &note);
	if (status != MSP_OK)
		return status;
	digest = msp_chain_digest(
	    note->base_digest, msp_buffer_text(text), text->len);
	if (version != last_fetched(submission) + 1 ||
	    (before != NULL &&
		!msp_digest_equal(before->chain_digest, note->base_digest)))
		status = msp_fail(
		    MSP_E_CONFLICT, "stored notes do not form a chain");
	msp_drop_note(note);
	if (status != MSP_OK)
		return status;
	return append_note_log(&submission->fetched, version, digest,
	    msp_buffer_text(text), text->len);
}

static msp_status_t
append_fetched_rows(
    submission_t *submission, const msp_row_t *rows, size_t count)
{
	msp_status_t status = MSP_OK;
	msp_buffer_t text = {0};
	uint64_t version;
	size_t used;

	while (count > 0 && status == MSP_OK) {
		msp_clear_buffer(&text);
		status = join_parts(rows, count, &text, &version, &used);
		if (status != MSP_OK)
			break;
		status = append_fetched_note(submission, &text, version);
		rows += used;
		count -= used;
	}
	msp_drop_buffer(&text);
	return status == MSP_E_NOT_FOUND ? MSP_OK : status;
}

static void
handle_fetch_reply(void *ctx, const msp_store_reply_t *reply)
{
	msp_ledger_t *ledger = ctx;
	submission_t *submission = TAILQ_FIRST(&ledger->submissions);
	size_t before;

	if (submission == NULL || submission->step != SUBMIT_FETCHING)
		return;
	if (reply->status != MSP_OK) {
		handle_store_failure(ledger, submission, reply->status);
		return;
	}
	before = submission->fetched.count;
	if (append_fetched_rows(submission, reply->rows, reply->row_count) !=
		MSP_OK ||
	    submission->fetched.count == before) {
		report_rejected(ledger, "bad-rows", last_fetched(submission));
		drop_note_log(&submission->fetched);
		handle_store_failure(ledger, submission, MSP_E_LOST);
		return;
	}
	if (last_fetched(submission) < ledger->release->version)
		fetch_missing_notes(ledger, submission);
	else
		schedule_read(ledger, submission, 0);
}

void
fetch_missing_notes(msp_ledger_t *ledger, submission_t *submission)
{
	msp_store_t *store = &ledger->options.store;
	char after[LEDGER_KEY_SIZE];

	submission->fetched.count_max = 2 * MSP_REBASE_NOTES_MAX;
	submission->fetched.bytes_max = FETCH_BYTES;
	submission->step = SUBMIT_FETCHING;
	print_scan_start_key(last_fetched(submission), after);
	count_ledger_event(ledger, "fetches");
	store->scan(store->ctx, NOTE_PREFIX, after, FETCH_ROWS,
	    ledger->options.store_timeout_ms, handle_fetch_reply, ledger);
}
