#include "monsoonspindle/coord/in_doubt_claims.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claims_private.h"

#define PAGE_ROWS 500

/* A call that reads one page of the table. */
typedef struct listing {
	msp_claims_t *claims;
	msp_in_doubt_claims_done_t *done;
	void *ctx;
} listing_t;

/* Returns whether the row's claim is in doubt, and fills `claim` if so. */
static bool
read_in_doubt_claim(const msp_claims_t *claims, const msp_row_t *row,
    msp_in_doubt_claim_t *claim)
{
	const msp_claims_hooks_t *hooks = &claims->options.hooks;
	char service[MSP_SERVICE_NAME_MAX + 1];
	char key[MSP_IDEMPOTENCY_KEY_MAX + 1];
	msp_claim_row_t found;
	bool in_doubt;

	if (msp_parse_claim_row_key(row->key, service, key) != MSP_OK ||
	    msp_decode_claim_row(row->value, row->value_len, &found) != MSP_OK)
		return false;
	*claim = (msp_in_doubt_claim_t){
	    .incarnation = found.incarnation,
	    .claimed_at = found.written_at,
	    .owner_ended = hooks->has_ended(hooks->ctx, found.incarnation),
	};
	snprintf(claim->service, sizeof(claim->service), "%s", service);
	snprintf(claim->key, sizeof(claim->key), "%s", key);
	snprintf(claim->address, sizeof(claim->address), "%s", found.address);
	in_doubt = found.state == MSP_CLAIM_IN_DOUBT ||
	    (found.state == MSP_CLAIM_HELD && claim->owner_ended);
	msp_drop_claim_row(&found);
	return in_doubt;
}

static void
handle_page(void *ctx, const msp_store_reply_t *reply)
{
	listing_t *listing = ctx;
	msp_in_doubt_claim_t *in_doubt = calloc(PAGE_ROWS, sizeof(*in_doubt));
	size_t rows = reply->status == MSP_OK ? reply->row_count : 0;
	const char *next = NULL;
	size_t count = 0;
	size_t i;

	if (in_doubt == NULL) {
		listing->done(listing->ctx, MSP_E_NO_MEMORY, NULL, 0, NULL);
		free(listing);
		return;
	}
	for (i = 0; i < rows && i < PAGE_ROWS; i++) {
		if (read_in_doubt_claim(
			listing->claims, &reply->rows[i], &in_doubt[count]))
			count++;
	}
	if (rows == PAGE_ROWS)
		next = reply->rows[rows - 1].key;
	listing->done(listing->ctx, reply->status, in_doubt, count, next);
	free(in_doubt);
	free(listing);
}

void
msp_list_in_doubt_claims(msp_claims_t *claims, const char *after,
    msp_in_doubt_claims_done_t *done, void *ctx)
{
	const msp_claims_options_t *options = &claims->options;
	listing_t *listing = calloc(1, sizeof(*listing));

	if (listing == NULL)
		abort();
	*listing = (listing_t){claims, done, ctx};
	options->store.scan(options->store.ctx, MSP_CLAIM_ROW_PREFIX, after,
	    PAGE_ROWS, options->store_timeout_ms, handle_page, listing);
}

/* A call that checks and writes a ruling. */
typedef struct ruling_call {
	msp_claims_t *claims;
	msp_ruling_done_t *done;
	void *ctx;
	char row_key[MSP_CLAIM_ROW_KEY_SIZE];
	char operator_name[MSP_OPERATOR_NAME_SIZE];
	bool ran;
	bool maybe_written; /* the reply to the write was lost */
} ruling_call_t;

static void
finish_ruling(ruling_call_t *call, msp_status_t status)
{
	msp_ruling_done_t *done = call->done;
	void *ctx = call->ctx;

	free(call);
	done(ctx, status);
}

static void read_for_ruling(ruling_call_t *call);

static void
handle_ruling_reply(void *ctx, const msp_store_reply_t *reply)
{
	ruling_call_t *call = ctx;

	if (reply->status == MSP_E_LOST && !call->maybe_written) {
		call->maybe_written = true;
		read_for_ruling(call);
		return;
	}
	finish_ruling(call, reply->status);
}

