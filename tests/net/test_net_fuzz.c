#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <sys/socket.h>
#include <unistd.h>

#include "raw_socket.h"

#define SEED 20261203
#define ROUNDS 10000
#define RESPONSE_ROUNDS 3000
#define CHECK_EVERY 250 /* rounds between checks with a valid request */
#define TEXT_MAX 512
#define PROGRAM 0x20001234

typedef struct fuzz_test {
	msp_loop_t *loop;
	msp_http_server_t *server;
	msp_http_client_t *client;
	msp_rpc_t *rpc;
	msp_rpc_t *peer;
	struct sockaddr_in rpc_address;
	msp_rng_t rng;
	unsigned int done;
	uint32_t result;
} fuzz_test_t;

static void
handle_request(void *ctx, msp_exchange_t *exchange)
{
	msp_response_t response = {.status = 200};

	(void)ctx;
	msp_append_printf(
	    &response.body, "<%s>", msp_exchange_request(exchange)->path);
	msp_send_exchange_response(exchange, &response);
}

static int
set_up(void **state)
{
	static fuzz_test_t test;
	msp_http_server_options_t server = {
	    .address = TEST_ADDRESS,
	    .handler = {.on_request = handle_request},
	};
	msp_rpc_options_t rpc = {
	    .address = TEST_ADDRESS,
	    .program = PROGRAM,
	    .version = 1,
	    .procedures = &successor_procedure,
	    .procedure_count = 1,
	};

	test = (fuzz_test_t){.rng = {.state = SEED}};
	test.loop = msp_new_loop(256);
	test.server = msp_new_http_server(test.loop, &server);
	test.client = msp_new_http_client(test.loop, NULL);
	test.rpc = msp_new_rpc(test.loop, &rpc);
	test.peer = msp_new_rpc(test.loop, &rpc);
	if (test.server == NULL || test.client == NULL || test.rpc == NULL ||
	    test.peer == NULL)
		return -1;
	test.rpc_address.sin_family = AF_INET;
	test.rpc_address.sin_port = htons(msp_rpc_port(test.rpc));
	inet_pton(AF_INET, TEST_ADDRESS, &test.rpc_address.sin_addr);
	*state = &test;
	return 0;
}

static int
tear_down(void **state)
{
	fuzz_test_t *test = *state;

	msp_drop_rpc(test->peer);
	msp_drop_rpc(test->rpc);
	msp_drop_http_client(test->client);
	msp_drop_http_server(test->server);
	msp_drop_loop(test->loop);
	return 0;
}

static size_t
random_below(fuzz_test_t *test, size_t bound)
{
	return bound == 0 ? 0 : msp_next_random(&test->rng) % bound;
}

/* Changes, truncates, removes or inserts bytes; returns the new length. */
static size_t
mutate(fuzz_test_t *test, char *data, size_t len)
{
	static const char odd[] = {'\0', '\r', '\n', ':', ' ', '%', '/', '\x7f',
	    '\x80', '\xff', '0', '9', ';', ','};
	size_t changes = 1 + random_below(test, 4);
	size_t at;
	size_t part;

	for (; changes > 0 && len > 0; changes--) {
		at = random_below(test, len);
		part = 1 + random_below(test, 16);
		switch (random_below(test, 5)) {
		case 0:
			data[at] ^= (char)(1U << random_below(test, 8));
			break;
		case 1:
			data[at] = odd[random_below(test, sizeof(odd))];
			break;
		case 2:
			len = at;
			break;
		case 3:
			part = part < len - at ? part : len - at;
			memmove(data + at, data + at + part, len - at - part);
			len -= part;
			break;
		default:
			if (len + part > TEXT_MAX)
				break;
			memmove(data + at + part, data + at, len - at);
			len += part;
			break;
		}
	}
	return len;
}

static void
assert_serving(fuzz_test_t *test, unsigned int round)
{
	raw_socket_t raw =
	    raw_connect(test->loop, msp_http_server_port(test->server));

	raw_send_text(&raw, "GET /good HTTP/1.1\r\nHost: a\r\n\r\n");
	if (!raw_expect(&raw, "</good>"))
		fail_msg(
		    "server is not serving: seed %d, round %u", SEED, round);
	raw_close(&raw);
}

static const char *const requests[] = {
    "GET /a/b?x=1&y=%20z HTTP/1.1\r\nHost: a\r\nX-Request-ID: abc\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n"
    "Content-Type: text/plain\r\nContent-Length: 10\r\n\r\n0123456789",
    "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n",
    "HEAD / HTTP/1.1\r\nHost: a\r\nConnection: keep-alive\r\n\r\n"
    "DELETE /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n",
};

