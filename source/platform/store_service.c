#include "monsoonspindle/platform/store_service.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>

#include "../../platform/platform_api.h"
#include "../../platform/json_reader.h"
#include "../../platform/row_service.h"
#include "../../platform/vm_row.h"
#include "check_call.h"
#include "fault_control.h"
#include "vm_control.h"

#define HTTP_OK 200
/*
 * Longer than any client waits: a client whose reply is lost gets no response
 * until its own timeout.
 */
#define CALL_TIMEOUT_MS 120000
#define SCAN_MAX 100000 /* rows that are examined for a range */
#define CONTROL_PATH "/v1/control" /* of the stand-in only */
#define VMS_PATH "/v1/vms" /* of the stand-in only */
/*
 * The memory store has one table. Rows of OWN_TABLE are stored under their own
 * keys, rows of other tables under "TABLE|KEY".
 */
#define OWN_TABLE "monsoonspindle"
#define MEMORY_KEY_SIZE (2 * STORE_KEY_MAX + 4)

/* A request that has not been answered yet. */
typedef struct service_call {
	TAILQ_ENTRY(service_call) entry;
	msp_store_service_t *service;
	msp_exchange_t *exchange; /* NULL: the client closed the connection */
	row_query_t query;
	char prefix[MEMORY_KEY_SIZE]; /* of the table's keys in memory */
	msp_time_t wait_deadline; /* end of the wait for a change */
	row_response_t response;
	/*
	 * The store's version before a read. Rows that are written during the
	 * read are returned again as changes after this version.
	 */
	uint64_t read_version;
	uint64_t era; /* in which the call came */
} service_call_t;

struct msp_store_service {
	msp_memory_store_t *memory;
	msp_store_t store;
	msp_env_t env;
	TAILQ_HEAD(service_calls, service_call) calls;
	struct service_calls waiting; /* long polls, waiting for a change */
};

msp_store_service_t *
msp_new_store_service(msp_memory_store_t *store)
{
	msp_store_service_t *service = calloc(1, sizeof(*service));

	if (service == NULL)
		return NULL;
	service->memory = store;
	service->store = msp_memory_store(store);
	service->env = msp_system_env();
	TAILQ_INIT(&service->calls);
	TAILQ_INIT(&service->waiting);
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
		msp_drop_buffer(&call->response.text);
		free(call);
	}
	while ((call = TAILQ_FIRST(&service->waiting)) != NULL) {
		TAILQ_REMOVE(&service->waiting, call, entry);
		free(call);
	}
	free(service);
}

/* Sends a response of the given era, and drops it. */
static void
send_response(msp_exchange_t *exchange, msp_response_t *response, uint64_t era)
{
	if (add_response_era(response, era) != MSP_OK)
		abort();
	msp_send_exchange_response(exchange, response);
	msp_drop_response(response);
}

static uint64_t
get_era(const msp_store_service_t *service)
{
	return msp_memory_store_era(service->memory);
}

static void
send_status(const msp_store_service_t *service, msp_exchange_t *exchange,
    msp_status_t status, const char *detail)
{
	const msp_status_info_t *info = msp_get_status_info(status);
	msp_response_t response = {.status = info->http_status};

	msp_append_printf(&response.body, "%s: %s\n", info->kind, detail);
	send_response(exchange, &response, get_era(service));
}

static bool
is_own_table(const char *table)
{
	return strcmp(table, OWN_TABLE) == 0;
}

/* Prints the key of a row in memory; with key "", the prefix of the table. */
static void
print_memory_key(char *out, const char *table, const char *key)
{
	out[0] = '\0';
	if (!is_own_table(table)) {
		strcpy(out, table);
		strcat(out, "|");
	}
	strcat(out, key);
}

/*
 * Returns the key in the table of `call` for `key` in memory; NULL if the row
 * is in another table.
 */
static const char *
get_table_key(const service_call_t *call, const char *key)
{
	size_t len = strlen(call->prefix);

	if (len == 0)
		return strchr(key, '|') == NULL ? key : NULL;
	return strncmp(key, call->prefix, len) == 0 ? key + len : NULL;
}

