#include "monsoonspindle/platform/store_service.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>

#include "check_call.h"
#include "service_control.h"
#include "store_json.h"

#define OBJECTS_PATH "/v1/objects/"
#define HTTP_OK 200
/* Longer than any client waits: a lost answer is silence to it. */
#define CALL_TIMEOUT_MS 120000

/* One request that the memory store has not answered. */
typedef struct service_call {
	TAILQ_ENTRY(service_call) entry;
	msp_store_service_t *service;
	msp_exchange_t *exchange; /* NULL: the client went away */
} service_call_t;

struct msp_store_service {
	msp_memory_store_t *memory;
	msp_store_t store;
	TAILQ_HEAD(service_calls, service_call) calls;
};

msp_store_service_t *
msp_new_store_service(msp_memory_store_t *store)
{
	msp_store_service_t *service = calloc(1, sizeof(*service));

	if (service == NULL)
		return NULL;
	service->memory = store;
	service->store = msp_memory_store(store);
	TAILQ_INIT(&service->calls);
	return service;
}

void
msp_drop_store_service(msp_store_service_t *service)
{
	service_call_t *call;

	if (service == NULL)
		return;
	while ((call = TAILQ_FIRST(&service->calls)) != NULL) {
		TAILQ_REMOVE(&service->calls, call, entry);
		free(call);
	}
	free(service);
}

static void
send_status(msp_exchange_t *exchange, msp_status_t status, const char *detail)
{
	const msp_answer_t *answer = msp_status_answer(status);
	msp_response_t response = {.status = answer->http_status};
	struct json_object *message = json_object_new_object();

	json_object_object_add(
	    message, "kind", json_object_new_string(answer->kind));
	json_object_object_add(
	    message, "detail", json_object_new_string(detail));
	msp_print_json(&response.body, message);
	msp_add_header(&response.headers, "content-type", "application/json");
	msp_answer_exchange(exchange, &response);
	msp_drop_response(&response);
}

static msp_status_t
encode_reply(const msp_store_reply_t *reply, msp_response_t *response)
{
	if (reply->object != NULL)
		return msp_append_buffer(
		    &response->body, reply->object, reply->object_len);
	if (reply->version != 0)
		return msp_print_buffer(&response->body,
		    "{\"version\":%" PRIu64 "}", reply->version);
	if (reply->vms != NULL)
		return msp_encode_vms(
		    &response->body, reply->vms, reply->vm_count);
	return msp_encode_rows(&response->body, reply->rows, reply->row_count);
}

static void
send_reply(msp_exchange_t *exchange, const msp_store_reply_t *reply)
{
	msp_response_t response = {
	    .status = msp_status_answer(reply->status)->http_status};

	if (encode_reply(reply, &response) != MSP_OK) {
		msp_drop_response(&response);
		send_status(exchange, MSP_E_INTERNAL, msp_last_message());
		return;
	}
	msp_add_header(&response.headers, "content-type",
	    reply->object != NULL ? "application/octet-stream"
				  : "application/json");
	msp_answer_exchange(exchange, &response);
	msp_drop_response(&response);
}

static void
on_reply(void *ctx, const msp_store_reply_t *reply)
{
	service_call_t *call = ctx;
	msp_exchange_t *exchange = call->exchange;

	TAILQ_REMOVE(&call->service->calls, call, entry);
	free(call);
	if (exchange == NULL)
		return;
	msp_set_exchange_data(exchange, NULL);
	if (reply->status == MSP_OK || reply->status == MSP_E_CONFLICT)
		send_reply(exchange, reply);
	else
		send_status(exchange, reply->status, msp_last_message());
}

static service_call_t *
new_service_call(msp_store_service_t *service, msp_exchange_t *exchange)
{
	service_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		abort();
	call->service = service;
	call->exchange = exchange;
	TAILQ_INSERT_TAIL(&service->calls, call, entry);
	msp_set_exchange_data(exchange, call);
	return call;
}

/* Runs what a message asks for; `args` is NULL if it could not be read. */
static void
run_call(msp_store_service_t *service, msp_exchange_t *exchange,
    msp_store_call_t *args)
{
	const msp_store_t *store = &service->store;
	service_call_t *call;
	msp_txn_t txn = {0};

	if (args == NULL) {
		send_status(exchange, MSP_E_BAD_REQUEST, msp_last_message());
		return;
	}
	call = new_service_call(service, exchange);
	switch (args->op) {
	case MSP_STORE_TRANSACT:
		txn = (msp_txn_t){args->conditions, args->key_count,
		    args->writes, args->write_count};
		store->transact(
		    store->ctx, &txn, CALL_TIMEOUT_MS, on_reply, call);
		break;
	case MSP_STORE_SCAN:
		store->scan(store->ctx, args->keys[0], args->after, args->limit,
		    CALL_TIMEOUT_MS, on_reply, call);
		break;
	default:
		store->get(store->ctx, (const char *const *)args->keys,
		    args->key_count, CALL_TIMEOUT_MS, on_reply, call);
		break;
	}
	msp_drop_store_call(args);
}

