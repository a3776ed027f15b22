#include "monsoonspindle/platform/http_store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../platform/platform_api.h"
#include "../../platform/store_client.h"
#include "../../platform/vm_row.h"
#include "captured_reply.h"
#include "check_call.h"
#include "store_call.h"

#define NO_TIMEOUT_MS 60000
#define ROW_TABLE "monsoonspindle" /* of the platform's store */
#define AFTER_KEY "!" /* the least that a longer key may go on with */
#define NO_VERSION ((UINT64_C(1) << 53) - 1) /* no row ever has it */

/* One call to the platform under way; several calls of the store may be. */
typedef struct http_store_call {
	TAILQ_ENTRY(http_store_call) entry;
	msp_http_store_t *store;
	store_call_t *call; /* NULL: refused here */
	msp_timer_t *refusal;
	msp_status_t refused;
	msp_store_call_t *args; /* what was asked */
	msp_time_t end;
	msp_captured_reply_t captured;
	msp_store_done_t *done;
	void *done_ctx;
} http_store_call_t;

struct msp_http_store {
	msp_loop_t *loop;
	msp_env_t env;
	store_client_t *client;
	TAILQ_HEAD(http_store_calls, http_store_call) calls;
};

msp_http_store_t *
msp_new_http_store(msp_loop_t *loop, msp_http_client_t *client,
    const char *address, uint16_t port)
{
	msp_http_store_t *store;
	store_source_t source = {.port = port};

	if (strlen(address) >= sizeof(source.address)) {
		msp_fail(MSP_E_RANGE, "the platform's address is too long");
		return NULL;
	}
	strcpy(source.address, address);
	store = calloc(1, sizeof(*store));
	if (store != NULL)
		store->client = new_store_client(client, &source);
	if (store == NULL || store->client == NULL) {
		free(store);
		msp_fail(MSP_E_NO_MEMORY, "no memory for a store");
		return NULL;
	}
	store->loop = loop;
	store->env = msp_system_env();
	TAILQ_INIT(&store->calls);
	return store;
}

static void
free_call(http_store_call_t *call)
{
	cancel_store_call(call->call);
	msp_drop_timer(call->refusal);
	msp_drop_captured_reply(&call->captured);
	msp_drop_store_call(call->args);
	free(call);
}

void
msp_drop_http_store(msp_http_store_t *store)
{
	http_store_call_t *call;
	http_store_call_t *next;

	if (store == NULL)
		return;
	TAILQ_FOREACH_SAFE(call, &store->calls, entry, next)
		free_call(call);
	drop_store_client(store->client);
	free(store);
}

/* The call is dropped last, and `done` may drop the store. */
static void
finish(http_store_call_t *call, msp_status_t status)
{
	msp_store_done_t *done = call->done;
	void *ctx = call->done_ctx;

	TAILQ_REMOVE(&call->store->calls, call, entry);
	if (status == MSP_E_LOST || status == MSP_E_STORE_DOWN)
		msp_drop_captured_reply(&call->captured);
	call->captured.reply.status = status;
	done(ctx, &call->captured.reply);
	free_call(call);
}

static void
on_refusal(void *ctx)
{
	http_store_call_t *call = ctx;

	finish(call, call->refused);
}

static void
refuse(http_store_call_t *call, msp_status_t status)
{
	call->refused = status;
	call->refusal =
	    msp_new_timer(call->store->loop, 0, 0, on_refusal, call);
	if (call->refusal == NULL)
		abort();
}

/* Takes over `args`. Without memory for the call itself there is no way on. */
static http_store_call_t *
new_call(msp_http_store_t *store, msp_store_call_t *args, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	http_store_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL || args == NULL)
		abort();
	call->store = store;
	call->args = args;
	call->end = msp_now(&store->env) +
	    (timeout_ms == 0 ? NO_TIMEOUT_MS : timeout_ms) * MSP_MS;
	call->done = done;
	call->done_ctx = done_ctx;
	TAILQ_INSERT_TAIL(&store->calls, call, entry);
	return call;
}

static uint32_t
left_ms(const http_store_call_t *call)
{
	msp_time_t now = msp_now(&call->store->env);

	return now >= call->end ? 1
				: (uint32_t)((call->end - now) / MSP_MS) + 1;
}