static void
add_row(void *ctx, const msp_row_t *row)
{
	service_call_t *call = ctx;
	const char *key = get_table_key(call, row->key);
	store_row_t out = {.key = key,
	    .value = row->value,
	    .value_len = row->value_len,
	    .version = row->version};

	if (key != NULL &&
	    add_response_row(&call->response, call->query.table, &out) !=
		MSP_OK)
		abort();
}

static service_call_t *
new_service_call(msp_store_service_t *service, msp_exchange_t *exchange)
{
	service_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		abort();
	call->service = service;
	call->exchange = exchange;
	call->era = get_era(service);
	msp_set_exchange_data(exchange, call);
	return call;
}

/* Sends the rows, with status 412 if a condition failed, and frees `call`. */
static void
send_rows(service_call_t *call, uint64_t version, msp_status_t status)
{
	msp_exchange_t *exchange = call->exchange;
	msp_response_t response = {0};
	table_state_t state = {.version = version,
	    .era = call->era,
	    .now_ms = msp_now(&call->service->env) / MSP_MS + 1};

	if (exchange != NULL) {
		msp_set_exchange_data(exchange, NULL);
		if (end_row_response(&call->response, &state, &response) !=
		    MSP_OK)
			abort();
		if (status == MSP_E_CONFLICT)
			mark_condition_failed(&response);
		msp_send_exchange_response(exchange, &response);
	}
	msp_drop_response(&response);
	msp_drop_buffer(&call->response.text);
	free(call);
}

static void
fail_call(service_call_t *call, msp_status_t status)
{
	if (call->exchange != NULL) {
		msp_set_exchange_data(call->exchange, NULL);
		send_status(
		    call->service, call->exchange, status, msp_last_message());
	}
	msp_drop_buffer(&call->response.text);
	free(call);
}

static bool
is_in_range(const row_query_t *query, const char *key)
{
	return (query->from[0] == '\0' || strcmp(key, query->from) >= 0) &&
	    (query->until[0] == '\0' || strcmp(key, query->until) < 0);
}

static void
handle_range(void *ctx, const msp_store_reply_t *reply)
{
	service_call_t *call = ctx;
	size_t limit = call->query.limit;
	size_t i;

	TAILQ_REMOVE(&call->service->calls, call, entry);
	if (reply->status != MSP_OK) {
		fail_call(call, reply->status);
		return;
	}
	if (limit == 0 || limit > STORE_PAGE_ROWS_MAX)
		limit = STORE_PAGE_ROWS_MAX;
	for (i = 0; i < reply->row_count; i++) {
		const char *key = get_table_key(call, reply->rows[i].key);

		if (key == NULL || reply->rows[i].value == NULL ||
		    !is_in_range(&call->query, key))
			continue;
		if (call->response.count == limit) {
			mark_more_rows(&call->response);
			break;
		}
		add_row(call, &reply->rows[i]);
	}
	send_rows(call, call->read_version, MSP_OK);
}

/* Fills in what a VM has announced of itself, and how the list has it. */
static void
fill_vm_row(const service_call_t *call, const msp_vm_t *vm, vm_row_t *row)
{
	char key[MEMORY_KEY_SIZE];
	size_t len = 0;
	const char *text;

	print_memory_key(key, VMS_TABLE, vm->name);
	text = msp_peek_memory_store_row(call->service->memory, key, &len);
	*row = (vm_row_t){0};
	if (text == NULL || decode_vm_row(text, len, row) != MSP_OK)
		row->speaks = (msp_protocol_range_t){
		    MSP_PROTOCOL_FIRST, MSP_PROTOCOL_FIRST};
	row->peer_port = vm->peer_port;
	row->caller_port = vm->caller_port;
	row->leaving = vm->leaving != 0;
	strcpy(row->place, vm->place);
	memcpy(row->address, vm->address, sizeof(row->address));
}

