#include "store_fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ADDRESS "127.0.0.1"
#define MAX_FDS 256
#define MAX_BODY (64U * 1024 * 1024)
#define REPLY_TIMEOUT (30 * MSP_SECOND)

static void
open_http(store_fixture_t *fixture)
{
	msp_http_server_options_t server_options = {
	    .address = ADDRESS, .limits = {.max_body = MAX_BODY}};
	msp_http_client_options_t client_options = {0};

	fixture->loop = msp_new_loop(MAX_FDS);
	fixture->service = msp_new_store_service(fixture->memory);
	if (fixture->loop == NULL || fixture->service == NULL)
		abort();
	server_options.handler = msp_store_service_handler(fixture->service);
	fixture->server = msp_new_http_server(fixture->loop, &server_options);
	fixture->client = msp_new_http_client(fixture->loop, &client_options);
	if (fixture->server == NULL || fixture->client == NULL)
		abort();
	fixture->http_store = msp_new_http_store(fixture->loop, fixture->client,
	    ADDRESS, msp_http_server_port(fixture->server));
	if (fixture->http_store == NULL)
		abort();
	fixture->store = msp_http_store(fixture->http_store);
}

store_fixture_t *
new_store_fixture(store_kind_t kind)
{
	store_fixture_t *fixture = calloc(1, sizeof(*fixture));

	if (fixture == NULL)
		abort();
	fixture->env = msp_system_env();
	fixture->timeout_ms = 10000;
	fixture->memory = msp_new_memory_store(&fixture->env);
	if (fixture->memory == NULL)
		abort();
	fixture->faults = msp_memory_store_faults(fixture->memory);
	fixture->store = msp_memory_store(fixture->memory);
	if (kind == STORE_HTTP)
		open_http(fixture);
	return fixture;
}

static void
clear_reply(saved_reply_t *reply)
{
	size_t i;

	for (i = 0; i < FIXTURE_ROWS_MAX; i++)
		msp_drop_buffer(&reply->values[i]);
	msp_drop_buffer(&reply->object);
	*reply = (saved_reply_t){0};
}

void
drop_store_fixture(store_fixture_t *fixture)
{
	if (fixture->http_store != NULL)
		msp_drop_http_store(fixture->http_store);
	if (fixture->client != NULL)
		msp_drop_http_client(fixture->client);
	if (fixture->server != NULL)
		msp_drop_http_server(fixture->server);
	msp_drop_memory_store(fixture->memory);
	msp_drop_store_service(fixture->service);
	if (fixture->loop != NULL)
		msp_drop_loop(fixture->loop);
	clear_reply(&fixture->reply);
	free(fixture);
}

void
save_reply(void *ctx, const msp_store_reply_t *reply)
{
	saved_reply_t *saved = ctx;
	size_t i;

	saved->done_count++;
	saved->status = reply->status;
	saved->version = reply->version;
	saved->row_count = reply->row_count;
	for (i = 0; i < reply->row_count && i < FIXTURE_ROWS_MAX; i++) {
		const msp_row_t *row = &reply->rows[i];

		snprintf(
		    saved->keys[i], sizeof(saved->keys[i]), "%s", row->key);
		saved->versions[i] = row->version;
		if (row->value != NULL)
			msp_append_data(
			    &saved->values[i], row->value, row->value_len);
	}
	if (reply->object != NULL)
		msp_append_data(
		    &saved->object, reply->object, reply->object_len);
	saved->vm_count = reply->vm_count;
	if (reply->vm_count > 0)
		saved->vm = reply->vms[0];
}

void
await_reply(store_fixture_t *fixture)
{
	msp_time_t end = msp_now(&fixture->env) + REPLY_TIMEOUT;

	while (fixture->reply.done_count == 0 && msp_now(&fixture->env) < end) {
		msp_step_memory_store(fixture->memory);
		if (fixture->service != NULL)
			msp_step_store_service(fixture->service);
		if (fixture->loop != NULL)
			msp_step_loop(fixture->loop, 1);
	}
	if (fixture->reply.done_count != 1)
		abort();
}

static msp_status_t
await_status(store_fixture_t *fixture)
{
	await_reply(fixture);
	return fixture->reply.status;
}

msp_status_t
transact(store_fixture_t *fixture, const msp_txn_t *txn)
{
	clear_reply(&fixture->reply);
	fixture->store.transact(fixture->store.ctx, txn, fixture->timeout_ms,
	    save_reply, &fixture->reply);
	return await_status(fixture);
}

msp_status_t
put_row(store_fixture_t *fixture, const char *key, uint64_t version,
    const void *value, size_t len)
{
	msp_condition_t condition = {key, version};
	msp_write_t write = {key, value, len};
	msp_txn_t txn = {&condition, 1, &write, 1};

	return transact(fixture, &txn);
}

msp_status_t
get_rows(store_fixture_t *fixture, const char *const *keys, size_t count)
{
	clear_reply(&fixture->reply);
	fixture->store.get(fixture->store.ctx, keys, count, fixture->timeout_ms,
	    save_reply, &fixture->reply);
	return await_status(fixture);
}

msp_status_t
get_row(store_fixture_t *fixture, const char *key)
{
	return get_rows(fixture, &key, 1);
}

msp_status_t
scan_rows(store_fixture_t *fixture, const char *prefix, const char *after,
    size_t limit)
{
	clear_reply(&fixture->reply);
	fixture->store.scan(fixture->store.ctx, prefix, after, limit,
	    fixture->timeout_ms, save_reply, &fixture->reply);
	return await_status(fixture);
}

msp_status_t
put_object(
    store_fixture_t *fixture, const char *name, const void *data, size_t len)
{
	clear_reply(&fixture->reply);
	fixture->store.put_object(fixture->store.ctx, name, data, len,
	    fixture->timeout_ms, save_reply, &fixture->reply);
	return await_status(fixture);
}

msp_status_t
get_object(store_fixture_t *fixture, const char *name)
{
	clear_reply(&fixture->reply);
	fixture->store.get_object(fixture->store.ctx, name, fixture->timeout_ms,
	    save_reply, &fixture->reply);
	return await_status(fixture);
}

msp_status_t
list_vms(store_fixture_t *fixture)
{
	clear_reply(&fixture->reply);
	fixture->store.list_vms(fixture->store.ctx, fixture->timeout_ms,
	    save_reply, &fixture->reply);
	return await_status(fixture);
}
