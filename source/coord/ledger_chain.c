#include <string.h>

#include "ledger_state.h"

bool
reject_head(msp_ledger_t *ledger, const chain_head_t *head)
{
	const msp_release_t *release = ledger->release;

	if (head->version < release->version) {
		report_rejected(ledger, "stale-head", head->version);
		return true;
	}
	if (head->version > release->version)
		return false;
	if (msp_digest_equal(head->digest, release->digest))
		return false;
	report_rejected(ledger, "fork", head->version);
	return true;
}

static void
install_release(msp_ledger_t *ledger, msp_release_t *release)
{
	msp_drop_release(ledger->release);
	ledger->release = release;
	if (ledger->highest_observed < release->version)
		ledger->highest_observed = release->version;
	if (ledger->ready && ledger->options.on_release != NULL)
		ledger->options.on_release(ledger->options.ctx, release);
}

void
mark_ready(msp_ledger_t *ledger)
{
	if (ledger->ready)
		return;
	ledger->ready = true;
	if (ledger->options.on_release != NULL)
		ledger->options.on_release(
		    ledger->options.ctx, ledger->release);
}

void
replace_release(msp_ledger_t *ledger, msp_release_t *release)
{
	drop_note_log(&ledger->log);
	install_release(ledger, release);
}

/* Checks that a note at or below this VM's version is the one in the log. */
static msp_status_t
check_known_note(
    msp_ledger_t *ledger, const msp_note_t *note, const char *text, size_t len)
{
	uint64_t version = note->base_version + 1;
	const logged_note_t *known = find_logged_note(&ledger->log, version);

	if (known == NULL ||
	    msp_digest_equal(known->chain_digest,
		msp_chain_digest(note->base_digest, text, len)))
		return MSP_OK;
	report_rejected(ledger, "fork", version);
	return MSP_E_CONFLICT;
}

/* Applies a note whose base version is this VM's version. */
static msp_status_t
apply_next_note(
    msp_ledger_t *ledger, const msp_note_t *note, const char *text, size_t len)
{
	uint64_t version = note->base_version + 1;
	msp_release_t *next;
	msp_status_t status;

	status = msp_apply_note(ledger->release, note, &next);
	if (status == MSP_E_CONFLICT)
		report_rejected(ledger, "fork", version);
	else if (status == MSP_E_INVALID_NOTE)
		report_rejected(ledger, "invalid-note", version);
	if (status != MSP_OK)
		return status;
	/*
	 * Digest of the stored text: this VM might print the note differently.
	 */
	next->digest = msp_chain_digest(note->base_digest, text, len);
	status =
	    append_note_log(&ledger->log, version, next->digest, text, len);
	if (status != MSP_OK) {
		msp_drop_release(next);
		return status;
	}
	count_ledger_event(ledger, "applied");
	install_release(ledger, next);
	return MSP_OK;
}

msp_status_t
apply_note_text(msp_ledger_t *ledger, const char *text, size_t len)
{
	msp_note_t *note;
	msp_status_t status = msp_parse_note(text, len, "note", &note);

	if (status != MSP_OK) {
		report_rejected(
		    ledger, "invalid-note", ledger->release->version);
		return status;
	}
	if (!note->has_base)
		status = msp_fail(MSP_E_INVALID_NOTE, "note has no base");
	else if (note->base_version < ledger->release->version)
		status = check_known_note(ledger, note, text, len);
	else if (note->base_version > ledger->release->version)
		status =
		    msp_fail(MSP_E_NOT_FOUND, "notes before this are missing");
	else
		status = apply_next_note(ledger, note, text, len);
	msp_drop_note(note);
	return status;
}
