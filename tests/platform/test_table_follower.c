#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../platform/header_fields.h"
#include "../../platform/platform_api.h"
#include "../../source/platform/table_follower.h"
#include "monsoonspindle/platform.h"
#include "net_fixture.h"

/* Tests of a follower of the targets' table, with the stand-in of the store. */

#define ADDRESS "127.0.0.1"
#define MAX_FDS 256
#define RUN_TIMEOUT (10 * MSP_SECOND)
#define NEWER_VERSION 1000U
#define ROWS_DURING_READ 20U

typedef struct follower_test {
	msp_env_t env;
	msp_loop_t *loop;
	msp_memory_store_t *memory;
	msp_store_service_t *service;
	msp_http_server_t *server;
	msp_http_client_t *client;
	store_client_t *store;
	table_follower_t *follower;
	store_source_t vm; /* another VM; port 0: none is known */
	bool prefers_vm; /* reads from it unless the last attempt failed */
	unsigned int rows;
	unsigned int removed;
	unsigned int snapshots;
	unsigned int eras; /* begun after the first */
	uint64_t era; /* the last of them */
	unsigned int store_lost;
	unsigned int store_recovered;
	unsigned int failed_reads;
	unsigned int stale;
	unsigned int fresh;
	bool was_down;
	char last_key[STORE_KEY_MAX + 1];
} follower_test_t;

static bool
choose_source(void *ctx, unsigned int attempt, store_source_t *source)
{
	const follower_test_t *test = ctx;

	if ((attempt % 2 == 0) != test->prefers_vm || test->vm.port == 0)
		return false;
	*source = test->vm;
	return true;
}

static bool
choose_vm(void *ctx, store_source_t *source)
{
	const follower_test_t *test = ctx;

	*source = test->vm;
	return test->vm.port != 0;
}

static void
handle_snapshot_begin(void *ctx)
{
	((follower_test_t *)ctx)->snapshots++;
}

static void
handle_row(void *ctx, const store_row_t *row)
{
	follower_test_t *test = ctx;

	if (row->value == NULL)
		test->removed++;
	else
		test->rows++;
	strcpy(test->last_key, row->key);
}

static void
handle_snapshot_end(void *ctx, uint64_t version)
{
	(void)ctx;
	(void)version;
}

static void
handle_newer_era(void *ctx, uint64_t era, uint64_t before, bool from_vm)
{
	(void)before;
	(void)from_vm;
	((follower_test_t *)ctx)->era = era;
}

static void
handle_era_begin(void *ctx, uint64_t era)
{
	follower_test_t *test = ctx;

	assert_int_equal(era, test->era);
	test->eras++;
}

static void
handle_update(void *ctx)
{
	(void)ctx;
}

static void
handle_read_done(void *ctx, const table_read_end_t *end)
{
	(void)ctx;
	(void)end;
}

static void
handle_read_failed(void *ctx, const table_read_end_t *end)
{
	(void)end;
	((follower_test_t *)ctx)->failed_reads++;
}

static void
handle_store_lost(void *ctx, msp_status_t status)
{
	(void)status;
	((follower_test_t *)ctx)->store_lost++;
}

static void
handle_store_recovered(void *ctx, msp_time_t lost_for)
{
	(void)lost_for;
	((follower_test_t *)ctx)->store_recovered++;
}

static void
handle_stale(void *ctx)
{
	((follower_test_t *)ctx)->stale++;
}

static void
handle_fresh(void *ctx, msp_time_t stale_for, bool was_down)
{
	follower_test_t *test = ctx;

	(void)stale_for;
	test->fresh++;
	test->was_down = was_down;
}

static void
open_server(follower_test_t *test, uint16_t port)
{
	msp_http_server_options_t options = {.address = ADDRESS,
	    .port = port,
	    .handler = msp_store_service_handler(test->service)};

	test->server = msp_new_http_server(test->loop, &options);
	assert_non_null(test->server);
}

