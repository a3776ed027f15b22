#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <cmocka.h>
#include <poll.h>

#include "edge_fixture.h"
#include "raw_socket.h"

/*
 * A target that stops in the middle of its response and closes the connection.
 * A caller must not get a 2xx, whose body would be empty or short.
 */

#define LOG_DELAY_MAX (20 * MSP_SECOND)
#define TARGET_ROW                                             \
	"{\"service\":\"desk\",\"address\":\"127.0.0.1:%u\","  \
	"\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":5," \
	"\"state\":\"ready\",\"seq\":1,\"coldRemainingMs\":0,\"born\":1}"
#define HEAD_START "HTTP/1.1 200 OK\r\nResponse-Signature: x\r\nRequest-Id: "
#define HEALTHY                                                          \
	"HTTP/1.1 200 OK\r\nInstance-Id: i-cut\r\nContent-Length: 0\r\n" \
	"Connection: close\r\n\r\n"
#define RESPONSE_SIZE 512

/* What follows the request's id in a response. */
static const char *const rests[] = {
    "\r\nContent-Length: 12\r\n\r\nall of it is",
    "\r\nContent-Length: 1\r\nConnection: close\r\n\r\na",
    "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "\r\nKeep-Alive: timeout=5\r\nContent-Type: text/plain\r\n"
    "Server-Load: 1,0,5\r\nContent-Length: 0\r\n\r\n",
};

typedef struct cut_test {
	edge_fixture_t *edge;
	raw_socket_t listener;
	unsigned int served; /* requests other than health checks */
	const char *rest; /* of the response that is cut */
	size_t cut_at; /* bytes that are sent */
	bool resets; /* instead of closing */
} cut_test_t;

/* Copies the value of a field; "" if there is none. */
static void
copy_field(const char *head, const char *name, char *out, size_t size)
{
	size_t len = 0;

	while (*head != '\0' && strncasecmp(head, name, strlen(name)) != 0)
		head++;
	if (*head != '\0') {
		head += strlen(name);
		len = strcspn(head, "\r");
	}
	if (len >= size)
		len = size - 1;
	memcpy(out, head, len);
	out[len] = '\0';
}

/* Sends the first bytes of the response. */
static void
send_cut_response(const cut_test_t *test, raw_socket_t *raw)
{
	char text[RESPONSE_SIZE];
	char id[64];

	copy_field(
	    msp_buffer_text(&raw->input), "Request-Id: ", id, sizeof(id));
	snprintf(text, sizeof(text), "%s%s%s", HEAD_START, id, test->rest);
	raw_send(raw, text,
	    test->cut_at < strlen(text) ? test->cut_at : strlen(text));
}

static void
serve_connection(cut_test_t *test)
{
	raw_socket_t raw = raw_accept(&test->listener);

	if (!raw_expect(&raw, "\r\n\r\n")) {
		raw_close(&raw);
		return;
	}
	if (strncmp(msp_buffer_text(&raw.input), "GET /health", 11) == 0) {
		raw_send_text(&raw, HEALTHY);
	} else {
		test->served++;
		send_cut_response(test, &raw);
		if (test->resets)
			raw_reset(&raw);
	}
	raw_close(&raw);
}

static bool
has_connection(const raw_socket_t *listener)
{
	struct pollfd fd = {.fd = listener->fd, .events = POLLIN};

	return poll(&fd, 1, 0) > 0;
}

/* Sends a request and serves the target until its response is there. */
static int
get_status(cut_test_t *test, const char *method, const char *path)
{
	caller_response_t response = {0};
	unsigned int before = test->served;

	/* While the target is being checked, requests are refused. */
	do {
		response = (caller_response_t){0};
		start_edge_request(test->edge, test->edge->caller_port, method,
		    path, &response);
		while (response.done == 0) {
			if (has_connection(&test->listener))
				serve_connection(test);
			step_edge_fixture(test->edge);
		}
	} while (test->served == before);
	return response.http_status;
}

static void
cut_response_is_never_a_success(void **state)
{
	cut_test_t test = {.edge = new_edge_fixture()};
	char row[512];
	uint16_t port = 0;
	size_t len;
	size_t i;

	(void)state;
	put_edge_routes(test.edge, 2);
	test.listener = raw_listen(test.edge->loop, &port);
	snprintf(row, sizeof(row), TARGET_ROW, port);
	put_edge_row(test.edge, "servers", "i-cut", row);
	run_edge_until_logged(test.edge, "target=i-cut", LOG_DELAY_MAX);
	run_edge_until_logged(test.edge, "state=in-force", LOG_DELAY_MAX);
	for (i = 0; i < sizeof(rests) / sizeof(*rests); i++) {
		test.rest = rests[i];
		/* Ids have at least one character. */
		len = strlen(HEAD_START) + 1 + strlen(rests[i]);
		for (test.cut_at = 1; test.cut_at < len; test.cut_at += 3) {
			int status = get_status(&test,
			    test.cut_at % 2 == 0 ? "GET" : "POST",
			    test.cut_at % 2 == 0 ? "/read/1" : "/write/1");

			if (status < 500)
				fail_msg("response %zu cut after %zu bytes: %d",
				    i, test.cut_at, status);
			test.resets = !test.resets;
		}
	}
	test.rest = rests[0];
	test.cut_at = RESPONSE_SIZE;
	test.resets = false;
	assert_int_equal(get_status(&test, "POST", "/write/1"), 200);
	raw_close(&test.listener);
	drop_edge_fixture(test.edge);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(cut_response_is_never_a_success),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
