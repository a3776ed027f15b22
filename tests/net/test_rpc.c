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

#include "net_fixture.h"

#define PROGRAM 0x20001234
#define VERSION 3
#define PROC_ADD 1 /* adds one; 13 is refused, 14 fails */
#define PROC_TELL 2 /* has no answer */
#define PROC_LARGE 3 /* the answer passes the bound of a datagram */
#define TEXT_MAX 64

typedef struct rpc_test {
	msp_loop_t *loop;
	msp_rpc_t *server;
	msp_rpc_t *client;
	struct sockaddr_in to; /* the server */
	int raw; /* a plain UDP socket */
	struct sockaddr_in raw_address;
	unsigned int told;
	unsigned int done;
	msp_status_t status;
	uint32_t result;
} rpc_test_t;

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
serve_tell(
    void *ctx, const struct sockaddr_in *from, void *argument, void *result)
{
	(void)from;
	(void)argument;
	(void)result;
	((rpc_test_t *)ctx)->told++;
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

static bool_t
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
	.number = PROC_TELL,
	.decode_argument = (xdrproc_t)xdr_short_text,
	.argument_size = sizeof(char *),
	.serve = serve_tell,
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

static int
set_up(void **state)
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
	test.to.sin_family = AF_INET;
	test.to.sin_port = htons(msp_rpc_port(test.server));
	inet_pton(AF_INET, TEST_ADDRESS, &test.to.sin_addr);
	test.raw = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
	test.raw_address = test.to;
	test.raw_address.sin_port = 0;
	if (bind(test.raw, (struct sockaddr *)&test.raw_address, len) != 0)
		return -1;
	getsockname(test.raw, (struct sockaddr *)&test.raw_address, &len);
	*state = &test;
	return 0;
}

static int
tear_down(void **state)
{
	rpc_test_t *test = *state;

	close(test->raw);
	msp_drop_rpc(test->client);
	msp_drop_rpc(test->server);
	msp_drop_loop(test->loop);
	return 0;
}

static void
keep_result(void *ctx, msp_status_t status, void *result)
{
	rpc_test_t *test = ctx;

	test->done++;
	test->status = status;
	test->result = result == NULL ? 0 : *(uint32_t *)result;
}

static void
call_add(rpc_test_t *test, const struct sockaddr_in *to, uint32_t number)
{
	test->done = 0;
	assert_int_equal(
	    msp_call_rpc(test->client, to, PROC_ADD, (xdrproc_t)xdr_uint32_t,
		&number, (xdrproc_t)xdr_uint32_t, sizeof(uint32_t),
		200 * MSP_MS, keep_result, test),
	    MSP_OK);
	assert_int_equal(test->done, 0);
}

static void
assert_served(rpc_test_t *test)
{
	call_add(test, &test->to, 41);
	assert_true(run_until_count(test->loop, &test->done, 1));
	assert_int_equal(test->status, MSP_OK);
	assert_int_equal(test->result, 42);
}

typedef struct refused_case {
	const char *name;
	uint32_t procedure;
	uint32_t argument;
	msp_status_t status;
} refused_case_t;

static void
a_call_is_answered(void **state)
{
	static const refused_case_t cases[] = {
	    {"served", PROC_ADD, 1, MSP_OK},
	    {"refused by the procedure", PROC_ADD, 13, MSP_E_BAD_REQUEST},
	    {"failed in the procedure", PROC_ADD, 14, MSP_E_BAD_REQUEST},
	    {"no such procedure", 99, 1, MSP_E_BAD_REQUEST},
	    {"answer too large", PROC_LARGE, 1, MSP_E_BAD_REQUEST},
	    {"no answer", PROC_TELL, 0, MSP_E_DEADLINE},
	};
	rpc_test_t *test = *state;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		uint32_t argument = cases[i].argument;

		test->done = 0;
		assert_int_equal(
		    msp_call_rpc(test->client, &test->to, cases[i].procedure,
			(xdrproc_t)xdr_uint32_t, &argument,
			(xdrproc_t)xdr_uint32_t, sizeof(uint32_t), 200 * MSP_MS,
			keep_result, test),
		    MSP_OK);
		assert_true(run_until_count(test->loop, &test->done, 1));
		if (test->status != cases[i].status)
			fail_msg("%s: %s", cases[i].name,
			    msp_status_name(test->status));
	}
	assert_int_equal(test->told, 1);
	assert_served(test);
}