static void
start_follower(follower_test_t *test)
{
	table_follower_options_t options = {.table = TARGETS_TABLE,
	    .store_wait_ms = 100,
	    .store_interval = 5 * MSP_MS,
	    .vm_wait_ms = 100,
	    .vm_interval = 5 * MSP_MS,
	    .outage_threshold = 10 * MSP_MS};
	table_follower_callbacks_t callbacks = {.choose_source = choose_source,
	    .choose_vm = choose_vm,
	    .on_newer_era = handle_newer_era,
	    .on_era_begin = handle_era_begin,
	    .on_snapshot_begin = handle_snapshot_begin,
	    .on_row = handle_row,
	    .on_snapshot_end = handle_snapshot_end,
	    .on_update = handle_update,
	    .on_read_done = handle_read_done,
	    .on_read_failed = handle_read_failed,
	    .on_store_lost = handle_store_lost,
	    .on_store_recovered = handle_store_recovered,
	    .on_stale = handle_stale,
	    .on_fresh = handle_fresh,
	    .ctx = test};

	test->follower = new_table_follower(
	    test->loop, &test->env, test->store, &options, &callbacks);
	assert_non_null(test->follower);
}

static int
set_up(void **state)
{
	follower_test_t *test = calloc(1, sizeof(*test));
	store_source_t source = {.address = ADDRESS};

	assert_non_null(test);
	assert_int_equal(register_platform_headers(), MSP_OK);
	test->env = msp_system_env();
	test->loop = msp_new_loop(MAX_FDS);
	test->memory = msp_new_memory_store(&test->env);
	assert_non_null(test->memory);
	test->service = msp_new_store_service(test->memory);
	test->client = msp_new_http_client(test->loop, NULL);
	assert_non_null(test->client);
	open_server(test, 0);
	source.port = msp_http_server_port(test->server);
	test->store = new_store_client(test->client, &source);
	assert_non_null(test->store);
	*state = test;
	return 0;
}

static int
tear_down(void **state)
{
	follower_test_t *test = *state;

	drop_table_follower(test->follower);
	drop_store_client(test->store);
	msp_drop_http_client(test->client);
	msp_drop_http_server(test->server);
	msp_drop_memory_store(test->memory);
	msp_drop_store_service(test->service);
	msp_drop_loop(test->loop);
	free(test);
	return 0;
}

static void
step(follower_test_t *test)
{
	msp_step_memory_store(test->memory);
	msp_step_store_service(test->service);
	msp_step_loop(test->loop, 1);
}

static void
await_count(
    follower_test_t *test, const unsigned int *count, unsigned int minimum)
{
	msp_time_t end = msp_now(&test->env) + RUN_TIMEOUT;

	while (*count < minimum && msp_now(&test->env) < end)
		step(test);
	assert_true(*count >= minimum);
}

static void
handle_put(void *ctx, const msp_store_reply_t *reply)
{
	assert_int_equal(reply->status, MSP_OK);
	*(bool *)ctx = true;
}

/* Sets the row of a target, or removes it. */
static void
put_row(follower_test_t *test, const char *key, const char *value)
{
	msp_store_t store = msp_memory_store(test->memory);
	char name[64];
	msp_write_t write = {name, value, value == NULL ? 0 : strlen(value)};
	msp_txn_t txn = {.writes = &write, .write_count = 1};
	bool done = false;

	snprintf(name, sizeof(name), TARGETS_TABLE "|%s", key);
	store.transact(store.ctx, &txn, 1000, handle_put, &done);
	while (!done)
		msp_step_memory_store(test->memory);
}

static void
reads_snapshot_then_changes(void **state)
{
	follower_test_t *test = *state;

	put_row(test, "t1", "one");
	put_row(test, "t2", "two");
	start_follower(test);
	await_count(test, &test->rows, 2);
	assert_true(is_table_loaded(test->follower));
	put_row(test, "t3", "three");
	await_count(test, &test->rows, 3);
	assert_string_equal(test->last_key, "t3");
	put_row(test, "t1", NULL);
	await_count(test, &test->removed, 1);
	assert_string_equal(test->last_key, "t1");
	assert_int_equal(test->snapshots, 1);
	assert_int_equal(test->store_lost, 0);
}

