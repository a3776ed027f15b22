#include <stdlib.h>

#include "claims_private.h"

static msp_claim_t *
find_running(const msp_claims_t *claims, msp_nonce_t nonce)
{
	char text[MSP_DIGEST_TEXT_SIZE];

	msp_print_digest(nonce, text);
	return msp_map_get(claims->running, text);
}

static msp_claim_t *
remove_running(msp_claims_t *claims, msp_nonce_t nonce)
{
	char text[MSP_DIGEST_TEXT_SIZE];
	msp_claim_t *claim;

	msp_print_digest(nonce, text);
	claim = msp_map_remove(claims->running, text);
	if (claim == NULL)
		msp_fail(MSP_E_NOT_FOUND, "no run has this nonce");
	return claim;
}

msp_status_t
msp_finish_claim(
    msp_claims_t *claims, msp_nonce_t nonce, const msp_claim_outcome_t *outcome)
{
	msp_claim_outcome_t *copy = msp_copy_claim_outcome(outcome);
	msp_claim_t *claim;

	if (copy == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for an outcome");
	claim = remove_running(claims, nonce);
	if (claim == NULL) {
		free(copy);
		return MSP_E_NOT_FOUND;
	}
	claim->state = MSP_ENTRY_DONE;
	claim->outcome = copy;
	claims->unrecorded++;
	msp_replay_all(claim, copy);
	msp_record_claim_end(claim);
	return MSP_OK;
}

msp_status_t
msp_release_claim(
    msp_claims_t *claims, msp_nonce_t nonce, const msp_refusal_t *refusal)
{
	msp_claim_t *claim = remove_running(claims, nonce);

	if (claim == NULL)
		return MSP_E_NOT_FOUND;
	msp_release_entry(claim, refusal);
	return MSP_OK;
}

msp_status_t
msp_mark_claim_in_doubt(
    msp_claims_t *claims, msp_nonce_t nonce, const msp_refusal_t *refusal)
{
	msp_claim_t *claim = remove_running(claims, nonce);
	msp_refusal_t unknown = *refusal;

	if (claim == NULL)
		return MSP_E_NOT_FOUND;
	unknown.run = MSP_RUN_UNKNOWN;
	unknown.attempt_started = true;
	claim->state = MSP_ENTRY_IN_DOUBT;
	claims->unrecorded++;
	msp_report_claim(claim, "doubt");
	msp_refuse_all(claim, &unknown);
	msp_record_claim_end(claim);
	return MSP_OK;
}

msp_time_t
msp_get_claim_age(const msp_claims_t *claims, msp_nonce_t nonce)
{
	const msp_claim_t *claim = find_running(claims, nonce);

	return claim == NULL
	    ? 0
	    : msp_claims_now(claims) - claim->nonce_generated_at;
}

/* Reports the state of this VM's own claim. */
static void
report_own_claim(const msp_claim_t *claim, msp_owner_reply_t *reply)
{
	switch (claim->state) {
	case MSP_ENTRY_WRITING:
	case MSP_ENTRY_RUNNING:
		reply->status = MSP_OWNER_RUNNING;
		break;
	case MSP_ENTRY_DONE:
		/* An outcome that was dropped from memory is in the row. */
		if (claim->outcome == NULL)
			break;
		reply->status = MSP_OWNER_COMPLETED;
		reply->outcome = claim->outcome;
		break;
	case MSP_ENTRY_IN_DOUBT:
		reply->status = MSP_OWNER_IN_DOUBT;
		break;
	default:
		break;
	}
}

void
msp_answer_owner_query(msp_claims_t *claims, const msp_owner_query_t *query,
    msp_owner_reply_t *reply)
{
	char row_key[MSP_CLAIM_ROW_KEY_SIZE];
	const msp_claim_t *claim = NULL;
	msp_time_t not_run_reported_at;

	*reply = (msp_owner_reply_t){.status = MSP_OWNER_NO_RECORD};
	if (query->incarnation != claims->options.incarnation) {
		reply->status = MSP_OWNER_REPLACED;
		return;
	}
	if (msp_print_claim_row_key(query->service, query->key, row_key) ==
	    MSP_OK)
		claim = msp_map_get(claims->entries, row_key);
	if (msp_find_released_nonce(
		claims->released, query->nonce, &not_run_reported_at)) {
		reply->status = MSP_OWNER_RELEASED;
		reply->not_run_reported = not_run_reported_at != 0;
		reply->age = msp_claims_now(claims) - not_run_reported_at;
	} else if (claim != NULL &&
	    msp_digest_equal(claim->nonce, query->nonce)) {
		report_own_claim(claim, reply);
	}
}
