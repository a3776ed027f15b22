#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim_sim_private.h"

#define NET_DELAY (2 * MSP_MS)
#define REMOTE_DELAY (30 * MSP_MS)
#define QUERY_TIMEOUT (500 * MSP_MS)
#define GONE_AFTER (3 * MSP_SECOND) /* until peers see that a VM is dead */

/* A call of a VM to the store. */
typedef struct store_call {
	claim_sim_vm_t *vm;
	msp_store_done_t *done;
	void *ctx;
	msp_captured_reply_t captured;
} store_call_t;

static void
finish_call(void *ctx)
{
	store_call_t *call = ctx;

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
handle_reply(void *ctx, const msp_store_reply_t *reply)
{
	store_call_t *call = ctx;

	copy_reply(&call->captured, reply);
	deliver_to_vm(call->vm, finish_call, call);
}

static void
handle_call_timeout(void *ctx)
{
	static const msp_store_reply_t lost = {.status = MSP_E_LOST};

	handle_reply(ctx, &lost);
}

/*
 * Returns NULL if the VM can't reach the store: then the call ends with
 * MSP_E_LOST after the timeout.
 */
static store_call_t *
new_call(
    claim_sim_vm_t *vm, uint32_t timeout_ms, msp_store_done_t *done, void *ctx)
{
	store_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		abort();
	*call = (store_call_t){.vm = vm, .done = done, .ctx = ctx};
	if (!vm->store_unreachable)
		return call;
	schedule_claim_sim_event(
	    vm->sim, timeout_ms * MSP_MS, handle_call_timeout, call);
	return NULL;
}

static void
get_rows(void *ctx, const char *const *keys, size_t count, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	claim_sim_vm_t *vm = ctx;
	msp_store_t store = msp_memory_store(vm->sim->store);
	store_call_t *call = new_call(vm, timeout_ms, done, done_ctx);

	if (call != NULL)
		store.get(
		    store.ctx, keys, count, timeout_ms, handle_reply, call);
}

static void
transact(void *ctx, const msp_txn_t *txn, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	claim_sim_vm_t *vm = ctx;
	msp_store_t store = msp_memory_store(vm->sim->store);
	store_call_t *call = new_call(vm, timeout_ms, done, done_ctx);

	if (call != NULL)
		store.transact(store.ctx, txn, timeout_ms, handle_reply, call);
}

static void
get_object(void *ctx, const char *name, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	claim_sim_vm_t *vm = ctx;
	msp_store_t store = msp_memory_store(vm->sim->store);
	store_call_t *call = new_call(vm, timeout_ms, done, done_ctx);

	if (call != NULL)
		store.get_object(
		    store.ctx, name, timeout_ms, handle_reply, call);
}

static void
put_object(void *ctx, const char *name, const void *data, size_t len,
    uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	claim_sim_vm_t *vm = ctx;
	msp_store_t store = msp_memory_store(vm->sim->store);
	store_call_t *call = new_call(vm, timeout_ms, done, done_ctx);

	if (call != NULL)
		store.put_object(
		    store.ctx, name, data, len, timeout_ms, handle_reply, call);
}

msp_store_t
make_claim_sim_store(claim_sim_vm_t *vm)
{
	return (msp_store_t){
	    .ctx = vm,
	    .get = get_rows,
	    .transact = transact,
	    .get_object = get_object,
	    .put_object = put_object,
	};
}

/* A query to the owner of a claim, with copies of its strings. */
typedef struct owner_call {
	claim_sim_vm_t *from;
	claim_sim_vm_t *to;
	char service[32];
	char key[64];
	char address[16];
	msp_owner_query_t query;
	msp_owner_reply_t reply;
	msp_claim_outcome_t *outcome; /* copy, or NULL */
	msp_owner_query_done_t *done;
	void *ctx;
} owner_call_t;

static void
finish_owner_call(void *ctx)
{
	owner_call_t *call = ctx;

	call->done(call->ctx, &call->reply);
	free(call->outcome);
	free(call);
}

static void
handle_query_reply(void *ctx)
{
	owner_call_t *call = ctx;

	deliver_to_vm(call->from, finish_owner_call, call);
}

/* Returns the network delay between two VMs. */
static msp_time_t
get_delay(const claim_sim_vm_t *a, const claim_sim_vm_t *b)
{
	bool remote =
	    (a->index == CLAIM_SIM_VMS - 1) != (b->index == CLAIM_SIM_VMS - 1);

	return remote ? REMOTE_DELAY : NET_DELAY;
}

static void
handle_query(void *ctx)
{
	owner_call_t *call = ctx;
	claim_sim_vm_t *to = call->to;

	call->reply.status = MSP_OWNER_NO_ANSWER;
	if (to->peers_unreachable || call->from->peers_unreachable ||
	    (to->alive && is_vm_frozen(to))) {
		schedule_claim_sim_event(
		    to->sim, QUERY_TIMEOUT, handle_query_reply, call);
		return;
	}
	if (to->alive) {
		msp_answer_owner_query(to->claims, &call->query, &call->reply);
		if (call->reply.outcome != NULL) {
			call->outcome =
			    msp_copy_claim_outcome(call->reply.outcome);
			call->reply.outcome = call->outcome;
		}
	}
	schedule_claim_sim_event(
	    to->sim, get_delay(call->from, to), handle_query_reply, call);
}

void
query_claim_sim_owner(void *ctx, const msp_owner_query_t *query,
    msp_owner_query_done_t *done, void *done_ctx)
{
	claim_sim_vm_t *from = ctx;
	owner_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		abort();
	snprintf(call->service, sizeof(call->service), "%s", query->service);
	snprintf(call->key, sizeof(call->key), "%s", query->key);
	snprintf(call->address, sizeof(call->address), "%s", query->address);
	call->query = *query;
	call->query.service = call->service;
	call->query.key = call->key;
	call->query.address = call->address;
	call->from = from;
	call->to = &from->sim->vms[query->address[2] - '0'];
	call->done = done;
	call->ctx = done_ctx;
	schedule_claim_sim_event(
	    from->sim, get_delay(from, call->to), handle_query, call);
}

/*
 * The membership may be wrong: it also takes VMs for gone that are frozen or
 * unreachable.
 */
bool
is_claim_sim_vm_gone(void *ctx, uint64_t incarnation)
{
	const claim_sim_vm_t *observer = ctx;
	claim_sim_t *sim = observer->sim;
	unsigned int i;

	for (i = 0; i < CLAIM_SIM_VMS; i++) {
		const claim_sim_vm_t *vm = &sim->vms[i];

		if (vm->incarnation != incarnation)
			continue;
		if (!vm->alive)
			return sim->venv.now - vm->killed_at >= GONE_AFTER;
		return vm->peers_unreachable ||
		    (is_vm_frozen(vm) && draw_claim_sim_random(sim, 2) == 0);
	}
	return true;
}
