#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim_sim_private.h"

#define NET_DELAY (2 * MSP_MS)
#define FAR_DELAY (30 * MSP_MS)
#define ASK_TIMEOUT (500 * MSP_MS)
#define GONE_AFTER (3 * MSP_SECOND) /* until members notice */

/* One store call of a VM. */
typedef struct link_call {
	claim_sim_vm_t *vm;
	msp_store_done_t *done;
	void *ctx;
	msp_captured_reply_t captured;
} link_call_t;

static void
finish_call(void *ctx)
{
	link_call_t *call = ctx;

	call->done(call->ctx, &call->captured.reply);
	msp_drop_captured_reply(&call->captured);
	free(call);
}

static void
copy_reply(msp_captured_reply_t *to, const msp_store_reply_t *from)
{
	size_t i;

	to->reply.status = from->status;
	to->reply.version = from->version;
	for (i = 0; i < from->row_count; i++)
		msp_capture_row(to, from->rows[i].key, from->rows[i].value,
		    from->rows[i].value_len, from->rows[i].version);
	if (from->object != NULL)
		msp_capture_object(to, from->object, from->object_len);
}

static void
on_reply(void *ctx, const msp_store_reply_t *reply)
{
	link_call_t *call = ctx;

	copy_reply(&call->captured, reply);
	deliver_to_vm(call->vm, finish_call, call);
}

static void
on_cut(void *ctx)
{
	static const msp_store_reply_t lost = {.status = MSP_E_LOST};

	on_reply(ctx, &lost);
}

/* Returns NULL if the VM is cut from the store: the call is lost. */
static link_call_t *
new_call(
    claim_sim_vm_t *vm, uint32_t timeout_ms, msp_store_done_t *done, void *ctx)
{
	link_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		abort();
	*call = (link_call_t){.vm = vm, .done = done, .ctx = ctx};
	if (!vm->store_unreachable)
		return call;
	schedule_claim_sim_event(vm->sim, timeout_ms * MSP_MS, on_cut, call);
	return NULL;
}

static void
link_get(void *ctx, const char *const *keys, size_t count, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	claim_sim_vm_t *vm = ctx;
	msp_store_t store = msp_memory_store(vm->sim->store);
	link_call_t *call = new_call(vm, timeout_ms, done, done_ctx);

	if (call != NULL)
		store.get(store.ctx, keys, count, timeout_ms, on_reply, call);
}

static void
link_transact(void *ctx, const msp_txn_t *txn, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	claim_sim_vm_t *vm = ctx;
	msp_store_t store = msp_memory_store(vm->sim->store);
	link_call_t *call = new_call(vm, timeout_ms, done, done_ctx);

	if (call != NULL)
		store.transact(store.ctx, txn, timeout_ms, on_reply, call);
}

static void
link_get_object(void *ctx, const char *name, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	claim_sim_vm_t *vm = ctx;
	msp_store_t store = msp_memory_store(vm->sim->store);
	link_call_t *call = new_call(vm, timeout_ms, done, done_ctx);

	if (call != NULL)
		store.get_object(store.ctx, name, timeout_ms, on_reply, call);
}

static void
link_put_object(void *ctx, const char *name, const void *data, size_t len,
    uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	claim_sim_vm_t *vm = ctx;
	msp_store_t store = msp_memory_store(vm->sim->store);
	link_call_t *call = new_call(vm, timeout_ms, done, done_ctx);

	if (call != NULL)
		store.put_object(
		    store.ctx, name, data, len, timeout_ms, on_reply, call);
}

msp_store_t
make_claim_sim_store(claim_sim_vm_t *vm)
{
	return (msp_store_t){
	    .ctx = vm,
	    .get = link_get,
	    .transact = link_transact,
	    .get_object = link_get_object,
	    .put_object = link_put_object,
	};
}

/* A question on its way to an owner and back. */
typedef struct question {
	claim_sim_vm_t *from;
	claim_sim_vm_t *to;
	char service[32];
	char key[64];
	char address[16];
	msp_owner_query_t ask;
	msp_owner_reply_t reply;
	msp_claim_outcome_t *outcome;
	msp_owner_query_done_t *done;
	void *ctx;
} question_t;

static void
finish_question(void *ctx)
{
	question_t *question = ctx;

	question->done(question->ctx, &question->reply);
	free(question->outcome);
	free(question);
}

static void
return_answer(void *ctx)
{
	question_t *question = ctx;

	deliver_to_vm(question->from, finish_question, question);
}

static msp_time_t
delay_between(const claim_sim_vm_t *a, const claim_sim_vm_t *b)
{
	bool far =
	    (a->index == CLAIM_SIM_VMS - 1) != (b->index == CLAIM_SIM_VMS - 1);

	return far ? FAR_DELAY : NET_DELAY;
}

static void
arrive(void *ctx)
{
	question_t *question = ctx;
	claim_sim_vm_t *to = question->to;

	question->reply.status = MSP_OWNER_NO_ANSWER;
	if (to->peers_unreachable || question->from->peers_unreachable ||
	    (to->alive && is_vm_frozen(to))) {
		schedule_claim_sim_event(
		    to->sim, ASK_TIMEOUT, return_answer, question);
		return;
	}
	if (to->alive) {
		msp_answer_owner_query(
		    to->claims, &question->ask, &question->reply);
		if (question->reply.outcome != NULL) {
			question->outcome =
			    msp_copy_claim_outcome(question->reply.outcome);
			question->reply.outcome = question->outcome;
		}
	}
	schedule_claim_sim_event(to->sim, delay_between(question->from, to),
	    return_answer, question);
}

void
query_claim_sim_owner(void *ctx, const msp_owner_query_t *ask,
    msp_owner_query_done_t *done, void *done_ctx)
{
	claim_sim_vm_t *from = ctx;
	question_t *question = calloc(1, sizeof(*question));

	if (question == NULL)
		abort();
	snprintf(
	    question->service, sizeof(question->service), "%s", ask->service);
	snprintf(question->key, sizeof(question->key), "%s", ask->key);
	snprintf(
	    question->address, sizeof(question->address), "%s", ask->address);
	question->ask = *ask;
	question->ask.service = question->service;
	question->ask.key = question->key;
	question->ask.address = question->address;
	question->from = from;
	question->to = &from->sim->vms[ask->address[2] - '0'];
	question->done = done;
	question->ctx = done_ctx;
	schedule_claim_sim_event(
	    from->sim, delay_between(from, question->to), arrive, question);
}

/* Members may be wrong: a frozen or cut-off VM is taken for gone too. */
bool
is_claim_sim_vm_gone(void *ctx, uint64_t incarnation)
{
	const claim_sim_vm_t *asking = ctx;
	claim_sim_t *world = asking->sim;
	unsigned int i;

	for (i = 0; i < CLAIM_SIM_VMS; i++) {
		const claim_sim_vm_t *vm = &world->vms[i];

		if (vm->incarnation != incarnation)
			continue;
		if (!vm->alive)
			return world->venv.now - vm->killed_at >= GONE_AFTER;
		return vm->peers_unreachable ||
		    (is_vm_frozen(vm) && draw_claim_sim_random(world, 2) == 0);
	}
	return true;
}
