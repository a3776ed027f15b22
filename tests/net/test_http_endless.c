#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <dlfcn.h>
#include <errno.h>
#include <malloc.h>
#include <sys/socket.h>

#include "client_fixture.h"
#include "server_fixture.h"

/*
 * A peer that sends bytes without end, until the connection is closed. Guards
 * against a call that its timeout doesn't end while bytes keep coming, and
 * against memory that grows with them. What is sent is counted until the peer
 * closes, which it must do by itself.
 */

#define CALL_TIMEOUT_MS 400
#define TURN_MS 1
#define BLOCK_SIZE 4096 /* bytes sent between two turns of the loop */
/* More than a peer may read of a head, and the buffers of the sockets. */
#define HEAD_BYTES_MAX (8 << 20)
/* A body may be read until the timeout; this is just far from endless. */
#define BYTES_MAX ((size_t)1 << 30)
#define MEMORY_GROWTH_MAX (4 << 20) /* bytes */

typedef struct endless_case {
	const char *name;
	const char *method; /* of the request; of the client's cases */
	const char *start; /* sent once */
	const char *repeated; /* then sent without end */
	size_t bytes_max;
	msp_status_t status; /* of the call */
} endless_case_t;

#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

static const endless_case_t response_cases[] = {
    {"no line end", "GET", "", "x", HEAD_BYTES_MAX, MSP_E_TRUNCATED_RESPONSE},
    {"binary", "GET", "", "\x01\x02\xff", HEAD_BYTES_MAX,
	MSP_E_TRUNCATED_RESPONSE},
    {"empty lines", "GET", "", "\r\n", BYTES_MAX, MSP_E_TRUNCATED_RESPONSE},
    {"reason", "GET", "HTTP/1.1 200 ", "OK ", BYTES_MAX,
	MSP_E_TRUNCATED_RESPONSE},
    {"header fields", "GET", OK_LINE, "X-Field: value\r\n", BYTES_MAX,
	MSP_E_TRUNCATED_RESPONSE},
    {"known header fields", "GET", OK_LINE, "ETag: \"1234\"\r\n",
	HEAD_BYTES_MAX, MSP_E_TRUNCATED_RESPONSE},
    {"one field's name", "GET", OK_LINE, "X", BYTES_MAX,
	MSP_E_TRUNCATED_RESPONSE},
    {"one field's value", "GET", OK_LINE "ETag: ", "x", HEAD_BYTES_MAX,
	MSP_E_TRUNCATED_RESPONSE},
    {"interim responses", "GET", "", "HTTP/1.1 100 Continue\r\n\r\n",
	HEAD_BYTES_MAX, MSP_E_TRUNCATED_RESPONSE},
    {"body until closed", "GET", OK_LINE "\r\n", "x", HEAD_BYTES_MAX,
	MSP_E_RESPONSE_TOO_LARGE},
    {"chunks", "GET", OK_LINE CHUNKED, "4\r\nabcd\r\n", HEAD_BYTES_MAX,
	MSP_E_RESPONSE_TOO_LARGE},
    {"chunk size", "GET", OK_LINE CHUNKED, "0", BYTES_MAX,
	MSP_E_TRUNCATED_RESPONSE},
    {"chunk extension", "GET", OK_LINE CHUNKED "4;", "x", BYTES_MAX,
	MSP_E_TRUNCATED_RESPONSE},
    {"trailers", "GET", OK_LINE CHUNKED "0\r\n", "X-Sum: 1\r\n", BYTES_MAX,
	MSP_E_TRUNCATED_RESPONSE},
    {"behind a complete response", "GET", OK_LINE "Content-Length: 2\r\n\r\nok",
	"x", HEAD_BYTES_MAX, MSP_OK},
    {"responses behind a complete one", "GET",
	OK_LINE "Content-Length: 2\r\n\r\nok",
	OK_LINE "Content-Length: 2\r\n\r\nok", HEAD_BYTES_MAX, MSP_OK},
    {"behind a response to HEAD", "HEAD", OK_LINE "Content-Length: 2\r\n\r\n",
	"x", HEAD_BYTES_MAX, MSP_OK},
};

