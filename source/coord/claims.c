#include "claims_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BATCH_WINDOW (4 * MSP_MS)
#define BATCH_ROWS 256
#define BATCHES 2
#define STORE_TIMEOUT_MS 1000
#define CLAIM_TIMEOUT (3 * MSP_SECOND)
#define ASK_INTERVAL (200 * MSP_MS)
#define RETRY_INTERVAL (500 * MSP_MS)
#define DAY (24 * 60 * MSP_MINUTE)
#define RETENTION (7 * DAY)
#define RELEASE_MEMORY DAY
#define OUTCOME_MEMORY (10 * MSP_SECOND)
#define ISSUED_LIFETIME (10 * MSP_MINUTE)
#define FIRST_TRY_WINDOW (5 * MSP_SECOND)
#define RELEASED_MAX 200000 /* nonces */
#define INLINE_MAX (32 * 1024) /* bytes */

#define OR_DEFAULT(value, fallback) ((value) == 0 ? (fallback) : (value))

msp_time_t
msp_claims_now(const msp_claims_t *claims)
{
	return msp_now(&claims->options.env);
}

static void
set_defaults(msp_claims_options_t *o)
{
	o->max_batch_rows = OR_DEFAULT(o->max_batch_rows, BATCH_ROWS);
	o->batch_window = OR_DEFAULT(o->batch_window, BATCH_WINDOW);
	o->max_batches = OR_DEFAULT(o->max_batches, BATCHES);
	o->store_timeout_ms = OR_DEFAULT(o->store_timeout_ms, STORE_TIMEOUT_MS);
	o->claim_timeout = OR_DEFAULT(o->claim_timeout, CLAIM_TIMEOUT);
	o->query_interval = OR_DEFAULT(o->query_interval, ASK_INTERVAL);
	o->retry_interval = OR_DEFAULT(o->retry_interval, RETRY_INTERVAL);
	o->retention = OR_DEFAULT(o->retention, RETENTION);
	o->released_retention =
	    OR_DEFAULT(o->released_retention, RELEASE_MEMORY);
	o->outcome_retention = OR_DEFAULT(o->outcome_retention, OUTCOME_MEMORY);
	o->issued_lifetime = OR_DEFAULT(o->issued_lifetime, ISSUED_LIFETIME);
	o->first_attempt_window =
	    OR_DEFAULT(o->first_attempt_window, FIRST_TRY_WINDOW);
	o->max_inline_body = OR_DEFAULT(o->max_inline_body, INLINE_MAX);
}

static msp_status_t
open_parts(msp_claims_t *claims)
{
	const msp_claims_options_t *options = &claims->options;
	msp_batcher_options_t batching = {
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
	claims->released =
	    msp_new_released_nonces(options->released_retention, RELEASED_MAX);
	claims->batcher = msp_new_batcher(&batching);
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
		msp_fail(MSP_E_RANGE, "claims need an incarnation and address");
		return NULL;
	}
	claims = calloc(1, sizeof(*claims));
	if (claims == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for claims");
		return NULL;
	}
	claims->options = *options;
	set_defaults(&claims->options);
	snprintf(
	    claims->address, sizeof(claims->address), "%s", options->address);
	TAILQ_INIT(&claims->ready);
	LIST_INIT(&claims->calls);
	if (open_parts(claims) != MSP_OK) {
		msp_drop_claims(claims);
		return NULL;
	}
	return claims;
}

static void
free_try(msp_claim_request_t *tried)
{
	msp_clear_alarm(&tried->claims->alarms, &tried->deadline_alarm);
	free(tried->outcome);
	free(tried);
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
	claim->nonce_drawn_at = msp_claims_now(claim->claims);
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
free_tries(struct msp_claim_requests *tries)
{
	msp_claim_request_t *tried;

	while ((tried = TAILQ_FIRST(tries)) != NULL) {
		TAILQ_REMOVE(tries, tried, entry);
		free_try(tried);
	}
}

void
msp_drop_claims(msp_claims_t *claims)
{
	msp_claim_call_t *call;
	msp_claim_request_t *tried;
	size_t cursor = 0;
	void *claim;

	if (claims == NULL)
		return;
	LIST_FOREACH(call, &claims->calls, entry) {
		call->claims = NULL;
	}
	while ((tried = TAILQ_FIRST(&claims->ready)) != NULL) {
		TAILQ_REMOVE(&claims->ready, tried, ready_entry);
		if (tried->final)
			free_try(tried);
	}
	while (claims->entries != NULL &&
	    msp_map_next(claims->entries, &cursor, NULL, &claim)) {
		free_tries(&((msp_claim_t *)claim)->requests);
		free_entry(claim);
	}
	msp_drop_batcher(claims->batcher);
	msp_drop_released_nonces(claims->released);
	msp_drop_map(claims->entries);
	msp_drop_map(claims->running);
	free(claims);
}
