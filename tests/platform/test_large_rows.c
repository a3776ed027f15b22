#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../platform/platform_api.h"
#include "../../source/platform/table_follower.h"
#include "monsoonspindle/platform.h"
#include "net_fixture.h"
#include "paced_server.h"

/*
 * Reads of a table were given up after a fixed time for the whole response, so
 * that a VM with a slow link never read a large row: it served by old routes,
 * outside the home regions of the new ones.
 */

#define MAX_FDS 256
#define ROW_BYTES ((size_t)800 * 1024) /* before base64 */
#define RUN_TIMEOUT (10 * MSP_SECOND)
#define FIRST_VERSION 1U
#define LARGE_VERSION 2U
#define FAST 100e6 /* bytes per second */

typedef struct large_row_case {
	const char *name;
	bool as_change; /* the row comes after the first read of the table */
	double store_rate; /* bytes per second */
	double vm_rate; /* 0: no VM is known */
	/* The store's responses with the row that stop in the middle. */
	unsigned int stopped_responses;
	bool needs_cut_report; /* on_read_failed for a part of a response */
	bool store_first; /* reads the store, and a VM after a failure */
	bool has_second_vm; /* asked only beside a slow read of the store */
	bool second_is_empty; /* it has a newer version, but no rows */
} large_row_case_t;

static const large_row_case_t cases[] = {
    {.name = "large_row_is_in_first_read_over_slow_link", .store_rate = 400e3},
    {.name = "large_row_changes_over_slow_link",
	.as_change = true,
	.store_rate = 400e3},
    {.name = "large_row_is_read_from_vm",
	.as_change = true,
	.store_rate = 1,
	.vm_rate = 1300e3},
    /* The VM's link is shared by all that read from it. */
    {.name = "large_row_is_read_from_store_if_vm_is_slow",
	.as_change = true,
	.store_rate = 600e3,
	.vm_rate = 50e3,
	.needs_cut_report = true},
    /* Only a longer transfer time can help, as the store sends nothing. */
    {.name = "large_row_is_read_from_slow_vm_without_store",
	.as_change = true,
	.store_rate = 0.1,
	.vm_rate = 350e3,
	.needs_cut_report = true},
    {.name = "large_row_is_read_again_after_silence",
	.as_change = true,
	.store_rate = FAST,
	.stopped_responses = 1,
	.needs_cut_report = true},
    /* A read of the store that takes minutes kept this VM from asking a VM. */
    {.name = "large_row_is_read_from_vm_if_store_is_slow",
	.as_change = true,
	.store_rate = 20e3,
	.vm_rate = FAST,
	.store_first = true},
    /* The first VM of a far data centre read whole rows for seconds. */
    {.name = "large_row_is_read_from_second_vm_beside_slow_store",
	.as_change = true,
	.store_rate = 300e3,
	.vm_rate = FAST,
	.has_second_vm = true},
    /* The version of the store grows by changes of other tables. */
    {.name = "slow_read_goes_on_if_second_vm_has_no_rows",
	.as_change = true,
	.store_rate = 600e3,
	.vm_rate = FAST,
	.has_second_vm = true,
	.second_is_empty = true},
};

#define CASE_COUNT (sizeof(cases) / sizeof(*cases))

typedef struct large_row_test {
	const large_row_case_t *item;
	msp_env_t env;
	msp_loop_t *loop;
	msp_http_client_t *client;
	store_client_t *store;
	table_follower_t *follower;
	paced_server_t store_server;
	paced_server_t vm_server;
	bool reads_from_vm;
	unsigned int large_rows;
	unsigned int cut_reads;
	unsigned int second_reads;
} large_row_test_t;

static bool
choose_source(void *ctx, unsigned int attempt, store_source_t *source)
{
	const large_row_test_t *test = ctx;

	if (!test->reads_from_vm ||
	    (attempt % 2 == 0) == test->item->store_first)
		return false;
	strcpy(source->address, TEST_ADDRESS);
	source->port = test->vm_server.port;
	return true;
}

static bool
choose_vm(void *ctx, store_source_t *source)
{
	const large_row_test_t *test = ctx;

	return choose_source(ctx, test->item->store_first ? 1 : 0, source);
}

static bool
choose_second_vm(void *ctx, unsigned int attempt, store_source_t *source)
{
	const large_row_test_t *test = ctx;

	(void)attempt;
	strcpy(source->address, TEST_ADDRESS);
	source->port = test->vm_server.port;
	return test->item->has_second_vm;
}

static void
handle_second_read(void *ctx, const table_read_end_t *end)
{
	large_row_test_t *test = ctx;

	assert_int_equal(end->vm->port, test->vm_server.port);
	test->second_reads++;
}

static void
handle_row(void *ctx, const store_row_t *row)
{
	large_row_test_t *test = ctx;

	if (row->version == LARGE_VERSION && row->value_len == ROW_BYTES)
		test->large_rows++;
}

static void
handle_read_failed(void *ctx, const table_read_end_t *end)
{
	large_row_test_t *test = ctx;

	if (end->reply->received > 0)
		test->cut_reads++;
}

static void
ignore_read_done(void *ctx, const table_read_end_t *end)
{
	(void)ctx;
	(void)end;
}

static void
ignore_event(void *ctx)
{
	(void)ctx;
}

static void
ignore_snapshot_end(void *ctx, uint64_t version)
{
	(void)ctx;
	(void)version;
}

static void
ignore_store_lost(void *ctx, msp_status_t status)
{
	(void)ctx;
	(void)status;
}

static void
ignore_store_recovered(void *ctx, msp_time_t lost_for)
{
	(void)ctx;
	(void)lost_for;
}

static void
ignore_fresh(void *ctx, msp_time_t stale_for, bool was_down)
{
	(void)ctx;
	(void)stale_for;
	(void)was_down;
}

