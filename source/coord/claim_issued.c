#include "claims_private.h"

#define RELEASED_RETRY_AFTER_MS 200

/* Says "no" to a try that an earlier "no" covers; this one covers more. */
static void
refuse_again(msp_claim_t *claim, msp_claim_request_t *tried)
{
	msp_refusal_t refusal = {
	    .status = MSP_E_OVERLOAD,
	    .run = MSP_RUN_NO,
	    .retry_after_ms = RELEASED_RETRY_AFTER_MS,
	    .reason = "an earlier answer said that it did not run",
	};

	msp_assign_claim_nonce(claim);
	claim->not_run_reported_at = msp_claims_now(claim->claims);
	msp_refuse_claim_request(tried, &refusal);
}

/* Whether the try is known to have arrived after the last "no". */
static bool
arrived_after(const msp_claim_t *claim, const msp_claim_request_t *tried)
{
	if (claim->not_run_reported_at == 0)
		return true;
	if (!tried->forwarded)
		return tried->arrival > claim->not_run_reported_at;
	return tried->after_release;
}

static void
join_released(msp_claim_t *claim, msp_claim_request_t *tried)
{
	if (tried->forwarded && claim->not_run_reported_at != 0 &&
	    !msp_digest_equal(tried->release_seen, claim->nonce)) {
		msp_answer_released(tried);
	} else if (arrived_after(claim, tried)) {
		msp_assign_claim_nonce(claim);
		msp_start_claim_request(tried);
	} else {
		refuse_again(claim, tried);
	}
}

void
msp_join_issued(msp_claim_t *claim, msp_claim_request_t *tried)
{
	switch (claim->state) {
	case MSP_ENTRY_RELEASED:
		join_released(claim, tried);
		break;
	case MSP_ENTRY_DONE:
		if (claim->outcome != NULL)
			msp_replay_all(claim, claim->outcome);
		else
			msp_read_claim_row(claim);
		break;
	case MSP_ENTRY_IN_DOUBT:
		msp_refuse_in_doubt(claim, "an earlier try has an unknown end");
		break;
	default:
		break;
	}
}
