#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "net_fixture.h"

typedef struct echo {
	msp_loop_t *loop;
	msp_http_server_t *server;
	msp_http_client_t *client;
	unsigned int requests;
} echo_t;

/* Responds with the request's method, path, two headers and body. */
static void
send_echo(void *ctx, msp_exchange_t *exchange)
{
	echo_t *echo = ctx;
	const msp_request_t *request = msp_exchange_request(exchange);
	msp_response_t response = {.status = 200};
	const char *key = msp_find_header(&request->headers, "Idempotency-Key");
	const char *type = msp_find_header(&request->headers, "content-type");

	echo->requests++;
	msp_add_header(&response.headers, "x-request-id", "abc");
	msp_append_printf(&response.body, "%s %s %s %s ", request->method,
	    request->path, key == NULL ? "-" : key, type == NULL ? "-" : type);
	msp_append_data(&response.body, request->body.data, request->body.len);
	msp_send_exchange_response(exchange, &response);
}

static int
set_up(void **state)
{
	static echo_t echo;
	msp_http_server_options_t options = {
	    .address = TEST_ADDRESS,
	    .handler = {.on_request = send_echo, .ctx = &echo},
	};

	echo = (echo_t){0};
	echo.loop = msp_new_loop(256);
	echo.server = msp_new_http_server(echo.loop, &options);
	echo.client = msp_new_http_client(echo.loop, NULL);
	*state = &echo;
	return echo.server == NULL || echo.client == NULL ? -1 : 0;
}

static int
tear_down(void **state)
{
	echo_t *echo = *state;

	msp_drop_http_client(echo->client);
	msp_drop_http_server(echo->server);
	msp_drop_loop(echo->loop);
	return 0;
}

typedef struct echo_case {
	const char *method;
	const char *path;
	const char *key;
	const char *body;
	const char *response;
} echo_case_t;

static const echo_case_t cases[] = {
    {"GET", "/", NULL, NULL, "GET / - - "},
    {"GET", "/a/b?x=1&y=a%20b", NULL, NULL, "GET /a/b?x=1&y=a%20b - - "},
    {"GET", "/a%20b", NULL, NULL, "GET /a%20b - - "},
    {"POST", "/p", "k-1", "text", "POST /p k-1 text/plain text"},
    {"POST", "/p", "k-2", NULL, "POST /p k-2 - "},
    {"PUT", "/p", NULL, "put", "PUT /p - text/plain put"},
    {"PATCH", "/p", NULL, "patch", "PATCH /p - text/plain patch"},
    {"DELETE", "/p", NULL, NULL, "DELETE /p - - "},
    {"OPTIONS", "/p", NULL, NULL, "OPTIONS /p - - "},
    {"HEAD", "/p", NULL, NULL, ""},
};

static void
requests_arrive_as_sent(void **state)
{
	echo_t *echo = *state;
	msp_call_options_t options = {
	    .address = TEST_ADDRESS,
	    .port = msp_http_server_port(echo->server),
	    .timeout_ms = 5000,
	};
	size_t i;

	for (i = 0; i < 2 * sizeof(cases) / sizeof(*cases); i++) {
		const echo_case_t *c =
		    &cases[i % (sizeof(cases) / sizeof(*cases))];
		msp_request_t request =
		    new_request(c->method, c->path, c->body);
		test_outcome_t outcome = {0};

		if (c->key != NULL)
			msp_add_header(
			    &request.headers, "Idempotency-Key", c->key);
		if (c->body != NULL)
			msp_add_header(
			    &request.headers, "Content-Type", "text/plain");
		assert_non_null(msp_start_call(
		    echo->client, &options, &request, store_outcome, &outcome));
		assert_true(
		    run_until_count(echo->loop, &outcome.done_count, 1));
		assert_int_equal(outcome.status, MSP_OK);
		assert_int_equal(outcome.http_status, 200);
		assert_string_equal(
		    msp_buffer_text(&outcome.response.body), c->response);
		assert_string_equal(
		    msp_find_header(&outcome.response.headers, "x-request-id"),
		    "abc");
		assert_int_equal(echo->requests, i + 1);
		drop_outcome(&outcome);
	}
}

static void
large_bodies_arrive_complete(void **state)
{
	echo_t *echo = *state;
	msp_call_options_t options = {
	    .address = TEST_ADDRESS,
	    .port = msp_http_server_port(echo->server),
	    .timeout_ms = 5000,
	};
	static const size_t sizes[] = {
	    1, 1000, 4096, 16384, 65536, 100000, 1000000};
	size_t i;

	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		msp_request_t request = new_request("POST", "/", NULL);
		test_outcome_t outcome = {0};
		size_t n;

		for (n = 0; n < sizes[i]; n++)
			msp_append_data(&request.body,
			    &"0123456789abcdef"[(n * 7 + n / 16) % 16], 1);
		assert_non_null(msp_start_call(
		    echo->client, &options, &request, store_outcome, &outcome));
		assert_true(
		    run_until_count(echo->loop, &outcome.done_count, 1));
		assert_int_equal(outcome.status, MSP_OK);
		/* The response begins with 11 bytes: "POST / - - ". */
		assert_int_equal(outcome.response.body.len, sizes[i] + 11);
		for (n = 0; n < sizes[i]; n++)
			assert_int_equal(outcome.response.body.data[n + 11],
			    "0123456789abcdef"[(n * 7 + n / 16) % 16]);
		drop_outcome(&outcome);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		requests_arrive_as_sent, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		large_bodies_arrive_complete, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