static void
reads_several_pages(void **state)
{
	follower_test_t *test = *state;
	char key[32];
	unsigned int i;

	for (i = 0; i < STORE_PAGE_ROWS_MAX + 20; i++) {
		snprintf(key, sizeof(key), "t%04u", i);
		put_row(test, key, "x");
	}
	start_follower(test);
	/* The last row of a page is repeated on the next page. */
	await_count(test, &test->rows, STORE_PAGE_ROWS_MAX + 21);
	assert_int_equal(test->snapshots, 1);
	assert_int_equal(test->rows, STORE_PAGE_ROWS_MAX + 21);
}

static void
rereads_table_without_history(void **state)
{
	follower_test_t *test = *state;

	put_row(test, "t1", "one");
	put_row(test, "t2", "two");
	start_follower(test);
	await_count(test, &test->rows, 2);
	put_row(test, "t1", NULL);
	put_row(test, "t4", "four");
	msp_discard_removed_rows(test->memory);
	await_count(test, &test->snapshots, 2);
	await_count(test, &test->rows, 4);
	assert_true(has_changes_since(get_table_copy(test->follower),
	    get_copy_version(get_table_copy(test->follower))));
}

typedef struct row_counts {
	unsigned int rows;
	unsigned int removed;
} row_counts_t;

static void
count_row(void *ctx, const store_row_t *row)
{
	row_counts_t *counts = ctx;

	if (row->value == NULL)
		counts->removed++;
	else
		counts->rows++;
}

/* Checks what other VMs read from the copy of this one. */
static void
copy_includes_removed_rows(void **state)
{
	follower_test_t *test = *state;
	row_counts_t counts = {0};
	uint64_t before;

	put_row(test, "t1", "one");
	put_row(test, "t2", "two");
	start_follower(test);
	await_count(test, &test->rows, 2);
	before = get_copy_version(get_table_copy(test->follower));
	put_row(test, "t1", NULL);
	await_count(test, &test->removed, 1);
	visit_copy_rows(
	    get_table_copy(test->follower), false, before, count_row, &counts);
	assert_int_equal(counts.rows, 0);
	assert_int_equal(counts.removed, 1);
	counts = (row_counts_t){0};
	visit_copy_rows(
	    get_table_copy(test->follower), true, 0, count_row, &counts);
	assert_int_equal(counts.rows, 1);
	assert_int_equal(counts.removed, 0);
	assert_false(has_changes_since(get_table_copy(test->follower), 1));
}

/* Rows are written throughout the first read, and none may be missed. */
static void
misses_no_row_written_during_first_read(void **state)
{
	follower_test_t *test = *state;
	row_counts_t counts = {0};
	char key[32];
	unsigned int i;

	put_row(test, "t00", "x");
	start_follower(test);
	for (i = 1; i < ROWS_DURING_READ; i++) {
		msp_step_loop(test->loop, 1);
		snprintf(key, sizeof(key), "t%02u", i);
		put_row(test, key, "x");
		msp_step_store_service(test->service);
	}
	await_count(test, &test->rows, ROWS_DURING_READ);
	visit_copy_rows(
	    get_table_copy(test->follower), true, 0, count_row, &counts);
	assert_int_equal(counts.rows, ROWS_DURING_READ);
}

/* A server that answers reads like another VM. */
typedef struct vm_stub {
	uint32_t fresh_for_ms;
	uint32_t age_ms;
	unsigned int request_count;
	unsigned int version; /* 0: newer than the store's */
	unsigned int era; /* 0: names none */
	msp_http_server_t *server;
} vm_stub_t;

