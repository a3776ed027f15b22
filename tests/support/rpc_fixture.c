#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <sys/socket.h>

#include "rpc_fixture.h"

static msp_status_t
serve_add(
    void *ctx, const struct sockaddr_in *from, void *argument, void *result)
{
	uint32_t number = *(uint32_t *)argument;

	(void)ctx;
	(void)from;
	*(uint32_t *)result = number + 1;
	if (number == 13)
		return MSP_E_BAD_REQUEST;
	return number == 14 ? MSP_E_INTERNAL : MSP_OK;
}

static msp_status_t
serve_one_way(
    void *ctx, const struct sockaddr_in *from, void *argument, void *result)
{
	(void)from;
	(void)argument;
	(void)result;
	((rpc_test_t *)ctx)->one_way_count++;
	return MSP_OK;
}

static bool_t
xdr_short_text(XDR *xdr, ...)
{
	va_list args;
	char **text;

	va_start(args, xdr);
	text = va_arg(args, char **);
	va_end(args);
	return xdr_string(xdr, text, TEXT_MAX);
}

bool_t
xdr_large(XDR *xdr, ...)
{
	uint32_t word = 0;
	int i;

	for (i = 0; i < 400; i++) {
		if (!xdr_uint32_t(xdr, &word))
			return FALSE;
	}
	return TRUE;
}

static msp_status_t
serve_large(
    void *ctx, const struct sockaddr_in *from, void *argument, void *result)
{
	(void)ctx;
	(void)from;
	(void)argument;
	(void)result;
	return MSP_OK;
}

static const msp_rpc_procedure_t procedures[] = {
    {
	.number = PROC_ADD,
	.decode_argument = (xdrproc_t)xdr_uint32_t,
	.argument_size = sizeof(uint32_t),
	.encode_result = (xdrproc_t)xdr_uint32_t,
	.result_size = sizeof(uint32_t),
	.serve = serve_add,
    },
    {
	.number = PROC_ONE_WAY,
	.decode_argument = (xdrproc_t)xdr_short_text,
	.argument_size = sizeof(char *),
	.serve = serve_one_way,
    },
    {
	.number = PROC_LARGE,
	.decode_argument = (xdrproc_t)xdr_uint32_t,
	.argument_size = sizeof(uint32_t),
	.encode_result = (xdrproc_t)xdr_large,
	.result_size = sizeof(uint32_t),
	.serve = serve_large,
    },
};

int
set_up_rpc(void **state)
{
	static rpc_test_t test;
	msp_rpc_options_t options = {
	    .address = TEST_ADDRESS,
	    .program = PROGRAM,
	    .version = VERSION,
	    .procedures = procedures,
	    .procedure_count = sizeof(procedures) / sizeof(*procedures),
	    .ctx = &test,
	};
	socklen_t len = sizeof(test.raw_address);

	test = (rpc_test_t){0};
	test.loop = msp_new_loop(64);
	test.server = msp_new_rpc(test.loop, &options);
	options.procedure_count = 0;
	test.client = msp_new_rpc(test.loop, &options);
	if (test.server == NULL || test.client == NULL)
		return -1;
	test.server_address.sin_family = AF_INET;
	test.server_address.sin_port = htons(msp_rpc_port(test.server));
	inet_pton(AF_INET, TEST_ADDRESS, &test.server_address.sin_addr);
	test.raw = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
	test.raw_address = test.server_address;
	test.raw_address.sin_port = 0;
	if (bind(test.raw, (struct sockaddr *)&test.raw_address, len) != 0)
		return -1;
	getsockname(test.raw, (struct sockaddr *)&test.raw_address, &len);
	*state = &test;
	return 0;
}

int
tear_down_rpc(void **state)
{
	rpc_test_t *test = *state;

	close(test->raw);
	msp_drop_rpc(test->client);
	msp_drop_rpc(test->server);
	msp_drop_loop(test->loop);
	return 0;
}

void
store_result(void *ctx, msp_status_t status, void *result)
{
	rpc_test_t *test = ctx;

	test->done_count++;
	test->status = status;
	test->result = result == NULL ? 0 : *(uint32_t *)result;
}

void
call_add(rpc_test_t *test, const struct sockaddr_in *to, uint32_t number)
{
	test->done_count = 0;
	assert_int_equal(
	    msp_call_rpc(test->client, to, PROC_ADD, (xdrproc_t)xdr_uint32_t,
		&number, (xdrproc_t)xdr_uint32_t, sizeof(uint32_t),
		200 * MSP_MS, store_result, test),
	    MSP_OK);
	assert_int_equal(test->done_count, 0);
}

void
assert_served(rpc_test_t *test)
{
	call_add(test, &test->server_address, 41);
	assert_true(run_until_count(test->loop, &test->done_count, 1));
	assert_int_equal(test->status, MSP_OK);
	assert_int_equal(test->result, 42);
}