/* The store call was started, or could not be. */
static void
keep_started(http_store_call_t *call, store_call_t *started)
{
	call->call = started;
	if (started == NULL)
		refuse(call, MSP_E_STORE_DOWN);
}

static const store_row_t *
find_row(const store_reply_t *reply, const char *key)
{
	size_t i;

	for (i = 0; i < reply->row_count; i++) {
		if (strcmp(reply->rows[i].key, key) == 0)
			return &reply->rows[i];
	}
	return NULL;
}

/* Captures the rows of all keys asked for, in their order. */
static msp_status_t
capture_keys(http_store_call_t *call, const store_reply_t *reply)
{
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < call->args->key_count && status == MSP_OK; i++) {
		const char *key = call->args->keys[i];
		const store_row_t *row = find_row(reply, key);

		if (row == NULL || row->value == NULL)
			status =
			    msp_capture_row(&call->captured, key, NULL, 0, 0);
		else
			status = msp_capture_row(&call->captured, key,
			    row->value, row->value_len, row->version);
	}
	return status;
}

/* A row that was not asked for shows that the answer is none to this call. */
static bool
answers_keys(const http_store_call_t *call, const store_reply_t *reply)
{
	size_t i;
	size_t k;

	for (i = 0; i < reply->row_count; i++) {
		for (k = 0; k < call->args->key_count; k++) {
			if (strcmp(reply->rows[i].key, call->args->keys[k]) ==
			    0)
				break;
		}
		if (k == call->args->key_count)
			return false;
	}
	return true;
}

static void
on_rows(void *ctx, const store_reply_t *reply)
{
	http_store_call_t *call = ctx;
	msp_status_t status = reply->status;

	call->call = NULL;
	/* Several keys are read by a condition that does not hold. */
	if (status == MSP_E_CONFLICT)
		status = MSP_OK;
	if (status == MSP_OK &&
	    (reply->rows == NULL || !answers_keys(call, reply)))
		status = MSP_E_LOST;
	if (status == MSP_OK)
		status = capture_keys(call, reply);
	finish(call, status);
}

static store_call_t *
read_key(http_store_call_t *call)
{
	char until[MSP_ROW_KEY_MAX + sizeof(AFTER_KEY)];
	store_range_t range = {
	    .from = call->args->keys[0], .until = until, .limit = 1};

	snprintf(until, sizeof(until), "%s%s", range.from, AFTER_KEY);
	return read_store_rows(call->store->client, NULL, ROW_TABLE, &range,
	    left_ms(call), on_rows, call);
}

/* Only a transaction tells of several rows as of one moment. */
static store_call_t *
read_keys(http_store_call_t *call)
{
	msp_condition_t conditions[STORE_TXN_ITEMS_MAX];
	msp_txn_t txn = {
	    .conditions = conditions, .condition_count = call->args->key_count};
	size_t i;

	for (i = 0; i < call->args->key_count; i++)
		conditions[i] = (msp_condition_t){
		    .key = call->args->keys[i], .version = NO_VERSION};
	return transact_store_rows(
	    call->store->client, ROW_TABLE, &txn, left_ms(call), on_rows, call);
}

static void
start_get(void *ctx, const char *const *keys, size_t count, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	http_store_call_t *call =
	    new_call(ctx, msp_new_store_call(MSP_STORE_GET, keys, count),
		timeout_ms, done, done_ctx);
	msp_status_t status = MSP_OK;
	size_t i;

	if (count == 0 || count > MSP_TXN_ITEMS_MAX)
		status = msp_fail(MSP_E_BAD_REQUEST, "too many keys, or none");
	for (i = 0; i < count && status == MSP_OK; i++)
		status = msp_check_row_key(keys[i]);
	if (status != MSP_OK)
		refuse(call, status);
	else
		keep_started(
		    call, count == 1 ? read_key(call) : read_keys(call));
}

static void on_page(void *ctx, const store_reply_t *reply);

