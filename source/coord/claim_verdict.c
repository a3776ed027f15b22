#include <stdio.h>
#include <stdlib.h>

#include "claims_private.h"

#define STORE_RETRY_AFTER_MS 1000

static void
make_ready(msp_claim_request_t *request)
{
	if (request->ready)
		return;
	request->ready = true;
	TAILQ_INSERT_TAIL(&request->claims->ready, request, ready_entry);
}

/* Marks the verdict as final and removes the request from its claim. */
static void
make_final(msp_claim_request_t *request)
{
	if (request->claim != NULL)
		TAILQ_REMOVE(&request->claim->requests, request, entry);
	request->claim = NULL;
	request->final = true;
	msp_clear_alarm(&request->claims->alarms, &request->deadline_alarm);
	make_ready(request);
}

void
msp_refuse_claim_request(
    msp_claim_request_t *request, const msp_refusal_t *refusal)
{
	request->verdict = (msp_claim_verdict_t){
	    .kind = MSP_CLAIM_VERDICT_REFUSE, .refusal = *refusal};
	snprintf(request->reason, sizeof(request->reason), "%s",
	    refusal->reason == NULL ? "" : refusal->reason);
	request->verdict.refusal.reason = request->reason;
	make_final(request);
}

void
msp_replay_claim_request(
    msp_claim_request_t *request, const msp_claim_outcome_t *outcome)
{
	static const msp_refusal_t no_memory = {
	    .status = MSP_E_NO_MEMORY,
	    .run = MSP_RUN_UNKNOWN,
	    .retry_after_ms = STORE_RETRY_AFTER_MS,
	    .reason = "no memory for the recorded response",
	};

	request->outcome = msp_copy_claim_outcome(outcome);
	if (request->outcome == NULL) {
		msp_refuse_claim_request(request, &no_memory);
		return;
	}
	request->verdict = (msp_claim_verdict_t){
	    .kind = MSP_CLAIM_VERDICT_REPLAY, .outcome = request->outcome};
	make_final(request);
}

void
msp_start_claim_request(msp_claim_request_t *request)
{
	msp_claim_t *claim = request->claim;
	char nonce[MSP_DIGEST_TEXT_SIZE];

	msp_print_digest(claim->nonce, nonce);
	if (msp_map_put(claim->claims->running, nonce, claim) != MSP_OK) {
		msp_release_entry(claim,
		    &(msp_refusal_t){.status = MSP_E_NO_MEMORY,
			.retry_after_ms = STORE_RETRY_AFTER_MS,
			.reason = "no memory to run the request"});
		return;
	}
	claim->state = MSP_ENTRY_RUNNING;
	msp_set_claim_alarm(claim, MSP_NEVER);
	claim->looked_up = true;
	request->started = true;
	request->verdict = (msp_claim_verdict_t){
	    .kind = MSP_CLAIM_VERDICT_RUN, .nonce = claim->nonce};
	msp_clear_alarm(&claim->claims->alarms, &request->deadline_alarm);
	make_ready(request);
	msp_report_claim(claim, "run");
}

void
msp_return_released(msp_claim_request_t *request)
{
	const msp_claim_t *claim = request->claim;

	request->verdict = (msp_claim_verdict_t){
	    .kind = MSP_CLAIM_VERDICT_RELEASED,
	    .nonce = claim->nonce,
	    .release_age =
		msp_claims_now(claim->claims) - claim->not_run_reported_at,
	};
	make_final(request);
}

bool
msp_refuse_all(msp_claim_t *claim, const msp_refusal_t *refusal)
{
	bool any = false;
	msp_claim_request_t *request;

	while ((request = TAILQ_FIRST(&claim->requests)) != NULL) {
		msp_refusal_t own = *refusal;

		own.attempt_started =
		    refusal->attempt_started && request->started;
		any = any || !request->cancelled;
		msp_refuse_claim_request(request, &own);
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
	msp_claim_request_t *request;

	while ((request = TAILQ_FIRST(&claim->requests)) != NULL) {
		msp_report_claim(claim, request->started ? "answer" : "replay");
		msp_replay_claim_request(request, outcome);
	}
}

/*
 * Here "run: no" rests on the client's attempt number alone. It isn't reported
 * if the store has answered about the key, nor if another request with the key
 * was seen here.
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
	return msp_refuse_all(claim, &refusal) &&
	    refusal.run == MSP_RUN_NOT_EXECUTED;
}

/* The callbacks may begin, end and cancel requests. */
void
msp_deliver_verdicts(msp_claims_t *claims)
{
	msp_claim_request_t *request;
	bool final;

	while ((request = TAILQ_FIRST(&claims->ready)) != NULL) {
		TAILQ_REMOVE(&claims->ready, request, ready_entry);
		request->ready = false;
		final = request->final;
		if (!request->cancelled)
			request->done(request->done_ctx, &request->verdict);
		/* The callback may have made it final and ready again. */
		if (!final)
			continue;
		free(request->outcome);
		free(request);
	}
}
