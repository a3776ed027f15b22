#include "claim_pair.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WALL_START (1700000000 * MSP_SECOND)
#define DEADLINE (10 * MSP_SECOND)

static const char *const addresses[PAIR_VMS] = {"a", "b"};

static void
query_owner(void *ctx, const msp_owner_query_t *query,
    msp_owner_query_done_t *done, void *done_ctx)
{
	pair_t *pair = ctx;
	unsigned int owner = query->address[0] == 'a' ? 0 : 1;
	msp_owner_reply_t reply = {.status = MSP_OWNER_NO_ANSWER};

	if (pair->vms[owner] != NULL && !pair->unresponsive[owner])
		msp_answer_owner_query(pair->vms[owner], query, &reply);
	if (pair->reply_count == PAIR_REPLIES_MAX)
		abort();
	pair->replies[pair->reply_count++] =
	    (pair_reply_t){reply, done, done_ctx};
}

static void
deliver_replies(pair_t *pair)
{
	while (pair->reply_count > 0) {
		pair_reply_t pending = pair->replies[--pair->reply_count];

		pending.done(pending.ctx, &pending.reply);
	}
}

static bool
has_ended(void *ctx, uint64_t incarnation)
{
	const pair_t *pair = ctx;

	return incarnation == 0 || incarnation > PAIR_VMS ||
	    pair->gone[incarnation - 1];
}

static msp_time_t
wall_time(void *ctx)
{
	return ((const pair_t *)ctx)->venv.now + WALL_START;
}

void
init_pair(pair_t *pair, const msp_claims_options_t *options)
{
	msp_claims_options_t own = {0};
	unsigned int i;

	if (options != NULL)
		own = *options;
	pair->venv.now = MSP_MINUTE;
	pair->venv.rng.state = 1;
	own.env = msp_virtual_env(&pair->venv);
	pair->store = msp_new_memory_store(&own.env);
	if (pair->store == NULL)
		abort();
	pair->faults = msp_memory_store_faults(pair->store);
	own.store = msp_memory_store(pair->store);
	own.hooks = (msp_claims_hooks_t){.ctx = pair,
	    .query_owner = query_owner,
	    .has_ended = has_ended,
	    .wall_time = wall_time};
	for (i = 0; i < PAIR_VMS; i++) {
		own.incarnation = i + 1;
		own.address = addresses[i];
		pair->vms[i] = msp_new_claims(&own);
		if (pair->vms[i] == NULL)
			abort();
	}
}

void
kill_pair_vm(pair_t *pair, unsigned int vm)
{
	msp_drop_claims(pair->vms[vm]);
	pair->vms[vm] = NULL;
	pair->gone[vm] = true;
}

void
close_pair(pair_t *pair)
{
	unsigned int i;

	for (i = 0; i < PAIR_VMS; i++)
		kill_pair_vm(pair, i);
	run_pair(pair, MSP_MINUTE);
	msp_drop_memory_store(pair->store);
	free(pair);
}

static msp_time_t
step_pair(pair_t *pair)
{
	msp_time_t next;
	unsigned int i;

	msp_step_memory_store(pair->store);
	deliver_replies(pair);
	for (i = 0; i < PAIR_VMS; i++) {
		if (pair->vms[i] != NULL)
			msp_step_claims(pair->vms[i]);
	}
	next = pair->reply_count > 0 ? pair->venv.now
				     : msp_memory_store_deadline(pair->store);
	for (i = 0; i < PAIR_VMS; i++) {
		if (pair->vms[i] != NULL &&
		    msp_claims_deadline(pair->vms[i]) < next)
			next = msp_claims_deadline(pair->vms[i]);
	}
	return next;
}

void
run_pair(pair_t *pair, msp_time_t span)
{
	msp_time_t end = pair->venv.now + span;
	msp_time_t next;

	while ((next = step_pair(pair)) <= end) {
		if (next > pair->venv.now)
			pair->venv.now = next;
	}
	pair->venv.now = end;
}

