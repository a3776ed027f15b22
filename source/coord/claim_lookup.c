#include "claims_private.h"

void
msp_refuse_in_doubt(msp_claim_t *claim, const char *reason)
{
	msp_refuse_unknown(claim, MSP_E_IN_DOUBT, 0, reason);
	if (claim->state != MSP_ENTRY_IN_DOUBT)
		msp_close_entry(claim);
}

static void
ask_later(msp_claim_t *claim)
{
	msp_claims_t *claims = claim->claims;

	claim->state = MSP_ENTRY_QUERYING_OWNER;
	msp_set_claim_alarm(
	    claim, msp_claims_now(claims) + claims->options.query_interval);
}

static void
on_released(msp_claim_t *claim, const msp_owner_reply_t *reply)
{
	msp_time_t now = msp_claims_now(claim->claims);
	msp_time_t said_no_at = 0;

	/*
	 * The owner said "no" `age` before it answered, which is a little
	 * earlier than `age` before now: a try that arrived after this time
	 * arrived after the "no".
	 */
	if (reply->not_run_reported)
		said_no_at = reply->age < now ? now - reply->age : 1;
	msp_take_over_claim(claim, claim->version, said_no_at);
}

static void
on_asked(void *ctx, const msp_owner_reply_t *reply)
{
	msp_claim_t *claim = msp_end_claim_call(ctx);

	if (claim == NULL)
		return;
	claim->last_owner_status = reply->status;
	switch (reply->status) {
	case MSP_OWNER_RUNNING:
		ask_later(claim);
		break;
	case MSP_OWNER_COMPLETED:
		msp_replay_all(claim, reply->outcome);
		msp_close_entry(claim);
		break;
	case MSP_OWNER_RELEASED:
		on_released(claim, reply);
		break;
	case MSP_OWNER_IN_DOUBT:
		msp_refuse_in_doubt(
		    claim, "the VM that ran it does not know its end");
		break;
	case MSP_OWNER_NO_RECORD:
	case MSP_OWNER_REPLACED:
	case MSP_OWNER_NO_ANSWER:
		/* Its end may have been recorded since the row was read. */
		msp_read_claim_row(claim);
		break;
	}
}

void
msp_query_owner(msp_claim_t *claim)
{
	const msp_claims_hooks_t *hooks = &claim->claims->options.hooks;
	msp_claim_call_t *call = msp_new_claim_call(claim);
	msp_owner_query_t ask = {
	    .service = claim->service,
	    .key = claim->key,
	    .nonce = claim->row.nonce,
	    .incarnation = claim->row.incarnation,
	    .address = claim->row.address,
	};

	claim->state = MSP_ENTRY_QUERYING_OWNER;
	msp_set_claim_alarm(claim, MSP_NEVER);
	if (call == NULL) {
		ask_later(claim);
		return;
	}
	hooks->query_owner(hooks->ctx, &ask, on_asked, call);
}

/* The owner did not help, and the row is still as it was. */
static void
decide_unchanged(msp_claim_t *claim)
{
	msp_claims_t *claims = claim->claims;
	const msp_claims_hooks_t *hooks = &claims->options.hooks;

	if (claim->last_owner_status == MSP_OWNER_NO_ANSWER &&
	    !hooks->is_gone(hooks->ctx, claim->row.incarnation))
		ask_later(claim);
	else if (claim->row.state == MSP_CLAIM_RELEASED)
		msp_take_over_claim(
		    claim, claim->version, msp_claims_now(claims));
	else
		msp_refuse_in_doubt(claim, "the VM that claimed it is gone");
}

static void
on_row_read(void *ctx, const msp_store_reply_t *reply)
{
	msp_claim_t *claim = msp_end_claim_call(ctx);
	bool was_foreign;

	if (claim == NULL)
		return;
	was_foreign = claim->row.incarnation != 0;
	if (reply->status == MSP_OK) {
		if (was_foreign && reply->rows[0].version == claim->version)
			decide_unchanged(claim);
		else
			msp_examine_claim_row(claim, &reply->rows[0]);
		return;
	}
	if (was_foreign) {
		ask_later(claim);
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
		    claim, MSP_E_NO_MEMORY, "no memory to look it up");
		msp_close_entry(claim);
		return;
	}
	options->store.get(options->store.ctx, &key, 1,
	    options->store_timeout_ms, on_row_read, call);
}

static void
on_body_read(void *ctx, const msp_store_reply_t *reply)
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
		    "the recorded answer cannot be read whole");
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
		    "no memory to read the recorded answer");
		msp_close_entry(claim);
		return;
	}
	msp_print_outcome_object_name(claim->row.nonce, name);
	options->store.get_object(options->store.ctx, name,
	    options->store_timeout_ms, on_body_read, call);
}