static void
handle_vm_request(void *ctx, msp_exchange_t *exchange)
{
	vm_stub_t *vm = ctx;
	msp_response_t response = {.status = 200};

	vm->request_count++;
	msp_append_printf(&response.body,
	    "{\"rows\":[],\"hasMore\":false,\"ver\":%u,\"ageMs\":%u,"
	    "\"steadyMs\":%u}",
	    vm->version == 0 ? NEWER_VERSION : vm->version, vm->age_ms,
	    vm->fresh_for_ms);
	if (vm->era != 0)
		msp_print_header(&response.headers, "Store-Era", "%u", vm->era);
	msp_send_exchange_response(exchange, &response);
}

static void
ignore_disconnect(void *ctx, msp_exchange_t *exchange)
{
	(void)ctx;
	(void)exchange;
}

static void
open_vm(follower_test_t *test, vm_stub_t *vm)
{
	msp_http_server_options_t options = {.address = ADDRESS,
	    .handler = {.on_request = handle_vm_request,
		.on_disconnect = ignore_disconnect,
		.ctx = vm}};

	vm->server = msp_new_http_server(test->loop, &options);
	assert_non_null(vm->server);
	strcpy(test->vm.address, ADDRESS);
	test->vm.port = msp_http_server_port(vm->server);
}

static void
reads_from_vm_while_store_refuses(void **state)
{
	follower_test_t *test = *state;
	vm_stub_t vm = {.fresh_for_ms = 60000};

	put_row(test, "t1", "one");
	start_follower(test);
	await_count(test, &test->rows, 1);
	open_vm(test, &vm);
	msp_memory_store_faults(test->memory)->down = true;
	await_count(test, &test->store_lost, 1);
	await_count(test, &vm.request_count, 5);
	assert_int_equal(test->stale, 0);
	assert_true(get_table_age(test->follower) < TABLE_FRESH_MAX_AGE);
	msp_drop_http_server(vm.server);
}

/*
 * A VM that got a row before its reader did took the reader for broken, and
 * read the store and other VMs instead.
 */
static void
waits_for_vm_that_is_behind(void **state)
{
	follower_test_t *test = *state;
	vm_stub_t vm = {.fresh_for_ms = 60000, .version = 1};

	put_row(test, "t1", "one");
	put_row(test, "t2", "two");
	start_follower(test);
	await_count(test, &test->rows, 2);
	open_vm(test, &vm);
	test->prefers_vm = true;
	await_count(test, &vm.request_count, 5);
	assert_int_equal(test->failed_reads, 0);
	/* Without newer data the copy becomes too old, and is read elsewhere.
	 */
	await_count(test, &test->stale, 1);
	await_count(test, &test->failed_reads, 1);
	await_count(test, &test->fresh, 1);
	msp_drop_http_server(vm.server);
}

/* Rows of a response that can't be read, between two that can. */
static const char *const odd_rows[] = {
    "{\"key\":\"t9\",\"value\":\"eA==\"}",
    "{\"key\":\"t9\",\"ver\":-1,\"value\":\"eA==\"}",
    "{\"key\":\"t9\",\"ver\":1e999,\"value\":\"eA==\"}",
    "{\"key\":\"t9\",\"ver\":\"7\",\"value\":\"eA==\"}",
    "{\"key\":7,\"ver\":7,\"value\":\"eA==\"}",
    "{\"ver\":7,\"value\":\"eA==\"}",
    "null",
    "7",
    "[]",
};

/* Those whose key can be read, but not their value. */
static const char *const odd_values[] = {
    "{\"key\":\"t9\",\"ver\":7,\"value\":\"?\"}",
    "{\"key\":\"t9\",\"ver\":7,\"value\":7}",
    "{\"key\":\"t9\",\"ver\":7,\"value\":{\"a\":[[[]]]}}",
    "{\"key\":\"t9\",\"ver\":7}",
};

typedef struct odd_store {
	const char *row;
} odd_store_t;