static void
a_call_too_large_is_not_sent(void **state)
{
	rpc_test_t *test = *state;
	uint32_t argument = 0;

	assert_int_equal(
	    msp_call_rpc(test->client, &test->to, PROC_ADD,
		(xdrproc_t)xdr_large, &argument, (xdrproc_t)xdr_uint32_t,
		sizeof(uint32_t), MSP_SECOND, keep_result, test),
	    MSP_E_TOO_LARGE);
	assert_int_equal(msp_rpc_statistics(test->client)->messages_out, 0);
}

static void
a_closed_port_is_reported(void **state)
{
	rpc_test_t *test = *state;
	struct sockaddr_in to = test->raw_address;

	close(test->raw);
	call_add(test, &to, 1);
	assert_true(run_until_count(test->loop, &test->done, 1));
	assert_int_equal(test->status, MSP_E_PEER_DOWN);
	assert_served(test);
	test->raw = socket(AF_INET, SOCK_DGRAM, 0);
}

#define NO_ANSWER (-1)

/* One datagram sent to the server, as words, and what comes back. */
typedef struct datagram_case {
	const char *name;
	uint32_t words[16];
	size_t len; /* bytes */
	int reply_stat; /* third word of the answer, or NO_ANSWER */
	int accept_stat; /* sixth word if accepted, fourth if denied */
} datagram_case_t;

static const datagram_case_t datagrams[] = {
    {"served", {7, CALL, 2, PROGRAM, VERSION, PROC_ADD, 0, 0, 0, 0, 5}, 44,
	MSG_ACCEPTED, SUCCESS},
    {"empty", {0}, 0, NO_ANSWER, 0},
    {"truncated xid", {7}, 3, NO_ANSWER, 0},
    {"only an xid", {7}, 4, NO_ANSWER, 0},
    {"truncated head", {7, CALL, 2, PROGRAM}, 16, NO_ANSWER, 0},
    {"neither call nor reply", {7, 5, 2, PROGRAM, VERSION, PROC_ADD}, 44,
	NO_ANSWER, 0},
    {"credentials too long",
	{7, CALL, 2, PROGRAM, VERSION, PROC_ADD, 0, 4000, 0, 0, 5}, 44,
	NO_ANSWER, 0},
    {"credentials cut",
	{7, CALL, 2, PROGRAM, VERSION, PROC_ADD, 0, 400, 0, 0, 5}, 44,
	NO_ANSWER, 0},
    {"RPC version", {7, CALL, 3, PROGRAM, VERSION, PROC_ADD, 0, 0, 0, 0, 5}, 44,
	MSG_DENIED, RPC_MISMATCH},
    {"program", {7, CALL, 2, PROGRAM + 1, VERSION, PROC_ADD, 0, 0, 0, 0, 5}, 44,
	MSG_ACCEPTED, PROG_UNAVAIL},
    {"version", {7, CALL, 2, PROGRAM, VERSION + 1, PROC_ADD, 0, 0, 0, 0, 5}, 44,
	MSG_ACCEPTED, PROG_MISMATCH},
    {"procedure", {7, CALL, 2, PROGRAM, VERSION, 99, 0, 0, 0, 0, 5}, 44,
	MSG_ACCEPTED, PROC_UNAVAIL},
    {"no arguments", {7, CALL, 2, PROGRAM, VERSION, PROC_ADD}, 40, MSG_ACCEPTED,
	GARBAGE_ARGS},
    {"argument cut", {7, CALL, 2, PROGRAM, VERSION, PROC_ADD}, 42, MSG_ACCEPTED,
	GARBAGE_ARGS},
    {"arguments too many", {7, CALL, 2, PROGRAM, VERSION, PROC_ADD}, 48,
	MSG_ACCEPTED, GARBAGE_ARGS},
    {"text longer than its bound",
	{7, CALL, 2, PROGRAM, VERSION, PROC_TELL, 0, 0, 0, 0, 65}, 64,
	MSG_ACCEPTED, GARBAGE_ARGS},
    {"text with a length past the end",
	{7, CALL, 2, PROGRAM, VERSION, PROC_TELL, 0, 0, 0, 0, 0xffffffff}, 64,
	MSG_ACCEPTED, GARBAGE_ARGS},
    {"reply to no call", {7, REPLY, 0, 0, 0, 0, 5}, 28, NO_ANSWER, 0},
};

