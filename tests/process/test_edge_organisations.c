#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <sys/wait.h>

#include "edge_steps.h"
#include "raw_socket.h"

/*
 * Organisations whose callers name themselves by API keys: which requests are
 * accepted, what targets get, and limits and home regions.
 */

#define LOG_DELAY_MAX (5 * MSP_SECOND)
#define TIMELY_REQUESTS 40 /* earn a retry */
#define BURST 4
#define PIPELINES 12
#define PIPELINE_REQUESTS 4
#define ROUTE(name_, prefix_, members_)                                        \
	"{\"name\":\"" name_ "\",\"host\":\"a.example\",\"prefix\":\"" prefix_ \
	"\",\"kind\":\"idempotent\",\"timeoutMs\":5000,"                       \
	"\"targetLatencyMs\":500,\"service\":\"desk\",\"maxAttempts\":"        \
	"2" members_ "}"
#define NORTH "{\"name\":\"north\",\"apiKeys\":[\"key-n\",\"key-n2\"]}"
#define SOUTH                                                           \
	"{\"name\":\"south\",\"apiKeys\":[\"key-s\"],\"homeRegions\":[" \
	"\"south\"]}"
#define LIMITED                                          \
	"{\"name\":\"limited\",\"apiKeys\":[\"key-l\"]," \
	"\"ratePerS\":0.5,\"burst\":4}"
#define AMPLE                                          \
	"{\"name\":\"ample\",\"apiKeys\":[\"key-l\"]," \
	"\"ratePerS\":1000,\"burst\":1000}"
#define NORTH_WITH_KEY_L "{\"name\":\"north\",\"apiKeys\":[\"key-l\"]}"

/* With `organisations` NULL, callers need no keys. */
static void
put_organisations(
    edge_fixture_t *fixture, unsigned int version, const char *organisations)
{
	char text[2048] = "";
	char members[4096];

	if (organisations != NULL)
		snprintf(
		    text, sizeof(text), ",\"tenants\":[%s]", organisations);
	snprintf(members, sizeof(members),
	    "\"routes\":[" ROUTE("a", "/read/", "") "," ROUTE(
		"p", "/public/", ",\"public\":true") "," ROUTE("h", "/home/",
		",\"homeRegions\":[\"north\"]") "],\"services\":[{\"name\":"
						"\"desk\",\"healthPath\":\"/"
						"health\","
						"\"maxConns\":100,"
						"\"coldStartS\":3.0,"
						"\"coldPerS\":3.4}]%s",
	    text);
	put_edge_config(fixture, version, members);
}

static int
set_up(void **state)
{
	edge_fixture_t *fixture = new_edge_fixture();

	set_up_routes_and_targets(fixture);
	put_organisations(fixture, 10, NORTH "," SOUTH "," LIMITED);
	*state = fixture;
	return 0;
}

static int
tear_down(void **state)
{
	drop_edge_fixture(*state);
	return 0;
}

/* The target that got the last request; NULL: none did. */
static edge_target_t *
find_used_target(edge_fixture_t *fixture)
{
	unsigned int i;

	for (i = 0; i < EDGE_TARGETS; i++) {
		if (fixture->targets[i].request_count > 0)
			return &fixture->targets[i];
	}
	return NULL;
}

static void
clear_targets(edge_fixture_t *fixture)
{
	unsigned int i;

	for (i = 0; i < EDGE_TARGETS; i++) {
		fixture->targets[i].request_count = 0;
		fixture->targets[i].seen_key[0] = '\0';
		fixture->targets[i].seen_organisation[0] = '\0';
	}
}

typedef struct key_case {
	const char *key; /* Authorization */
	const char *path;
	int http_status;
	const char *organisation; /* that the target sees */
} key_case_t;

/* Guards against requests that run without a key, or with the key (UNASKED). */
static void
keys_decide_who_is_served(void **state)
{
	static const key_case_t cases[] = {
	    {"Bearer key-n", "/read/1", 200, "north"},
	    {"bearer key-n2", "/read/1", 200, "north"},
	    {NULL, "/read/1", 401, NULL},
	    {"Bearer other", "/read/1", 401, NULL},
	    {"Bearer key-", "/read/1", 401, NULL},
	    {"Bearer key-n key-s", "/read/1", 401, NULL},
	    {"Basic key-n", "/read/1", 401, NULL},
	    {"key-n", "/read/1", 401, NULL},
	    {"", "/read/1", 401, NULL},
	    {NULL, "/public/1", 200, ""},
	    {"Bearer other", "/public/1", 200, ""},
	    {"Bearer key-n", "/public/1", 200, "north"},
	    {"Bearer other", "/unknown/1", 404, NULL},
	    /* No target is in the home region of this organisation. */
	    {"Bearer key-s", "/read/1", 503, NULL},
	    /* Homes of the route and of the organisation have none in common.
	     */
	    {"Bearer key-s", "/home/1", 503, NULL},
	    {"Bearer key-n", "/home/1", 200, "north"},
	};
	edge_fixture_t *fixture = *state;
	caller_response_t response;
	edge_target_t *target;
	size_t i;

	fixture->claimed_organisation = "forged";
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		clear_targets(fixture);
		fixture->key = cases[i].key;
		send_edge_request(fixture, "GET", cases[i].path, &response);
		if (response.http_status != cases[i].http_status)
			fail_msg("case %zu: %d", i, response.http_status);
		target = find_used_target(fixture);
		assert_int_equal(target == NULL, cases[i].organisation == NULL);
		if (target == NULL)
			continue;
		assert_string_equal(target->seen_key, "");
		assert_string_equal(
		    target->seen_organisation, cases[i].organisation);
	}
}