static void
handle_odd_request(void *ctx, msp_exchange_t *exchange)
{
	const odd_store_t *store = ctx;
	msp_response_t response = {.status = 200};

	msp_append_printf(&response.body,
	    "{\"rows\":[{\"table\":\"x\",\"key\":\"t1\",\"ver\":5,"
	    "\"value\":\"eA==\"},%s,{\"table\":\"x\",\"key\":\"t2\","
	    "\"ver\":6,\"value\":\"eA==\"}],\"hasMore\":false,\"ver\":9}",
	    store->row);
	msp_send_exchange_response(exchange, &response);
}

static void
follow_odd_rows(follower_test_t *test, const char *row, unsigned int usable)
{
	odd_store_t odd = {.row = row};
	msp_http_server_options_t options = {.address = ADDRESS,
	    .handler = {.on_request = handle_odd_request,
		.on_disconnect = ignore_disconnect,
		.ctx = &odd}};
	msp_http_server_t *server = msp_new_http_server(test->loop, &options);
	store_source_t source = {.address = ADDRESS};

	assert_non_null(server);
	print_message("%s\n", row);
	source.port = msp_http_server_port(server);
	set_store_client_address(test->store, &source);
	test->rows = test->failed_reads = 0;
	start_follower(test);
	await_count(test, &test->rows, usable);
	assert_true(is_table_loaded(test->follower));
	assert_int_equal(test->rows, usable);
	assert_int_equal(test->failed_reads, 0);
	drop_table_follower(test->follower);
	test->follower = NULL;
	msp_drop_http_server(server);
}

/* One row that could not be read stopped a VM from following the table. */
static void
odd_rows_do_not_stop_the_table(void **state)
{
	follower_test_t *test = *state;
	size_t i;

	for (i = 0; i < sizeof(odd_rows) / sizeof(*odd_rows); i++)
		follow_odd_rows(test, odd_rows[i], 2);
	for (i = 0; i < sizeof(odd_values) / sizeof(*odd_values); i++)
		follow_odd_rows(test, odd_values[i], 3);
}

typedef struct outage_case {
	const char *name;
	bool vm_known;
	uint32_t vm_fresh_for_ms;
	bool was_down;
} outage_case_t;

/*
 * After an outage, another VM's response shows whether the store was down for
 * all VMs or only unreachable from this one.
 */
static void
distinguishes_outage_from_lost_connection(void **state)
{
	static const outage_case_t cases[] = {
	    {"no other VM is known", false, 0, true},
	    {"the other VM lost the store too", true, 100, true},
	    {"the other VM did not lose it", true, 60000, false},
	};
	follower_test_t *test = *state;
	size_t i;

	put_row(test, "t1", "one");
	start_follower(test);
	await_count(test, &test->rows, 1);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		vm_stub_t vm = {
		    .fresh_for_ms = cases[i].vm_fresh_for_ms, .age_ms = 60000};
		unsigned int fresh = test->fresh;

		msp_memory_store_faults(test->memory)->down = true;
		await_count(test, &test->stale, (unsigned int)i + 1);
		if (cases[i].vm_known)
			open_vm(test, &vm);
		vm.age_ms = 0;
		if (cases[i].vm_known)
			vm.age_ms = 0;
		msp_memory_store_faults(test->memory)->down = false;
		await_count(test, &test->fresh, fresh + 1);
		if (test->was_down != cases[i].was_down)
			fail_msg("%s", cases[i].name);
		test->vm.port = 0;
		msp_drop_http_server(vm.server);
	}
}

/* VMs with older data must not delay the next read of the store. */
static void
reads_recovered_store_soon(void **state)
{
	follower_test_t *test = *state;
	vm_stub_t vm = {.age_ms = 60000, .version = 1};

	put_row(test, "t1", "one");
	start_follower(test);
	await_count(test, &test->rows, 1);
	open_vm(test, &vm);
	msp_memory_store_faults(test->memory)->down = true;
	await_count(test, &test->stale, 1);
	msp_memory_store_faults(test->memory)->down = false;
	vm.request_count = 0;
	await_count(test, &test->store_recovered, 1);
	assert_in_range(vm.request_count, 0, 2);
	test->vm.port = 0;
	msp_drop_http_server(vm.server);
	/* The loop has to free the closed connections. */
	await_count(test, &test->fresh, 1);
}