static void
serve_post(msp_store_service_t *service, msp_exchange_t *exchange,
    const char *path, struct json_object *message)
{
	msp_buffer_t stats = {0};
	msp_response_t response = {.status = HTTP_OK};

	if (strcmp(path, "/v1/transact") == 0) {
		run_call(service, exchange, msp_decode_txn(message));
	} else if (strcmp(path, "/v1/get") == 0) {
		run_call(service, exchange, msp_decode_keys(message));
	} else if (strcmp(path, "/v1/scan") == 0) {
		run_call(service, exchange, msp_decode_scan(message));
	} else if (strcmp(path, "/v1/control") == 0) {
		if (msp_apply_control(service->memory, message, &stats) !=
		    MSP_OK) {
			send_status(
			    exchange, MSP_E_BAD_REQUEST, msp_last_message());
			return;
		}
		response.body = stats;
		msp_answer_exchange(exchange, &response);
		msp_drop_response(&response);
	} else {
		send_status(exchange, MSP_E_NOT_FOUND, path);
	}
}

static void
serve_put_vms(msp_store_service_t *service, msp_exchange_t *exchange,
    struct json_object *message)
{
	msp_captured_reply_t captured = {0};
	uint64_t lag_ms = 0;
	msp_status_t status = msp_decode_vms(message, &captured);

	if (status == MSP_OK &&
	    json_object_object_get_ex(message, "lag_ms", NULL))
		status =
		    msp_json_number(message, "lag_ms", UINT32_MAX, &lag_ms);
	if (status == MSP_OK)
		status = msp_set_memory_vms(service->memory, captured.vms,
		    captured.reply.vm_count, lag_ms * MSP_MS);
	msp_drop_captured_reply(&captured);
	if (status == MSP_OK)
		send_status(exchange, MSP_OK, "");
	else
		send_status(exchange, MSP_E_BAD_REQUEST, msp_last_message());
}

static void
serve_json(msp_store_service_t *service, msp_exchange_t *exchange, bool put)
{
	const msp_request_t *request = msp_exchange_request(exchange);
	struct json_object *message = msp_parse_json_object(
	    msp_buffer_text(&request->body), request->body.len);

	if (message == NULL) {
		send_status(exchange, MSP_E_BAD_REQUEST, msp_last_message());
		return;
	}
	if (put)
		serve_put_vms(service, exchange, message);
	else
		serve_post(service, exchange, request->path, message);
	json_object_put(message);
}

static void
serve_object(msp_store_service_t *service, msp_exchange_t *exchange, bool put)
{
	const msp_request_t *request = msp_exchange_request(exchange);
	const msp_store_t *store = &service->store;
	const char *name = request->path + strlen(OBJECTS_PATH);
	service_call_t *call = new_service_call(service, exchange);

	if (put)
		store->put_object(store->ctx, name,
		    msp_buffer_text(&request->body), request->body.len,
		    CALL_TIMEOUT_MS, on_reply, call);
	else
		store->get_object(
		    store->ctx, name, CALL_TIMEOUT_MS, on_reply, call);
}

static void
on_request(void *ctx, msp_exchange_t *exchange)
{
	msp_store_service_t *service = ctx;
	const msp_store_t *store = &service->store;
	const msp_request_t *request = msp_exchange_request(exchange);
	bool put = strcmp(request->method, "PUT") == 0;
	bool get = strcmp(request->method, "GET") == 0;
	bool post = strcmp(request->method, "POST") == 0;
	bool vms = strcmp(request->path, "/v1/vms") == 0;

	if ((put || get) &&
	    strncmp(request->path, OBJECTS_PATH, strlen(OBJECTS_PATH)) == 0)
		serve_object(service, exchange, put);
	else if (get && vms)
		store->list_vms(store->ctx, CALL_TIMEOUT_MS, on_reply,
		    new_service_call(service, exchange));
	else if (post || (put && vms))
		serve_json(service, exchange, put);
	else
		send_status(exchange, MSP_E_METHOD, request->method);
}

static void
on_gone(void *ctx, msp_exchange_t *exchange)
{
	service_call_t *call = msp_exchange_data(exchange);

	(void)ctx;
	if (call != NULL)
		call->exchange = NULL;
}

msp_http_handler_t
msp_store_service_handler(msp_store_service_t *service)
{
	return (msp_http_handler_t){
	    .on_request = on_request, .on_gone = on_gone, .ctx = service};
}
