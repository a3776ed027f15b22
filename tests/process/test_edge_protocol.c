#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <sys/socket.h>

#include "edge_fixture.h"

/*
 * Messages of newer builds, which this build does not know: each is counted,
 * logged and refused, and the VM goes on serving.
 */

#define LOG_DELAY_MAX (20 * MSP_SECOND)
#define GOSSIP_PROGRAM 0x2f4d5350U
#define REPLY_WORDS 6 /* up to the status of an accepted call */
#define PROGRAM_MISMATCH 2U
#define PROCEDURE_UNAVAILABLE 3U

typedef struct http_case {
	const char *name;
	const char *method;
	const char *path;
	int expected_status;
	bool is_unknown;
} http_case_t;

static const http_case_t http_cases[] = {
    {"a message with another path", "POST", "/v9/news?pass-on=1", 404, true},
    {"a read with another path", "GET", "/v9/rows?table=op", 404, true},
    {"a read with another parameter", "GET",
	"/api/rows-feed?table=op&after=0&waitMs=0&shape=new", 200, false},
    {"a read of all rows with another parameter", "GET",
	"/api/rows-get?table=op&part=&shape=new", 200, false},
    {"patches of versions that are not here", "GET",
	"/api/rows-get?table=op&part=&patches=7,18446744073709551615", 200,
	false},
    {"patches of what is no version", "GET",
	"/api/rows-get?table=op&part=&patches=7,x", 400, false},
    {"patches of more versions than allowed", "GET",
	"/api/rows-get?table=op&part=&patches=1,2,3,4,5,6,7,8,9", 400, false},
    {"an era, where none is known", "GET",
	"/api/rows-feed?table=op&after=0&waitMs=0&era=7", 200, false},
    {"an era that is no number", "GET",
	"/api/rows-feed?table=op&after=0&waitMs=0&era=x", 400, false},
    {"a read of another table", "GET", "/api/rows-get?table=other&part=", 503,
	false},
};

typedef struct rpc_case {
	const char *name;
	uint32_t version;
	uint32_t procedure;
	uint32_t expected; /* status of the accepted call */
} rpc_case_t;

static const rpc_case_t rpc_cases[] = {
    {"another procedure", 1, 99, PROCEDURE_UNAVAILABLE},
    {"another version", 2, 1, PROGRAM_MISMATCH},
};

static void
handle_done(void *ctx, msp_call_result_t *result)
{
	caller_response_t *response = ctx;

	response->status = result->status;
	response->http_status = result->response->status;
	response->done = 1;
}

static int
send_to_peer_listener(edge_fixture_t *fixture, const http_case_t *item)
{
	msp_call_options_t options = {.address = "127.0.0.1",
	    .port = fixture->peer_port,
	    .timeout_ms = 5000};
	msp_request_t request = {0};
	caller_response_t response = {0};

	strcpy(request.method, item->method);
	strcpy(request.path, item->path);
	assert_non_null(msp_start_call(
	    fixture->client, &options, &request, handle_done, &response));
	run_edge_until(fixture, &response.done, 1);
	return response.http_status;
}

static void
unknown_http_messages_are_counted_and_ignored(void **state)
{
	edge_fixture_t *fixture = new_edge_fixture();
	caller_response_t response = {0};
	uint64_t expected = 0;
	size_t i;

	(void)state;
	set_up_routes_and_targets(fixture);
	for (i = 0; i < sizeof(http_cases) / sizeof(*http_cases); i++) {
		print_message("%s\n", http_cases[i].name);
		assert_int_equal(send_to_peer_listener(fixture, &http_cases[i]),
		    http_cases[i].expected_status);
		expected += http_cases[i].is_unknown;
		assert_int_equal(read_edge_counter(fixture,
				     "msp_peer_messages_unknown_total"),
		    expected);
	}
	run_edge_until_logged(
	    fixture, "event=unknown-messages http=", LOG_DELAY_MAX);
	send_edge_request(fixture, "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 200);
	drop_edge_fixture(fixture);
}

/* Sends a call and returns the status of its reply. */
static uint32_t
call_gossip(edge_fixture_t *fixture, const rpc_case_t *item)
{
	const uint32_t call[] = {htonl(7), htonl(0), htonl(2),
	    htonl(GOSSIP_PROGRAM), htonl(item->version), htonl(item->procedure),
	    0, 0, 0, 0};
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons(fixture->peer_port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	uint32_t reply[64] = {0};
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	ssize_t len = -1;

	assert_true(fd >= 0);
	assert_int_equal(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(send(fd, call, sizeof(call), 0), sizeof(call));
	while (len < 0) {
		run_edge_for(fixture, 10 * MSP_MS);
		len = recv(fd, reply, sizeof(reply), MSG_DONTWAIT);
	}
	close(fd);
	assert_true(len >= (ssize_t)(REPLY_WORDS * sizeof(*reply)));
	return ntohl(reply[REPLY_WORDS - 1]);
}

static void
unknown_gossip_is_counted_and_refused(void **state)
{
	edge_fixture_t *fixture = new_edge_fixture();
	caller_response_t response = {0};
	size_t i;

	(void)state;
	set_up_routes_and_targets(fixture);
	for (i = 0; i < sizeof(rpc_cases) / sizeof(*rpc_cases); i++) {
		print_message("%s\n", rpc_cases[i].name);
		assert_int_equal(
		    call_gossip(fixture, &rpc_cases[i]), rpc_cases[i].expected);
		assert_int_equal(
		    read_edge_counter(fixture, "msp_gossip_refused_total"),
		    i + 1);
	}
	send_edge_request(fixture, "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 200);
	drop_edge_fixture(fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(unknown_http_messages_are_counted_and_ignored),
	    cmocka_unit_test(unknown_gossip_is_counted_and_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
