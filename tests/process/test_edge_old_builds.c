#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "edge_steps.h"
#include "raw_socket.h"

/*
 * VMs of builds that know no organisations, beside this one, while the
 * configuration has some: what they send, and how they answer.
 */

#define ANSWER_TIME_MAX (10 * MSP_SECOND)
#define JOIN_TIME_MAX (10 * MSP_SECOND) /* until VMs have parts of limits */
#define ROUTE(name_, prefix_, members_)                                        \
	"{\"name\":\"" name_ "\",\"host\":\"a.example\",\"prefix\":\"" prefix_ \
	"\",\"kind\":\"idempotent\",\"timeoutMs\":5000,"                       \
	"\"targetLatencyMs\":500,\"service\":\"desk\"" members_ "}"
#define MEMBERS                                                               \
	"\"routes\":[" ROUTE("a", "/read/", "") "," ROUTE("p", "/public/",    \
	    ",\"public\":true") "],\"services\":[{\"name\":\"desk\","         \
				"\"healthPath\":\"/health\"}],\"tenants\":[{" \
				"\"name\":\"north\",\"apiKeys\":[\"key-n\"]," \
				"\"ratePerS\":1000,\"burst\":1000}]"

typedef struct forward_case {
	const char *path;
	const char *fields; /* beside those that all builds send */
	const char *organisation; /* that the target sees; NULL: none runs */
} forward_case_t;

static const forward_case_t forward_cases[] = {
    {"/read/1", "msp-organisation: north\r\n", "north"},
    {"/read/1", "", NULL},
    /* An older build leaves the caller's key in place. */
    {"/read/1", "Authorization: Bearer key-n\r\n", NULL},
    {"/read/1", "msp-organisation: unknown\r\n", NULL},
    {"/public/1", "Authorization: Bearer key-n\r\n", ""},
};

/* Sends a request as another VM would; returns whether it was answered. */
static bool
forward_raw(edge_fixture_t *fixture, const forward_case_t *item)
{
	raw_socket_t raw = raw_connect(fixture->loop, fixture->peer_port);
	msp_time_t end = msp_now(&fixture->env) + ANSWER_TIME_MAX;
	char text[1024];
	bool answered = false;

	snprintf(text, sizeof(text),
	    "GET %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: forward-1\r\n"
	    "Deadline-Ms: 3000\r\nmsp-hops: 0\r\nmsp-id: f-1\r\n"
	    "msp-vm: vm-7\r\nmsp-idempotent: 1\r\nmsp-release-seen: 10\r\n"
	    "msp-retries: 1\r\nmsp-time-left-ms: 3000\r\n%s\r\n",
	    item->path, item->fields);
	assert_true(raw_send_text(&raw, text));
	while (!answered && !raw.closed && msp_now(&fixture->env) < end) {
		step_edge_fixture(fixture);
		raw_read(&raw);
		answered =
		    strstr(msp_buffer_text(&raw.input), "\r\n\r\n") != NULL;
	}
	raw_close(&raw);
	msp_drop_buffer(&raw.input);
	return answered;
}

/* Guards against requests of nobody, and keys that pass on (UNASKED). */
static void
forwarded_request_without_a_name_runs_on_public_routes_only(void **state)
{
	edge_fixture_t *fixture = new_edge_fixture();
	size_t i;
	unsigned int j;

	(void)state;
	set_up_routes_and_targets(fixture);
	put_edge_config(fixture, 10, MEMBERS);
	for (i = 0; i < sizeof(forward_cases) / sizeof(*forward_cases); i++) {
		const forward_case_t *item = &forward_cases[i];

		for (j = 0; j < EDGE_TARGETS; j++)
			fixture->targets[j].request_count = 0;
		assert_true(forward_raw(fixture, item));
		if (count_target_requests(fixture) !=
		    (item->organisation != NULL))
			fail_msg("case %zu: %u targets", i,
			    count_target_requests(fixture));
		for (j = 0; j < EDGE_TARGETS; j++) {
			if (fixture->targets[j].request_count == 0)
				continue;
			assert_string_equal(fixture->targets[j].seen_key, "");
			assert_string_equal(
			    fixture->targets[j].seen_organisation,
			    item->organisation);
		}
	}
	drop_edge_fixture(fixture);
}

/* A VM that knows no path. */
static void
answer_not_found(void *ctx, msp_exchange_t *exchange)
{
	unsigned int *questions = ctx;
	msp_response_t response = {.status = 404};

	if (strcmp(msp_exchange_request(exchange)->path, "/v1/rates/ask") == 0)
		(*questions)++;
	msp_send_exchange_response(exchange, &response);
}

static void
ignore_disconnect(void *ctx, msp_exchange_t *exchange)
{
	(void)ctx;
	(void)exchange;
}

/* Guards against a VM that serves nobody since it has no owner to ask. */
static void
owner_of_an_older_build_is_passed_over(void **state)
{
	unsigned int questions = 0;
	msp_loop_t *loop = msp_new_loop(100);
	msp_http_server_options_t options = {.address = "127.0.0.1",
	    .handler = {.on_request = answer_not_found,
		.on_disconnect = ignore_disconnect,
		.ctx = &questions}};
	msp_http_server_t *server = msp_new_http_server(loop, &options);
	edge_fixture_t neighbour = {.link_mbps = 1000};
	edge_fixture_t *fixture;
	caller_response_t response = {0};
	msp_time_t end;
	unsigned int i;

	(void)state;
	assert_non_null(server);
	neighbour.peer_port = msp_http_server_port(server);
	fixture =
	    new_edge_neighbour(&neighbour, "{\"version\":\"r10\"," MEMBERS "}");
	for (i = 0; i < EDGE_TARGETS; i++)
		put_edge_target(fixture, i, false);
	fixture->key = "Bearer key-n";
	end = msp_now(&fixture->env) + JOIN_TIME_MAX;
	while (response.http_status != 200 && msp_now(&fixture->env) < end) {
		start_edge_request(
		    fixture, fixture->caller_port, "GET", "/read/1", &response);
		while (response.done == 0) {
			step_edge_fixture(fixture);
			msp_step_loop(loop, 1);
		}
		/* Nobody is told that a limit is used up. */
		if (response.http_status != 200)
			assert_int_equal(response.http_status, 503);
	}
	assert_int_equal(response.http_status, 200);
	assert_true(questions > 0);
	assert_true(edge_log_has(
	    fixture, "event=rate-owner vm=vm-1 state=passed-over"));
	drop_edge_fixture(fixture);
	msp_drop_http_server(server);
	msp_drop_loop(loop);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		forwarded_request_without_a_name_runs_on_public_routes_only),
	    cmocka_unit_test(owner_of_an_older_build_is_passed_over),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
