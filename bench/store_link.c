#include "store_link.h"

#include <stdlib.h>
#include <string.h>

#define OLD_ROWS_MAX 8
#define EFFECT_DELAY (300 * MSP_MS)

/* A call in progress. */
typedef struct link_call {
	TAILQ_ENTRY(link_call) entry;
	store_link_t *link; /* NULL once it is dropped */
	msp_store_done_t *done;
	void *done_ctx;
	bool is_get;
} link_call_t;

/* A row as an earlier read returned it. */
typedef struct old_row {
	char key[MSP_ROW_KEY_MAX];
	char *value; /* NULL: absent */
	size_t len;
	uint64_t version;
} old_row_t;

struct store_link {
	const msp_env_t *env;
	msp_memory_store_t *memory;
	msp_store_t store;
	bool down;
	bool stale;
	unsigned int calls_before_fault;
	link_fault_t fault;
	old_row_t old[OLD_ROWS_MAX];
	size_t old_count;
	TAILQ_HEAD(link_calls, link_call) calls; /* passed to the store */
	TAILQ_HEAD(refused_calls, link_call) refused; /* until the next step */
};

store_link_t *
new_store_link(const msp_env_t *env, msp_memory_store_t *store)
{
	store_link_t *link = calloc(1, sizeof(*link));

	if (link == NULL)
		abort();
	link->env = env;
	link->memory = store;
	link->store = msp_memory_store(store);
	TAILQ_INIT(&link->calls);
	TAILQ_INIT(&link->refused);
	return link;
}

void
drop_store_link(store_link_t *link)
{
	link_call_t *call;
	link_call_t *next;
	size_t i;

	TAILQ_FOREACH(call, &link->calls, entry) {
		call->link = NULL;
	}
	TAILQ_FOREACH_SAFE(call, &link->refused, entry, next) {
		free(call);
	}
	for (i = 0; i < link->old_count; i++)
		free(link->old[i].value);
	free(link);
}

void
set_store_link_down(store_link_t *link, bool down)
{
	link->down = down;
}

void
set_store_link_stale(store_link_t *link, bool stale)
{
	link->stale = stale;
}

void
inject_link_fault(store_link_t *link, unsigned int nth, link_fault_t fault)
{
	link->calls_before_fault = nth;
	link->fault = fault;
}

static old_row_t *
find_old_row(store_link_t *link, const char *key)
{
	size_t i;

	for (i = 0; i < link->old_count; i++) {
		if (strcmp(link->old[i].key, key) == 0)
			return &link->old[i];
	}
	return NULL;
}

/*
 * Records a row for stale reads. Once recorded, a row is replaced by a later
 * read with a chance of 1 in 4.
 */
static void
record_row(store_link_t *link, const msp_row_t *row)
{
	old_row_t *old = find_old_row(link, row->key);

	if (old != NULL && msp_random_below(link->env, 4) != 0)
		return;
	if (old == NULL && link->old_count == OLD_ROWS_MAX)
		return;
	if (old == NULL)
		old = &link->old[link->old_count++];
	free(old->value);
	strncpy(old->key, row->key, sizeof(old->key) - 1);
	old->value = NULL;
	old->len = row->value_len;
	old->version = row->version;
	if (row->value == NULL)
		return;
	old->value = malloc(row->value_len + 1);
	if (old->value == NULL)
		abort();
	memcpy(old->value, row->value, row->value_len);
}

static void
reply_stale(link_call_t *call, const msp_store_reply_t *reply)
{
	msp_store_reply_t old_reply = *reply;
	msp_row_t rows[4];
	size_t i;

	for (i = 0; i < reply->row_count && i < 4; i++) {
		const old_row_t *old =
		    find_old_row(call->link, reply->rows[i].key);

		rows[i] = reply->rows[i];
		if (old != NULL)
			rows[i] = (msp_row_t){.key = old->key,
			    .value = old->value,
			    .value_len = old->len,
			    .version = old->version};
	}
	old_reply.rows = rows;
	call->done(call->done_ctx, &old_reply);
}

static void
handle_reply(void *ctx, const msp_store_reply_t *reply)
{
	link_call_t *call = ctx;
	store_link_t *link = call->link;
	size_t i;

	if (link == NULL) {
		free(call);
		return;
	}
	TAILQ_REMOVE(&link->calls, call, entry);
	if (call->is_get && reply->status == MSP_OK && link->stale) {
		reply_stale(call, reply);
	} else {
		for (i = 0; call->is_get && i < reply->row_count; i++)
			record_row(link, &reply->rows[i]);
		call->done(call->done_ctx, reply);
	}
	free(call);
}

