#include "monsoonspindle/platform/http_store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check_call.h"
#include "store_answer.h"
#include "store_json.h"

#define ADDRESS_SIZE 64
#define NO_TIMEOUT_MS 60000

/* One call to the platform under way. */
typedef struct http_store_call {
	TAILQ_ENTRY(http_store_call) entry;
	msp_http_store_t *store;
	msp_call_t *call; /* NULL: refused here */
	msp_timer_t *refusal;
	msp_status_t refused;
	msp_store_call_t *args; /* what was asked */
	msp_store_done_t *done;
	void *done_ctx;
} http_store_call_t;

struct msp_http_store {
	msp_loop_t *loop;
	msp_http_client_t *client;
	char address[ADDRESS_SIZE];
	uint16_t port;
	TAILQ_HEAD(http_store_calls, http_store_call) calls;
};

msp_http_store_t *
msp_new_http_store(msp_loop_t *loop, msp_http_client_t *client,
    const char *address, uint16_t port)
{
	msp_http_store_t *store;

	if (strlen(address) >= ADDRESS_SIZE) {
		msp_fail(MSP_E_RANGE, "the platform's address is too long");
		return NULL;
	}
	store = calloc(1, sizeof(*store));
	if (store == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for a store");
		return NULL;
	}
	store->loop = loop;
	store->client = client;
	snprintf(store->address, sizeof(store->address), "%s", address);
	store->port = port;
	TAILQ_INIT(&store->calls);
	return store;
}

static void
free_call(http_store_call_t *call)
{
	msp_drop_timer(call->refusal);
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
	TAILQ_FOREACH_SAFE(call, &store->calls, entry, next) {
		/* cppcheck-suppress uninitvar */
		if (call->call != NULL)
			msp_cancel_call(call->call);
		free_call(call);
	}
	free(store);
}

/* The call is dropped first: `done` may drop the store. */
static void
finish(http_store_call_t *call, const msp_store_reply_t *reply)
{
	msp_store_done_t *done = call->done;
	void *ctx = call->done_ctx;

	TAILQ_REMOVE(&call->store->calls, call, entry);
	free_call(call);
	done(ctx, reply);
}

static void
on_refusal(void *ctx)
{
	http_store_call_t *call = ctx;
	msp_store_reply_t reply = {.status = call->refused};

	finish(call, &reply);
}

static void
on_result(void *ctx, msp_call_result_t *result)
{
	http_store_call_t *call = ctx;
	msp_captured_reply_t captured = {0};

	msp_read_store_answer(call->args, result, &captured);
	call->call = NULL;
	finish(call, &captured.reply);
	msp_drop_captured_reply(&captured);
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
static void
start(msp_http_store_t *store, msp_store_call_t *args, msp_status_t status,
    msp_request_t *request, uint32_t timeout_ms, msp_store_done_t *done,
    void *done_ctx)
{
	http_store_call_t *call = calloc(1, sizeof(*call));
	msp_call_options_t options = {
	    .address = store->address,
	    .port = store->port,
	    .timeout_ms = timeout_ms == 0 ? NO_TIMEOUT_MS : timeout_ms,
	};

	if (call == NULL || args == NULL)
		abort();
	call->store = store;
	call->args = args;
	call->done = done;
	call->done_ctx = done_ctx;
	TAILQ_INSERT_TAIL(&store->calls, call, entry);
	if (status == MSP_OK)
		status = msp_add_header(
		    &request->headers, "content-type", "application/json");
	if (status == MSP_OK) {
		call->call = msp_start_call(
		    store->client, &options, request, on_result, call);
		if (call->call == NULL)
			status = MSP_E_STORE_DOWN;
	}
	if (status != MSP_OK)
		refuse(call, status);
	msp_drop_request(request);
}

static msp_request_t
new_request(const char *method, const char *path)
{
	msp_request_t request = {0};

	snprintf(request.method, sizeof(request.method), "%s", method);
	snprintf(request.path, sizeof(request.path), "%s", path);
	return request;
}

static void
start_get(void *ctx, const char *const *keys, size_t count, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	msp_request_t request = new_request("POST", "/v1/get");
	msp_status_t status = MSP_OK;
	size_t i;

	if (count > MSP_TXN_ITEMS_MAX)
		status = msp_fail(MSP_E_BAD_REQUEST, "too many keys");
	for (i = 0; i < count && status == MSP_OK; i++)
		status = msp_check_row_key(keys[i]);
	if (status == MSP_OK)
		status = msp_encode_keys(&request.body, keys, count);
	start(ctx, msp_new_store_call(MSP_STORE_GET, keys, count), status,
	    &request, timeout_ms, done, done_ctx);
}

static void
start_scan(void *ctx, const char *prefix, const char *after, size_t limit,
    uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	msp_request_t request = new_request("POST", "/v1/scan");
	msp_store_call_t *args = msp_new_store_call(MSP_STORE_SCAN, &prefix, 1);
	msp_status_t status = msp_check_row_key(prefix);

	if (args == NULL)
		abort();
	args->limit = limit;
	if (status == MSP_OK)
		status = msp_encode_scan(&request.body, prefix, after, limit);
	start(ctx, args, status, &request, timeout_ms, done, done_ctx);
}

static void
start_transact(void *ctx, const msp_txn_t *txn, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	msp_request_t request = new_request("POST", "/v1/transact");
	static const msp_txn_t empty;
	msp_status_t status = msp_check_txn(txn);

	if (status == MSP_OK)
		status = msp_encode_txn(&request.body, txn);
	start(ctx, msp_new_txn_call(status == MSP_OK ? txn : &empty), status,
	    &request, timeout_ms, done, done_ctx);
}

static msp_request_t
object_request(const char *method, const char *name)
{
	msp_request_t request = new_request(method, "");

	snprintf(request.path, sizeof(request.path), "/v1/objects/%s", name);
	return request;
}

static void
start_get_object(void *ctx, const char *name, uint32_t timeout_ms,
    msp_store_done_t *done, void *done_ctx)
{
	msp_request_t request = object_request("GET", name);

	start(ctx, msp_new_store_call(MSP_STORE_GET_OBJECT, &name, 1),
	    msp_check_object_name(name), &request, timeout_ms, done, done_ctx);
}

static void
start_put_object(void *ctx, const char *name, const void *data, size_t len,
    uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	msp_request_t request = object_request("PUT", name);
	msp_status_t status = msp_check_object_name(name);

	if (status == MSP_OK)
		status = msp_append_buffer(&request.body, data, len);
	start(ctx, msp_new_store_call(MSP_STORE_PUT_OBJECT, &name, 1), status,
	    &request, timeout_ms, done, done_ctx);
}

static void
start_list_vms(
    void *ctx, uint32_t timeout_ms, msp_store_done_t *done, void *done_ctx)
{
	msp_request_t request = new_request("GET", "/v1/vms");

	start(ctx, msp_new_store_call(MSP_STORE_LIST_VMS, NULL, 0), MSP_OK,
	    &request, timeout_ms, done, done_ctx);
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
