#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <sys/socket.h>

#include "fleet_group.h"

/*
 * Malformed requests at the listeners for operators and peers, and malformed
 * datagrams: each request is refused with its error, and the daemon goes on
 * serving with the release unchanged.
 */

#define TOKEN "Authorization: Bearer " FLEET_TOKEN
#define ZEROS "00000000000000000000000000000000"
#define BASE "\"base_version\":0,\"base_digest\":\"" ZEROS "\""
#define REQUEST_HEADERS                                                        \
	"msp-id: x\nmsp-service: desk\nmsp-place: a\nmsp-client-region: north" \
	"\nmsp-class: interactive\nmsp-fingerprint: " ZEROS                    \
	"\nmsp-waited-us: 0\nmsp-nonce-age-us: 0\nmsp-time-left-ms: 2000\n"

typedef enum listener {
	OPERATOR_LISTENER,
	PEER_LISTENER
} listener_t;

typedef struct bad_case {
	const char *name;
	listener_t listener;
	const char *method;
	const char *path;
	const char *headers;
	const char *body;
	int expected_status;
	const char *expected_text; /* in the response body */
} bad_case_t;

static const bad_case_t cases[] = {
    {"no token", OPERATOR_LISTENER, "GET", "/v1/status", NULL, NULL, 401,
	"unauthorized"},
    {"wrong token", OPERATOR_LISTENER, "GET", "/v1/status",
	"Authorization: Bearer nonsense-nonsense", NULL, 401, "unauthorized"},
    {"other scheme", OPERATOR_LISTENER, "GET", "/v1/status",
	"Authorization: Basic eDp5", NULL, 401, "unauthorized"},
    {"token, one byte short", OPERATOR_LISTENER, "GET", "/v1/status",
	"Authorization: Bearer fleet-operator-toke", NULL, 401, "unauthorized"},
    {"unknown path", OPERATOR_LISTENER, "GET", "/v1/none", TOKEN, NULL, 404,
	"unknown-route"},
    {"wrong method", OPERATOR_LISTENER, "DELETE", "/v1/releases", TOKEN, NULL,
	405, "method-not-allowed"},
    {"health without token", OPERATOR_LISTENER, "GET", "/healthz", NULL, NULL,
	200, "healthy"},
    {"note is not JSON", OPERATOR_LISTENER, "POST", "/v1/releases", TOKEN, "{",
	422, "invalid-note"},
    {"empty note", OPERATOR_LISTENER, "POST", "/v1/releases", TOKEN, "{}", 422,
	"invalid-note"},
    {"note without base", OPERATOR_LISTENER, "POST", "/v1/releases", TOKEN,
	"{\"id\":\"x1\",\"add\":{\"regions\":[{\"name\":\"r\"}]}}", 422,
	"base_version"},
    {"unknown key", OPERATOR_LISTENER, "POST", "/v1/releases", TOKEN,
	"{\"id\":\"x2\"," BASE ",\"ad\":{}}", 422, "ad"},
    {"duplicate key", OPERATOR_LISTENER, "POST", "/v1/releases", TOKEN,
	"{\"id\":\"x3\",\"id\":\"x3\"," BASE "}", 422, "given twice"},
    {"place of an unknown region", OPERATOR_LISTENER, "POST", "/v1/releases",
	TOKEN,
	"{\"id\":\"x4\"," BASE
	",\"add\":{\"places\":[{\"name\":\"p\",\"region\":\"none\"}]}}",
	422, "no region"},
    {"history, after is not a number", OPERATOR_LISTENER, "GET",
	"/v1/releases?after=x", TOKEN, NULL, 400, "after"},
    {"history, limit too large", OPERATOR_LISTENER, "GET",
	"/v1/releases?limit=100000", TOKEN, NULL, 400, "limit"},
    {"ruling is not a JSON object", OPERATOR_LISTENER, "POST", "/v1/doubt",
	TOKEN, "[]", 400, "bad-request"},
    {"ruling without a verdict", OPERATOR_LISTENER, "POST", "/v1/doubt", TOKEN,
	"{\"service\":\"desk\",\"key\":\"k\",\"who\":\"me\"}", 400, "ran"},
    {"ruling on an unknown claim", OPERATOR_LISTENER, "POST", "/v1/doubt",
	TOKEN,
	"{\"service\":\"desk\",\"key\":\"none\",\"ran\":true,\"who\":\"me\"}",
	404, "not-found"},
    {"proxied request without headers", PEER_LISTENER, "GET", "/v1/work/x",
	NULL, NULL, 400, "bad-request"},
    {"proxied request, unknown class", PEER_LISTENER, "GET", "/v1/work/x",
	"msp-id: x\nmsp-service: desk\nmsp-place: a\nmsp-class: urgent", NULL,
	400, "msp-class"},
    {"proxied request, number too large", PEER_LISTENER, "GET", "/v1/work/x",
	REQUEST_HEADERS "msp-idempotent: 1\nmsp-retries: 99\nmsp-hops: 0", NULL,
	400, "msp-retries"},
    {"proxied request, too many hops", PEER_LISTENER, "GET", "/v1/work/x",
	REQUEST_HEADERS "msp-idempotent: 1\nmsp-retries: 1\nmsp-hops: 9", NULL,
	400, "msp-hops"},
    {"proxied request without nonce", PEER_LISTENER, "POST", "/v1/work/x",
	REQUEST_HEADERS "msp-idempotent: 0\nmsp-retries: 0\nmsp-hops: 0", "x",
	400, "nonce"},
    {"claim query without nonce", PEER_LISTENER, "POST", "/v1/claims/ask",
	"msp-service: desk\nmsp-key: k", NULL, 400, "bad-request"},
    {"forwarded request without key", PEER_LISTENER, "POST", "/v1/tries/x",
	REQUEST_HEADERS "msp-idempotent: 0\nmsp-retries: 0\nmsp-hops: 0", "x",
	400, "forwarded"},
    {"quarantine, malformed", PEER_LISTENER, "POST", "/v1/quarantine", NULL,
	"zz 5\n", 400, "quarantine"},
    {"notes, after is not a number", PEER_LISTENER, "GET", "/v1/notes?after=-1",
	NULL, NULL, 400, "after"},
    {"unknown peer path", PEER_LISTENER, "GET", "/v1/none", NULL, NULL, 404,
	"unknown-route"},
};

