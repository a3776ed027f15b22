#include <stdlib.h>

#include "claim_model.h"

static void
add_call(
    model_t *model, msp_store_call_t *args, msp_store_done_t *done, void *ctx)
{
	unsigned int i;

	for (i = 0; i < CALLS_MAX; i++) {
		if (model->calls[i].args != NULL)
			continue;
		model->calls[i] =
		    (model_call_t){.args = args, .done = done, .ctx = ctx};
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
read_keys(model_t *model, msp_store_call_t *args)
{
	size_t i;

	for (i = 0; i < args->key_count; i++) {
		const msp_table_row_t *row =
		    msp_find_row(&model->table, args->keys[i]);

		msp_capture_row(&args->captured, args->keys[i],
		    row == NULL ? NULL : row->value,
		    row == NULL ? 0 : row->value_len,
		    row == NULL ? 0 : row->version);
	}
}

static void
free_if_finished(model_call_t *call)
{
	if (!call->applied || !call->answered)
		return;
	msp_drop_store_call(call->args);
	call->args = NULL;
}

void
apply_model_call(model_t *model, unsigned int index)
{
	model_call_t *call = &model->calls[index];
	msp_store_call_t *args = call->args;
	msp_txn_t txn = {
	    args->conditions, args->key_count, args->writes, args->write_count};

	call->applied = true;
	if (args->op == MSP_STORE_TRANSACT) {
		args->captured.reply.status =
		    msp_apply_txn(&model->table, &txn);
		args->captured.reply.version = model->table.last_version;
	}
	if (args->op == MSP_STORE_GET ||
	    args->captured.reply.status == MSP_E_CONFLICT)
		read_keys(model, args);
	free_if_finished(call);
}

void
answer_model_call(model_t *model, unsigned int index)
{
	model_call_t *call = &model->calls[index];

	call->answered = true;
	call->done(call->ctx, &call->args->captured.reply);
	free_if_finished(call);
}

/* The reply is lost; the call may still take effect. */
void
lose_model_reply(model_t *model, unsigned int index)
{
	static const msp_store_reply_t lost = {.status = MSP_E_LOST};
	model_call_t *call = &model->calls[index];

	model->lost_count++;
	call->answered = true;
	call->done(call->ctx, &lost);
	free_if_finished(call);
}

void
query_model_owner(void *ctx, const msp_owner_query_t *query,
    msp_owner_query_done_t *done, void *done_ctx)
{
	model_t *model = ctx;
	unsigned int i;

	for (i = 0; model->queries[i].used; i++)
		continue;
	model->queries[i] = (model_query_t){*query, done, done_ctx, true};
	model->queries[i].query.service = "s";
	model->queries[i].query.key = "k";
	model->queries[i].query.address = "";
}

void
answer_model_query(model_t *model, unsigned int index)
{
	model_query_t pending = model->queries[index];
	msp_owner_reply_t reply = {.status = MSP_OWNER_NO_ANSWER};
	msp_claims_t *owner = model->vms[pending.query.incarnation - 1];

	model->queries[index].used = false;
	if (owner != NULL)
		msp_answer_owner_query(owner, &pending.query, &reply);
	pending.done(pending.ctx, &reply);
}

msp_store_t
model_store(model_t *model)
{
	return (msp_store_t){
	    .ctx = model, .get = start_get, .transact = start_transact};
}