void
step_store_link(store_link_t *link)
{
	static const msp_store_reply_t refusal = {.status = MSP_E_STORE_DOWN};
	struct refused_calls due;
	link_call_t *call;
	link_call_t *next;

	TAILQ_INIT(&due);
	TAILQ_CONCAT(&due, &link->refused, entry);
	TAILQ_FOREACH_SAFE(call, &due, entry, next) {
		call->done(call->done_ctx, &refusal);
		free(call);
	}
}

/*
 * Sets the store's faults for this call, until end_call(). Returns NULL if the
 * call is refused; step_store_link() then completes it.
 */
static link_call_t *
begin_call(
    store_link_t *link, msp_store_done_t *done, void *done_ctx, bool is_get)
{
	msp_store_faults_t *faults = msp_memory_store_faults(link->memory);
	link_call_t *call = calloc(1, sizeof(*call));
	link_fault_t fault = LINK_NO_FAULT;

	if (call == NULL)
		abort();
	*call = (link_call_t){
	    .link = link, .done = done, .done_ctx = done_ctx, .is_get = is_get};
	if (link->fault != LINK_NO_FAULT && link->calls_before_fault-- == 0) {
		fault = link->fault;
		link->fault = LINK_NO_FAULT;
	}
	if (link->down || fault == LINK_REFUSE_CALL) {
		TAILQ_INSERT_TAIL(&link->refused, call, entry);
		return NULL;
	}
	if (fault == LINK_LOSE_CALL)
		faults->lose_call_pct = 100;
	if (fault == LINK_LOSE_REPLY)
		faults->lose_reply_pct = 100;
	if (fault == LINK_LATE_EFFECT) {
		faults->late_effect_pct = 100;
		faults->late_effect = EFFECT_DELAY;
	}
	TAILQ_INSERT_TAIL(&link->calls, call, entry);
	return call;
}

/* Restores the store's faults that were in force before the call. */
static void
end_call(store_link_t *link, msp_store_faults_t before)
{
	*msp_memory_store_faults(link->memory) = before;
}

static void
link_get(void *ctx, const char *const *keys, size_t count, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	store_link_t *link = ctx;
	msp_store_faults_t before = *msp_memory_store_faults(link->memory);
	link_call_t *call = begin_call(link, done, done_ctx, true);

	if (call != NULL)
		link->store.get(link->store.ctx, keys, count, timeout_ms,
		    handle_reply, call);
	end_call(link, before);
}

static void
link_scan(void *ctx, const char *prefix, const char *after, size_t limit,
    uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	store_link_t *link = ctx;
	msp_store_faults_t before = *msp_memory_store_faults(link->memory);
	link_call_t *call = begin_call(link, done, done_ctx, false);

	if (call != NULL)
		link->store.scan(link->store.ctx, prefix, after, limit,
		    timeout_ms, handle_reply, call);
	end_call(link, before);
}

static void
link_transact(void *ctx, const msp_txn_t *txn, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	store_link_t *link = ctx;
	msp_store_faults_t before = *msp_memory_store_faults(link->memory);
	link_call_t *call = begin_call(link, done, done_ctx, false);

	if (call != NULL)
		link->store.transact(
		    link->store.ctx, txn, timeout_ms, handle_reply, call);
	end_call(link, before);
}

static void
link_get_object(void *ctx, const char *name, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	store_link_t *link = ctx;
	msp_store_faults_t before = *msp_memory_store_faults(link->memory);
	link_call_t *call = begin_call(link, done, done_ctx, false);

	if (call != NULL)
		link->store.get_object(
		    link->store.ctx, name, timeout_ms, handle_reply, call);
	end_call(link, before);
}

static void
link_put_object(void *ctx, const char *name, const void *data, size_t len,
    uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	store_link_t *link = ctx;
	msp_store_faults_t before = *msp_memory_store_faults(link->memory);
	link_call_t *call = begin_call(link, done, done_ctx, false);

	if (call != NULL)
		link->store.put_object(link->store.ctx, name, data, len,
		    timeout_ms, handle_reply, call);
	end_call(link, before);
}

msp_store_t
get_link_store(store_link_t *link)
{
	return (msp_store_t){.ctx = link,
	    .get = link_get,
	    .scan = link_scan,
	    .transact = link_transact,
	    .get_object = link_get_object,
	    .put_object = link_put_object};
}
