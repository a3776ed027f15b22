#include "monsoonspindle/platform/memory_store.h"

#include <stdlib.h>
#include <string.h>

#include "check_call.h"
#include "store_data.h"

#define WRITE_WAIT_MAX (500 * MSP_MS) /* longer waits are refused */

TAILQ_HEAD(call_queue, msp_store_call);

struct msp_memory_store {
	msp_env_t env;
	msp_store_faults_t faults;
	msp_store_data_t data;
	struct call_queue effects; /* sorted by effect_at */
	struct call_queue replies; /* sorted by reply_at */
	msp_time_t next_write_at; /* earliest time, by writes_per_second */
};

msp_memory_store_t *
msp_new_memory_store(const msp_env_t *env)
{
	msp_memory_store_t *store = calloc(1, sizeof(*store));

	if (store == NULL)
		return NULL;
	store->env = *env;
	msp_init_store_data(&store->data);
	TAILQ_INIT(&store->effects);
	TAILQ_INIT(&store->replies);
	return store;
}

static void
remove_effect(msp_memory_store_t *store, msp_store_call_t *call)
{
	TAILQ_REMOVE(&store->effects, call, effect_entry);
	call->effect_pending = false;
}

static void
remove_reply(msp_memory_store_t *store, msp_store_call_t *call)
{
	TAILQ_REMOVE(&store->replies, call, reply_entry);
	call->reply_pending = false;
}

void
msp_drop_memory_store(msp_memory_store_t *store)
{
	msp_store_call_t *call;

	if (store == NULL)
		return;
	while ((call = TAILQ_FIRST(&store->effects)) != NULL) {
		remove_effect(store, call);
		if (!call->reply_pending)
			msp_drop_store_call(call);
	}
	while ((call = TAILQ_FIRST(&store->replies)) != NULL) {
		remove_reply(store, call);
		msp_drop_store_call(call);
	}
	msp_clear_store_data(&store->data);
	free(store);
}

msp_store_faults_t *
msp_memory_store_faults(msp_memory_store_t *store)
{
	return &store->faults;
}

const msp_store_stats_t *
msp_memory_store_stats(const msp_memory_store_t *store)
{
	return &store->data.stats;
}

msp_status_t
msp_set_memory_store_vms(msp_memory_store_t *store, const msp_vm_t *vms,
    size_t count, msp_time_t lag)
{
	return msp_add_vm_snapshot(
	    &store->data.vms, vms, count, msp_now(&store->env) + lag);
}

const char *
msp_peek_memory_store_row(
    msp_memory_store_t *store, const char *key, size_t *len)
{
	const msp_table_row_t *row = msp_find_row(&store->data.table, key);

	if (row == NULL)
		return NULL;
	*len = row->value_len;
	return row->value;
}

bool
msp_has_listed_vms(const msp_memory_store_t *store)
{
	return !TAILQ_EMPTY(&store->data.vms.snapshots);
}

msp_status_t
msp_put_memory_store_row(msp_memory_store_t *store, const char *key,
    const void *value, size_t value_len)
{
	msp_write_t write = {
	    .key = key, .value = value, .value_len = value_len};
	msp_txn_t txn = {.writes = &write, .write_count = 1};

	return msp_transact_store_data(
	    &store->data, &txn, msp_now(&store->env));
}

void
msp_keep_memory_store_copies(msp_memory_store_t *store, msp_time_t span)
{
	store->data.undo.span = span;
	if (store->data.era == 0)
		store->data.era = 1;
}

msp_status_t
msp_restore_memory_store(msp_memory_store_t *store, msp_time_t age)
{
	msp_time_t now = msp_now(&store->env);
	msp_status_t status = msp_undo_since(
	    &store->data.undo, &store->data.table, now > age ? now - age : 0);

	if (status == MSP_OK)
		store->data.era++;
	return status;
}

uint64_t
msp_memory_store_era(const msp_memory_store_t *store)
{
	return store->data.era;
}

uint64_t
msp_memory_store_version(const msp_memory_store_t *store)
{
	return store->data.table.last_version;
}

void
msp_discard_removed_rows(msp_memory_store_t *store)
{
	store->data.table.history_start = store->data.table.last_version;
}

static void
visit_removed(const msp_table_t *table, const char *prefix, uint64_t version,
    void (*visit)(void *ctx, const msp_row_t *row), void *ctx)
{
	const msp_removed_row_t *removed;
	size_t len = strlen(prefix);

	TAILQ_FOREACH(removed, &table->removed, link) {
		msp_row_t out = {
		    .key = removed->key, .version = removed->version};

		if (removed->version > version &&
		    strncmp(removed->key, prefix, len) == 0)
			visit(ctx, &out);
	}
}

