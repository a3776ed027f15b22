#include "claims_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BATCH_WINDOW (4 * MSP_MS)
#define MAX_BATCH_ROWS 256
#define MAX_BATCHES 2
#define STORE_TIMEOUT_MS 1000
#define CLAIM_TIMEOUT (3 * MSP_SECOND)
#define QUERY_INTERVAL (200 * MSP_MS)
#define RETRY_INTERVAL (500 * MSP_MS)
#define DAY (24 * 60 * MSP_MINUTE)
#define RETENTION (7 * DAY)
#define RELEASED_RETENTION DAY
#define OUTCOME_RETENTION (10 * MSP_SECOND)
#define ISSUED_LIFETIME (10 * MSP_MINUTE)
#define FIRST_ATTEMPT_WINDOW (5 * MSP_SECOND)
#define RELEASED_NONCES_MAX 200000
#define MAX_INLINE_BODY (32 * 1024) /* bytes */

#define OR_DEFAULT(value, fallback) ((value) == 0 ? (fallback) : (value))

msp_time_t
msp_claims_now(const msp_claims_t *claims)
{
	return msp_now(&claims->options.env);
}

static void
set_default_options(msp_claims_options_t *options)
{
	options->max_batch_rows =
	    OR_DEFAULT(options->max_batch_rows, MAX_BATCH_ROWS);
	options->batch_window = OR_DEFAULT(options->batch_window, BATCH_WINDOW);
	options->max_batches = OR_DEFAULT(options->max_batches, MAX_BATCHES);
	options->store_timeout_ms =
	    OR_DEFAULT(options->store_timeout_ms, STORE_TIMEOUT_MS);
	options->claim_timeout =
	    OR_DEFAULT(options->claim_timeout, CLAIM_TIMEOUT);
	options->query_interval =
	    OR_DEFAULT(options->query_interval, QUERY_INTERVAL);
	options->retry_interval =
	    OR_DEFAULT(options->retry_interval, RETRY_INTERVAL);
	options->retention = OR_DEFAULT(options->retention, RETENTION);
	options->released_retention =
	    OR_DEFAULT(options->released_retention, RELEASED_RETENTION);
	options->outcome_retention =
	    OR_DEFAULT(options->outcome_retention, OUTCOME_RETENTION);
	options->issued_lifetime =
	    OR_DEFAULT(options->issued_lifetime, ISSUED_LIFETIME);
	options->first_attempt_window =
	    OR_DEFAULT(options->first_attempt_window, FIRST_ATTEMPT_WINDOW);
	options->max_inline_body =
	    OR_DEFAULT(options->max_inline_body, MAX_INLINE_BODY);
}

