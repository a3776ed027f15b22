#include "claims_private.h"

#define RELEASED_RETRY_AFTER_MS 200

static bool
is_own_row(const msp_claim_t *claim, const msp_row_t *row)
{
	msp_claim_row_t decoded;
	bool own;

	if (row == NULL || row->value == NULL ||
	    msp_decode_claim_row(row->value, row->value_len, &decoded) !=
		MSP_OK)
		return false;
	own = msp_digest_equal(decoded.nonce, claim->nonce) &&
	    decoded.state == MSP_CLAIM_HELD;
	msp_drop_claim_row(&decoded);
	return own;
}

void
msp_discard_claim_nonce(msp_claim_t *claim, msp_time_t not_run_reported_at)
{
	msp_claims_t *claims = claim->claims;

	if (claim->maybe_written)
		msp_add_released_nonce(claims->released, claim->nonce,
		    not_run_reported_at, msp_claims_now(claims));
	claim->maybe_written = false;
}

static void
handle_lost(msp_claim_t *claim, const msp_row_t *row)
{
	claim->maybe_written = true;
	if (is_own_row(claim, row)) {
		msp_confirm_claim(claim, row->version);
		return;
	}
	if (row != NULL && row->version != claim->version) {
		msp_examine_claim_row(claim, row);
		return;
	}
	/* The lost write may still take effect, so repeat the same write. */
	if (msp_claims_now(claim->claims) >= claim->claim_deadline)
		msp_abandon_claim(claim, MSP_E_STORE_DOWN,
		    "the store did not answer in time");
	else
		msp_write_claim(claim);
}

static void
handle_written(void *ctx, const msp_batch_result_t *result)
{
	msp_claim_t *claim = ctx;

	claim->write = NULL;
	switch (result->status) {
	case MSP_OK:
		msp_confirm_claim(claim, result->version);
		break;
	case MSP_E_CONFLICT:
		if (is_own_row(claim, result->row))
			msp_confirm_claim(claim, result->row->version);
		else
			msp_examine_claim_row(claim, result->row);
		break;
	case MSP_E_LOST:
		handle_lost(claim, result->row);
		break;
	case MSP_E_STORE_DOWN:
		msp_abandon_claim(
		    claim, MSP_E_STORE_DOWN, "the store is not reachable");
		break;
	default:
		msp_abandon_claim(
		    claim, MSP_E_INTERNAL, "the store refused the claim");
		break;
	}
}

void
msp_write_claim(msp_claim_t *claim)
{
	msp_claim_row_t row = {.state = MSP_CLAIM_HELD};

	claim->state = MSP_ENTRY_WRITING;
	msp_set_claim_alarm(claim, claim->claim_deadline);
	msp_fill_claim_row(claim, &row);
	claim->write = msp_queue_claim_row(claim, &row, handle_written, claim);
	if (claim->write == NULL)
		msp_abandon_claim(
		    claim, MSP_E_NO_MEMORY, "no memory for the claim");
}

void
msp_abandon_claim(msp_claim_t *claim, msp_status_t status, const char *reason)
{
	bool not_run_reported =
	    msp_refuse_without_lookup(claim, status, reason);

	if (claim->write != NULL && msp_cancel_batch_write(claim->write))
		claim->maybe_written = true;
	claim->write = NULL;
	msp_discard_claim_nonce(claim,
	    not_run_reported ? msp_claims_now(claim->claims)
			     : claim->not_run_reported_at);
	msp_close_entry(claim);
}

void
msp_take_over_claim(
    msp_claim_t *claim, uint64_t version, msp_time_t not_run_reported_at)
{
	msp_claims_t *claims = claim->claims;

	msp_discard_claim_nonce(claim, claim->not_run_reported_at);
	msp_invalidate_claim_calls(claim);
	if (not_run_reported_at > claim->not_run_reported_at)
		claim->not_run_reported_at = not_run_reported_at;
	msp_assign_claim_nonce(claim);
	claim->version = version;
	claim->claim_deadline =
	    msp_claims_now(claims) + claims->options.claim_timeout;
	msp_write_claim(claim);
}

static msp_claim_request_t *
find_startable(const msp_claim_t *claim)
{
	msp_time_t now = msp_claims_now(claim->claims);
	msp_claim_request_t *request;

	TAILQ_FOREACH(request, &claim->requests, entry) {
		if (request->arrival > claim->not_run_reported_at &&
		    request->deadline > now)
			return request;
	}
	return NULL;
}

void
msp_confirm_claim(msp_claim_t *claim, uint64_t version)
{
	msp_refusal_t refusal = {
	    .status = MSP_E_OVERLOAD,
	    .retry_after_ms = RELEASED_RETRY_AFTER_MS,
	    .reason = "an earlier response said that the request did not run",
	};
	msp_claim_request_t *startable = find_startable(claim);

	claim->maybe_written = true;
	claim->version = version;
	if (startable != NULL)
		msp_start_claim_request(startable);
	else
		msp_release_entry(claim, &refusal);
}

void
msp_release_entry(msp_claim_t *claim, const msp_refusal_t *refusal)
{
	msp_claims_t *claims = claim->claims;
	msp_refusal_t not_run = *refusal;
	msp_time_t now = msp_claims_now(claims);
	char nonce[MSP_DIGEST_TEXT_SIZE];

	not_run.run = MSP_RUN_NOT_EXECUTED;
	not_run.attempt_started = false;
	msp_print_digest(claim->nonce, nonce);
	msp_map_remove(claims->running, nonce);
	if (msp_refuse_all(claim, &not_run))
		claim->not_run_reported_at = now;
	msp_report_claim(claim, "released");
	if (claim->issued_here) {
		claim->state = MSP_ENTRY_RELEASED;
		msp_set_claim_alarm(claim, claim->expires);
		return;
	}
	msp_add_released_nonce(
	    claims->released, claim->nonce, claim->not_run_reported_at, now);
	msp_mark_released(claim);
	msp_drop_entry(claim);
}
