#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "server_fixture.h"

static void
send_large_response(msp_exchange_t *exchange)
{
	msp_response_t response = {.status = 200};
	char block[4096];
	size_t i;

	memset(block, 'x', sizeof(block));
	for (i = 0; i < LARGE_RESPONSE / sizeof(block); i++)
		msp_append_data(&response.body, block, sizeof(block));
	msp_append_data(&response.body, "end", 3);
	msp_send_exchange_response(exchange, &response);
}

static void
handle_request(void *ctx, msp_exchange_t *exchange)
{
	server_test_t *test = ctx;
	const msp_request_t *request = msp_exchange_request(exchange);
	msp_response_t response = {.status = 200};

	test->request_count++;
	if (strncmp(request->path, "/hold", 5) == 0) {
		test->pending_exchange = exchange;
		return;
	}
	if (strcmp(request->path, "/large") == 0) {
		send_large_response(exchange);
		return;
	}
	if (strcmp(request->path, "/204") == 0)
		response.status = 204;
	else
		msp_append_printf(&response.body, "<%s %s %zu>",
		    request->method, request->path, request->body.len);
	msp_send_exchange_response(exchange, &response);
}

static void
handle_disconnect(void *ctx, msp_exchange_t *exchange)
{
	server_test_t *test = ctx;

	assert_ptr_equal(test->pending_exchange, exchange);
	test->pending_exchange = NULL;
	test->disconnect_count++;
}

static void
handle_refusal(void *ctx, const msp_http_refusal_t *refusal)
{
	server_test_t *test = ctx;

	assert_string_equal(refusal->client_address, TEST_ADDRESS);
	test->refusal_count++;
	test->refusal_status = refusal->status;
	test->refused_path[0] = '\0';
	test->refused_body_len = 0;
	if (refusal->request == NULL)
		return;
	snprintf(test->refused_path, sizeof(test->refused_path), "%s",
	    refusal->request->path);
	test->refused_body_len = refusal->request->body.len;
}

int
set_up_server(void **state)
{
	static server_test_t test;
	msp_http_server_options_t options = {
	    .address = TEST_ADDRESS,
	    .limits =
		{
		    .max_body = MAX_BODY,
		    .max_headers = MAX_HEADERS,
		    .max_connections = MAX_CONNECTIONS,
		    .head_timeout_ms = 200,
		    .body_timeout_ms = 200,
		    .send_timeout_ms = 300,
		    .idle_timeout_ms = 400,
		},
	    .handler =
		{
		    .on_request = handle_request,
		    .on_disconnect = handle_disconnect,
		    .on_refusal = handle_refusal,
		    .ctx = &test,
		},
	};

	test = (server_test_t){0};
	test.loop = msp_new_loop(64);
	test.server = msp_new_http_server(test.loop, &options);
	if (test.server == NULL)
		return -1;
	test.port = msp_http_server_port(test.server);
	*state = &test;
	return 0;
}

int
tear_down_server(void **state)
{
	server_test_t *test = *state;

	msp_drop_http_server(test->server);
	msp_drop_loop(test->loop);
	return 0;
}

/* Fails unless the server responds to a valid request on a new connection. */
void
assert_serving(server_test_t *test, const char *name)
{
	raw_socket_t raw = raw_connect(test->loop, test->port);

	raw_send_text(&raw, "GET /good HTTP/1.1\r\nHost: a\r\n\r\n");
	if (!raw_expect(&raw, "<GET /good 0>"))
		fail_msg("%s: no longer serving", name);
	raw_close(&raw);
}
