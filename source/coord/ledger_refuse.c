#include "ledger_state.h"

#define RETRY_DELAY (100 * MSP_MS) /* after a call to the store failed */

static void
handle_refusal_reply(void *ctx, const msp_store_reply_t *reply)
{
	msp_ledger_t *ledger = ctx;
	submission_t *submission = TAILQ_FIRST(&ledger->submissions);

	if (submission == NULL || submission->step != SUBMIT_REFUSING)
		return;
	if (reply->status == MSP_OK) {
		submission->step = SUBMIT_ENDED;
		return;
	}
	if (reply->status == MSP_E_CONFLICT && reply->row_count == 1) {
		/*
		 * Meanwhile another VM accepted or refused the note, or an
		 * earlier write of this VM took effect.
		 */
		check_id_row(ledger, submission, &reply->rows[0]);
		return;
	}
	if (ledger_now(ledger) >= submission->deadline) {
		end_submission(submission, MSP_E_IN_DOUBT,
		    "the store does not answer; send the same note again");
		return;
	}
	submission->step = SUBMIT_REFUSE;
	submission->due = ledger_now(ledger) + RETRY_DELAY;
}

void
record_refusal(msp_ledger_t *ledger, submission_t *submission)
{
	msp_store_t *store = &ledger->options.store;
	char key[LEDGER_KEY_SIZE];
	msp_condition_t condition = {.key = key};
	msp_write_t write = {.key = key,
	    .value = REFUSED_VALUE,
	    .value_len = sizeof(REFUSED_VALUE) - 1};
	msp_txn_t txn = {.conditions = &condition,
	    .condition_count = 1,
	    .writes = &write,
	    .write_count = 1};

	print_id_key(submission->note->id, key);
	submission->step = SUBMIT_REFUSING;
	store->transact(store->ctx, &txn, ledger->options.store_timeout_ms,
	    handle_refusal_reply, ledger);
}

void
refuse_submission(msp_ledger_t *ledger, submission_t *submission)
{
	if (submission->first_attempt ||
	    (submission->status != MSP_E_CONFLICT &&
		submission->status != MSP_E_INVALID_NOTE))
		return;
	record_refusal(ledger, submission);
}
