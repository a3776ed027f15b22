#include "claims_private.h"

/* Takes over a claim that is marked as released, or queries its owner. */
static void
examine_released(
    msp_claim_t *claim, const msp_claim_row_t *found, uint64_t version)
{
	msp_claims_t *claims = claim->claims;
	const msp_claims_hooks_t *hooks = &claims->options.hooks;
	msp_time_t now = msp_claims_now(claims);
	msp_time_t not_run_reported_at = 0;

	if (found->incarnation == claims->options.incarnation) {
		if (!msp_find_released_nonce(
			claims->released, found->nonce, &not_run_reported_at))
			not_run_reported_at = now;
		msp_take_over_claim(claim, version, not_run_reported_at);
	} else if (hooks->has_ended(hooks->ctx, found->incarnation)) {
		/* The time of release is unknown, so assume now. */
		msp_take_over_claim(claim, version, now);
	} else {
		claim->row = *found;
		claim->version = version;
		msp_query_owner(claim);
	}
}

static void
examine_held(msp_claim_t *claim, const msp_claim_row_t *found, uint64_t version)
{
	msp_claims_t *claims = claim->claims;
	const msp_claims_hooks_t *hooks = &claims->options.hooks;
	msp_time_t not_run_reported_at;

	if (found->incarnation == claims->options.incarnation) {
		if (msp_find_released_nonce(
			claims->released, found->nonce, &not_run_reported_at))
			msp_take_over_claim(
			    claim, version, not_run_reported_at);
		else
			msp_refuse_in_doubt(
			    claim, "this VM has no record of its own claim");
	} else if (hooks->has_ended(hooks->ctx, found->incarnation)) {
		msp_refuse_in_doubt(
		    claim, "the VM that claimed the key is gone");
	} else {
		claim->row = *found;
		claim->version = version;
		msp_query_owner(claim);
	}
}

static void
refuse_by_ruling(msp_claim_t *claim, const msp_claim_row_t *found)
{
	msp_refusal_t refusal = {
	    .status = MSP_E_KEY_EXPIRED,
	    .run = MSP_RUN_NOT_EXECUTED,
	    .reason =
		"an operator ruled that the request did not run; use a new key",
	};

	if (found->state == MSP_CLAIM_RULED_RAN) {
		msp_refuse_unknown(claim, MSP_E_IN_DOUBT, 0,
		    "an operator ruled that the request ran; its response is "
		    "lost");
	} else {
		msp_report_claim(claim, "ruled-not-run");
		msp_refuse_all(claim, &refusal);
	}
	msp_close_entry(claim);
}

/* Takes ownership of the contents of `found`. */
static void
replay_recorded(msp_claim_t *claim, msp_claim_row_t *found)
{
	if (found->in_object) {
		claim->row = *found;
		msp_read_outcome_body(claim);
		return;
	}
	msp_replay_all(claim, found->outcome);
	msp_drop_claim_row(found);
	msp_close_entry(claim);
}

static void
refuse_and_close(msp_claim_t *claim, msp_status_t status, const char *reason)
{
	msp_refuse_unknown(claim, status, 0, reason);
	msp_close_entry(claim);
}

static void
examine_found(msp_claim_t *claim, msp_claim_row_t *found, uint64_t version)
{
	switch (found->state) {
	case MSP_CLAIM_HELD:
		examine_held(claim, found, version);
		break;
	case MSP_CLAIM_RELEASED:
		examine_released(claim, found, version);
		break;
	case MSP_CLAIM_DONE:
		replay_recorded(claim, found);
		break;
	case MSP_CLAIM_RULED_RAN:
	case MSP_CLAIM_RULED_NOT_RUN:
		refuse_by_ruling(claim, found);
		break;
	default:
		msp_refuse_in_doubt(claim,
		    "the VM that ran the request does not know its outcome");
		break;
	}
}

static bool
is_past_retention(const msp_claim_t *claim, const msp_claim_row_t *found)
{
	const msp_claims_options_t *options = &claim->claims->options;
	msp_time_t now = options->hooks.wall_time(options->hooks.ctx);

	return now > found->written_at &&
	    now - found->written_at > options->retention;
}

/*
 * Decides without a row: an issued key has no recorded outcome then, any other
 * key is not claimed.
 */
static void
examine_absent(msp_claim_t *claim)
{
	if (claim->issued_elsewhere || claim->issued_here) {
		msp_refuse_without_lookup(claim, MSP_E_IN_DOUBT,
		    "the VM that issued the key does not answer");
		msp_close_entry(claim);
		return;
	}
	claim->looked_up = true;
	msp_take_over_claim(claim, 0, 0);
}

void
msp_examine_claim_row(msp_claim_t *claim, const msp_row_t *row)
{
	msp_claim_row_t found;

	if (row->value == NULL) {
		examine_absent(claim);
		return;
	}
	claim->looked_up = true;
	msp_discard_claim_nonce(claim, claim->not_run_reported_at);
	msp_invalidate_claim_calls(claim);
	msp_drop_claim_row(&claim->row);
	if (msp_decode_claim_row(row->value, row->value_len, &found) !=
	    MSP_OK) {
		refuse_and_close(
		    claim, MSP_E_INTERNAL, "the claim's row is malformed");
	} else if (!msp_digest_equal(found.digest, claim->digest)) {
		msp_drop_claim_row(&found);
		refuse_and_close(claim, MSP_E_KEY_MISMATCH,
		    "the key was used with another request");
	} else if (is_past_retention(claim, &found)) {
		msp_drop_claim_row(&found);
		refuse_and_close(claim, MSP_E_KEY_EXPIRED,
		    "the retention period of the key is over");
	} else {
		examine_found(claim, &found, row->version);
	}
}