/* Guards against keys that are refused late, or run late (CONFIG). */
static void
keys_are_added_and_taken_away_by_versions(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;

	fixture->key = "Bearer key-new";
	send_edge_request(fixture, "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 401);
	put_organisations(fixture, 11,
	    "{\"name\":\"north\",\"apiKeys\":[\"key-n2\",\"key-new\"]}");
	send_edge_request(fixture, "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 200);
	fixture->key = "Bearer key-n";
	send_edge_request(fixture, "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 401);
}

/* Earns the VM, which has just started, a retry. */
static void
fill_retry_budget(edge_fixture_t *fixture)
{
	caller_response_t response;
	unsigned int i;

	fixture->key = "Bearer key-n";
	for (i = 0; i < TIMELY_REQUESTS; i++)
		send_edge_request(fixture, "GET", "/read/1", &response);
}

/* Guards against a second run of a request whose key was taken away. */
static void
retry_ends_when_its_key_is_taken_away(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;
	edge_target_t *first;

	fill_retry_budget(fixture);
	first = start_delayed_request(fixture, "/read/1", &response);
	put_organisations(fixture, 11, SOUTH);
	fail_pending_request(first);
	run_edge_until(fixture, &response.done, 1);
	assert_int_equal(count_target_requests(fixture), 1);
	/* It may have run, so that nothing else is true. */
	assert_int_equal(response.http_status, 502);
}

typedef struct retry_case {
	const char *name;
	const char *before; /* organisations at its arrival; NULL: no keys */
	const char *after; /* at its retry */
	const char *path;
	const char *key; /* Authorization */
	const char *organisation; /* that the second target sees; NULL: none */
} retry_case_t;

static const retry_case_t retry_cases[] = {
    {"key moves", AMPLE "," NORTH, NORTH_WITH_KEY_L, "/read/1", "Bearer key-l",
	"north"},
    {"key of a public route goes", AMPLE "," NORTH, SOUTH, "/public/1",
	"Bearer key-l", ""},
    {"organisations go", NORTH, NULL, "/read/1", "Bearer key-n", "north"},
    {"organisations come, with the key", NULL, NORTH, "/read/1", "Bearer key-n",
	"north"},
    {"organisations come, without the key", NULL, NORTH, "/read/1",
	"Bearer other", NULL},
    {"organisations come, route is public", NULL, NORTH, "/public/1",
	"Bearer other", ""},
};

static edge_fixture_t *
start_retry_case(const retry_case_t *item, edge_target_t **first,
    caller_response_t *response)
{
	edge_fixture_t *fixture = new_edge_fixture();

	set_up_routes_and_targets(fixture);
	put_organisations(fixture, 10, item->before);
	fill_retry_budget(fixture);
	clear_targets(fixture);
	fixture->key = item->key;
	*first = start_delayed_request(fixture, item->path, response);
	put_organisations(fixture, 11, item->after);
	return fixture;
}

/* Guards against retries under a name, or with a key, of older versions. */
static void
retry_goes_by_the_newest_organisations(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(retry_cases) / sizeof(*retry_cases); i++) {
		const retry_case_t *item = &retry_cases[i];
		caller_response_t response;
		edge_target_t *first;
		edge_target_t *second;
		edge_fixture_t *fixture =
		    start_retry_case(item, &first, &response);

		first->request_count = 0;
		fail_pending_request(first);
		run_edge_until(fixture, &response.done, 1);
		second = find_used_target(fixture);
		if ((second != NULL) != (item->organisation != NULL) ||
		    (response.http_status == 200) != (second != NULL))
			fail_msg(
			    "%s: status %d", item->name, response.http_status);
		if (second != NULL) {
			assert_string_equal(second->seen_key, "");
			assert_string_equal(
			    second->seen_organisation, item->organisation);
		}
		drop_edge_fixture(fixture);
	}
}

/*
 * A VM crashed when the limit got back a request that had lost its organisation
 * meanwhile, and had run nowhere.
 */
static void
limit_gets_back_requests_whose_key_is_changed(void **state)
{
	size_t i;
	unsigned int j;

	(void)state;
	for (i = 0; i < sizeof(retry_cases) / sizeof(*retry_cases); i++) {
		caller_response_t response;
		edge_target_t *first;
		edge_fixture_t *fixture =
		    start_retry_case(&retry_cases[i], &first, &response);

		for (j = 0; j < EDGE_TARGETS; j++)
			fixture->targets[j].behaviour = TARGET_SHEDS;
		shed_pending_request(first);
		run_edge_until(fixture, &response.done, 1);
		run_edge_for(fixture, 100 * MSP_MS);
		if (waitpid(fixture->pid, NULL, WNOHANG) != 0)
			fail_msg("%s: the VM has ended", retry_cases[i].name);
		assert_int_equal(response.http_status,
		    retry_cases[i].organisation == NULL ? 401 : 503);
		drop_edge_fixture(fixture);
	}
}

/* Guards against more than the limit, and refusals of others (QUOTA). */
static void
limit_binds_its_organisation_only(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;
	unsigned int served = 0;
	unsigned int i;

	run_edge_for(fixture, 8 * MSP_SECOND);
	clear_targets(fixture);
	fixture->key = "Bearer key-l";
	for (i = 0; i < 3 * BURST; i++) {
		send_edge_request(fixture, "GET", "/read/1", &response);
		if (response.http_status == 200) {
			served++;
			continue;
		}
		assert_int_equal(response.http_status, 429);
		assert_true(strtod(response.retry_after, NULL) > 0);
		assert_string_equal(response.body, "rate-limit\n");
	}
	assert_in_range(served, BURST, BURST + 1);
	assert_int_equal(count_target_requests(fixture), served);
	fixture->key = "Bearer key-n";
	for (i = 0; i < 3 * BURST; i++) {
		send_edge_request(fixture, "GET", "/read/1", &response);
		assert_int_equal(response.http_status, 200);
	}
	assert_true(read_edge_counter(fixture,
			"msp_rate_limited_total{organisation=\"limited\","
			"result=\"refused\"}") > 0);
}

/* Guards against requests that count although no target has run them. */
static void
requests_that_do_not_run_are_given_back(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t response;
	unsigned int i;

	run_edge_for(fixture, 8 * MSP_SECOND);
	for (i = 0; i < EDGE_TARGETS; i++)
		fixture->targets[i].behaviour = TARGET_SHEDS;
	fixture->key = "Bearer key-l";
	for (i = 0; i < 2 * BURST; i++) {
		send_edge_request(fixture, "GET", "/read/1", &response);
		assert_int_equal(response.http_status, 503);
	}
	for (i = 0; i < EDGE_TARGETS; i++)
		fixture->targets[i].behaviour = TARGET_ANSWERS;
	for (i = 0; i < BURST; i++) {
		send_edge_request(fixture, "GET", "/read/1", &response);
		assert_int_equal(response.http_status, 200);
	}
}

/* Guards against credit for requests that run although nobody waits (QUOTA). */
static void
requests_that_callers_abandon_count(void **state)
{
	edge_fixture_t *fixture = *state;
	caller_response_t responses[BURST];
	msp_call_t *calls[BURST];
	caller_response_t response;
	unsigned int i;

	run_edge_for(fixture, 8 * MSP_SECOND);
	clear_targets(fixture);
	for (i = 0; i < EDGE_TARGETS; i++)
		fixture->targets[i].behaviour = TARGET_DELAYS;
	fixture->key = "Bearer key-l";
	for (i = 0; i < BURST; i++)
		calls[i] = start_edge_request(fixture, fixture->caller_port,
		    "GET", "/read/1", &responses[i]);
	while (count_target_requests(fixture) < BURST)
		run_edge_for(fixture, MSP_MS);
	for (i = 0; i < BURST; i++)
		msp_cancel_call(calls[i]);
	run_edge_for(fixture, 300 * MSP_MS);
	send_edge_request(fixture, "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 429);
	for (i = 0; i < EDGE_TARGETS; i++)
		fixture->targets[i].pending = NULL;
}

/* Guards against keys that leave the VM. */
static void
forwarded_request_has_the_name_and_not_the_key(void **state)
{
	edge_fixture_t *pair[2];
	caller_response_t response;
	edge_target_t *target;
	unsigned int i;

	(void)state;
	new_edge_pair(pair);
	for (i = 0; i < 2; i++) {
		set_up_routes_and_targets(pair[i]);
		put_organisations(pair[i], 10, NORTH);
	}
	stop_targets(pair[0]);
	pair[0]->key = "Bearer key-n";
	pair[0]->claimed_organisation = "forged";
	send_edge_request(pair[0], "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 200);
	target = find_used_target(pair[1]);
	assert_non_null(target);
	assert_string_equal(target->seen_key, "");
	assert_string_equal(target->seen_organisation, "north");
	/* The other VM does not know the organisation (any more). */
	clear_targets(pair[1]);
	put_organisations(pair[1], 11, SOUTH);
	send_edge_request(pair[0], "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 503);
	assert_null(find_used_target(pair[1]));
	drop_edge_pair(pair);
}

/* Another VM of the data centre, which owns the limits. */
typedef struct fake_owner {
	msp_http_server_t *server;
	msp_exchange_t *question; /* not answered yet */
	unsigned int questions;
} fake_owner_t;

static void
hold_question(void *ctx, msp_exchange_t *exchange)
{
	fake_owner_t *owner = ctx;
	msp_response_t response = {.status = 503};

	if (strcmp(msp_exchange_request(exchange)->path, "/v1/rates/ask") !=
	    0) {
		msp_send_exchange_response(exchange, &response);
		return;
	}
	owner->question = exchange;
	owner->questions++;
}

static void
forget_question(void *ctx, msp_exchange_t *exchange)
{
	fake_owner_t *owner = ctx;

	if (owner->question == exchange)
		owner->question = NULL;
}

static void
refuse_question(fake_owner_t *owner)
{
	msp_response_t response = {.status = 200};

	if (owner->question == NULL)
		return;
	msp_append_printf(&response.body, "0 1000 limited\n");
	msp_send_exchange_response(owner->question, &response);
	owner->question = NULL;
}

/*
 * Guards against use of requests that are freed while others of their
 * connection are refused: the client has closed it just before.
 */
static void
pipelines_that_close_while_the_owner_is_asked_do_no_harm(void **state)
{
	static const char manifest[] =
	    "{\"version\":\"r10\",\"routes\":[" ROUTE("a", "/read/",
		"") "],\"services\":[{\"name\":\"desk\",\"healthPath\":"
		    "\"/health\"}],\"tenants\":[" LIMITED "]}";
	fake_owner_t owner = {0};
	msp_loop_t *loop = msp_new_loop(100);
	msp_http_server_options_t options = {.address = "127.0.0.1",
	    .handler = {.on_request = hold_question,
		.on_disconnect = forget_question,
		.ctx = &owner}};
	edge_fixture_t neighbour = {.link_mbps = 1000};
	edge_fixture_t *fixture;
	unsigned int i;
	unsigned int j;

	(void)state;
	owner.server = msp_new_http_server(loop, &options);
	assert_non_null(owner.server);
	neighbour.peer_port = msp_http_server_port(owner.server);
	fixture = new_edge_neighbour(&neighbour, manifest);
	run_edge_until_logged(
	    fixture, "state=in-force version=10 ", LOG_DELAY_MAX);
	for (i = 0; i < PIPELINES; i++) {
		raw_socket_t raw =
		    raw_connect(fixture->loop, fixture->caller_port);
		unsigned int before = owner.questions;
		unsigned int turns;

		for (j = 0; j < PIPELINE_REQUESTS; j++)
			assert_true(raw_send_text(&raw,
			    "GET /read/1 HTTP/1.1\r\nHost: a.example\r\n"
			    "Request-Id: pipelined\r\nDeadline-Ms: 3000\r\n"
			    "Authorization: Bearer key-l\r\n\r\n"));
		/* The second question is for all but the first request. */
		for (turns = 0; turns < 200 && owner.questions < before + 2;
		     turns++) {
			if (owner.questions == before + 1)
				refuse_question(&owner);
			run_edge_for(fixture, MSP_MS);
			msp_step_loop(loop, 1);
		}
		raw_close(&raw);
		refuse_question(&owner);
		for (turns = 0; turns < 120; turns++) {
			run_edge_for(fixture, MSP_MS);
			msp_step_loop(loop, 1);
			refuse_question(&owner);
		}
	}
	assert_true(owner.questions > 0);
	assert_int_equal(waitpid(fixture->pid, NULL, WNOHANG), 0);
	drop_edge_fixture(fixture);
	msp_drop_http_server(owner.server);
	msp_drop_loop(loop);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		keys_decide_who_is_served, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		keys_are_added_and_taken_away_by_versions, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		retry_ends_when_its_key_is_taken_away, set_up, tear_down),
	    cmocka_unit_test(retry_goes_by_the_newest_organisations),
	    cmocka_unit_test(limit_gets_back_requests_whose_key_is_changed),
	    cmocka_unit_test_setup_teardown(
		limit_binds_its_organisation_only, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		requests_that_do_not_run_are_given_back, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		requests_that_callers_abandon_count, set_up, tear_down),
	    cmocka_unit_test(forwarded_request_has_the_name_and_not_the_key),
	    cmocka_unit_test(
		pipelines_that_close_while_the_owner_is_asked_do_no_harm),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
