#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claims_private.h"

static void
handle_claim_alarm(void *ctx)
{
	msp_claim_t *claim = ctx;

	switch (claim->state) {
	case MSP_ENTRY_WRITING:
		msp_abandon_claim(claim, MSP_E_STORE_DOWN,
		    "the store did not answer in time");
		break;
	case MSP_ENTRY_QUERYING_OWNER:
		msp_query_owner(claim);
		break;
	case MSP_ENTRY_DONE:
	case MSP_ENTRY_IN_DOUBT:
		msp_record_claim_end(claim);
		break;
	case MSP_ENTRY_RELEASED:
		msp_drop_entry(claim);
		break;
	case MSP_ENTRY_READING:
	case MSP_ENTRY_RUNNING:
		break;
	}
}

/* The client has stopped waiting. A run that has begun goes on. */
static void
handle_request_deadline(void *ctx)
{
	msp_claim_request_t *request = ctx;
	msp_claim_t *claim = request->claim;
	msp_refusal_t refusal = {
	    .status = MSP_E_DEADLINE,
	    .run = MSP_RUN_UNKNOWN,
	    .reason = "no decision within the deadline",
	};
	bool last = TAILQ_NEXT(TAILQ_FIRST(&claim->requests), entry) == NULL;

	if (last && claim->state == MSP_ENTRY_WRITING) {
		msp_abandon_claim(claim, MSP_E_DEADLINE, refusal.reason);
		return;
	}
	msp_refuse_claim_request(request, &refusal);
	if (last &&
	    (claim->state == MSP_ENTRY_QUERYING_OWNER ||
		claim->state == MSP_ENTRY_READING))
		msp_close_entry(claim);
}

static msp_claim_request_t *
new_request(msp_claims_t *claims, const msp_claim_request_params_t *params,
    msp_claim_verdict_done_t *done, void *ctx)
{
	msp_claim_request_t *request = calloc(1, sizeof(*request));

	if (request == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for a request");
		return NULL;
	}
	request->claims = claims;
	request->attempt_number = params->attempt_number;
	request->arrival = params->arrival;
	request->forwarded = params->forwarded;
	request->released_nonce = params->released_nonce;
	request->arrived_after_release = params->arrived_after_release;
	request->deadline = params->deadline;
	request->done = done;
	request->done_ctx = ctx;
	request->deadline_alarm.fire = handle_request_deadline;
	request->deadline_alarm.ctx = request;
	return request;
}

static msp_claim_t *
new_entry(msp_claims_t *claims, const char *row_key,
    const msp_claim_request_params_t *params)
{
	msp_claim_t *claim = calloc(1, sizeof(*claim));

	if (claim == NULL)
		return NULL;
	claim->claims = claims;
	claim->digest = params->digest;
	claim->alarm.fire = handle_claim_alarm;
	claim->alarm.ctx = claim;
	snprintf(claim->row_key, sizeof(claim->row_key), "%s", row_key);
	snprintf(claim->service, sizeof(claim->service), "%s", params->service);
	snprintf(claim->key, sizeof(claim->key), "%s", params->key);
	TAILQ_INIT(&claim->requests);
	if (msp_map_put(claims->entries, row_key, claim) != MSP_OK) {
		free(claim);
		return NULL;
	}
	return claim;
}

static void
add_request(msp_claim_t *claim, msp_claim_request_t *request)
{
	if (!TAILQ_EMPTY(&claim->requests))
		claim->had_multiple_requests = true;
	request->claim = claim;
	TAILQ_INSERT_TAIL(&claim->requests, request, entry);
	msp_set_alarm(&claim->claims->alarms, &request->deadline_alarm,
	    request->deadline);
}

/* Refuses a request that has no claim. */
static void
refuse_unclaimed(
    msp_claim_request_t *request, msp_status_t status, const char *reason)
{
	msp_refusal_t refusal = {
	    .status = status,
	    .run = MSP_RUN_UNKNOWN,
	    .reason = reason,
	};

	msp_refuse_claim_request(request, &refusal);
}

static void
join_claim(msp_claim_t *claim, msp_claim_request_t *request)
{
	add_request(claim, request);
	if (claim->issued_here) {
		msp_join_issued(claim, request);
		return;
	}
	if (claim->state == MSP_ENTRY_DONE)
		msp_replay_all(claim, claim->outcome);
	else if (claim->state == MSP_ENTRY_IN_DOUBT)
		msp_refuse_in_doubt(
		    claim, "the outcome of an earlier attempt is unknown");
}

/* Parses an issued key; fails if it was issued here and has expired. */
static msp_status_t
check_issued_key(msp_claims_t *claims, const char *key,
    msp_issued_key_t *issued, bool *is_issued)
{
	*is_issued = msp_parse_issued_key(key, issued);
	if (!*is_issued || issued->incarnation != claims->options.incarnation)
		return MSP_OK;
	return msp_check_issued_key(
	    issued, msp_claims_now(claims), claims->options.issued_lifetime);
}