/* A row that is looked for. */
typedef struct row_check {
	const char *key;
	const char *value;
	bool found;
} row_check_t;

static void
check_row(void *ctx, const store_row_t *row)
{
	row_check_t *check = ctx;

	if (strcmp(row->key, check->key) == 0)
		check->found =
		    row->value != NULL && strcmp(row->value, check->value) == 0;
}

/* The store goes back to its state at that time. */
static void
restore_store(follower_test_t *test, msp_time_t at)
{
	assert_int_equal(
	    msp_restore_memory_store(test->memory, msp_now(&test->env) - at),
	    MSP_OK);
}

/* A time that lies between two writes. */
static msp_time_t
mark_time(follower_test_t *test)
{
	msp_time_t at;

	step(test);
	at = msp_now(&test->env);
	step(test);
	return at;
}

static bool
has_row(follower_test_t *test, const char *key, const char *value)
{
	row_check_t check = {.key = key, .value = value};

	visit_copy_rows(
	    get_table_copy(test->follower), true, 0, check_row, &check);
	return check.found;
}

static void
await_row(follower_test_t *test, const char *key, const char *value)
{
	msp_time_t end = msp_now(&test->env) + RUN_TIMEOUT;

	while (!has_row(test, key, value) && msp_now(&test->env) < end)
		step(test);
	assert_true(has_row(test, key, value));
}

typedef struct restore_case {
	const char *name;
	unsigned int lost; /* writes that the older copy does not have */
	unsigned int again; /* writes after it, before the follower reads */
	unsigned int restores; /* one right after the other */
	bool is_down; /* for a moment before */
} restore_case_t;

/*
 * Guards against a follower that compares versions of two eras: after the store
 * came back from an older copy it applied no change until its versions had
 * passed the old ones (a draining target got requests for seconds).
 */
static void
follows_a_store_that_comes_back_older(void **state)
{
	static const restore_case_t cases[] = {
	    {"many writes lost", 50, 0, 1, false},
	    {"many writes lost in an outage", 50, 0, 1, true},
	    {"one write lost", 1, 0, 1, false},
	    {"none lost", 0, 0, 1, false},
	    /* The follower's version is given out again, for other rows. */
	    {"versions passed at once", 5, 9, 1, false},
	    {"twice", 20, 3, 2, false},
	    {"three times in an outage", 20, 30, 3, true},
	};
	follower_test_t *test;
	char key[32];
	unsigned int k;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const restore_case_t *c = &cases[i];
		msp_time_t copied_at;

		test = *state;
		msp_keep_memory_store_copies(test->memory, 60 * MSP_SECOND);
		put_row(test, "kept", "old");
		put_row(test, "removed", "there");
		start_follower(test);
		await_count(test, &test->rows, 2);
		copied_at = mark_time(test);
		for (k = 0; k < c->lost; k++) {
			snprintf(key, sizeof(key), "lost%u", k);
			put_row(test, key, "new");
		}
		await_count(test, &test->rows, 2 + c->lost);
		put_row(test, "removed", NULL);
		await_count(test, &test->removed, 1);
		msp_memory_store_faults(test->memory)->down = c->is_down;
		for (k = 0; k < c->restores; k++)
			restore_store(test, copied_at);
		msp_memory_store_faults(test->memory)->down = false;
		for (k = 0; k < c->again; k++) {
			snprintf(key, sizeof(key), "again%u", k);
			put_row(test, key, "new");
		}
		put_row(test, "kept", "newest");
		await_count(test, &test->eras, 1);
		await_row(test, "kept", "newest");
		assert_int_equal(test->era, 1 + c->restores);
		assert_true(has_row(test, "removed", "there"));
		for (k = 0; k < c->again; k++) {
			snprintf(key, sizeof(key), "again%u", k);
			assert_true(has_row(test, key, "new"));
		}
		assert_false(has_row(test, "lost0", "new"));
		/* Changes are followed as before. */
		put_row(test, "kept", "changed");
		await_row(test, "kept", "changed");
		assert_int_equal(test->eras, 1);
		assert_int_equal(
		    test->failed_reads, c->is_down ? test->failed_reads : 0);
		tear_down(state);
		set_up(state);
	}
}