static void
handle_vm_list(void *ctx, const msp_store_reply_t *reply)
{
	service_call_t *call = ctx;
	msp_buffer_t text = {0};
	size_t i;

	TAILQ_REMOVE(&call->service->calls, call, entry);
	if (reply->status != MSP_OK) {
		fail_call(call, reply->status);
		return;
	}
	for (i = 0; i < reply->vm_count; i++) {
		const msp_vm_t *vm = &reply->vms[i];
		store_row_t out = {.key = vm->name, .version = i + 1};
		vm_row_t row;

		fill_vm_row(call, vm, &row);
		msp_clear_buffer(&text);
		if (encode_vm_row(&row, &text) != MSP_OK)
			abort();
		out.value = msp_buffer_text(&text);
		out.value_len = text.len;
		if (add_response_row(&call->response, VMS_TABLE, &out) !=
		    MSP_OK)
			abort();
	}
	msp_drop_buffer(&text);
	send_rows(call, call->read_version, MSP_OK);
}

/* Prints the common prefix of all keys of the range. */
static void
print_common_prefix(const service_call_t *call, char *out)
{
	const row_query_t *query = &call->query;
	size_t len = strlen(call->prefix);
	size_t i;

	strcpy(out, call->prefix);
	for (i = 0; query->from[i] > ' ' && query->from[i] == query->until[i];
	     i++)
		out[len++] = query->from[i];
	/* The range from "a" to "b" has all keys that begin with "a". */
	if (strlen(query->from) == i + 1 && strlen(query->until) == i + 1 &&
	    query->until[i] == query->from[i] + 1)
		out[len++] = query->from[i];
	out[len] = '\0';
}

/* Returns whether the range is a single key, as http_store.c reads a row. */
static bool
is_single_key(const row_query_t *query)
{
	size_t len = strlen(query->from);

	return len > 0 && strncmp(query->until, query->from, len) == 0 &&
	    strcmp(query->until + len, "!") == 0;
}

static void
read_range(service_call_t *call)
{
	const msp_store_t *store = &call->service->store;
	char key[MEMORY_KEY_SIZE];
	const char *keys[] = {key};

	call->read_version = msp_memory_store_version(call->service->memory);
	TAILQ_INSERT_TAIL(&call->service->calls, call, entry);
	if (strcmp(call->query.table, VMS_TABLE) == 0 &&
	    msp_has_listed_vms(call->service->memory)) {
		store->list_vms(
		    store->ctx, CALL_TIMEOUT_MS, handle_vm_list, call);
		return;
	}
	if (is_single_key(&call->query)) {
		print_memory_key(key, call->query.table, call->query.from);
		store->get(
		    store->ctx, keys, 1, CALL_TIMEOUT_MS, handle_range, call);
		return;
	}
	print_common_prefix(call, key);
	if (key[0] == '\0') {
		TAILQ_REMOVE(&call->service->calls, call, entry);
		msp_fail(MSP_E_BAD_REQUEST,
		    "this table can only be read with a key range");
		fail_call(call, MSP_E_BAD_REQUEST);
		return;
	}
	store->scan(
	    store->ctx, key, "", SCAN_MAX, CALL_TIMEOUT_MS, handle_range, call);
}

/*
 * Answers a read of changes if there are any, if they are no longer in the
 * history, or if `force` is set. Returns whether it did, and frees `call` then.
 */
static bool
send_changes(service_call_t *call, bool force)
{
	msp_memory_store_t *memory = call->service->memory;
	msp_response_t response = {0};

	if (!msp_visit_changed_rows(
		memory, call->prefix, call->query.after, add_row, call)) {
		if (call->exchange != NULL) {
			msp_set_exchange_data(call->exchange, NULL);
			mark_history_gone(&response);
			send_response(call->exchange, &response, call->era);
		}
		free(call);
		return true;
	}
	if (call->response.count == 0 && !force)
		return false;
	send_rows(call, msp_memory_store_version(memory), MSP_OK);
	return true;
}