static void
open_entry(msp_claim_t *claim, msp_claim_request_t *request, bool is_issued,
    const msp_issued_key_t *issued)
{
	msp_claims_t *claims = claim->claims;

	claim->issued_here =
	    is_issued && issued->incarnation == claims->options.incarnation;
	claim->issued_elsewhere = is_issued && !claim->issued_here;
	if (claim->issued_here)
		claim->expires =
		    issued->issued_at + claims->options.issued_lifetime + 1;
	add_request(claim, request);
	msp_assign_claim_nonce(claim);
	if (claim->issued_here) {
		msp_start_claim_request(request);
	} else if (claim->issued_elsewhere) {
		msp_read_claim_row(claim);
	} else {
		claim->claim_deadline =
		    msp_claims_now(claims) + claims->options.claim_timeout;
		msp_write_claim(claim);
	}
}

msp_claim_request_t *
msp_begin_claim_request(msp_claims_t *claims,
    const msp_claim_request_params_t *params, msp_claim_verdict_done_t *done,
    void *ctx)
{
	char row_key[MSP_CLAIM_ROW_KEY_SIZE];
	msp_issued_key_t issued;
	bool is_issued;
	msp_claim_t *claim;
	msp_claim_request_t *request;
	msp_status_t status;

	if (msp_print_claim_row_key(params->service, params->key, row_key) !=
	    MSP_OK)
		return NULL;
	request = new_request(claims, params, done, ctx);
	if (request == NULL)
		return NULL;
	claim = msp_map_get(claims->entries, row_key);
	status = check_issued_key(claims, params->key, &issued, &is_issued);
	if (status != MSP_OK) {
		refuse_unclaimed(request, status, msp_last_message());
	} else if (claim != NULL &&
	    !msp_digest_equal(claim->digest, params->digest)) {
		refuse_unclaimed(request, MSP_E_KEY_MISMATCH,
		    "the key was used with another request");
	} else if (claim != NULL) {
		join_claim(claim, request);
	} else {
		claim = new_entry(claims, row_key, params);
		if (claim == NULL) {
			free(request);
			msp_fail(MSP_E_NO_MEMORY, "no memory for a claim");
			return NULL;
		}
		open_entry(claim, request, is_issued, &issued);
	}
	return request;
}

/* Ends a claim whose last request was cancelled before it ran. */
static void
close_unused_entry(msp_claim_t *claim)
{
	if (claim->state == MSP_ENTRY_WRITING)
		msp_abandon_claim(claim, MSP_E_CANCELLED, "");
	else if (claim->state == MSP_ENTRY_QUERYING_OWNER ||
	    claim->state == MSP_ENTRY_READING)
		msp_close_entry(claim);
}

void
msp_cancel_claim_request(msp_claim_request_t *request)
{
	msp_claim_t *claim = request->claim;

	request->cancelled = true;
	if (claim == NULL)
		return;
	if (request->started && request->ready) {
		/* The verdict RUN was not delivered, so nothing was sent. */
		msp_release_entry(claim,
		    &(msp_refusal_t){.status = MSP_E_CANCELLED,
			.reason = "the client disconnected"});
		return;
	}
	if (request->started)
		return;
	TAILQ_REMOVE(&claim->requests, request, entry);
	msp_clear_alarm(&claim->claims->alarms, &request->deadline_alarm);
	free(request);
	if (TAILQ_EMPTY(&claim->requests))
		close_unused_entry(claim);
}

msp_run_status_t
msp_infer_unclaimed_run(
    const msp_claims_t *claims, unsigned int attempt_number, msp_time_t arrival)
{
	msp_time_t waited = msp_claims_now(claims) - arrival;

	if (attempt_number == 1 &&
	    waited < claims->options.first_attempt_window)
		return MSP_RUN_NOT_EXECUTED;
	return MSP_RUN_UNKNOWN;
}

void
msp_step_claims(msp_claims_t *claims)
{
	msp_time_t now = msp_claims_now(claims);

	msp_fire_alarms(&claims->alarms, now);
	msp_expire_released_nonces(claims->released, now);
	msp_deliver_verdicts(claims);
}

msp_time_t
msp_claims_deadline(const msp_claims_t *claims)
{
	if (!TAILQ_EMPTY(&claims->ready))
		return msp_claims_now(claims);
	return msp_next_alarm(&claims->alarms);
}

msp_claims_stats_t
msp_get_claims_stats(const msp_claims_t *claims)
{
	return (msp_claims_stats_t){
	    .entries = msp_map_count(claims->entries),
	    .running = msp_map_count(claims->running),
	    .unrecorded = claims->unrecorded,
	    .released = msp_count_released_nonces(claims->released),
	};
}
