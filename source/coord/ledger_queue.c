#include <stdlib.h>

#include "ledger_state.h"

#define SUBMISSIONS_MAX 64 /* length of the queue */
#define LOST_RACES_MAX 32 /* of one submission */

static void
enqueue_note(msp_ledger_t *ledger, msp_note_t *note, bool first_attempt,
    msp_submit_done_t *done, void *done_ctx)
{
	submission_t *submission = calloc(1, sizeof(*submission));

	if (submission == NULL)
		return;
	submission->note = msp_keep_note(note);
	submission->first_attempt = first_attempt;
	submission->done = done;
	submission->done_ctx = done_ctx;
	submission->deadline =
	    ledger_now(ledger) + ledger->options.submit_timeout;
	submission->due = ledger_now(ledger);
	if (!ledger->ready)
		end_submission(submission, MSP_E_NOT_READY,
		    "no release has been read yet");
	else if (note->id[0] == '\0')
		end_submission(submission, MSP_E_INVALID_NOTE, "id: missing");
	else if (!note->has_base)
		end_submission(
		    submission, MSP_E_INVALID_NOTE, "base_version: missing");
	else if (ledger->submission_count >= SUBMISSIONS_MAX)
		end_submission(
		    submission, MSP_E_OVERLOAD, "64 notes are queued here");
	ledger->submission_count++;
	TAILQ_INSERT_TAIL(&ledger->submissions, submission, link);
}

void
msp_submit_note(msp_ledger_t *ledger, msp_note_t *note, msp_submit_done_t *done,
    void *done_ctx)
{
	enqueue_note(ledger, note, false, done, done_ctx);
}

void
msp_submit_new_note(msp_ledger_t *ledger, msp_note_t *note,
    msp_submit_done_t *done, void *done_ctx)
{
	enqueue_note(ledger, note, true, done, done_ctx);
}

static void
free_submission(submission_t *submission)
{
	msp_drop_note(submission->note);
	msp_drop_buffer(&submission->clashes);
	drop_note_log(&submission->fetched);
	free(submission);
}

void
drop_submissions(msp_ledger_t *ledger)
{
	submission_t *submission;
	submission_t *next;

	TAILQ_FOREACH_SAFE(submission, &ledger->submissions, link, next) {
		free_submission(submission);
	}
	TAILQ_INIT(&ledger->submissions);
	ledger->submission_count = 0;
}

static void
report_result(msp_ledger_t *ledger, submission_t *submission)
{
	msp_submit_result_t result = {
	    .status = submission->status,
	    .version = submission->accepted.version,
	    .digest = submission->accepted.chain_digest,
	    .rebased = submission->rebased,
	    .clashes = msp_buffer_text(&submission->clashes),
	    .other_note = submission->other_note,
	    .message = submission->message,
	};

	TAILQ_REMOVE(&ledger->submissions, submission, link);
	ledger->submission_count--;
	submission->done(submission->done_ctx, &result);
	free_submission(submission);
}

/* Advances the first submission of the queue; the others wait for it. */
static void
step_submission(msp_ledger_t *ledger, submission_t *submission)
{
	msp_time_t now = ledger_now(ledger);

	if (now < submission->due)
		return;
	if (submission->step == SUBMIT_READ &&
	    submission->lost_races > LOST_RACES_MAX)
		end_submission(submission,
		    submission->maybe_written ? MSP_E_IN_DOUBT : MSP_E_OVERLOAD,
		    "lost 32 races to other notes; send the same note again");
	else if (submission->step == SUBMIT_READ)
		start_read(ledger, submission);
	else if (submission->step == SUBMIT_REFUSE)
		record_refusal(ledger, submission);
	if (submission->step != SUBMIT_CATCH_UP)
		return;
	submission->due = now + CATCH_UP_INTERVAL;
	if (ledger->release->version >= submission->head_version)
		schedule_read(ledger, submission, 0);
	else if (now >= submission->deadline)
		handle_store_failure(ledger, submission, MSP_E_LOST);
	else
		start_pull(ledger, false);
}

void
tick_submissions(msp_ledger_t *ledger)
{
	submission_t *submission;
	submission_t *next;

	TAILQ_FOREACH_SAFE(submission, &ledger->submissions, link, next) {
		if (submission->step != SUBMIT_ENDED)
			step_submission(ledger, submission);
		if (submission->step != SUBMIT_ENDED)
			return;
		report_result(ledger, submission);
	}
}

msp_time_t
submit_deadline(const msp_ledger_t *ledger)
{
	const submission_t *first = TAILQ_FIRST(&ledger->submissions);

	if (first == NULL || first->step == SUBMIT_READING ||
	    first->step == SUBMIT_WRITING || first->step == SUBMIT_REFUSING ||
	    first->step == SUBMIT_FETCHING)
		return MSP_NEVER;
	return first->step == SUBMIT_ENDED ? 0 : first->due;
}