static void
server_survives_mutated_requests(void **state)
{
	fuzz_test_t *test = *state;
	char data[TEXT_MAX];
	raw_socket_t raw;
	const char *request;
	unsigned int i;
	size_t len;

	for (i = 0; i < ROUNDS; i++) {
		request = requests[i % 4];
		len = strlen(request);
		memcpy(data, request, len);
		len = mutate(test, data, len);
		raw =
		    raw_connect(test->loop, msp_http_server_port(test->server));
		raw_send(&raw, data, len);
		msp_step_loop(test->loop, 0);
		msp_step_loop(test->loop, 0);
		msp_step_loop(test->loop, 0);
		raw_close(&raw);
		if (i % CHECK_EVERY == 0)
			assert_serving(test, i);
	}
	assert_serving(test, i);
}

static const char *const responses[] = {
    "HTTP/1.1 200 OK\r\nContent-Type: a\r\nContent-Length: 10\r\n\r\n"
    "0123456789",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n",
    "HTTP/1.1 302 Found\r\nLocation: /x\r\nSet-Cookie: a=b\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
};

static void
calls_end_once_on_mutated_responses(void **state)
{
	fuzz_test_t *test = *state;
	msp_call_options_t options = {
	    .address = TEST_ADDRESS, .timeout_ms = 5000};
	raw_socket_t listener = raw_listen(test->loop, &options.port);
	test_outcome_t outcome = {0};
	char data[TEXT_MAX];
	msp_request_t request;
	raw_socket_t raw;
	unsigned int i;
	size_t len;

	for (i = 0; i < RESPONSE_ROUNDS; i++) {
		len = strlen(responses[i % 4]);
		memcpy(data, responses[i % 4], len);
		len = mutate(test, data, len);
		request = new_request("GET", "/a", NULL);
		outcome.done_count = 0;
		msp_start_call(
		    test->client, &options, &request, store_outcome, &outcome);
		raw = raw_accept(&listener);
		assert_true(raw_expect(&raw, "\r\n\r\n"));
		raw_send(&raw, data, len);
		shutdown(raw.fd, SHUT_WR);
		if (!run_until_count(test->loop, &outcome.done_count, 1))
			fail_msg(
			    "call did not end: seed %d, round %u", SEED, i);
		raw_close(&raw);
		msp_close_idle_connections(
		    test->client, TEST_ADDRESS, options.port);
		assert_int_equal(outcome.done_count, 1);
		drop_outcome(&outcome);
	}
	raw_close(&listener);
}

static void
store_result(void *ctx, msp_status_t status, void *result)
{
	fuzz_test_t *test = ctx;

	test->done++;
	test->result = status == MSP_OK ? *(uint32_t *)result : 0;
}

static void
assert_rpc_serving(fuzz_test_t *test, unsigned int round)
{
	uint32_t number = 41;

	test->done = 0;
	msp_call_rpc(test->peer, &test->rpc_address, 1, (xdrproc_t)xdr_uint32_t,
	    &number, (xdrproc_t)xdr_uint32_t, sizeof(uint32_t), 5 * MSP_SECOND,
	    store_result, test);
	if (!run_until_count(test->loop, &test->done, 1) || test->result != 42)
		fail_msg(
		    "endpoint is not serving: seed %d, round %u", SEED, round);
}

static void
rpc_endpoint_survives_mutated_datagrams(void **state)
{
	static const uint32_t call[] = {
	    7, CALL, 2, PROGRAM, 1, 1, 0, 0, 0, 0, 5};
	static const uint32_t reply[] = {7, REPLY, MSG_ACCEPTED, 0, 0, 0, 5};
	fuzz_test_t *test = *state;
	int raw = socket(AF_INET, SOCK_DGRAM, 0);
	const uint32_t *words;
	char data[TEXT_MAX];
	uint32_t word;
	unsigned int i;
	size_t len;
	size_t n;

	for (i = 0; i < ROUNDS; i++) {
		words = i % 3 == 2 ? reply : call;
		len = i % 3 == 2 ? sizeof(reply) : sizeof(call);
		for (n = 0; n < len / sizeof(word); n++) {
			word = htonl(words[n]);
			memcpy(data + n * sizeof(word), &word, sizeof(word));
		}
		len = mutate(test, data, len);
		sendto(raw, data, len, 0, (struct sockaddr *)&test->rpc_address,
		    sizeof(test->rpc_address));
		msp_step_loop(test->loop, 0);
		if (i % CHECK_EVERY == 0)
			assert_rpc_serving(test, i);
	}
	assert_rpc_serving(test, i);
	assert_true(msp_rpc_statistics(test->rpc)->refused > ROUNDS / 4);
	close(raw);
}

int
main(void)
{
#define CASE(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    CASE(server_survives_mutated_requests),
	    CASE(calls_end_once_on_mutated_responses),
	    CASE(rpc_endpoint_survives_mutated_datagrams),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