/* The next rows that begin with the prefix, after the last captured one. */
static store_call_t *
read_page(http_store_call_t *call)
{
	const msp_store_call_t *args = call->args;
	const msp_captured_reply_t *captured = &call->captured;
	const char *prefix = args->keys[0];
	const char *after = args->after;
	char from[MSP_ROW_KEY_MAX + sizeof(AFTER_KEY)];
	char until[MSP_ROW_KEY_MAX + 1];
	store_range_t range = {.from = prefix, .until = until};

	if (captured->reply.row_count > 0)
		after = captured->rows[captured->reply.row_count - 1].key;
	if (strcmp(after, prefix) >= 0) {
		snprintf(from, sizeof(from), "%s%s", after, AFTER_KEY);
		range.from = from;
	}
	snprintf(until, sizeof(until), "%s", prefix);
	until[strlen(until) - 1]++;
	range.limit = args->limit - captured->reply.row_count;
	if (range.limit > STORE_PAGE_ROWS_MAX)
		range.limit = STORE_PAGE_ROWS_MAX;
	return read_store_rows(call->store->client, NULL, ROW_TABLE, &range,
	    left_ms(call), on_page, call);
}

/* Rows of a page come in order, have the prefix and exist. */
static msp_status_t
capture_page(http_store_call_t *call, const store_reply_t *reply)
{
	const msp_store_call_t *args = call->args;
	msp_captured_reply_t *captured = &call->captured;
	size_t prefix_len = strlen(args->keys[0]);
	msp_status_t status = MSP_OK;
	const char *last = args->after;
	size_t i;

	if (captured->reply.row_count > 0)
		last = captured->rows[captured->reply.row_count - 1].key;
	for (i = 0; i < reply->row_count && status == MSP_OK; i++) {
		const store_row_t *row = &reply->rows[i];

		if (row->value == NULL || strcmp(row->key, last) <= 0 ||
		    strncmp(row->key, args->keys[0], prefix_len) != 0 ||
		    captured->reply.row_count == args->limit)
			return MSP_E_LOST;
		status = msp_capture_row(captured, row->key, row->value,
		    row->value_len, row->version);
		last = row->key;
	}
	return status;
}

static void
on_page(void *ctx, const store_reply_t *reply)
{
	http_store_call_t *call = ctx;
	msp_status_t status = reply->status;

	call->call = NULL;
	if (status == MSP_OK && reply->rows == NULL)
		status = MSP_E_LOST;
	if (status == MSP_E_CONFLICT)
		status = MSP_E_LOST;
	if (status == MSP_OK)
		status = capture_page(call, reply);
	if (status == MSP_OK && reply->has_more && reply->row_count > 0 &&
	    call->captured.reply.row_count < call->args->limit) {
		keep_started(call, read_page(call));
		return;
	}
	finish(call, status);
}

static void
start_scan(void *ctx, const char *prefix, const char *after, size_t limit,
    uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	msp_store_call_t *args = msp_new_store_call(MSP_STORE_SCAN, &prefix, 1);
	msp_status_t status = msp_check_row_key(prefix);
	http_store_call_t *call;

	if (args == NULL ||
	    (args->after = strdup(after == NULL ? "" : after)) == NULL)
		abort();
	args->limit = limit;
	call = new_call(ctx, args, timeout_ms, done, done_ctx);
	if (status == MSP_OK && strlen(args->after) > MSP_ROW_KEY_MAX)
		status = msp_fail(MSP_E_BAD_REQUEST, "a key is too long");
	if (status != MSP_OK || limit == 0)
		refuse(call, status);
	else
		keep_started(call, read_page(call));
}

static void
on_transacted(void *ctx, const store_reply_t *reply)
{
	http_store_call_t *call = ctx;
	msp_status_t status = reply->status;

	call->call = NULL;
	if (status == MSP_OK && reply->version == 0)
		status = MSP_E_LOST;
	if (status == MSP_OK && call->args->write_count > 0)
		call->captured.reply.version = reply->version;
	if (status == MSP_E_CONFLICT &&
	    (reply->rows == NULL || !answers_keys(call, reply) ||
		capture_keys(call, reply) != MSP_OK))
		status = MSP_E_LOST;
	finish(call, status);
}