msp_claim_request_params_t
pair_params(const pair_t *pair, const char *key, const char *body)
{
	return (msp_claim_request_params_t){
	    .service = "mergedesk",
	    .key = key,
	    .digest = msp_digest(body, strlen(body)),
	    .arrival = pair->venv.now,
	    .deadline = pair->venv.now + DEADLINE,
	};
}

static void
record_verdict(void *ctx, const msp_claim_verdict_t *verdict)
{
	pair_request_t *sent = ctx;

	sent->kind = verdict->kind;
	if (verdict->kind == MSP_CLAIM_VERDICT_RUN) {
		sent->runs++;
		sent->nonce = verdict->nonce;
		return;
	}
	sent->finals++;
	sent->claim_request = NULL;
	sent->refusal = verdict->refusal;
	sent->refusal.reason = NULL;
	sent->age = verdict->release_age;
	if (verdict->kind == MSP_CLAIM_VERDICT_RELEASED)
		sent->nonce = verdict->nonce;
	if (verdict->kind != MSP_CLAIM_VERDICT_REPLAY)
		return;
	sent->http_status = verdict->outcome->http_status;
	snprintf(sent->body, sizeof(sent->body), "%.*s",
	    (int)verdict->outcome->body_len, verdict->outcome->body);
}

pair_request_t *
send_pair_request(
    pair_t *pair, unsigned int vm, const msp_claim_request_params_t *params)
{
	pair_request_t *sent = &pair->sent[pair->sent_count++];

	sent->claim_request = msp_begin_claim_request(
	    pair->vms[vm], params, record_verdict, sent);
	return sent;
}

pair_request_t *
send_pair_key(pair_t *pair, unsigned int vm, const char *key)
{
	msp_claim_request_params_t params = pair_params(pair, key, "body");

	return send_pair_request(pair, vm, &params);
}

void
finish_pair_claim(
    pair_t *pair, unsigned int vm, msp_nonce_t nonce, const char *body)
{
	msp_claim_field_t field = {"content-type", "text/plain"};
	msp_claim_outcome_t outcome = {
	    .http_status = 201,
	    .fields = &field,
	    .field_count = 1,
	    .body = body,
	    .body_len = strlen(body),
	};

	if (msp_finish_claim(pair->vms[vm], nonce, &outcome) != MSP_OK)
		abort();
}

void
release_pair_claim(pair_t *pair, unsigned int vm, msp_nonce_t nonce)
{
	msp_refusal_t refusal = {
	    .status = MSP_E_OVERLOAD, .reason = "queue full"};

	if (msp_release_claim(pair->vms[vm], nonce, &refusal) != MSP_OK)
		abort();
}

void
mark_pair_claim_in_doubt(pair_t *pair, unsigned int vm, msp_nonce_t nonce)
{
	msp_refusal_t refusal = {
	    .status = MSP_E_IN_DOUBT, .reason = "response incomplete"};

	if (msp_mark_claim_in_doubt(pair->vms[vm], nonce, &refusal) != MSP_OK)
		abort();
}

static void
ignore_reply(void *ctx, const msp_store_reply_t *reply)
{
	(void)ctx;
	if (reply->status != MSP_OK)
		abort();
}

void
put_pair_row(pair_t *pair, const char *key, const char *value)
{
	msp_store_t store = msp_memory_store(pair->store);
	msp_write_t write = {key, value, strlen(value)};
	msp_txn_t txn = {.writes = &write, .write_count = 1};

	store.transact(store.ctx, &txn, 1000, ignore_reply, NULL);
	msp_step_memory_store(pair->store);
}

void
put_pair_object(pair_t *pair, const char *name, const char *data)
{
	msp_store_t store = msp_memory_store(pair->store);

	store.put_object(
	    store.ctx, name, data, strlen(data), 1000, ignore_reply, NULL);
	msp_step_memory_store(pair->store);
}