static const fleet_place_t places[] = {{"a", "north", 2, 1}, {0}};

static int
start_fleet(void **state)
{
	fleet_options_t options = {
	    .places = places, .service = "desk", .slots = 4};

	return start_fleet_group(state, &options);
}

static void
check_fleet_serves(fleet_t *fleet)
{
	fleet_reply_t reply;
	size_t vm;

	for (vm = 0; vm < fleet->vm_count; vm++) {
		send_fleet_request(fleet, fleet->vms[vm].port, "GET",
		    "/v1/services/desk/x", NULL, NULL, &reply);
		assert_int_equal(reply.http_status, 200);
		msp_drop_response(&reply.response);
		assert_int_equal(get_fleet_vm_version(fleet, vm), 1);
	}
	assert_true(wait_fleet_convergence(fleet));
}

static void
bad_requests_are_refused(void **state)
{
	fleet_t *fleet = *state;
	fleet_reply_t reply;
	const char *text;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const bad_case_t *bad = &cases[i];

		send_fleet_request(fleet,
		    bad->listener == OPERATOR_LISTENER
			? fleet->vms[0].operator_port
			: fleet->vms[0].peer_port,
		    bad->method, bad->path, bad->headers, bad->body, &reply);
		text = msp_buffer_text(&reply.response.body);
		if (reply.http_status != bad->expected_status ||
		    strstr(text, bad->expected_text) == NULL)
			fail_msg("%s: %d, not %d with \"%s\": %s", bad->name,
			    reply.http_status, bad->expected_status,
			    bad->expected_text, text);
		msp_drop_response(&reply.response);
	}
	check_fleet_serves(fleet);
}

/* Random datagrams, half of them with the header of a gossip call. */
static void
bad_datagrams_are_dropped(void **state)
{
	fleet_t *fleet = *state;
	/* RPC call header of the gossip program: version 1, procedure 1. */
	static const unsigned char call_start[] = {0, 0, 0, 0, 0, 0, 0, 2, 0x2f,
	    0x4d, 0x53, 0x50, 0, 0, 0, 1, 0, 0, 0, 1};
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons(fleet->vms[0].peer_port),
	    .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
	msp_rng_t rng = {42};
	char data[1500];
	size_t len;
	size_t i;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	int sent;

	assert_true(fd >= 0);
	for (sent = 0; sent < 2000; sent++) {
		len = msp_next_random(&rng) % sizeof(data);
		for (i = 0; i < len; i++)
			data[i] = (char)msp_next_random(&rng);
		if (sent % 2 == 0 && len > 24)
			memcpy(data + 4, call_start, sizeof(call_start));
		sendto(fd, data, len, 0, (struct sockaddr *)&to, sizeof(to));
	}
	close(fd);
	check_fleet_serves(fleet);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(bad_requests_are_refused),
	    cmocka_unit_test(bad_datagrams_are_dropped),
	};

	return cmocka_run_group_tests(tests, start_fleet, stop_fleet_group);
}
