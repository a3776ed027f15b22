#include "net_fixture.h"

#include <stdio.h>
#include <string.h>

bool
run_until(msp_loop_t *loop, bool (*holds)(void *ctx), void *ctx)
{
	msp_env_t env = msp_system_env();
	msp_time_t end = msp_now(&env) + TEST_TIMEOUT_MS * MSP_MS;

	while (!holds(ctx)) {
		if (msp_now(&env) > end)
			return false;
		msp_step_loop(loop, 1);
	}
	return true;
}

typedef struct test_count {
	const unsigned int *count;
	unsigned int wanted;
} test_count_t;

static bool
has_count(void *ctx)
{
	const test_count_t *count = ctx;

	return *count->count >= count->wanted;
}

bool
run_until_count(
    msp_loop_t *loop, const unsigned int *count, unsigned int wanted)
{
	test_count_t ctx = {.count = count, .wanted = wanted};

	return run_until(loop, has_count, &ctx);
}

void
store_outcome(void *ctx, msp_call_result_t *result)
{
	test_outcome_t *outcome = ctx;

	outcome->done_count++;
	outcome->status = result->status;
	outcome->maybe_sent = result->maybe_sent;
	outcome->no_first_byte = result->no_first_byte;
	outcome->connection = result->connection;
	outcome->responses_before = result->responses_before;
	outcome->http_status = result->response->status;
	outcome->response = *result->response;
	*result->response = (msp_response_t){0};
}

void
drop_outcome(test_outcome_t *outcome)
{
	msp_drop_response(&outcome->response);
}

msp_request_t
new_request(const char *method, const char *path, const char *body)
{
	msp_request_t request = {0};

	snprintf(request.method, sizeof(request.method), "%s", method);
	snprintf(request.path, sizeof(request.path), "%s", path);
	if (body != NULL)
		msp_append_data(&request.body, body, strlen(body));
	return request;
}

static msp_status_t
serve_successor(
    void *ctx, const struct sockaddr_in *from, void *argument, void *result)
{
	(void)ctx;
	(void)from;
	*(uint32_t *)result = *(uint32_t *)argument + 1;
	return MSP_OK;
}

const msp_rpc_procedure_t successor_procedure = {
    .number = 1,
    .decode_argument = (xdrproc_t)xdr_uint32_t,
    .argument_size = sizeof(uint32_t),
    .encode_result = (xdrproc_t)xdr_uint32_t,
    .result_size = sizeof(uint32_t),
    .serve = serve_successor,
};