bool
msp_visit_changed_rows(msp_memory_store_t *store, const char *prefix,
    uint64_t version, void (*visit)(void *ctx, const msp_row_t *row), void *ctx)
{
	msp_table_t *table = &store->data.table;
	const msp_table_row_t *row;
	size_t len = strlen(prefix);

	/* A version that was not given out is one of another era. */
	if (version < table->history_start || version > table->last_version)
		return false;
	visit_removed(table, prefix, version, visit, ctx);
	for (row = msp_next_row(table, prefix);
	     row != NULL && strncmp(row->key, prefix, len) == 0;
	     row = msp_next_row(table, row->key)) {
		msp_row_t out = {.key = row->key,
		    .value = row->value,
		    .value_len = row->value_len,
		    .version = row->version};

		if (row->version > version)
			visit(ctx, &out);
	}
	return true;
}

static bool
draw_fault(msp_memory_store_t *store, unsigned int percent)
{
	return percent > 0 && msp_random_below(&store->env, 100) < percent;
}

/*
 * Returns how long `call` is delayed by the limit of the write rate; MSP_NEVER
 * if that is too long, and the call is refused.
 */
static msp_time_t
reserve_write(msp_memory_store_t *store, const msp_store_call_t *call)
{
	const msp_store_faults_t *faults = &store->faults;
	msp_time_t now = msp_now(&store->env);
	uint64_t count = call->op == MSP_STORE_PUT_OBJECT ? 1
	    : faults->count_rows			  ? call->write_count
							  : 1;

	if (faults->writes_per_second == 0 ||
	    (call->op == MSP_STORE_TRANSACT && call->write_count == 0))
		return 0;
	if (store->next_write_at < now)
		store->next_write_at = now;
	if (store->next_write_at - now > WRITE_WAIT_MAX)
		return MSP_NEVER;
	store->next_write_at += count * MSP_SECOND / faults->writes_per_second;
	return store->next_write_at - now;
}

static void
queue_effect(msp_memory_store_t *store, msp_store_call_t *call)
{
	msp_store_call_t *before;

	call->effect_pending = true;
	TAILQ_FOREACH_REVERSE(before, &store->effects, call_queue, effect_entry)
	if (before->effect_at <= call->effect_at)
		break;
	if (before == NULL)
		TAILQ_INSERT_HEAD(&store->effects, call, effect_entry);
	else
		TAILQ_INSERT_AFTER(&store->effects, before, call, effect_entry);
}

static void
queue_reply(msp_memory_store_t *store, msp_store_call_t *call)
{
	msp_store_call_t *before;

	call->reply_pending = true;
	TAILQ_FOREACH_REVERSE(before, &store->replies, call_queue, reply_entry)
	if (before->reply_at <= call->reply_at)
		break;
	if (before == NULL)
		TAILQ_INSERT_HEAD(&store->replies, call, reply_entry);
	else
		TAILQ_INSERT_AFTER(&store->replies, before, call, reply_entry);
}

static void
refuse_call(
    msp_memory_store_t *store, msp_store_call_t *call, msp_status_t status)
{
	call->captured.reply.status = status;
	call->reply_at = msp_now(&store->env);
	queue_reply(store, call);
}

/* Sets when the call is applied and when the reply is sent. */
static void
schedule_call(
    msp_memory_store_t *store, msp_store_call_t *call, uint32_t timeout_ms)
{
	const msp_store_faults_t *faults = &store->faults;
	msp_time_t now = msp_now(&store->env);
	msp_time_t timeout_at = now + timeout_ms * MSP_MS;
	msp_time_t one_way =
	    (faults->latency +
		msp_random_below(&store->env, faults->jitter + 1)) /
	    2;

	call->effect_at = now + one_way;
	if (msp_is_store_write(call)) {
		msp_time_t wait = reserve_write(store, call);

		if (wait == MSP_NEVER) {
			refuse_call(store, call, MSP_E_STORE_DOWN);
			return;
		}
		call->effect_at += wait;
	}
	call->reply_at = call->effect_at + one_way;
	if (draw_fault(store, faults->lose_call_pct)) {
		call->effect_at = MSP_NEVER;
		call->reply_lost = true;
	} else if (msp_is_store_write(call) &&
	    draw_fault(store, faults->late_effect_pct)) {
		call->effect_at = timeout_at + faults->late_effect;
		call->reply_lost = true;
	} else if (draw_fault(store, faults->lose_reply_pct)) {
		call->reply_lost = true;
	}
	if (call->reply_at > timeout_at || call->reply_lost) {
		call->reply_at = timeout_at;
		call->reply_lost = true;
	}
	if (call->effect_at != MSP_NEVER)
		queue_effect(store, call);
	queue_reply(store, call);
}