/* Sets the responses of a server: a table with the large row or without. */
static void
set_table(paced_server_t *server, bool large)
{
	msp_buffer_t body = {0};
	char *value = calloc(1, ROW_BYTES);

	assert_non_null(value);
	msp_append_printf(&body, "{\"rows\":[");
	if (large) {
		msp_append_printf(&body,
		    "{\"table\":\"op\",\"part\":\"\",\"key\":\"config\","
		    "\"ver\":%u,\"value\":\"",
		    LARGE_VERSION);
		assert_int_equal(
		    msp_encode_base64(&body, value, ROW_BYTES), MSP_OK);
		msp_append_printf(&body, "\"}");
	}
	msp_append_printf(&body, "],\"hasMore\":false,\"ver\":%u}",
	    large ? LARGE_VERSION : FIRST_VERSION);
	set_paced_body(server, body.data, body.len);
	msp_drop_buffer(&body);
	free(value);
}

static void
start_follower(large_row_test_t *test)
{
	table_follower_options_t options = {.table = OPERATOR_TABLE,
	    .store_wait_ms = 100,
	    .store_interval = 5 * MSP_MS,
	    .vm_wait_ms = 100,
	    .vm_interval = 5 * MSP_MS,
	    .outage_threshold = MSP_NEVER};
	table_follower_callbacks_t callbacks = {.choose_source = choose_source,
	    .choose_vm = choose_vm,
	    .choose_second_vm = choose_second_vm,
	    .on_second_read = handle_second_read,
	    .on_snapshot_begin = ignore_event,
	    .on_row = handle_row,
	    .on_snapshot_end = ignore_snapshot_end,
	    .on_update = ignore_event,
	    .on_read_done = ignore_read_done,
	    .on_read_failed = handle_read_failed,
	    .on_store_lost = ignore_store_lost,
	    .on_store_recovered = ignore_store_recovered,
	    .on_stale = ignore_event,
	    .on_fresh = ignore_fresh,
	    .ctx = test};

	test->follower = new_table_follower(
	    test->loop, &test->env, test->store, &options, &callbacks);
	assert_non_null(test->follower);
}

static void
step(large_row_test_t *test)
{
	msp_time_t now = msp_now(&test->env);

	step_paced_server(&test->store_server, now);
	step_paced_server(&test->vm_server, now);
	if (test->item->has_second_vm && test->follower != NULL)
		check_slow_read(test->follower, false);
	msp_step_loop(test->loop, 1);
}

static void
open_servers(large_row_test_t *test)
{
	test->store_server.bytes_per_second = FAST;
	test->vm_server.bytes_per_second = FAST;
	open_paced_server(&test->store_server);
	open_paced_server(&test->vm_server);
	set_table(&test->store_server, false);
	set_table(&test->vm_server, false);
}

static const char empty_body[] = "{\"rows\":[],\"hasMore\":false,\"ver\":9}";

/* From now on both servers have the large row, if the case says so. */
static void
put_large_row(large_row_test_t *test)
{
	const large_row_case_t *item = test->item;

	set_table(&test->store_server, true);
	set_table(&test->vm_server, !item->second_is_empty);
	if (item->second_is_empty)
		set_paced_body(
		    &test->vm_server, empty_body, strlen(empty_body));
	test->store_server.bytes_per_second = item->store_rate;
	test->store_server.stopped_responses = item->stopped_responses;
	test->vm_server.bytes_per_second = item->vm_rate;
	test->reads_from_vm = item->vm_rate > 0 && !item->has_second_vm;
}

static void
set_up(large_row_test_t *test, const large_row_case_t *item)
{
	store_source_t source = {.address = TEST_ADDRESS};

	*test = (large_row_test_t){.item = item, .env = msp_system_env()};
	test->loop = msp_new_loop(MAX_FDS);
	test->client = msp_new_http_client(test->loop, NULL);
	open_servers(test);
	source.port = test->store_server.port;
	test->store = new_store_client(test->client, &source);
	assert_non_null(test->store);
}

static void
tear_down(large_row_test_t *test)
{
	drop_table_follower(test->follower);
	drop_store_client(test->store);
	msp_drop_http_client(test->client);
	close_paced_server(&test->store_server);
	close_paced_server(&test->vm_server);
	msp_drop_loop(test->loop);
}

static void
reads_large_row(void **state)
{
	const large_row_case_t *item = *state;
	large_row_test_t test;
	msp_time_t end;

	set_up(&test, item);
	if (!item->as_change)
		put_large_row(&test);
	start_follower(&test);
	end = msp_now(&test.env) + RUN_TIMEOUT;
	while (item->as_change && !is_table_loaded(test.follower) &&
	    msp_now(&test.env) < end)
		step(&test);
	if (item->as_change)
		put_large_row(&test);
	end = msp_now(&test.env) + RUN_TIMEOUT;
	while (test.large_rows == 0 && msp_now(&test.env) < end)
		step(&test);
	tear_down(&test);
	if (test.large_rows == 0)
		fail_msg("the row was not read; %u reads were cut off",
		    test.cut_reads);
	if (item->needs_cut_report && test.cut_reads == 0)
		fail_msg("no read was reported as cut off");
	if (item->has_second_vm)
		assert_int_equal(test.second_reads, !item->second_is_empty);
}

int
main(void)
{
	struct CMUnitTest tests[CASE_COUNT] = {{0}};
	size_t i;

	for (i = 0; i < CASE_COUNT; i++)
		tests[i] = (struct CMUnitTest){.name = cases[i].name,
		    .test_func = reads_large_row,
		    .initial_state = (void *)&cases[i]};
	return cmocka_run_group_tests_name("large rows", tests, NULL, NULL);
}