static msp_status_t
create_parts(msp_claims_t *claims)
{
	const msp_claims_options_t *options = &claims->options;
	msp_batcher_options_t batcher_options = {
	    .env = options->env,
	    .store = options->store,
	    .alarms = &claims->alarms,
	    .window = options->batch_window,
	    .max_rows = options->max_batch_rows,
	    .max_batches = options->max_batches,
	    .timeout_ms = options->store_timeout_ms,
	};

	claims->entries = msp_new_map();
	claims->running = msp_new_map();
	claims->released = msp_new_released_nonces(
	    options->released_retention, RELEASED_NONCES_MAX);
	claims->batcher = msp_new_batcher(&batcher_options);
	if (claims->entries == NULL || claims->running == NULL ||
	    claims->released == NULL || claims->batcher == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for claims");
	return MSP_OK;
}

msp_claims_t *
msp_new_claims(const msp_claims_options_t *options)
{
	msp_claims_t *claims;

	if (options->incarnation == 0 ||
	    strlen(options->address) >= MSP_OWNER_ADDRESS_SIZE) {
		msp_fail(MSP_E_RANGE,
		    "the incarnation is 0 or the address is too long");
		return NULL;
	}
	claims = calloc(1, sizeof(*claims));
	if (claims == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for claims");
		return NULL;
	}
	claims->options = *options;
	set_default_options(&claims->options);
	snprintf(
	    claims->address, sizeof(claims->address), "%s", options->address);
	TAILQ_INIT(&claims->ready);
	LIST_INIT(&claims->calls);
	if (create_parts(claims) != MSP_OK) {
		msp_drop_claims(claims);
		return NULL;
	}
	return claims;
}

static void
free_request(msp_claim_request_t *request)
{
	msp_clear_alarm(&request->claims->alarms, &request->deadline_alarm);
	free(request->outcome);
	free(request);
}

void
msp_report_claim(const msp_claim_t *claim, const char *end)
{
	const msp_claims_options_t *options = &claim->claims->options;
	msp_decision_t decision = {
	    .action = "claim",
	    .service = claim->service,
	    .reason = end,
	};

	if (options->counters != NULL)
		msp_add_to_counter(options->counters, 1,
		    "msp_claims_total{authority=\"%s\",end=\"%s\"}",
		    claim->issued_here || claim->issued_elsewhere ? "memory"
								  : "store",
		    end);
	if (options->hooks.report_decision != NULL)
		options->hooks.report_decision(options->hooks.ctx, &decision);
}

void
msp_invalidate_claim_calls(msp_claim_t *claim)
{
	claim->generation = ++claim->claims->generation;
}

static void
free_entry(msp_claim_t *claim)
{
	msp_claims_t *claims = claim->claims;

	if (claim->write != NULL)
		msp_cancel_batch_write(claim->write);
	msp_clear_alarm(&claims->alarms, &claim->alarm);
	msp_drop_claim_row(&claim->row);
	free(claim->outcome);
	free(claim);
}

void
msp_drop_entry(msp_claim_t *claim)
{
	msp_map_remove(claim->claims->entries, claim->row_key);
	free_entry(claim);
}

void
msp_close_entry(msp_claim_t *claim)
{
	msp_time_t now = msp_claims_now(claim->claims);

	if (!claim->issued_here || claim->expires <= now) {
		msp_drop_entry(claim);
		return;
	}
	msp_invalidate_claim_calls(claim);
	claim->state = MSP_ENTRY_DONE;
	msp_set_claim_alarm(claim, claim->expires);
}

void
msp_assign_claim_nonce(msp_claim_t *claim)
{
	claim->nonce = msp_generate_nonce(&claim->claims->options.env);
	claim->nonce_generated_at = msp_claims_now(claim->claims);
	claim->maybe_written = false;
}

void
msp_set_claim_alarm(msp_claim_t *claim, msp_time_t at)
{
	msp_set_alarm(&claim->claims->alarms, &claim->alarm, at);
}

msp_claim_call_t *
msp_new_claim_call(msp_claim_t *claim)
{
	msp_claim_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		return NULL;
	msp_invalidate_claim_calls(claim);
	call->claims = claim->claims;
	call->generation = claim->generation;
	memcpy(call->row_key, claim->row_key, sizeof(call->row_key));
	LIST_INSERT_HEAD(&claim->claims->calls, call, entry);
	return call;
}

msp_claim_t *
msp_end_claim_call(msp_claim_call_t *call)
{
	msp_claim_t *claim = NULL;

	if (call->claims != NULL) {
		LIST_REMOVE(call, entry);
		claim = msp_map_get(call->claims->entries, call->row_key);
		if (claim != NULL && claim->generation != call->generation)
			claim = NULL;
	}
	free(call);
	return claim;
}

static void
free_requests(struct msp_claim_requests *requests)
{
	msp_claim_request_t *request;

	while ((request = TAILQ_FIRST(requests)) != NULL) {
		TAILQ_REMOVE(requests, request, entry);
		free_request(request);
	}
}

void
msp_drop_claims(msp_claims_t *claims)
{
	msp_claim_call_t *call;
	msp_claim_request_t *request;
	size_t cursor = 0;
	void *claim;

	if (claims == NULL)
		return;
	LIST_FOREACH(call, &claims->calls, entry) {
		call->claims = NULL;
	}
	while ((request = TAILQ_FIRST(&claims->ready)) != NULL) {
		TAILQ_REMOVE(&claims->ready, request, ready_entry);
		if (request->final)
			free_request(request);
	}
	while (claims->entries != NULL &&
	    msp_map_next(claims->entries, &cursor, NULL, &claim)) {
		free_requests(&((msp_claim_t *)claim)->requests);
		free_entry(claim);
	}
	msp_drop_batcher(claims->batcher);
	msp_drop_released_nonces(claims->released);
	msp_drop_map(claims->entries);
	msp_drop_map(claims->running);
	free(claims);
}
