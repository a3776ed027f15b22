#include "claims_private.h"

#define RELEASED_RETRY_AFTER_MS 200

/*
 * Refuses a request that arrived before the last "run: no". The time of this
 * refusal then applies to later requests.
 */
static void
refuse_again(msp_claim_t *claim, msp_claim_request_t *request)
{
	msp_refusal_t refusal = {
	    .status = MSP_E_OVERLOAD,
	    .run = MSP_RUN_NOT_EXECUTED,
	    .retry_after_ms = RELEASED_RETRY_AFTER_MS,
	    .reason = "an earlier response said that the request did not run",
	};

	msp_assign_claim_nonce(claim);
	claim->not_run_reported_at = msp_claims_now(claim->claims);
	msp_refuse_claim_request(request, &refusal);
}

/* Whether the request is known to have arrived after the last "run: no". */
static bool
has_arrived_after_report(
    const msp_claim_t *claim, const msp_claim_request_t *request)
{
	if (claim->not_run_reported_at == 0)
		return true;
	if (!request->forwarded)
		return request->arrival > claim->not_run_reported_at;
	return request->arrived_after_release;
}

static void
join_released(msp_claim_t *claim, msp_claim_request_t *request)
{
	if (request->forwarded && claim->not_run_reported_at != 0 &&
	    !msp_digest_equal(request->released_nonce, claim->nonce)) {
		msp_return_released(request);
	} else if (has_arrived_after_report(claim, request)) {
		msp_assign_claim_nonce(claim);
		msp_start_claim_request(request);
	} else {
		refuse_again(claim, request);
	}
}

void
msp_join_issued(msp_claim_t *claim, msp_claim_request_t *request)
{
	switch (claim->state) {
	case MSP_ENTRY_RELEASED:
		join_released(claim, request);
		break;
	case MSP_ENTRY_DONE:
		if (claim->outcome != NULL)
			msp_replay_all(claim, claim->outcome);
		else
			msp_read_claim_row(claim);
		break;
	case MSP_ENTRY_IN_DOUBT:
		msp_refuse_in_doubt(
		    claim, "the outcome of an earlier attempt is unknown");
		break;
	default:
		break;
	}
}
