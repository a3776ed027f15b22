#include <stdio.h>
#include <string.h>

#include "ledger_state.h"

static msp_status_t
refuse(submission_t *submission, msp_status_t status, const char *message)
{
	submission->step = SUBMIT_ENDED;
	submission->status = status;
	snprintf(
	    submission->message, sizeof(submission->message), "%s", message);
	return status;
}

/*
 * Refuses the note if it names the same items as one accepted since its base.
 */
static msp_status_t
check_clash(submission_t *submission, const logged_note_t *logged)
{
	msp_note_t *other;
	msp_status_t status =
	    msp_parse_note(logged->text, logged->len, "note", &other);

	if (status != MSP_OK)
		return refuse(submission, MSP_E_INTERNAL, msp_last_message());
	if (strcmp(other->id, submission->note->id) == 0) {
		/* The chain has this note, so the id row read was outdated. */
		msp_drop_note(other);
		return refuse(submission, MSP_E_IN_DOUBT,
		    "the store's answers are inconsistent; send the same note "
		    "again");
	}
	if (msp_find_note_conflicts(
		submission->note, other, &submission->clashes) > 0) {
		memcpy(submission->other_note, other->id, MSP_NOTE_ID_SIZE);
		status = MSP_E_CONFLICT;
	}
	msp_drop_note(other);
	if (status == MSP_OK)
		return MSP_OK;
	msp_fail(status, "clashes with note %s, version %llu: %s",
	    submission->other_note, (unsigned long long)logged->version,
	    msp_buffer_text(&submission->clashes));
	return refuse(submission, status, msp_last_message());
}

/* Whether `after`, the note after the base version, has the same base. */
static bool
is_on_chain(const msp_note_t *note, const logged_note_t *after)
{
	msp_note_t *next;
	bool same;

	if (msp_parse_note(after->text, after->len, "note", &next) != MSP_OK)
		return false;
	same = msp_digest_equal(next->base_digest, note->base_digest);
	msp_drop_note(next);
	return same;
}

/*
 * Checks that the note's base is on the chain and not too old. All VMs must
 * decide alike, so the bound is a number of notes and does not depend on which
 * notes this VM has in memory.
 */
static msp_status_t
check_base(const msp_ledger_t *ledger, submission_t *submission)
{
	uint64_t head = ledger->release->version;
	const msp_note_t *note = submission->note;
	const logged_note_t *after;

	if (note->base_version > head)
		return refuse(submission, MSP_E_CONFLICT,
		    "base_version: above the newest version");
	if (head - note->base_version > MSP_REBASE_NOTES_MAX)
		return refuse(submission, MSP_E_CONFLICT,
		    "base_version: over 256 notes old; base the note on the "
		    "current release");
	if (note->base_version == head)
		return refuse(submission, MSP_E_CONFLICT,
		    "base_digest: does not match the base version");
	after = find_known_note(ledger, submission, note->base_version + 1);
	if (after == NULL)
		return MSP_E_NOT_FOUND;
	if (!is_on_chain(note, after))
		return refuse(submission, MSP_E_CONFLICT,
		    "base_digest: does not match the base version");
	return MSP_OK;
}

/*
 * Moves the note's base to the head if no note since its base names the same
 * items. Such notes can be applied in either order, as WL#186 (parallel
 * replication) states for the row events of independent transactions.
 */
static msp_status_t
rebase(const msp_ledger_t *ledger, submission_t *submission)
{
	const msp_release_t *release = ledger->release;
	msp_note_t *note = submission->note;
	msp_status_t status = check_base(ledger, submission);
	const logged_note_t *logged;
	uint64_t version;

	if (status != MSP_OK)
		return status;
	for (version = note->base_version + 1; version <= release->version;
	     version++) {
		logged = find_known_note(ledger, submission, version);
		if (logged == NULL)
			return MSP_E_NOT_FOUND;
		status = check_clash(submission, logged);
		if (status != MSP_OK)
			return status;
	}
	if (ledger->options.no_rebase)
		return refuse(submission, MSP_E_CONFLICT,
		    "base_version: not the newest version");
	msp_set_note_base(note, release->version, release->digest);
	submission->rebased = true;
	return MSP_OK;
}

static msp_status_t
validate_note(submission_t *submission, const msp_release_t *release,
    msp_release_t **next)
{
	msp_status_t status;

	status = msp_apply_note(release, submission->note, next);
	if (status == MSP_OK)
		return MSP_OK;
	return refuse(submission, status, msp_last_message());
}

msp_status_t
prepare_commit(msp_ledger_t *ledger, submission_t *submission,
    uint64_t head_row_version, commit_txn_t *commit)
{
	const msp_release_t *release = ledger->release;
	msp_note_t *note = submission->note;
	msp_buffer_t text = {0};
	msp_release_t *next = NULL;
	msp_status_t status = MSP_OK;

	if (note->base_version != release->version ||
	    !msp_digest_equal(note->base_digest, release->digest))
		status = rebase(ledger, submission);
	if (status == MSP_OK)
		status = validate_note(submission, release, &next);
	if (status != MSP_OK)
		return status;
	submission->new_row.version = next->version;
	submission->new_row.chain_digest = next->digest;
	msp_drop_release(next);
	status = msp_digest_note(note, &submission->new_row.note_digest);
	if (status == MSP_OK)
		status = msp_print_note(note, &text);
	if (status == MSP_OK)
		status = fill_commit_txn(commit, note->id, &text,
		    head_row_version, &submission->new_row);
	if (status != MSP_OK)
		refuse(submission, status, msp_last_message());
	msp_drop_buffer(&text);
	return status;
}
