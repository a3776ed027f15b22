#include <stdio.h>
#include <stdlib.h>

#include "claims_private.h"

#define STORE_RETRY_AFTER_MS 1000

static void
make_ready(msp_claim_request_t *tried)
{
	if (tried->ready)
		return;
	tried->ready = true;
	TAILQ_INSERT_TAIL(&tried->claims->ready, tried, ready_entry);
}

/* Takes the try out of its claim: it has its final verdict. */
static void
make_final(msp_claim_request_t *tried)
{
	if (tried->claim != NULL)
		TAILQ_REMOVE(&tried->claim->requests, tried, entry);
	tried->claim = NULL;
	tried->final = true;
	msp_clear_alarm(&tried->claims->alarms, &tried->deadline_alarm);
	make_ready(tried);
}

void
msp_refuse_claim_request(
    msp_claim_request_t *tried, const msp_refusal_t *refusal)
{
	tried->verdict = (msp_claim_verdict_t){
	    .kind = MSP_CLAIM_VERDICT_REFUSE, .refusal = *refusal};
	snprintf(tried->reason, sizeof(tried->reason), "%s",
	    refusal->reason == NULL ? "" : refusal->reason);
	tried->verdict.refusal.reason = tried->reason;
	make_final(tried);
}

void
msp_replay_claim_request(
    msp_claim_request_t *tried, const msp_claim_outcome_t *outcome)
{
	static const msp_refusal_t no_memory = {
	    .status = MSP_E_NO_MEMORY,
	    .run = MSP_RUN_UNKNOWN,
	    .retry_after_ms = STORE_RETRY_AFTER_MS,
	    .reason = "no memory for the recorded answer",
	};

	tried->outcome = msp_copy_claim_outcome(outcome);
	if (tried->outcome == NULL) {
		msp_refuse_claim_request(tried, &no_memory);
		return;
	}
	tried->verdict = (msp_claim_verdict_t){
	    .kind = MSP_CLAIM_VERDICT_REPLAY, .outcome = tried->outcome};
	make_final(tried);
}

void
msp_start_claim_request(msp_claim_request_t *tried)
{
	msp_claim_t *claim = tried->claim;
	char nonce[MSP_DIGEST_TEXT_SIZE];

	msp_print_digest(claim->nonce, nonce);
	if (msp_map_put(claim->claims->running, nonce, claim) != MSP_OK) {
		msp_release_entry(claim,
		    &(msp_refusal_t){.status = MSP_E_NO_MEMORY,
			.retry_after_ms = STORE_RETRY_AFTER_MS,
			.reason = "no memory to run it"});
		return;
	}
	claim->state = MSP_ENTRY_RUNNING;
	msp_set_claim_alarm(claim, MSP_NEVER);
	claim->looked_up = true;
	tried->started = true;
	tried->verdict = (msp_claim_verdict_t){
	    .kind = MSP_CLAIM_VERDICT_RUN, .nonce = claim->nonce};
	msp_clear_alarm(&claim->claims->alarms, &tried->deadline_alarm);
	make_ready(tried);
	msp_report_claim(claim, "run");
}

void
msp_answer_released(msp_claim_request_t *tried)
{
	const msp_claim_t *claim = tried->claim;

	tried->verdict = (msp_claim_verdict_t){
	    .kind = MSP_CLAIM_VERDICT_RELEASED,
	    .nonce = claim->nonce,
	    .age = msp_claims_now(claim->claims) - claim->not_run_reported_at,
	};
	make_final(tried);
}

bool
msp_refuse_all(msp_claim_t *claim, const msp_refusal_t *refusal)
{
	bool any = false;
	msp_claim_request_t *tried;

	while ((tried = TAILQ_FIRST(&claim->requests)) != NULL) {
		msp_refusal_t own = *refusal;

		own.attempt_started =
		    refusal->attempt_started && tried->started;
		any = any || !tried->cancelled;
		msp_refuse_claim_request(tried, &own);
	}
	return any;
}

void
msp_refuse_unknown(msp_claim_t *claim, msp_status_t status,
    uint32_t retry_after_ms, const char *reason)
{
	msp_refusal_t refusal = {
	    .status = status,
	    .run = MSP_RUN_UNKNOWN,
	    .retry_after_ms = retry_after_ms,
	    .reason = reason,
	};

	msp_report_claim(claim, msp_status_name(status));
	msp_refuse_all(claim, &refusal);
}

void
msp_replay_all(msp_claim_t *claim, const msp_claim_outcome_t *outcome)
{
	msp_claim_request_t *tried;

	while ((tried = TAILQ_FIRST(&claim->requests)) != NULL) {
		msp_report_claim(claim, tried->started ? "answer" : "replay");
		msp_replay_claim_request(tried, outcome);
	}
}

/*
 * "no" rests on the client's mark alone: not if the store has shown the key,
 * nor if another try of it has been seen here.
 */
bool
msp_refuse_without_lookup(
    msp_claim_t *claim, msp_status_t status, const char *reason)
{
	const msp_claim_request_t *first = TAILQ_FIRST(&claim->requests);
	msp_refusal_t refusal = {
	    .status = status,
	    .run = MSP_RUN_UNKNOWN,
	    .retry_after_ms = STORE_RETRY_AFTER_MS,
	    .reason = reason,
	};

	if (first == NULL)
		return false;
	if (!claim->looked_up && !claim->had_multiple_requests)
		refusal.run = msp_infer_unclaimed_run(
		    claim->claims, first->attempt_number, first->arrival);
	msp_report_claim(claim, msp_status_name(status));
	return msp_refuse_all(claim, &refusal) && refusal.run == MSP_RUN_NO;
}

/* `done` may begin, end and cancel tries. */
void
msp_deliver_verdicts(msp_claims_t *claims)
{
	msp_claim_request_t *tried;
	bool final;

	while ((tried = TAILQ_FIRST(&claims->ready)) != NULL) {
		TAILQ_REMOVE(&claims->ready, tried, ready_entry);
		tried->ready = false;
		final = tried->final;
		if (!tried->cancelled)
			tried->done(tried->done_ctx, &tried->verdict);
		/* It may have become final, and ready again, meanwhile. */
		if (!final)
			continue;
		free(tried->outcome);
		free(tried);
	}
}