/* Aborts if the call could not be allocated: `done` can't be called then. */
static void
start_call(msp_memory_store_t *store, msp_store_call_t *call,
    msp_status_t check_status, uint32_t timeout_ms, msp_store_done_t *done,
    void *done_ctx)
{
	if (call == NULL)
		abort();
	call->done = done;
	call->done_ctx = done_ctx;
	if (check_status != MSP_OK)
		refuse_call(store, call, check_status);
	else if (store->faults.down)
		refuse_call(store, call, MSP_E_STORE_DOWN);
	else
		schedule_call(store, call, timeout_ms);
}

static void
start_get(void *ctx, const char *const *keys, size_t count, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < count && status == MSP_OK; i++)
		status = msp_check_row_key(keys[i]);
	start_call(ctx, msp_new_store_call(MSP_STORE_GET, keys, count), status,
	    timeout_ms, done, done_ctx);
}

static void
start_scan(void *ctx, const char *prefix, const char *after, size_t limit,
    uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	msp_store_call_t *call = msp_new_store_call(MSP_STORE_SCAN, &prefix, 1);

	if (call == NULL ||
	    (call->after = strdup(after == NULL ? "" : after)) == NULL)
		abort();
	call->limit = limit;
	start_call(
	    ctx, call, msp_check_row_key(prefix), timeout_ms, done, done_ctx);
}

static void
start_transact(void *ctx, const msp_txn_t *txn, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	msp_status_t status = msp_check_txn(txn);
	static const msp_txn_t empty;

	start_call(ctx, msp_new_txn_call(status == MSP_OK ? txn : &empty),
	    status, timeout_ms, done, done_ctx);
}

static void
start_get_object(void *ctx, const char *name, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	start_call(ctx, msp_new_store_call(MSP_STORE_GET_OBJECT, &name, 1),
	    msp_check_object_name(name), timeout_ms, done, done_ctx);
}

static void
start_put_object(void *ctx, const char *name, const void *data, size_t len,
    uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	msp_store_call_t *call =
	    msp_new_store_call(MSP_STORE_PUT_OBJECT, &name, 1);

	if (call == NULL || (call->object = malloc(len + 1)) == NULL)
		abort();
	if (len > 0)
		memcpy(call->object, data, len);
	call->object_len = len;
	start_call(
	    ctx, call, msp_check_object_name(name), timeout_ms, done, done_ctx);
}

static void
start_list_vms(
    void *ctx, uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	start_call(ctx, msp_new_store_call(MSP_STORE_LIST_VMS, NULL, 0), MSP_OK,
	    timeout_ms, done, done_ctx);
}

msp_store_t
msp_memory_store(msp_memory_store_t *store)
{
	return (msp_store_t){
	    .ctx = store,
	    .get = start_get,
	    .scan = start_scan,
	    .transact = start_transact,
	    .get_object = start_get_object,
	    .put_object = start_put_object,
	    .list_vms = start_list_vms,
	};
}

static void
complete_call(msp_store_call_t *call)
{
	static const msp_store_reply_t lost = {.status = MSP_E_LOST};

	call->done(
	    call->done_ctx, call->reply_lost ? &lost : &call->captured.reply);
}

static void
run_due_effects(msp_memory_store_t *store, msp_time_t now)
{
	msp_store_call_t *call;

	while ((call = TAILQ_FIRST(&store->effects)) != NULL &&
	    call->effect_at <= now) {
		remove_effect(store, call);
		msp_run_store_call(&store->data, call, now);
		if (!call->reply_pending)
			msp_drop_store_call(call);
	}
}

/* A call made by `done` is applied before its own reply is due. */
void
msp_step_memory_store(msp_memory_store_t *store)
{
	msp_time_t now = msp_now(&store->env);
	msp_store_call_t *call;

	for (;;) {
		run_due_effects(store, now);
		call = TAILQ_FIRST(&store->replies);
		if (call == NULL || call->reply_at > now)
			return;
		remove_reply(store, call);
		complete_call(call);
		if (!call->effect_pending)
			msp_drop_store_call(call);
	}
}

msp_time_t
msp_memory_store_deadline(const msp_memory_store_t *store)
{
	const msp_store_call_t *effect = TAILQ_FIRST(&store->effects);
	const msp_store_call_t *reply = TAILQ_FIRST(&store->replies);
	msp_time_t at = effect == NULL ? MSP_NEVER : effect->effect_at;

	if (reply != NULL && reply->reply_at < at)
		at = reply->reply_at;
	return at;
}
