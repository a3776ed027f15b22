#include <stdlib.h>

#include "claim_walk.h"

static void
add_call(
    walk_t *walk, msp_store_call_t *args, msp_store_done_t *done, void *ctx)
{
	unsigned int i;

	for (i = 0; i < CALLS_MAX; i++) {
		if (walk->calls[i].args != NULL)
			continue;
		walk->calls[i] =
		    (walk_call_t){.args = args, .done = done, .ctx = ctx};
		return;
	}
	abort();
}

static void
start_get(void *ctx, const char *const *keys, size_t count, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	(void)timeout_ms;
	add_call(ctx, msp_new_store_call(MSP_STORE_GET, keys, count), done,
	    done_ctx);
}

static void
start_transact(void *ctx, const msp_txn_t *txn, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	(void)timeout_ms;
	add_call(ctx, msp_new_txn_call(txn), done, done_ctx);
}

static void
read_keys(walk_t *walk, msp_store_call_t *args)
{
	size_t i;

	for (i = 0; i < args->key_count; i++) {
		const msp_table_row_t *row =
		    msp_find_row(&walk->table, args->keys[i]);

		msp_capture_row(&args->captured, args->keys[i],
		    row == NULL ? NULL : row->value,
		    row == NULL ? 0 : row->value_len,
		    row == NULL ? 0 : row->version);
	}
}

static void
free_if_over(walk_call_t *call)
{
	if (!call->effected || !call->answered)
		return;
	msp_drop_store_call(call->args);
	call->args = NULL;
}

void
walk_take_effect(walk_t *walk, unsigned int index)
{
	walk_call_t *call = &walk->calls[index];
	msp_store_call_t *args = call->args;
	msp_txn_t txn = {
	    args->conditions, args->key_count, args->writes, args->write_count};

	call->effected = true;
	if (args->op == MSP_STORE_TRANSACT) {
		args->captured.reply.status = msp_apply_txn(&walk->table, &txn);
		args->captured.reply.version = walk->table.last_version;
	}
	if (args->op == MSP_STORE_GET ||
	    args->captured.reply.status == MSP_E_CONFLICT)
		read_keys(walk, args);
	free_if_over(call);
}

void
walk_answer_call(walk_t *walk, unsigned int index)
{
	walk_call_t *call = &walk->calls[index];

	call->answered = true;
	call->done(call->ctx, &call->args->captured.reply);
	free_if_over(call);
}

/* Its answer is lost; it may take effect yet. */
void
walk_lose_answer(walk_t *walk, unsigned int index)
{
	static const msp_store_reply_t lost = {.status = MSP_E_LOST};
	walk_call_t *call = &walk->calls[index];

	walk->losses++;
	call->answered = true;
	call->done(call->ctx, &lost);
	free_if_over(call);
}

void
walk_ask_owner(
    void *ctx, const msp_ask_t *ask, msp_ask_done_t *done, void *done_ctx)
{
	walk_t *walk = ctx;
	unsigned int i;

	for (i = 0; walk->asks[i].used; i++)
		continue;
	walk->asks[i] = (walk_ask_t){*ask, done, done_ctx, true};
	walk->asks[i].ask.service = "s";
	walk->asks[i].ask.key = "k";
	walk->asks[i].ask.address = "";
}

void
walk_answer_ask(walk_t *walk, unsigned int index)
{
	walk_ask_t asked = walk->asks[index];
	msp_ask_reply_t reply = {.status = MSP_ASK_NO_ANSWER};
	msp_claims_t *owner = walk->vms[asked.ask.incarnation - 1];

	walk->asks[index].used = false;
	if (owner != NULL)
		msp_answer_ask(owner, &asked.ask, &reply);
	asked.done(asked.ctx, &reply);
}

msp_store_t
walk_store(walk_t *walk)
{
	return (msp_store_t){
	    .ctx = walk, .get = start_get, .transact = start_transact};
}