typedef struct vm_era_case {
	const char *name;
	unsigned int era; /* that the VM names; 0: none */
	unsigned int version;
	bool is_used; /* its version becomes the copy's */
} vm_era_case_t;

/*
 * A VM that has not heard of the store's era, or is of a build that names none,
 * must not take the copy back.
 */
static void
rows_of_an_older_era_are_not_used(void **state)
{
	static const vm_era_case_t cases[] = {
	    {"an older era", 1, 100000, false},
	    {"no era", 0, 100000, false},
	    {"the same era", 2, 100000, true},
	};
	follower_test_t *test;
	msp_time_t at;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		vm_stub_t vm = {.fresh_for_ms = 60000,
		    .version = cases[i].version,
		    .era = cases[i].era};

		test = *state;
		msp_keep_memory_store_copies(test->memory, 60 * MSP_SECOND);
		put_row(test, "t1", "one");
		start_follower(test);
		await_count(test, &test->rows, 1);
		at = mark_time(test);
		put_row(test, "t2", "two");
		await_count(test, &test->rows, 2);
		restore_store(test, at);
		await_count(test, &test->eras, 1);
		open_vm(test, &vm);
		test->prefers_vm = true;
		await_count(test, &vm.request_count, 3);
		if ((get_copy_version(get_table_copy(test->follower)) ==
			cases[i].version) != cases[i].is_used)
			fail_msg("%s", cases[i].name);
		assert_int_equal(test->eras, 1);
		msp_drop_http_server(vm.server);
		test->vm.port = 0;
		tear_down(state);
		set_up(state);
	}
}

/* An era that was only heard of: the VM that names it has its rows, too. */
static void
newer_era_of_a_vm_is_followed(void **state)
{
	follower_test_t *test = *state;
	vm_stub_t vm = {.fresh_for_ms = 60000, .version = 1, .era = 7};

	msp_keep_memory_store_copies(test->memory, 60 * MSP_SECOND);
	put_row(test, "t1", "one");
	put_row(test, "t2", "two");
	start_follower(test);
	await_count(test, &test->rows, 2);
	msp_memory_store_faults(test->memory)->down = true;
	open_vm(test, &vm);
	await_count(test, &test->eras, 1);
	assert_int_equal(test->era, 7);
	assert_int_equal(get_copy_version(get_table_copy(test->follower)), 1);
	/* The store is behind that VM, and its rows are of before. */
	msp_memory_store_faults(test->memory)->down = false;
	await_count(test, &vm.request_count, 5);
	assert_int_equal(test->eras, 1);
	assert_false(has_row(test, "t1", "one"));
	msp_drop_http_server(vm.server);
}

#define FOLLOWER_TEST(name_) \
	cmocka_unit_test_setup_teardown(name_, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    FOLLOWER_TEST(reads_snapshot_then_changes),
	    FOLLOWER_TEST(reads_several_pages),
	    FOLLOWER_TEST(rereads_table_without_history),
	    FOLLOWER_TEST(copy_includes_removed_rows),
	    FOLLOWER_TEST(misses_no_row_written_during_first_read),
	    FOLLOWER_TEST(reads_from_vm_while_store_refuses),
	    FOLLOWER_TEST(waits_for_vm_that_is_behind),
	    FOLLOWER_TEST(odd_rows_do_not_stop_the_table),
	    FOLLOWER_TEST(distinguishes_outage_from_lost_connection),
	    FOLLOWER_TEST(reads_recovered_store_soon),
	    FOLLOWER_TEST(follows_a_store_that_comes_back_older),
	    FOLLOWER_TEST(rows_of_an_older_era_are_not_used),
	    FOLLOWER_TEST(newer_era_of_a_vm_is_followed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
