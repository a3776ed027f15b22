#include "edge_steps.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#define LOG_DELAY_MAX (5 * MSP_SECOND)

void
put_edge_config(
    edge_fixture_t *fixture, unsigned int version, const char *members)
{
	char text[4096];
	char line[64];
	int len = snprintf(
	    text, sizeof(text), "{\"version\":\"r%u\",%s}", version, members);

	assert_in_range(len, 0, sizeof(text) - 1);
	put_edge_row(fixture, "op", "config", text);
	snprintf(line, sizeof(line), "state=in-force version=%u ", version);
	run_edge_until_logged(fixture, line, LOG_DELAY_MAX);
}

static edge_target_t *
find_pending_target(edge_fixture_t *fixture)
{
	unsigned int i;

	for (i = 0; i < EDGE_TARGETS; i++) {
		if (fixture->targets[i].pending != NULL)
			return &fixture->targets[i];
	}
	return NULL;
}

edge_target_t *
start_delayed_request(
    edge_fixture_t *fixture, const char *path, caller_response_t *response)
{
	edge_target_t *first = NULL;
	unsigned int i;

	for (i = 0; i < EDGE_TARGETS; i++) {
		fixture->targets[i].behaviour = TARGET_DELAYS;
		fixture->targets[i].request_count = 0;
	}
	start_edge_request(
	    fixture, fixture->caller_port, "GET", path, response);
	while (first == NULL && response->done == 0) {
		run_edge_for(fixture, MSP_MS);
		first = find_pending_target(fixture);
	}
	assert_non_null(first);
	for (i = 0; i < EDGE_TARGETS; i++)
		fixture->targets[i].behaviour = TARGET_ANSWERS;
	return first;
}
