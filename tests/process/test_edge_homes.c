#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "edge_steps.h"

/*
 * Home regions of routes that change while a request is under way. All targets
 * are in the region "north".
 */

#define GOOD_REQUESTS 20 /* earn one retry */
#define ROUTE(prefix_, homes_)                                            \
	"{\"name\":\"" prefix_                                            \
	"\",\"host\":\"a.example\",\"prefix\":\"" prefix_                 \
	"\",\"kind\":\"idempotent\",\"timeoutMs\":5000,"                  \
	"\"targetLatencyMs\":500,\"service\":\"desk\",\"maxAttempts\":2," \
	"\"homeRegions\":[" homes_ "]}"

typedef struct homes_case {
	const char *name;
	const char *before; /* routes at the arrival of the request */
	const char *after; /* at its retry */
	unsigned int attempts; /* expected */
} homes_case_t;

static const homes_case_t cases[] = {
    {"same home", ROUTE("/a/", "\"north\""), ROUTE("/a/", "\"north\""), 2},
    {"home moves", ROUTE("/a/", "\"north\""), ROUTE("/a/", "\"south\""), 1},
    {"home is added", ROUTE("/a/", ""), ROUTE("/a/", "\"south\""), 1},
    {"another home is added", ROUTE("/a/", "\"north\""),
	ROUTE("/a/", "\"south\",\"north\""), 2},
    {"home goes", ROUTE("/a/", "\"north\""), ROUTE("/a/", ""), 2},
    {"longer prefix with another home", ROUTE("/a/", "\"north\""),
	ROUTE("/a/", "\"north\"") "," ROUTE("/a/b/", "\"south\""), 1},
    {"route is removed", ROUTE("/a/", "\"north\""), ROUTE("/c/", "\"south\""),
	2},
};

static void
put_routes(edge_fixture_t *fixture, unsigned int version, const char *routes)
{
	char text[2048];

	snprintf(text, sizeof(text),
	    "\"routes\":[%s],"
	    "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\","
	    "\"maxConns\":100,\"coldStartS\":3.0,\"coldPerS\":3.4}]",
	    routes);
	put_edge_config(fixture, version, text);
}

/* A VM that has just started has no part of the slack: it earns retries. */
static void
fill_retry_budget(edge_fixture_t *fixture)
{
	caller_response_t response;
	unsigned int i;

	for (i = 0; i < GOOD_REQUESTS; i++) {
		send_edge_request(fixture, "GET", "/read/well", &response);
		assert_int_equal(response.http_status, 200);
	}
}

static void
check_case(
    edge_fixture_t *fixture, const homes_case_t *item, unsigned int version)
{
	caller_response_t response;
	edge_target_t *first;

	put_routes(fixture, version, item->before);
	first = start_delayed_request(fixture, "/a/b/1", &response);
	put_routes(fixture, version + 1, item->after);
	fail_pending_request(first);
	run_edge_until(fixture, &response.done, 1);
	if (count_target_requests(fixture) != item->attempts)
		fail_msg("%s: %u attempts", item->name,
		    count_target_requests(fixture));
	assert_int_equal(response.http_status, item->attempts == 2 ? 200 : 502);
}

/*
 * A retry was sent to the home regions that the route had when the request
 * arrived, although others were in force meanwhile.
 */
static void
retry_keeps_to_homes_of_newest_routes(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		edge_fixture_t *fixture = new_edge_fixture();

		set_up_routes_and_targets(fixture);
		fill_retry_budget(fixture);
		check_case(fixture, &cases[i], 10);
		drop_edge_fixture(fixture);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(retry_keeps_to_homes_of_newest_routes),
	};

	return cmocka_run_group_tests_name("homes", tests, NULL, NULL);
}