static void
write_ruling(ruling_call_t *call, msp_claim_row_t *found, uint64_t version)
{
	const msp_claims_options_t *options = &call->claims->options;
	msp_condition_t condition = {call->row_key, version};
	msp_buffer_t value = {.limit = MSP_ROW_VALUE_MAX};
	msp_write_t write = {.key = call->row_key};
	msp_txn_t txn = {&condition, 1, &write, 1};
	msp_status_t status;

	found->state =
	    call->ran ? MSP_CLAIM_RULED_RAN : MSP_CLAIM_RULED_NOT_RUN;
	found->written_at = options->hooks.wall_time(options->hooks.ctx);
	snprintf(found->operator_name, sizeof(found->operator_name), "%s",
	    call->operator_name);
	status = msp_encode_claim_row(found, &value);
	if (status != MSP_OK) {
		msp_drop_buffer(&value);
		finish_ruling(call, status);
		return;
	}
	write.value = value.data;
	write.value_len = value.len;
	options->store.transact(options->store.ctx, &txn,
	    options->store_timeout_ms, handle_ruling_reply, call);
	msp_drop_buffer(&value);
}

static bool
is_same_ruling(const ruling_call_t *call, const msp_claim_row_t *found)
{
	msp_claim_state_t expected =
	    call->ran ? MSP_CLAIM_RULED_RAN : MSP_CLAIM_RULED_NOT_RUN;

	return found->state == expected &&
	    strcmp(found->operator_name, call->operator_name) == 0;
}

static bool
is_in_doubt(const ruling_call_t *call, const msp_claim_row_t *found)
{
	const msp_claims_hooks_t *hooks = &call->claims->options.hooks;

	if (found->state == MSP_CLAIM_IN_DOUBT)
		return true;
	return found->state == MSP_CLAIM_HELD &&
	    hooks->has_ended(hooks->ctx, found->incarnation);
}

static void
handle_row_for_ruling(void *ctx, const msp_store_reply_t *reply)
{
	ruling_call_t *call = ctx;
	msp_claim_row_t found;
	const msp_row_t *row = reply->rows;

	if (reply->status != MSP_OK) {
		finish_ruling(
		    call, call->maybe_written ? MSP_E_LOST : reply->status);
		return;
	}
	if (row->value == NULL) {
		finish_ruling(call, MSP_E_NOT_FOUND);
		return;
	}
	if (msp_decode_claim_row(row->value, row->value_len, &found) !=
	    MSP_OK) {
		finish_ruling(call, MSP_E_CONFLICT);
		return;
	}
	if (is_same_ruling(call, &found))
		finish_ruling(call, MSP_OK);
	else if (call->maybe_written)
		finish_ruling(call, MSP_E_LOST);
	else if (is_in_doubt(call, &found))
		write_ruling(call, &found, row->version);
	else
		finish_ruling(call, MSP_E_CONFLICT);
	msp_drop_claim_row(&found);
}

static void
read_for_ruling(ruling_call_t *call)
{
	const msp_claims_options_t *options = &call->claims->options;
	const char *key = call->row_key;

	options->store.get(options->store.ctx, &key, 1,
	    options->store_timeout_ms, handle_row_for_ruling, call);
}

void
msp_rule_claim(msp_claims_t *claims, const msp_ruling_t *ruling,
    msp_ruling_done_t *done, void *ctx)
{
	ruling_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		abort();
	call->claims = claims;
	call->done = done;
	call->ctx = ctx;
	call->ran = ruling->ran;
	snprintf(call->operator_name, sizeof(call->operator_name), "%s",
	    ruling->operator_name);
	/* A malformed key has no row; the store rejects an empty row key. */
	if (msp_print_claim_row_key(
		ruling->service, ruling->key, call->row_key) != MSP_OK)
		call->row_key[0] = '\0';
	read_for_ruling(call);
}
