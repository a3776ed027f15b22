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

#define DEFAULT_TIMEOUT_MS 60000 /* if timeout_ms is 0 */
#define ROW_TABLE "monsoonspindle" /* table of the platform's store */
#define KEY_SUFFIX_MIN "!" /* the smallest character of a key */
#define UNUSED_VERSION ((UINT64_C(1) << 53) - 1) /* no row has it */

/* A pending call. It may take several requests to the platform's store. */
typedef struct http_store_call {
	TAILQ_ENTRY(http_store_call) entry;
	msp_http_store_t *store;
	store_call_t *call; /* pending request; NULL: none */
	msp_timer_t *completion_timer; /* ends the call without a request */
	msp_status_t completion_status;
	msp_store_call_t *args; /* owned */
	msp_time_t deadline;
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
		msp_fail(MSP_E_RANGE,
		    "the address of the platform's store is too long");
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
	msp_drop_timer(call->completion_timer);
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

/* `done` may drop the store, so the call is removed from its list first. */
static void
complete_call(http_store_call_t *call, msp_status_t status)
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
handle_completion_timer(void *ctx)
{
	http_store_call_t *call = ctx;

	complete_call(call, call->completion_status);
}

static void
schedule_completion(http_store_call_t *call, msp_status_t status)
{
	call->completion_status = status;
	call->completion_timer = msp_new_timer(
	    call->store->loop, 0, 0, handle_completion_timer, call);
	if (call->completion_timer == NULL)
		abort();
}

/* Takes over `args`. Aborts when out of memory: `done` can't be called then. */
static http_store_call_t *
new_call(msp_http_store_t *store, msp_store_call_t *args, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	http_store_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL || args == NULL)
		abort();
	call->store = store;
	call->args = args;
	call->deadline = msp_now(&store->env) +
	    (timeout_ms == 0 ? DEFAULT_TIMEOUT_MS : timeout_ms) * MSP_MS;
	call->done = done;
	call->done_ctx = done_ctx;
	TAILQ_INSERT_TAIL(&store->calls, call, entry);
	return call;
}

static uint32_t
get_time_left_ms(const http_store_call_t *call)
{
	msp_time_t now = msp_now(&call->store->env);

	return now >= call->deadline
	    ? 1
	    : (uint32_t)((call->deadline - now) / MSP_MS) + 1;
}

/* `started` is NULL if the request could not be sent. */
static void
set_started_call(http_store_call_t *call, store_call_t *started)
{
	call->call = started;
	if (started == NULL)
		schedule_completion(call, MSP_E_STORE_DOWN);
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

/* Stores the rows of all requested keys in the reply, in their order. */
static msp_status_t
capture_requested_rows(http_store_call_t *call, const store_reply_t *reply)
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

/* A response with a row that was not requested belongs to another call. */
static bool
has_only_requested_rows(
    const http_store_call_t *call, const store_reply_t *reply)
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
handle_rows(void *ctx, const store_reply_t *reply)
{
	http_store_call_t *call = ctx;
	msp_status_t status = reply->status;

	call->call = NULL;
	/* read_keys() reads with conditions that always fail. */
	if (status == MSP_E_CONFLICT)
		status = MSP_OK;
	if (status == MSP_OK &&
	    (reply->rows == NULL || !has_only_requested_rows(call, reply)))
		status = MSP_E_LOST;
	if (status == MSP_OK)
		status = capture_requested_rows(call, reply);
	complete_call(call, status);
}

static store_call_t *
read_key(http_store_call_t *call)
{
	char until[MSP_ROW_KEY_MAX + sizeof(KEY_SUFFIX_MIN)];
	store_range_t range = {
	    .from = call->args->keys[0], .until = until, .limit = 1};

	snprintf(until, sizeof(until), "%s%s", range.from, KEY_SUFFIX_MIN);
	return read_store_rows(call->store->client, NULL, ROW_TABLE, &range,
	    &(store_call_options_t){.begin_ms = get_time_left_ms(call)},
	    handle_rows, call);
}

/* Only a failed transaction returns several rows as of the same version. */
static store_call_t *
read_keys(http_store_call_t *call)
{
	msp_condition_t conditions[STORE_TXN_ITEMS_MAX];
	msp_txn_t txn = {
	    .conditions = conditions, .condition_count = call->args->key_count};
	size_t i;

	for (i = 0; i < call->args->key_count; i++)
		conditions[i] = (msp_condition_t){
		    .key = call->args->keys[i], .version = UNUSED_VERSION};
	return transact_store_rows(call->store->client, ROW_TABLE, &txn,
	    get_time_left_ms(call), handle_rows, call);
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
		status = msp_fail(
		    MSP_E_BAD_REQUEST, "a read has no keys or too many");
	for (i = 0; i < count && status == MSP_OK; i++)
		status = msp_check_row_key(keys[i]);
	if (status != MSP_OK)
		schedule_completion(call, status);
	else
		set_started_call(
		    call, count == 1 ? read_key(call) : read_keys(call));
}

static void handle_page(void *ctx, const store_reply_t *reply);

/* Reads the next rows with the prefix, after the last one in the reply. */
static store_call_t *
read_page(http_store_call_t *call)
{
	const msp_store_call_t *args = call->args;
	const msp_captured_reply_t *captured = &call->captured;
	const char *prefix = args->keys[0];
	const char *after = args->after;
	char from[MSP_ROW_KEY_MAX + sizeof(KEY_SUFFIX_MIN)];
	char until[MSP_ROW_KEY_MAX + 1];
	store_range_t range = {.from = prefix, .until = until};

	if (captured->reply.row_count > 0)
		after = captured->rows[captured->reply.row_count - 1].key;
	if (strcmp(after, prefix) >= 0) {
		snprintf(from, sizeof(from), "%s%s", after, KEY_SUFFIX_MIN);
		range.from = from;
	}
	snprintf(until, sizeof(until), "%s", prefix);
	until[strlen(until) - 1]++;
	range.limit = args->limit - captured->reply.row_count;
	if (range.limit > STORE_PAGE_ROWS_MAX)
		range.limit = STORE_PAGE_ROWS_MAX;
	return read_store_rows(call->store->client, NULL, ROW_TABLE, &range,
	    &(store_call_options_t){.begin_ms = get_time_left_ms(call)},
	    handle_page, call);
}

/* Checks that the rows exist, are sorted and have the prefix. */
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
handle_page(void *ctx, const store_reply_t *reply)
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
		set_started_call(call, read_page(call));
		return;
	}
	complete_call(call, status);
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
		status = msp_fail(MSP_E_BAD_REQUEST, "the key is too long");
	if (status != MSP_OK || limit == 0)
		schedule_completion(call, status);
	else
		set_started_call(call, read_page(call));
}