static store_call_t *
send_transaction(http_store_call_t *call)
{
	const msp_store_call_t *args = call->args;
	msp_txn_t txn = {.conditions = args->conditions,
	    .condition_count = args->key_count,
	    .writes = args->writes,
	    .write_count = args->write_count};

	return transact_store_rows(call->store->client, ROW_TABLE, &txn,
	    left_ms(call), on_transacted, call);
}

static void
start_transact(void *ctx, const msp_txn_t *txn, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	static const msp_txn_t empty;
	msp_status_t status = msp_check_txn(txn);
	http_store_call_t *call =
	    new_call(ctx, msp_new_txn_call(status == MSP_OK ? txn : &empty),
		timeout_ms, done, done_ctx);

	if (status != MSP_OK)
		refuse(call, status);
	else
		keep_started(call, send_transaction(call));
}

static void
on_object(void *ctx, const store_reply_t *reply)
{
	http_store_call_t *call = ctx;
	msp_status_t status = reply->status;

	call->call = NULL;
	if (status == MSP_E_NOT_FOUND && call->args->op != MSP_STORE_GET_OBJECT)
		status = MSP_E_LOST;
	if (status == MSP_OK && call->args->op == MSP_STORE_GET_OBJECT)
		status = msp_capture_object(
		    &call->captured, reply->object, reply->object_len);
	finish(call, status);
}

static void
start_get_object(void *ctx, const char *name, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	msp_http_store_t *store = ctx;
	msp_status_t status = msp_check_object_name(name);
	http_store_call_t *call =
	    new_call(store, msp_new_store_call(MSP_STORE_GET_OBJECT, &name, 1),
		timeout_ms, done, done_ctx);

	if (status != MSP_OK)
		refuse(call, status);
	else
		keep_started(call,
		    read_store_object(
			store->client, name, left_ms(call), on_object, call));
}

static void
start_put_object(void *ctx, const char *name, const void *data, size_t len,
    uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	msp_http_store_t *store = ctx;
	msp_status_t status = msp_check_object_name(name);
	http_store_call_t *call =
	    new_call(store, msp_new_store_call(MSP_STORE_PUT_OBJECT, &name, 1),
		timeout_ms, done, done_ctx);

	if (status != MSP_OK)
		refuse(call, status);
	else
		keep_started(call,
		    write_store_object(store->client, name, data, len,
			left_ms(call), on_object, call));
}

static msp_status_t
capture_vms(http_store_call_t *call, const store_reply_t *reply)
{
	msp_vm_t *vms = calloc(reply->row_count + 1, sizeof(*vms));
	msp_status_t status;
	size_t count = 0;
	vm_row_t row;
	size_t i;

	if (vms == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for VMs");
	for (i = 0; i < reply->row_count; i++) {
		if (reply->rows[i].value == NULL ||
		    decode_vm_row(reply->rows[i].value,
			reply->rows[i].value_len, &row) != MSP_OK)
			continue;
		snprintf(vms[count].name, sizeof(vms[count].name), "%s",
		    reply->rows[i].key);
		snprintf(vms[count].place, sizeof(vms[count].place), "%s",
		    row.place);
		snprintf(vms[count].address, sizeof(vms[count].address), "%s",
		    row.address);
		vms[count].caller_port = row.caller_port;
		vms[count].peer_port = row.peer_port;
		vms[count++].leaving = row.leaving;
	}
	status = msp_capture_vms(&call->captured, vms, count);
	free(vms);
	return status;
}

static void
on_vms(void *ctx, const store_reply_t *reply)
{
	http_store_call_t *call = ctx;
	msp_status_t status = reply->status;

	call->call = NULL;
	if (status == MSP_E_CONFLICT ||
	    (status == MSP_OK && reply->rows == NULL))
		status = MSP_E_LOST;
	if (status == MSP_OK)
		status = capture_vms(call, reply);
	finish(call, status);
}

static void
start_list_vms(
    void *ctx, uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	msp_http_store_t *store = ctx;
	http_store_call_t *call =
	    new_call(store, msp_new_store_call(MSP_STORE_LIST_VMS, NULL, 0),
		timeout_ms, done, done_ctx);

	keep_started(call,
	    read_store_rows(store->client, NULL, VMS_TABLE, NULL, left_ms(call),
		on_vms, call));
}

msp_store_t
msp_http_store(msp_http_store_t *store)
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