static const endless_case_t request_cases[] = {
    {"no line end", NULL, "", "x", HEAD_BYTES_MAX, MSP_OK},
    {"path", NULL, "GET /", "x", HEAD_BYTES_MAX, MSP_OK},
    {"header fields", NULL, "GET /a HTTP/1.1\r\n" HOST, "X-Field: value\r\n",
	BYTES_MAX, MSP_OK},
    {"one field's value", NULL, "GET /a HTTP/1.1\r\n" HOST "ETag: ", "x",
	HEAD_BYTES_MAX, MSP_OK},
    {"one field's name", NULL, "GET /a HTTP/1.1\r\n" HOST, "X", BYTES_MAX,
	MSP_OK},
    {"chunks", NULL, "POST /a HTTP/1.1\r\n" HOST CHUNKED, "4\r\nabcd\r\n",
	HEAD_BYTES_MAX, MSP_OK},
    {"chunk extension", NULL, "POST /a HTTP/1.1\r\n" HOST CHUNKED "4;", "x",
	BYTES_MAX, MSP_OK},
    {"trailers", NULL, "POST /a HTTP/1.1\r\n" HOST CHUNKED "0\r\n",
	"X-Sum: 1\r\n", BYTES_MAX, MSP_OK},
    {"empty lines", NULL, "", "\r\n", BYTES_MAX, MSP_OK},
};

/* Fills a block with copies of the text; returns the length of whole copies. */
static size_t
fill_block(char *block, const char *text)
{
	size_t len = strlen(text);
	size_t total = BLOCK_SIZE - BLOCK_SIZE % len;
	size_t at;

	for (at = 0; at < total; at++)
		block[at] = text[at % len];
	return total;
}

/*
 * Bytes that the process has allocated. The address sanitizer replaces the
 * allocator and has a count of its own.
 */
static size_t
allocated(void)
{
	size_t (*count)(void);
	struct mallinfo2 info;

	*(void **)&count =
	    dlsym(RTLD_DEFAULT, "__sanitizer_get_current_allocated_bytes");
	if (count != NULL)
		return count();
	info = mallinfo2();
	return info.uordblks + info.hblkhd;
}

/* Sends without end until the peer has closed; returns the number of bytes. */
static size_t
flood(raw_socket_t *raw, const endless_case_t *c)
{
	char block[BLOCK_SIZE];
	size_t len = fill_block(block, c->repeated);
	size_t before = allocated();
	msp_time_t end = msp_loop_now() + TEST_TIMEOUT_MS * MSP_MS;
	size_t total = 0;
	size_t at = 0;
	ssize_t sent;

	while (msp_loop_now() < end) {
		sent = send(
		    raw->fd, block + at, len - at, MSG_DONTWAIT | MSG_NOSIGNAL);
		if (sent < 0 && errno != EAGAIN)
			return total;
		if (sent > 0) {
			total += (size_t)sent;
			at = at + (size_t)sent == len ? 0 : at + (size_t)sent;
		}
		msp_step_loop(raw->loop, TURN_MS);
		raw_read(raw);
		raw_clear_input(raw);
		if (allocated() > before + MEMORY_GROWTH_MAX)
			fail_msg("%s: memory grew by %zu bytes after %zu",
			    c->name, allocated() - before, total);
	}
	fail_msg("%s: not closed after %zu bytes", c->name, total);
	return total;
}

static void
endless_responses_are_ended(void **state)
{
	client_test_t *test = *state;
	size_t i;

	test->options.timeout_ms = CALL_TIMEOUT_MS;
	for (i = 0; i < sizeof(response_cases) / sizeof(*response_cases); i++) {
		const endless_case_t *c = &response_cases[i];
		raw_socket_t raw;
		size_t total;

		start_test_call(test, c->method, "/x", &test->outcome);
		raw = raw_accept(&test->listener);
		assert_true(raw_expect(&raw, "\r\n\r\n"));
		assert_true(raw_send_text(&raw, c->start));
		total = flood(&raw, c);
		wait_outcome(test, c->name);
		print_message("%s: closed after %zu bytes, %s\n", c->name,
		    total, msp_status_name(test->outcome.status));
		if (test->outcome.status != MSP_E_DEADLINE)
			assert_int_equal(test->outcome.status, c->status);
		assert_true(total <= c->bytes_max);
		raw_close(&raw);
	}
}

static void
endless_requests_are_ended(void **state)
{
	server_test_t *test = *state;
	size_t i;

	for (i = 0; i < sizeof(request_cases) / sizeof(*request_cases); i++) {
		const endless_case_t *c = &request_cases[i];
		raw_socket_t raw = raw_connect(test->loop, test->port);
		unsigned int requests = test->request_count;
		size_t total;

		assert_true(raw_send_text(&raw, c->start));
		total = flood(&raw, c);
		print_message("%s: closed after %zu bytes\n", c->name, total);
		assert_true(total <= c->bytes_max);
		assert_int_equal(test->request_count, requests);
		raw_close(&raw);
		assert_serving(test, c->name);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		endless_responses_are_ended, set_up_client, tear_down_client),
	    cmocka_unit_test_setup_teardown(
		endless_requests_are_ended, set_up_server, tear_down_server),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