static void
handle_transaction(void *ctx, const store_reply_t *reply)
{
	http_store_call_t *call = ctx;
	msp_status_t status = reply->status;

	call->call = NULL;
	if (status == MSP_OK && reply->version == 0)
		status = MSP_E_LOST;
	if (status == MSP_OK && call->args->write_count > 0)
		call->captured.reply.version = reply->version;
	if (status == MSP_E_CONFLICT &&
	    (reply->rows == NULL || !has_only_requested_rows(call, reply) ||
		capture_requested_rows(call, reply) != MSP_OK))
		status = MSP_E_LOST;
	complete_call(call, status);
}

static store_call_t *
start_transaction(http_store_call_t *call)
{
	const msp_store_call_t *args = call->args;
	msp_txn_t txn = {.conditions = args->conditions,
	    .condition_count = args->key_count,
	    .writes = args->writes,
	    .write_count = args->write_count};

	return transact_store_rows(call->store->client, ROW_TABLE, &txn,
	    get_time_left_ms(call), handle_transaction, call);
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
		schedule_completion(call, status);
	else
		set_started_call(call, start_transaction(call));
}

static void
handle_object(void *ctx, const store_reply_t *reply)
{
	http_store_call_t *call = ctx;
	msp_status_t status = reply->status;

	call->call = NULL;
	if (status == MSP_E_NOT_FOUND && call->args->op != MSP_STORE_GET_OBJECT)
		status = MSP_E_LOST;
	if (status == MSP_OK && call->args->op == MSP_STORE_GET_OBJECT)
		status = msp_capture_object(
		    &call->captured, reply->object, reply->object_len);
	complete_call(call, status);
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
		schedule_completion(call, status);
	else
		set_started_call(call,
		    read_store_object(store->client, name,
			get_time_left_ms(call), handle_object, call));
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
		schedule_completion(call, status);
	else
		set_started_call(call,
		    write_store_object(store->client, name, data, len,
			get_time_left_ms(call), handle_object, call));
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
handle_vms(void *ctx, const store_reply_t *reply)
{
	http_store_call_t *call = ctx;
	msp_status_t status = reply->status;

	call->call = NULL;
	if (status == MSP_E_CONFLICT ||
	    (status == MSP_OK && reply->rows == NULL))
		status = MSP_E_LOST;
	if (status == MSP_OK)
		status = capture_vms(call, reply);
	complete_call(call, status);
}

static void
start_list_vms(
    void *ctx, uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	msp_http_store_t *store = ctx;
	http_store_call_t *call =
	    new_call(store, msp_new_store_call(MSP_STORE_LIST_VMS, NULL, 0),
		timeout_ms, done, done_ctx);

	set_started_call(call,
	    read_store_rows(store->client, NULL, VMS_TABLE, NULL,
		&(store_call_options_t){.begin_ms = get_time_left_ms(call)},
		handle_vms, call));
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
