#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ledger_state.h"

#define RETRY_DELAY (100 * MSP_MS) /* after a call to the store failed */
#define RACE_DELAY (5 * MSP_MS) /* upper bound per lost race; randomised */

void
end_submission(
    submission_t *submission, msp_status_t status, const char *message)
{
	submission->step = SUBMIT_ENDED;
	submission->status = status;
	snprintf(
	    submission->message, sizeof(submission->message), "%s", message);
}

void
schedule_read(msp_ledger_t *ledger, submission_t *submission, msp_time_t delay)
{
	submission->step = SUBMIT_READ;
	submission->due = ledger_now(ledger) + delay;
}

/* Reports a store that is down at once if this VM wrote nothing. */
void
handle_store_failure(
    msp_ledger_t *ledger, submission_t *submission, msp_status_t status)
{
	bool late = ledger_now(ledger) >= submission->deadline;

	if (!submission->maybe_written && (late || status == MSP_E_STORE_DOWN))
		end_submission(submission, MSP_E_STORE_DOWN,
		    "the store is down; nothing was written");
	else if (late)
		end_submission(submission, MSP_E_IN_DOUBT,
		    "the store does not answer; send the same note again");
	else
		schedule_read(ledger, submission, RETRY_DELAY);
}

void
check_id_row(
    msp_ledger_t *ledger, submission_t *submission, const msp_row_t *row)
{
	msp_digest_t note_digest;
	id_row_t id;

	if (parse_id_row(row, &id) != MSP_OK ||
	    msp_digest_note(submission->note, &note_digest) != MSP_OK) {
		report_rejected(ledger, "bad-rows", 0);
		end_submission(submission, MSP_E_INTERNAL, msp_last_message());
		return;
	}
	if (id.version == 0) {
		end_submission(submission, MSP_E_CONFLICT,
		    "id: this note was refused; send it under a new id");
		return;
	}
	if (!msp_digest_equal(id.note_digest, note_digest)) {
		memcpy(submission->other_note, submission->note->id,
		    MSP_NOTE_ID_SIZE);
		end_submission(submission, MSP_E_CONFLICT,
		    "id: was used for another note");
		return;
	}
	submission->accepted = id;
	end_submission(submission, MSP_OK, "");
	msp_observe_ledger_version(ledger, id.version, NULL);
}

static void handle_commit_reply(void *ctx, const msp_store_reply_t *reply);

static void
write_note(
    msp_ledger_t *ledger, submission_t *submission, uint64_t head_row_version)
{
	msp_store_t *store = &ledger->options.store;
	commit_txn_t *commit = calloc(1, sizeof(*commit));
	msp_status_t status;

	if (commit == NULL) {
		end_submission(
		    submission, MSP_E_NO_MEMORY, "no memory for the commit");
		return;
	}
	status = prepare_commit(ledger, submission, head_row_version, commit);
	if (status == MSP_OK) {
		submission->step = SUBMIT_WRITING;
		store->transact(store->ctx, &commit->txn,
		    ledger->options.store_timeout_ms, handle_commit_reply,
		    ledger);
	} else if (status == MSP_E_NOT_FOUND) {
		fetch_missing_notes(ledger, submission);
	} else {
		refuse_submission(ledger, submission);
	}
	drop_commit_txn(commit);
	free(commit);
}

/* Handles the rows of the head and of the id. */
static void
check_head_and_id(msp_ledger_t *ledger, submission_t *submission,
    const msp_store_reply_t *reply)
{
	chain_head_t head;

	if (reply->row_count != 2 ||
	    parse_head_row(&reply->rows[0], &head) != MSP_OK) {
		report_rejected(ledger, "bad-rows", 0);
		handle_store_failure(ledger, submission, MSP_E_LOST);
		return;
	}
	if (reply->rows[1].value != NULL) {
		check_id_row(ledger, submission, &reply->rows[1]);
		return;
	}
	if (reject_head(ledger, &head)) {
		handle_store_failure(ledger, submission, MSP_E_LOST);
		return;
	}
	if (head.version == ledger->release->version) {
		write_note(ledger, submission, reply->rows[0].version);
		return;
	}
	submission->step = SUBMIT_CATCH_UP;
	submission->head_version = head.version;
	submission->due = ledger_now(ledger) + CATCH_UP_INTERVAL;
	if (head.version > ledger->highest_observed)
		ledger->highest_observed = head.version;
	start_pull(ledger, false);
}

static void
handle_read_reply(void *ctx, const msp_store_reply_t *reply)
{
	msp_ledger_t *ledger = ctx;
	submission_t *submission = TAILQ_FIRST(&ledger->submissions);

	if (submission == NULL || submission->step != SUBMIT_READING)
		return;
	if (reply->status != MSP_OK)
		handle_store_failure(ledger, submission, reply->status);
	else
		check_head_and_id(ledger, submission, reply);
}

void
start_read(msp_ledger_t *ledger, submission_t *submission)
{
	msp_store_t *store = &ledger->options.store;
	char id_key[LEDGER_KEY_SIZE];
	const char *keys[] = {HEAD_KEY, id_key};

	print_id_key(submission->note->id, id_key);
	submission->step = SUBMIT_READING;
	store->get(store->ctx, keys, 2, ledger->options.store_timeout_ms,
	    handle_read_reply, ledger);
}

/*
 * Ends a submission whose transaction took effect, and applies the note, which
 * is the next one of the chain.
 */
static void
complete_commit(msp_ledger_t *ledger, submission_t *submission)
{
	uint64_t every = ledger->options.snapshot_every;
	msp_buffer_t text = {0};

	submission->accepted = submission->new_row;
	end_submission(submission, MSP_OK, "");
	count_ledger_event(ledger, "accepted");
	if (msp_print_note(submission->note, &text) == MSP_OK)
		apply_note_text(ledger, msp_buffer_text(&text), text.len);
	msp_drop_buffer(&text);
	if (submission->accepted.version % every == 0 &&
	    ledger->release->version == submission->accepted.version)
		put_snapshot(ledger);
}

static void
handle_commit_reply(void *ctx, const msp_store_reply_t *reply)
{
	msp_ledger_t *ledger = ctx;
	submission_t *submission = TAILQ_FIRST(&ledger->submissions);
	msp_time_t delay;

	if (submission == NULL || submission->step != SUBMIT_WRITING)
		return;
	switch (reply->status) {
	case MSP_OK:
		complete_commit(ledger, submission);
		break;
	case MSP_E_CONFLICT:
		if (reply->row_count == 2 && reply->rows[1].value != NULL) {
			check_id_row(ledger, submission, &reply->rows[1]);
			break;
		}
		/*
		 * The head has moved. So an earlier write of the head by this
		 * submission can no longer take effect.
		 */
		submission->lost_races++;
		count_ledger_event(ledger, "races_lost");
		delay = submission->lost_races * RACE_DELAY;
		schedule_read(ledger, submission,
		    msp_random_below(&ledger->options.env, delay));
		break;
	case MSP_E_BAD_REQUEST:
		end_submission(
		    submission, MSP_E_INTERNAL, "the store rejected the write");
		break;
	default:
		if (reply->status != MSP_E_STORE_DOWN)
			submission->maybe_written = true;
		handle_store_failure(ledger, submission, reply->status);
		break;
	}
}
