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
 * Bad input from operators and peers: refused with a clear error, the daemon
 * goes on, and nothing else is lost.
 */

#define TOKEN "Authorization: Bearer " FLEET_TOKEN
#define ZEROS "00000000000000000000000000000000"
#define BASE "\"base_version\":0,\"base_digest\":\"" ZEROS "\""
#define WORK_HEADERS                                                           \
	"msp-id: x\nmsp-service: desk\nmsp-place: a\nmsp-client-region: north" \
	"\nmsp-class: interactive\nmsp-fingerprint: " ZEROS                    \
	"\nmsp-waited-us: 0\nmsp-nonce-age-us: 0\nmsp-time-left-ms: 2000\n"

typedef enum listener {
	OPERATORS,
	PEERS
} listener_t;

typedef struct bad_case {
	const char *name;
	listener_t listener;
	const char *method;
	const char *path;
	const char *headers;
	const char *body;
	int status;
	const char *text; /* in the answer */
} bad_case_t;

static const bad_case_t cases[] = {
    {"no token", OPERATORS, "GET", "/v1/status", NULL, NULL, 401,
	"unauthorized"},
    {"wrong token", OPERATORS, "GET", "/v1/status",
	"Authorization: Bearer nonsense-nonsense", NULL, 401, "unauthorized"},
    {"other scheme", OPERATORS, "GET", "/v1/status",
	"Authorization: Basic eDp5", NULL, 401, "unauthorized"},
    {"token, one byte short", OPERATORS, "GET", "/v1/status",
	"Authorization: Bearer fleet-operator-toke", NULL, 401, "unauthorized"},
    {"unknown path", OPERATORS, "GET", "/v1/none", TOKEN, NULL, 404,
	"unknown-route"},
    {"wrong method", OPERATORS, "DELETE", "/v1/releases", TOKEN, NULL, 405,
	"method-not-allowed"},
    {"health without token", OPERATORS, "GET", "/healthz", NULL, NULL, 200,
	"healthy"},
    {"note is no JSON", OPERATORS, "POST", "/v1/releases", TOKEN, "{", 422,
	"invalid-note"},
    {"empty note", OPERATORS, "POST", "/v1/releases", TOKEN, "{}", 422,
	"invalid-note"},
    {"note without base", OPERATORS, "POST", "/v1/releases", TOKEN,
	"{\"id\":\"x1\",\"add\":{\"regions\":[{\"name\":\"r\"}]}}", 422,
	"base_version"},
    {"unknown key", OPERATORS, "POST", "/v1/releases", TOKEN,
	"{\"id\":\"x2\"," BASE ",\"ad\":{}}", 422, "ad"},
    {"doubled key", OPERATORS, "POST", "/v1/releases", TOKEN,
	"{\"id\":\"x3\",\"id\":\"x3\"," BASE "}", 422, "given twice"},
    {"dangling place", OPERATORS, "POST", "/v1/releases", TOKEN,
	"{\"id\":\"x4\"," BASE
	",\"add\":{\"places\":[{\"name\":\"p\",\"region\":\"none\"}]}}",
	422, "no region"},
    {"history, not a number", OPERATORS, "GET", "/v1/releases?after=x", TOKEN,
	NULL, 400, "after"},
    {"history, limit", OPERATORS, "GET", "/v1/releases?limit=100000", TOKEN,
	NULL, 400, "limit"},
    {"ruling is no JSON", OPERATORS, "POST", "/v1/doubt", TOKEN, "[]", 400,
	"bad-request"},
    {"ruling without a verdict", OPERATORS, "POST", "/v1/doubt", TOKEN,
	"{\"service\":\"desk\",\"key\":\"k\",\"who\":\"me\"}", 400, "ran"},
    {"ruling of no claim", OPERATORS, "POST", "/v1/doubt", TOKEN,
	"{\"service\":\"desk\",\"key\":\"none\",\"ran\":true,\"who\":\"me\"}",
	404, "not-found"},
    {"work without headers", PEERS, "GET", "/v1/work/x", NULL, NULL, 400,
	"bad-request"},
    {"work, bad class", PEERS, "GET", "/v1/work/x",
	"msp-id: x\nmsp-service: desk\nmsp-place: a\nmsp-class: urgent", NULL,
	400, "msp-class"},
    {"work, number too large", PEERS, "GET", "/v1/work/x",
	WORK_HEADERS "msp-idempotent: 1\nmsp-retries: 99\nmsp-hops: 0", NULL,
	400, "msp-retries"},
    {"work, too many hops", PEERS, "GET", "/v1/work/x",
	WORK_HEADERS "msp-idempotent: 1\nmsp-retries: 1\nmsp-hops: 9", NULL,
	400, "msp-hops"},
    {"commit without nonce", PEERS, "POST", "/v1/work/x",
	WORK_HEADERS "msp-idempotent: 0\nmsp-retries: 0\nmsp-hops: 0", "x", 400,
	"nonce"},
    {"question without nonce", PEERS, "POST", "/v1/claims/ask",
	"msp-service: desk\nmsp-key: k", NULL, 400, "bad-request"},
    {"try without key", PEERS, "POST", "/v1/tries/x",
	WORK_HEADERS "msp-idempotent: 0\nmsp-retries: 0\nmsp-hops: 0", "x", 400,
	"forwarded"},
    {"quarantine, malformed", PEERS, "POST", "/v1/quarantine", NULL, "zz 5\n",
	400, "quarantine"},
    {"notes, not a number", PEERS, "GET", "/v1/notes?after=-1", NULL, NULL, 400,
	"after"},
    {"unknown peer path", PEERS, "GET", "/v1/none", NULL, NULL, 404,
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
check_serves(fleet_t *fleet)
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
		const bad_case_t *one = &cases[i];

		send_fleet_request(fleet,
		    one->listener == OPERATORS ? fleet->vms[0].operator_port
					       : fleet->vms[0].peer_port,
		    one->method, one->path, one->headers, one->body, &reply);
		text = msp_buffer_text(&reply.response.body);
		if (reply.http_status != one->status ||
		    strstr(text, one->text) == NULL)
			fail_msg("%s: %d, not %d with \"%s\": %s", one->name,
			    reply.http_status, one->status, one->text, text);
		msp_drop_response(&reply.response);
	}
	check_serves(fleet);
}

/* Datagrams that are no call, or a call that nothing here serves. */
static void
bad_datagrams_are_dropped(void **state)
{
	fleet_t *fleet = *state;
	/* A call of the gossip's program, version and first procedure. */
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
		/* Half of them look like the start of a call. */
		if (sent % 2 == 0 && len > 24)
			memcpy(data + 4, call_start, sizeof(call_start));
		sendto(fd, data, len, 0, (struct sockaddr *)&to, sizeof(to));
	}
	close(fd);
	check_serves(fleet);
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