static bool
has_datagram(void *ctx)
{
	char byte;

	return recv(*(int *)ctx, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

static void
check_reply(rpc_test_t *test, const datagram_case_t *c)
{
	uint32_t reply[350] = {0};

	if (!run_until(test->loop, has_datagram, &test->raw))
		fail_msg("%s: no reply", c->name);
	recv(test->raw, reply, sizeof(reply), 0);
	assert_int_equal(ntohl(reply[0]), c->words[0]);
	assert_int_equal(ntohl(reply[1]), REPLY);
	assert_int_equal(ntohl(reply[2]), c->reply_stat);
	if (ntohl(reply[c->reply_stat == MSG_DENIED ? 3 : 5]) !=
	    (uint32_t)c->accept_stat)
		fail_msg("%s: got %u", c->name, ntohl(reply[5]));
}

static void
each_datagram_gets_its_reply(void **state)
{
	rpc_test_t *test = *state;
	const msp_rpc_stats_t *stats = msp_rpc_statistics(test->server);
	size_t i;
	size_t n;

	for (i = 0; i < sizeof(datagrams) / sizeof(*datagrams); i++) {
		const datagram_case_t *c = &datagrams[i];
		uint64_t bad = stats->refused + stats->stray;
		uint32_t words[16];

		for (n = 0; n < 16; n++)
			words[n] = htonl(c->words[n]);
		sendto(test->raw, words, c->len, 0,
		    (struct sockaddr *)&test->to, sizeof(test->to));
		if (c->reply_stat != NO_ANSWER)
			check_reply(test, c);
		assert_served(test);
		assert_false(has_datagram(&test->raw));
		if (stats->refused + stats->stray != bad + (i > 0 ? 1 : 0))
			fail_msg("%s: not counted", c->name);
	}
}

static void
an_oversized_datagram_is_dropped(void **state)
{
	rpc_test_t *test = *state;
	static const size_t sizes[] = {MSP_RPC_MESSAGE_MAX + 1, 9000, 60000};
	static char data[60000];
	size_t i;

	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		sendto(test->raw, data, sizes[i], 0,
		    (struct sockaddr *)&test->to, sizeof(test->to));
		assert_served(test);
		assert_int_equal(
		    msp_rpc_statistics(test->server)->refused, i + 1);
	}
}

typedef struct reply_case {
	const char *name;
	uint32_t words[16]; /* after the xid */
	size_t len; /* bytes, with the xid */
	msp_status_t status;
	unsigned int copies; /* replies sent */
	unsigned int refused;
	unsigned int stray;
	bool foreign; /* from an address that was not called */
} reply_case_t;

static const reply_case_t replies[] = {
    {"whole", {REPLY, MSG_ACCEPTED, 0, 0, SUCCESS, 9}, 28, MSP_OK, 1, 0, 0,
	false},
    {"twice", {REPLY, MSG_ACCEPTED, 0, 0, SUCCESS, 9}, 28, MSP_OK, 2, 0, 1,
	false},
    {"foreign", {REPLY, MSG_ACCEPTED, 0, 0, SUCCESS, 9}, 28, MSP_E_DEADLINE, 1,
	0, 1, true},
    {"no result", {REPLY, MSG_ACCEPTED, 0, 0, SUCCESS}, 24, MSP_E_DEADLINE, 1,
	1, 0, false},
    {"result too long", {REPLY, MSG_ACCEPTED, 0, 0, SUCCESS, 9}, 32,
	MSP_E_DEADLINE, 1, 1, 0, false},
    {"cut head", {REPLY, MSG_ACCEPTED}, 12, MSP_E_DEADLINE, 1, 1, 0, false},
    {"unknown status", {REPLY, 7, 0, 0, SUCCESS, 9}, 28, MSP_E_DEADLINE, 1, 1,
	0, false},
    {"denied", {REPLY, MSG_DENIED, RPC_MISMATCH, 2, 2}, 24, MSP_E_BAD_REQUEST,
	1, 0, 0, false},
    {"unavailable", {REPLY, MSG_ACCEPTED, 0, 0, PROG_UNAVAIL}, 24,
	MSP_E_BAD_REQUEST, 1, 0, 0, false},
};

static bool
has_counted(void *ctx)
{
	const rpc_test_t *test = ctx;
	const msp_rpc_stats_t *stats = msp_rpc_statistics(test->client);

	return stats->refused + stats->stray > 0;
}

static void
run_reply_case(rpc_test_t *test, const reply_case_t *c)
{
	const msp_rpc_stats_t *stats = msp_rpc_statistics(test->client);
	struct sockaddr_in to = test->to;
	uint32_t words[17];
	int other = socket(AF_INET, SOCK_DGRAM, 0);
	unsigned int i;

	to.sin_port = htons(msp_rpc_port(test->client));
	call_add(test, &test->raw_address, 8);
	assert_true(run_until(test->loop, has_datagram, &test->raw));
	recv(test->raw, words, sizeof(words), 0);
	for (i = 0; i < 16; i++)
		words[i + 1] = htonl(c->words[i]);
	for (i = 0; i < c->copies; i++)
		sendto(c->foreign ? other : test->raw, words, c->len, 0,
		    (struct sockaddr *)&to, sizeof(to));
	assert_true(run_until_count(test->loop, &test->done, 1));
	if (test->status != c->status)
		fail_msg("%s: %s", c->name, msp_status_name(test->status));
	if (c->refused + c->stray > 0)
		assert_true(run_until(test->loop, has_counted, test));
	assert_int_equal(test->done, 1);
	assert_int_equal(stats->refused, c->refused);
	assert_int_equal(stats->stray, c->stray);
	if (c->status == MSP_E_DEADLINE) {
		/* The late reply does not count for a later call. */
		words[1] = htonl(REPLY);
		sendto(test->raw, words, c->len, 0, (struct sockaddr *)&to,
		    sizeof(to));
		assert_served(test);
		assert_int_equal(stats->stray, c->stray + 1);
	}
	close(other);
}

static void
only_the_own_whole_reply_counts(void **state)
{
	size_t i;

	for (i = 0; i < sizeof(replies) / sizeof(*replies); i++) {
		run_reply_case(*state, &replies[i]);
		tear_down(state);
		assert_int_equal(set_up(state), 0);
	}
}

static void
drop_client(void *ctx, msp_status_t status, void *result)
{
	rpc_test_t *test = ctx;

	(void)status;
	(void)result;
	test->done++;
	msp_drop_rpc(test->client);
	test->client = NULL;
}

static void
an_endpoint_may_be_dropped_in_a_callback(void **state)
{
	rpc_test_t *test = *state;
	uint32_t number = 1;
	int i;

	for (i = 0; i < 3; i++)
		msp_call_rpc(test->client, &test->to, PROC_ADD,
		    (xdrproc_t)xdr_uint32_t, &number, (xdrproc_t)xdr_uint32_t,
		    sizeof(uint32_t), MSP_SECOND, drop_client, test);
	assert_true(run_until_count(test->loop, &test->done, 1));
	msp_step_loop(test->loop, 20);
	assert_int_equal(test->done, 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		a_call_is_answered, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		a_call_too_large_is_not_sent, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		a_closed_port_is_reported, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		each_datagram_gets_its_reply, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		an_oversized_datagram_is_dropped, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		only_the_own_whole_reply_counts, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		an_endpoint_may_be_dropped_in_a_callback, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
