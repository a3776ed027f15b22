#include "claims_private.h"

#define RELEASED_RETRY_AFTER_MS 200

/* Says "no" to a try that an earlier "no" covers; this one covers more. */
static void
refuse_again(msp_claim_t *claim, msp_try_t *tried)
{
	msp_refusal_t refusal = {
	    .status = MSP_E_OVERLOAD,
	    .run = MSP_RUN_NO,
	    .retry_after_ms = RELEASED_RETRY_AFTER_MS,
	    .reason = "an earlier answer said that it did not run",
	};

	msp_draw_nonce(claim);
	claim->no_before = msp_claims_now(claim->claims);
	msp_refuse_try(tried, &refusal);
}

/* Whether the try is known to have arrived after the last "no". */
static bool
arrived_after(const msp_claim_t *claim, const msp_try_t *tried)
{
	if (claim->no_before == 0)
		return true;
	if (!tried->forwarded)
		return tried->arrival > claim->no_before;
	return tried->after_release;
}

static void
join_released(msp_claim_t *claim, msp_try_t *tried)
{
	if (tried->forwarded && claim->no_before != 0 &&
	    !msp_digest_equal(tried->release_seen, claim->nonce)) {
		msp_answer_released(tried);
	} else if (arrived_after(claim, tried)) {
		msp_draw_nonce(claim);
		msp_start_try(tried);
	} else {
		refuse_again(claim, tried);
	}
}

void
msp_join_issued(msp_claim_t *claim, msp_try_t *tried)
{
	switch (claim->state) {
	case MSP_ENTRY_RELEASED:
		join_released(claim, tried);
		break;
	case MSP_ENTRY_DONE:
		if (claim->outcome != NULL)
			msp_replay_all(claim, claim->outcome);
		else
			msp_read_row(claim);
		break;
	case MSP_ENTRY_DOUBT:
		msp_refuse_in_doubt(claim, "an earlier try has an unknown end");
		break;
	default:
		break;
	}
}