void
msp_step_store_service(msp_store_service_t *service)
{
	msp_time_t now = msp_now(&service->env);
	struct service_calls due = TAILQ_HEAD_INITIALIZER(due);
	service_call_t *call;

	TAILQ_CONCAT(&due, &service->waiting, entry);
	while ((call = TAILQ_FIRST(&due)) != NULL) {
		TAILQ_REMOVE(&due, call, entry);
		if (call->era != get_era(service)) {
			msp_fail(MSP_E_STORE_DOWN, "the store was away");
			fail_call(call, MSP_E_STORE_DOWN);
			continue;
		}
		if (!send_changes(call,
			now >= call->wait_deadline || call->exchange == NULL))
			TAILQ_INSERT_TAIL(&service->waiting, call, entry);
	}
}

static void
read_changes(service_call_t *call)
{
	msp_store_service_t *service = call->service;

	if (msp_memory_store_faults(service->memory)->down) {
		msp_fail(MSP_E_STORE_DOWN, "the store is down");
		fail_call(call, MSP_E_STORE_DOWN);
		return;
	}
	call->wait_deadline =
	    msp_now(&service->env) + call->query.wait_ms * MSP_MS;
	if (!send_changes(call, call->query.wait_ms == 0))
		TAILQ_INSERT_TAIL(&service->waiting, call, entry);
}

static void
handle_transaction(void *ctx, const msp_store_reply_t *reply)
{
	service_call_t *call = ctx;
	size_t i;

	TAILQ_REMOVE(&call->service->calls, call, entry);
	if (reply->status != MSP_OK && reply->status != MSP_E_CONFLICT) {
		fail_call(call, reply->status);
		return;
	}
	/* Absent rows are returned with version 0. */
	for (i = 0; i < reply->row_count; i++)
		add_row(call, &reply->rows[i]);
	send_rows(call, msp_memory_store_version(call->service->memory),
	    reply->status);
}

static void
start_transaction(msp_store_service_t *service, msp_exchange_t *exchange,
    const row_txn_t *received)
{
	const msp_store_t *store = &service->store;
	service_call_t *call = new_service_call(service, exchange);
	msp_condition_t conditions[STORE_TXN_ITEMS_MAX];
	msp_write_t writes[STORE_TXN_ITEMS_MAX];
	msp_txn_t txn = {conditions, received->condition_count, writes,
	    received->write_count};
	char keys[STORE_TXN_ITEMS_MAX][MEMORY_KEY_SIZE];
	size_t key_count = 0;
	size_t i;

	strcpy(call->query.table, received->table);
	print_memory_key(call->prefix, received->table, "");
	for (i = 0; i < received->condition_count; i++) {
		print_memory_key(keys[key_count], received->table,
		    received->conditions[i].key);
		conditions[i] = (msp_condition_t){
		    keys[key_count++], received->conditions[i].version};
	}
	for (i = 0; i < received->write_count; i++) {
		print_memory_key(
		    keys[key_count], received->table, received->writes[i].key);
		writes[i] = (msp_write_t){keys[key_count++],
		    received->writes[i].value, received->writes[i].value_len};
	}
	TAILQ_INSERT_TAIL(&service->calls, call, entry);
	store->transact(
	    store->ctx, &txn, CALL_TIMEOUT_MS, handle_transaction, call);
}

static void
serve_transaction(msp_store_service_t *service, msp_exchange_t *exchange)
{
	row_txn_t txn;
	msp_status_t status =
	    decode_row_txn(msp_exchange_request(exchange), &txn);
	size_t i;

	for (i = 0; i < txn.condition_count && status == MSP_OK; i++) {
		if (strlen(txn.conditions[i].key) > STORE_KEY_MAX)
			status =
			    msp_fail(MSP_E_BAD_REQUEST, "a key is too long");
	}
	for (i = 0; i < txn.write_count && status == MSP_OK; i++) {
		if (strlen(txn.writes[i].key) > STORE_KEY_MAX)
			status =
			    msp_fail(MSP_E_BAD_REQUEST, "a key is too long");
	}
	if (status == MSP_OK)
		start_transaction(service, exchange, &txn);
	else
		send_status(
		    service, exchange, MSP_E_BAD_REQUEST, msp_last_message());
	drop_row_txn(&txn);
}

