#include "claims_private.h"

void
msp_refuse_in_doubt(msp_claim_t *claim, const char *reason)
{
	msp_refuse_unknown(claim, MSP_E_IN_DOUBT, 0, reason);
	if (claim->state != MSP_ENTRY_IN_DOUBT)
		msp_close_entry(claim);
}

static void
query_owner_later(msp_claim_t *claim)
{
	msp_claims_t *claims = claim->claims;

	claim->state = MSP_ENTRY_QUERYING_OWNER;
	msp_set_claim_alarm(
	    claim, msp_claims_now(claims) + claims->options.query_interval);
}

static void
handle_released(msp_claim_t *claim, const msp_owner_reply_t *reply)
{
	msp_time_t now = msp_claims_now(claim->claims);
	msp_time_t not_run_reported_at = 0;

	/*
	 * The owner reported "run: no" `age` before it replied, so a little
	 * earlier than `age` before now. A request that arrived after the time
	 * computed here therefore arrived after the "run: no".
	 */
	if (reply->not_run_reported)
		not_run_reported_at = reply->age < now ? now - reply->age : 1;
	msp_take_over_claim(claim, claim->version, not_run_reported_at);
}

static void
handle_owner_reply(void *ctx, const msp_owner_reply_t *reply)
{
	msp_claim_t *claim = msp_end_claim_call(ctx);

	if (claim == NULL)
		return;
	claim->last_owner_status = reply->status;
	switch (reply->status) {
	case MSP_OWNER_RUNNING:
		query_owner_later(claim);
		break;
	case MSP_OWNER_COMPLETED:
		msp_replay_all(claim, reply->outcome);
		msp_close_entry(claim);
		break;
	case MSP_OWNER_RELEASED:
		handle_released(claim, reply);
		break;
	case MSP_OWNER_IN_DOUBT:
		msp_refuse_in_doubt(claim,
		    "the VM that ran the request does not know its outcome");
		break;
	case MSP_OWNER_NO_RECORD:
	case MSP_OWNER_REPLACED:
	case MSP_OWNER_NO_ANSWER:
		/* The end may have been recorded since the row was read. */
		msp_read_claim_row(claim);
		break;
	}
}

void
msp_query_owner(msp_claim_t *claim)
{
	const msp_claims_hooks_t *hooks = &claim->claims->options.hooks;
	msp_claim_call_t *call = msp_new_claim_call(claim);
	msp_owner_query_t query = {
	    .service = claim->service,
	    .key = claim->key,
	    .nonce = claim->row.nonce,
	    .incarnation = claim->row.incarnation,
	    .address = claim->row.address,
	};

	claim->state = MSP_ENTRY_QUERYING_OWNER;
	msp_set_claim_alarm(claim, MSP_NEVER);
	if (call == NULL) {
		query_owner_later(claim);
		return;
	}
	hooks->query_owner(hooks->ctx, &query, handle_owner_reply, call);
}

/* Decides after an inconclusive reply of the owner if the row is unchanged. */
static void
decide_unchanged(msp_claim_t *claim)
{
	msp_claims_t *claims = claim->claims;
	const msp_claims_hooks_t *hooks = &claims->options.hooks;

	if (claim->last_owner_status == MSP_OWNER_NO_ANSWER &&
	    !hooks->has_ended(hooks->ctx, claim->row.incarnation))
		query_owner_later(claim);
	else if (claim->row.state == MSP_CLAIM_RELEASED)
		msp_take_over_claim(
		    claim, claim->version, msp_claims_now(claims));
	else
		msp_refuse_in_doubt(
		    claim, "the VM that claimed the key is gone");
}

static void
handle_row_reply(void *ctx, const msp_store_reply_t *reply)
{
	msp_claim_t *claim = msp_end_claim_call(ctx);
	bool had_row;

	if (claim == NULL)
		return;
	had_row = claim->row.incarnation != 0;
	if (reply->status == MSP_OK) {
		if (had_row && reply->rows[0].version == claim->version)
			decide_unchanged(claim);
		else
			msp_examine_claim_row(claim, &reply->rows[0]);
		return;
	}
	if (had_row) {
		query_owner_later(claim);
		return;
	}
	msp_refuse_without_lookup(
	    claim, MSP_E_STORE_DOWN, "the store is not reachable");
	msp_close_entry(claim);
}

void
msp_read_claim_row(msp_claim_t *claim)
{
	const msp_claims_options_t *options = &claim->claims->options;
	msp_claim_call_t *call = msp_new_claim_call(claim);
	const char *key = claim->row_key;

	claim->state = MSP_ENTRY_READING;
	msp_set_claim_alarm(claim, MSP_NEVER);
	if (call == NULL) {
		msp_refuse_without_lookup(
		    claim, MSP_E_NO_MEMORY, "no memory to look up the key");
		msp_close_entry(claim);
		return;
	}
	options->store.get(options->store.ctx, &key, 1,
	    options->store_timeout_ms, handle_row_reply, call);
}

static void
handle_body_reply(void *ctx, const msp_store_reply_t *reply)
{
	msp_claim_t *claim = msp_end_claim_call(ctx);
	msp_status_t status = reply->status;

	if (claim == NULL)
		return;
	if (status == MSP_OK)
		status = msp_set_outcome_body(
		    &claim->row, reply->object, reply->object_len);
	if (status == MSP_OK)
		msp_replay_all(claim, claim->row.outcome);
	else
		msp_refuse_unknown(claim, MSP_E_STORE_DOWN, 1000,
		    "the recorded response cannot be read");
	msp_close_entry(claim);
}

void
msp_read_outcome_body(msp_claim_t *claim)
{
	const msp_claims_options_t *options = &claim->claims->options;
	msp_claim_call_t *call = msp_new_claim_call(claim);
	char name[MSP_OUTCOME_OBJECT_NAME_SIZE];

	claim->state = MSP_ENTRY_READING;
	msp_set_claim_alarm(claim, MSP_NEVER);
	if (call == NULL) {
		msp_refuse_unknown(claim, MSP_E_NO_MEMORY, 1000,
		    "no memory to read the recorded response");
		msp_close_entry(claim);
		return;
	}
	msp_print_outcome_object_name(claim->row.nonce, name);
	options->store.get_object(options->store.ctx, name,
	    options->store_timeout_ms, handle_body_reply, call);
}
