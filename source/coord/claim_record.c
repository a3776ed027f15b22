#include <stdio.h>
#include <stdlib.h>

#include "claims_private.h"

void
msp_fill_claim_row(const msp_claim_t *claim, msp_claim_row_t *row)
{
	const msp_claims_t *claims = claim->claims;

	row->digest = claim->digest;
	row->nonce = claim->nonce;
	row->incarnation = claims->options.incarnation;
	row->written_at =
	    claims->options.hooks.wall_time(claims->options.hooks.ctx);
	snprintf(row->address, sizeof(row->address), "%s", claims->address);
}

msp_batch_write_t *
msp_queue_claim_row(msp_claim_t *claim, const msp_claim_row_t *row,
    msp_batch_done_t *done, void *ctx)
{
	msp_buffer_t value = {.limit = MSP_ROW_VALUE_MAX};
	msp_batch_write_t *write = NULL;

	if (msp_encode_claim_row(row, &value) == MSP_OK)
		write = msp_batch_write(claim->claims->batcher, claim->row_key,
		    claim->version, value.data, value.len, done, ctx);
	msp_drop_buffer(&value);
	return write;
}

static void
schedule_retry(msp_claim_t *claim)
{
	msp_claims_t *claims = claim->claims;

	msp_set_claim_alarm(
	    claim, msp_claims_now(claims) + claims->options.retry_interval);
}

/*
 * Ends the recording: the end is in the store, or another claim has replaced
 * the row. `result` is reported as the end of the claim.
 */
static void
set_recorded(msp_claim_t *claim, const char *result)
{
	msp_claims_t *claims = claim->claims;

	claim->recorded = true;
	claims->unrecorded--;
	msp_report_claim(claim, result);
	msp_set_claim_alarm(
	    claim, msp_claims_now(claims) + claims->options.outcome_retention);
}

/*
 * Drops the entry, as the outcome can be read from the store. The entry of a
 * key issued here stays until the key expires, without the outcome.
 */
static void
drop_recorded_outcome(msp_claim_t *claim)
{
	if (!claim->issued_here ||
	    claim->expires <= msp_claims_now(claim->claims)) {
		msp_drop_entry(claim);
		return;
	}
	free(claim->outcome);
	claim->outcome = NULL;
	msp_set_claim_alarm(claim, claim->expires);
}

/* Continues by the row's state after a conflict or a lost reply. */
static void
examine_recorded(msp_claim_t *claim, const msp_row_t *row, bool lost)
{
	msp_claim_row_t found = {0};
	bool own;

	if (row->value == NULL) {
		claim->version = 0;
		schedule_retry(claim);
		return;
	}
	own = msp_decode_claim_row(row->value, row->value_len, &found) ==
		MSP_OK &&
	    msp_digest_equal(found.nonce, claim->nonce);
	if (own && found.state == MSP_CLAIM_HELD) {
		claim->version = row->version;
		if (lost)
			schedule_retry(claim);
		else
			msp_record_claim_end(claim);
	} else if (own &&
	    (found.state == MSP_CLAIM_DONE ||
		found.state == MSP_CLAIM_IN_DOUBT)) {
		set_recorded(claim, "recorded");
	} else {
		set_recorded(claim, "overtaken");
	}
	msp_drop_claim_row(&found);
}

static void
handle_recorded(void *ctx, const msp_batch_result_t *result)
{
	msp_claim_t *claim = ctx;

	claim->write = NULL;
	if (result->status == MSP_OK)
		set_recorded(claim, "recorded");
	else if (result->row != NULL)
		examine_recorded(
		    claim, result->row, result->status == MSP_E_LOST);
	else
		schedule_retry(claim);
}

static void
write_end(msp_claim_t *claim)
{
	msp_claim_row_t row = {.state = MSP_CLAIM_IN_DOUBT};

	msp_fill_claim_row(claim, &row);
	if (claim->state == MSP_ENTRY_DONE) {
		row.state = MSP_CLAIM_DONE;
		row.outcome = claim->outcome;
		row.in_object = claim->in_object;
	}
	claim->write = msp_queue_claim_row(claim, &row, handle_recorded, claim);
	if (claim->write == NULL)
		schedule_retry(claim);
}

static void
handle_body_put(void *ctx, const msp_store_reply_t *reply)
{
	msp_claim_t *claim = msp_end_claim_call(ctx);

	if (claim == NULL)
		return;
	if (reply->status != MSP_OK) {
		schedule_retry(claim);
		return;
	}
	claim->in_object = true;
	write_end(claim);
}

static void
put_body(msp_claim_t *claim)
{
	const msp_claims_options_t *options = &claim->claims->options;
	msp_claim_call_t *call = msp_new_claim_call(claim);
	char name[MSP_OUTCOME_OBJECT_NAME_SIZE];

	if (call == NULL) {
		schedule_retry(claim);
		return;
	}
	msp_print_outcome_object_name(claim->nonce, name);
	options->store.put_object(options->store.ctx, name,
	    claim->outcome->body, claim->outcome->body_len,
	    options->store_timeout_ms, handle_body_put, call);
}

void
msp_record_claim_end(msp_claim_t *claim)
{
	size_t max_inline_body = claim->claims->options.max_inline_body;

	if (claim->recorded) {
		drop_recorded_outcome(claim);
	} else if (claim->state == MSP_ENTRY_DONE && !claim->in_object &&
	    claim->outcome->body_len > max_inline_body) {
		put_body(claim);
	} else {
		write_end(claim);
	}
}

static void
ignore_result(void *ctx, const msp_batch_result_t *result)
{
	(void)ctx;
	(void)result;
}

void
msp_mark_released(msp_claim_t *claim)
{
	msp_claim_row_t row = {.state = MSP_CLAIM_RELEASED};

	msp_fill_claim_row(claim, &row);
	msp_queue_claim_row(claim, &row, ignore_result, NULL);
}
