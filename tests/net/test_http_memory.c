#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "client_fixture.h"

/*
 * The memory that all bodies hold together is bounded. Guards against peers
 * whose bodies fit one by one, but not all at once: the process ran out of
 * memory, and all its requests ended with it.
 */

#define KB 1024
#define BUDGET (100 * KB)

/* A client with a budget, and calls whose responses come in pieces. */
typedef struct memory_test {
	client_test_t *client; /* the fixture's loop and listener */
	msp_memory_budget_t budget;
	msp_http_client_t *http;
	test_outcome_t outcomes[2];
	raw_socket_t raw[2];
} memory_test_t;

static void
start_response(memory_test_t *test, size_t index)
{
	msp_request_t request = new_request("GET", "/a", NULL);

	assert_non_null(msp_start_call(test->http, &test->client->options,
	    &request, store_outcome, &test->outcomes[index]));
	test->raw[index] = raw_accept(&test->client->listener);
	assert_true(raw_expect(&test->raw[index], "\r\n\r\n"));
	raw_send_text(
	    &test->raw[index], OK_LINE "Transfer-Encoding: chunked\r\n\r\n");
}

static void
send_chunk(memory_test_t *test, size_t index, size_t len)
{
	char head[32];
	char *data = malloc(len);
	int i;

	assert_non_null(data);
	memset(data, 'x', len);
	snprintf(head, sizeof(head), "%zx\r\n", len);
	raw_send_text(&test->raw[index], head);
	raw_send(&test->raw[index], data, len);
	raw_send_text(&test->raw[index], "\r\n");
	free(data);
	for (i = 0; i < 20; i++)
		msp_step_loop(test->client->loop, 1);
}

static void
open_memory_test(memory_test_t *test, client_test_t *client)
{
	msp_http_client_options_t options = {.max_connections_per_server = 4};

	*test = (memory_test_t){.client = client, .budget = {.limit = BUDGET}};
	options.body_budget = &test->budget;
	test->http = msp_new_http_client(client->loop, &options);
	assert_non_null(test->http);
}

static void
close_memory_test(memory_test_t *test)
{
	size_t i;

	msp_drop_http_client(test->http);
	for (i = 0; i < 2; i++) {
		drop_outcome(&test->outcomes[i]);
		raw_close(&test->raw[i]);
	}
	assert_int_equal(test->budget.used, 0);
}

typedef struct way_case {
	const char *name;
	size_t first_kb; /* received of the first response */
	size_t second_kb; /* of the second, in pieces */
	size_t loser; /* that gives way; 2: none */
} way_case_t;

static void
the_largest_response_gives_way(void **state)
{
	static const way_case_t cases[] = {
	    {"both fit", 30, 30, 2},
	    {"the first is larger", 40, 50, 0},
	    {"the second is larger", 10, 120, 1},
	};
	memory_test_t test;
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const way_case_t *c = &cases[i];

		open_memory_test(&test, *state);
		start_response(&test, 0);
		send_chunk(&test, 0, c->first_kb * KB);
		start_response(&test, 1);
		for (k = 0; k < c->second_kb; k += 10)
			send_chunk(&test, 1, (size_t)10 * KB);
		for (k = 0; k < 2; k++) {
			if (k != c->loser) {
				raw_send_text(&test.raw[k], "0\r\n\r\n");
			}
			run_until_count(
			    test.client->loop, &test.outcomes[k].done_count, 1);
			if (test.outcomes[k].status !=
			    (k == c->loser ? MSP_E_RESPONSE_TOO_LARGE : MSP_OK))
				fail_msg("%s: response %zu ended with %s",
				    c->name, k,
				    msp_status_name(test.outcomes[k].status));
		}
		assert_true(test.budget.most_used <= BUDGET);
		close_memory_test(&test);
		tear_down_client(state);
		assert_int_equal(set_up_client(state), 0);
	}
}

/* The body of a request is not held until its response comes. */
static void
sent_body_is_dropped(void **state)
{
	memory_test_t test;
	msp_request_t request = {.method = "POST", .path = "/a"};

	open_memory_test(&test, *state);
	request.body.budget = &test.budget;
	while (request.body.len < (size_t)20 * KB)
		msp_append_printf(&request.body, "%zu,", request.body.len);
	assert_non_null(msp_start_call(test.http, &test.client->options,
	    &request, store_outcome, &test.outcomes[0]));
	assert_true(test.budget.used > 0);
	test.raw[0] = raw_accept(&test.client->listener);
	assert_true(raw_expect(&test.raw[0], "20476,"));
	assert_int_equal(test.budget.used, 0);
	raw_send_text(&test.raw[0], complete_response);
	assert_true(run_until_count(
	    test.client->loop, &test.outcomes[0].done_count, 1));
	assert_int_equal(test.outcomes[0].status, MSP_OK);
	close_memory_test(&test);
}

typedef struct request_case {
	const char *name;
	size_t body; /* bytes of each request */
	size_t count; /* at the same time */
	size_t refused;
} request_case_t;

#define REQUESTS_MAX 6

static void
ignore_exchange(void *ctx, msp_exchange_t *exchange)
{
	(void)ctx;
	(void)exchange;
}

/* Requests that a handler works on keep their bodies. */
static void
requests_beyond_the_memory_are_refused(void **state)
{
	static const request_case_t cases[] = {
	    {"all fit", 700, 4, 0},
	    {"the last do not fit", 900, 6, 2},
	};
	client_test_t *test = *state;
	/* A body of 700 or 900 bytes takes 1024. */
	msp_memory_budget_t budget = {.limit = 4 * KB};
	msp_http_server_options_t options = {.address = TEST_ADDRESS,
	    .handler = {.on_request = ignore_exchange,
		.on_disconnect = ignore_exchange}};
	msp_http_server_t *server;
	raw_socket_t raw[REQUESTS_MAX];
	char text[2048];
	char body[KB] = {0};
	size_t refused;
	size_t i;
	size_t k;

	options.limits.body_budget = &budget;
	server = msp_new_http_server(test->loop, &options);
	assert_non_null(server);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		refused = 0;
		memset(body, 'x', cases[i].body);
		body[cases[i].body] = '\0';
		snprintf(text, sizeof(text),
		    "POST /a HTTP/1.1\r\nHost: a\r\n"
		    "Content-Length: %zu\r\n\r\n%s",
		    cases[i].body, body);
		for (k = 0; k < cases[i].count; k++) {
			raw[k] = raw_connect(
			    test->loop, msp_http_server_port(server));
			raw_send_text(&raw[k], text);
			msp_step_loop(test->loop, 5);
			msp_step_loop(test->loop, 5);
		}
		for (k = 0; k < cases[i].count; k++) {
			raw_read(&raw[k]);
			if (raw[k].input.len == 0)
				continue;
			assert_non_null(strstr(raw[k].input.data, " 503 "));
			assert_non_null(
			    strstr(raw[k].input.data, "retry-after"));
			refused++;
		}
		if (refused != cases[i].refused)
			fail_msg("%s: %zu refused", cases[i].name, refused);
		for (k = 0; k < cases[i].count; k++)
			raw_close(&raw[k]);
		for (k = 0; k < 20; k++)
			msp_step_loop(test->loop, 1);
		assert_int_equal(budget.used, 0);
	}
	msp_drop_http_server(server);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(the_largest_response_gives_way,
		set_up_client, tear_down_client),
	    cmocka_unit_test_setup_teardown(
		sent_body_is_dropped, set_up_client, tear_down_client),
	    cmocka_unit_test_setup_teardown(
		requests_beyond_the_memory_are_refused, set_up_client,
		tear_down_client),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
