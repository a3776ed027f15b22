#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "net_fixture.h"
#include "paced_server.h"

/*
 * The timeouts of a call: until its response begins, of the whole response, and
 * of a pause within it.
 */

#define MAX_FDS 64
#define BODY_BYTES ((size_t)100000)

typedef struct transfer_case {
	const char *name;
	double rate; /* bytes per second */
	unsigned int stopped_responses;
	uint32_t timeout_ms;
	uint32_t transfer_timeout_ms;
	uint32_t stall_timeout_ms;
	msp_status_t status; /* expected, as the next */
	bool no_first_byte;
} transfer_case_t;

static const transfer_case_t cases[] = {
    {.name = "slow, but makes progress",
	.rate = 100e3,
	.timeout_ms = 400,
	.transfer_timeout_ms = 8000,
	.stall_timeout_ms = 400,
	.status = MSP_OK},
    {.name = "slow, any pause is allowed",
	.rate = 100e3,
	.timeout_ms = 400,
	.transfer_timeout_ms = 8000,
	.status = MSP_OK},
    {.name = "stops within the response",
	.rate = 1e6,
	.stopped_responses = 1,
	.timeout_ms = 8000,
	.transfer_timeout_ms = 8000,
	.stall_timeout_ms = 100,
	.status = MSP_E_DEADLINE},
    {.name = "makes progress without end",
	.rate = 5e3,
	.timeout_ms = 8000,
	.transfer_timeout_ms = 300,
	.stall_timeout_ms = 100,
	.status = MSP_E_DEADLINE},
    {.name = "one timeout for the whole call",
	.rate = 50e3,
	.timeout_ms = 300,
	.status = MSP_E_DEADLINE},
    {.name = "does not begin",
	.rate = 0,
	.timeout_ms = 200,
	.transfer_timeout_ms = 8000,
	.stall_timeout_ms = 8000,
	.status = MSP_E_DEADLINE,
	.no_first_byte = true},
};

static void
start_call(msp_http_client_t *client, const paced_server_t *server,
    const transfer_case_t *item, test_outcome_t *outcome)
{
	msp_call_options_t options = {.address = TEST_ADDRESS,
	    .port = server->port,
	    .timeout_ms = item->timeout_ms,
	    .transfer_timeout_ms = item->transfer_timeout_ms,
	    .stall_timeout_ms = item->stall_timeout_ms};
	msp_request_t request = new_request("GET", "/a", NULL);

	assert_non_null(
	    msp_start_call(client, &options, &request, store_outcome, outcome));
	msp_drop_request(&request);
}

static void
check_case(const transfer_case_t *item)
{
	msp_env_t env = msp_system_env();
	msp_loop_t *loop = msp_new_loop(MAX_FDS);
	msp_http_client_t *client = msp_new_http_client(loop, NULL);
	paced_server_t server = {.bytes_per_second = item->rate,
	    .stopped_responses = item->stopped_responses};
	test_outcome_t outcome = {0};
	msp_time_t end = msp_now(&env) + TEST_TIMEOUT_MS * MSP_MS;
	char *body = calloc(1, BODY_BYTES);

	assert_non_null(body);
	memset(body, 'x', BODY_BYTES);
	open_paced_server(&server);
	set_paced_body(&server, body, BODY_BYTES);
	start_call(client, &server, item, &outcome);
	while (outcome.done_count == 0 && msp_now(&env) < end) {
		step_paced_server(&server, msp_now(&env));
		msp_step_loop(loop, 1);
	}
	if (outcome.done_count != 1 || outcome.status != item->status ||
	    outcome.no_first_byte != item->no_first_byte)
		fail_msg("%s: done %u times, status %s, no first byte %d",
		    item->name, outcome.done_count,
		    msp_status_name(outcome.status), outcome.no_first_byte);
	if (item->status == MSP_OK)
		assert_int_equal(outcome.response.body.len, BODY_BYTES);
	drop_outcome(&outcome);
	free(body);
	msp_drop_http_client(client);
	close_paced_server(&server);
	msp_drop_loop(loop);
}

/*
 * A response was given up when the time for the whole call had passed, however
 * much of it had come.
 */
static void
response_that_makes_progress_is_not_given_up(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		check_case(&cases[i]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(response_that_makes_progress_is_not_given_up),
	};

	return cmocka_run_group_tests_name("transfers", tests, NULL, NULL);
}