static void
handle_object(void *ctx, const msp_store_reply_t *reply)
{
	service_call_t *call = ctx;
	msp_exchange_t *exchange = call->exchange;
	msp_response_t response = {.status = HTTP_OK};
	uint64_t era;

	TAILQ_REMOVE(&call->service->calls, call, entry);
	if (reply->status != MSP_OK) {
		fail_call(call, reply->status);
		return;
	}
	era = call->era;
	free(call);
	if (exchange == NULL)
		return;
	msp_set_exchange_data(exchange, NULL);
	if (reply->object != NULL &&
	    msp_append_data(&response.body, reply->object, reply->object_len) !=
		MSP_OK)
		abort();
	send_response(exchange, &response, era);
}

static void
serve_object(msp_store_service_t *service, msp_exchange_t *exchange,
    const char *name, bool write)
{
	const msp_request_t *request = msp_exchange_request(exchange);
	const msp_store_t *store = &service->store;
	service_call_t *call = new_service_call(service, exchange);

	TAILQ_INSERT_TAIL(&service->calls, call, entry);
	if (write)
		store->put_object(store->ctx, name,
		    msp_buffer_text(&request->body), request->body.len,
		    CALL_TIMEOUT_MS, handle_object, call);
	else
		store->get_object(
		    store->ctx, name, CALL_TIMEOUT_MS, handle_object, call);
}

/* Serves the paths that set the faults and the list of VMs. */
static bool
serve_control(msp_store_service_t *service, msp_exchange_t *exchange)
{
	const msp_request_t *request = msp_exchange_request(exchange);
	msp_response_t response = {.status = HTTP_OK};
	struct json_object *message;
	msp_status_t status = MSP_E_BAD_REQUEST;

	if (strcmp(request->path, CONTROL_PATH) != 0 &&
	    strcmp(request->path, VMS_PATH) != 0)
		return false;
	message = parse_strict_json_object(
	    msp_buffer_text(&request->body), request->body.len);
	if (message != NULL && strcmp(request->path, CONTROL_PATH) == 0)
		status = msp_set_store_faults(
		    service->memory, message, &response.body);
	else if (message != NULL)
		status = msp_apply_vm_list(service->memory, message);
	json_object_put(message);
	if (status == MSP_OK)
		msp_send_exchange_response(exchange, &response);
	else
		send_status(
		    service, exchange, MSP_E_BAD_REQUEST, msp_last_message());
	msp_drop_response(&response);
	return true;
}

static void
serve_read(msp_store_service_t *service, msp_exchange_t *exchange,
    const row_query_t *query)
{
	service_call_t *call = new_service_call(service, exchange);

	call->query = *query;
	print_memory_key(call->prefix, query->table, "");
	if (query->is_range)
		read_range(call);
	else
		read_changes(call);
}

static void
handle_request(void *ctx, msp_exchange_t *exchange)
{
	msp_store_service_t *service = ctx;
	const msp_request_t *request = msp_exchange_request(exchange);
	row_query_t query;
	msp_status_t status;
	const char *name;
	bool write;

	if (serve_control(service, exchange))
		return;
	name = find_object_name(request, &write);
	if (name != NULL) {
		serve_object(service, exchange, name, write);
		return;
	}
	if (strcmp(request->method, "POST") == 0) {
		serve_transaction(service, exchange);
		return;
	}
	status = decode_row_query(request, &query);
	if (status == MSP_OK)
		serve_read(service, exchange, &query);
	else
		send_status(service, exchange, status, msp_last_message());
}

static void
handle_disconnect(void *ctx, msp_exchange_t *exchange)
{
	service_call_t *call = msp_exchange_data(exchange);

	(void)ctx;
	if (call != NULL)
		call->exchange = NULL;
}

msp_http_handler_t
msp_store_service_handler(msp_store_service_t *service)
{
	return (msp_http_handler_t){.on_request = handle_request,
	    .on_disconnect = handle_disconnect,
	    .ctx = service};
}
