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

#include "rpc_fixture.h"

typedef struct call_case {
	const char *name;
	uint32_t procedure;
	uint32_t argument;
	msp_status_t status;
} call_case_t;

static void
call_ends_with_expected_status(void **state)
{
	static const call_case_t cases[] = {
	    {"served", PROC_ADD, 1, MSP_OK},
	    {"refused by the procedure", PROC_ADD, 13, MSP_E_BAD_REQUEST},
	    {"failed in the procedure", PROC_ADD, 14, MSP_E_BAD_REQUEST},
	    {"no such procedure", 99, 1, MSP_E_BAD_REQUEST},
	    {"reply too large", PROC_LARGE, 1, MSP_E_BAD_REQUEST},
	    {"no reply", PROC_ONE_WAY, 0, MSP_E_DEADLINE},
	};
	rpc_test_t *test = *state;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		uint32_t argument = cases[i].argument;

		test->done_count = 0;
		assert_int_equal(
		    msp_call_rpc(test->client, &test->server_address,
			cases[i].procedure, (xdrproc_t)xdr_uint32_t, &argument,
			(xdrproc_t)xdr_uint32_t, sizeof(uint32_t), 200 * MSP_MS,
			store_result, test),
		    MSP_OK);
		assert_true(run_until_count(test->loop, &test->done_count, 1));
		if (test->status != cases[i].status)
			fail_msg("%s: status %s", cases[i].name,
			    msp_status_name(test->status));
	}
	assert_int_equal(test->one_way_count, 1);
	assert_served(test);
}

static void
oversized_call_is_not_sent(void **state)
{
	rpc_test_t *test = *state;
	uint32_t argument = 0;

	assert_int_equal(
	    msp_call_rpc(test->client, &test->server_address, PROC_ADD,
		(xdrproc_t)xdr_large, &argument, (xdrproc_t)xdr_uint32_t,
		sizeof(uint32_t), MSP_SECOND, store_result, test),
	    MSP_E_TOO_LARGE);
	assert_int_equal(msp_rpc_statistics(test->client)->messages_out, 0);
}

static void
closed_port_is_reported(void **state)
{
	rpc_test_t *test = *state;
	struct sockaddr_in to = test->raw_address;

	close(test->raw);
	call_add(test, &to, 1);
	assert_true(run_until_count(test->loop, &test->done_count, 1));
	assert_int_equal(test->status, MSP_E_PEER_DOWN);
	assert_served(test);
	test->raw = socket(AF_INET, SOCK_DGRAM, 0);
}

#define NO_REPLY (-1)

/* A datagram that is sent to the server, and the expected reply. */
typedef struct datagram_case {
	const char *name;
	uint32_t words[16];
	size_t len; /* bytes sent */
	int reply_stat; /* third word of the reply, or NO_REPLY */
	int accept_stat; /* sixth word if accepted, fourth if denied */
} datagram_case_t;

static const datagram_case_t datagrams[] = {
    {"served", {7, CALL, 2, PROGRAM, VERSION, PROC_ADD, 0, 0, 0, 0, 5}, 44,
	MSG_ACCEPTED, SUCCESS},
    {"empty", {0}, 0, NO_REPLY, 0},
    {"truncated xid", {7}, 3, NO_REPLY, 0},
    {"only an xid", {7}, 4, NO_REPLY, 0},
    {"truncated head", {7, CALL, 2, PROGRAM}, 16, NO_REPLY, 0},
    {"neither call nor reply", {7, 5, 2, PROGRAM, VERSION, PROC_ADD}, 44,
	NO_REPLY, 0},
    {"credentials too long",
	{7, CALL, 2, PROGRAM, VERSION, PROC_ADD, 0, 4000, 0, 0, 5}, 44,
	NO_REPLY, 0},
    {"truncated credentials",
	{7, CALL, 2, PROGRAM, VERSION, PROC_ADD, 0, 400, 0, 0, 5}, 44, NO_REPLY,
	0},
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
    {"truncated argument", {7, CALL, 2, PROGRAM, VERSION, PROC_ADD}, 42,
	MSG_ACCEPTED, GARBAGE_ARGS},
    {"too many arguments", {7, CALL, 2, PROGRAM, VERSION, PROC_ADD}, 48,
	MSG_ACCEPTED, GARBAGE_ARGS},
    {"text over its maximum length",
	{7, CALL, 2, PROGRAM, VERSION, PROC_ONE_WAY, 0, 0, 0, 0, 65}, 64,
	MSG_ACCEPTED, GARBAGE_ARGS},
    {"text with a length past the end",
	{7, CALL, 2, PROGRAM, VERSION, PROC_ONE_WAY, 0, 0, 0, 0, 0xffffffff},
	64, MSG_ACCEPTED, GARBAGE_ARGS},
    {"reply to no call", {7, REPLY, 0, 0, 0, 0, 5}, 28, NO_REPLY, 0},
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
datagrams_get_expected_reply(void **state)
{
	rpc_test_t *test = *state;
	const msp_rpc_stats_t *stats = msp_rpc_statistics(test->server);
	size_t i;
	size_t n;

	for (i = 0; i < sizeof(datagrams) / sizeof(*datagrams); i++) {
		const datagram_case_t *c = &datagrams[i];
		uint64_t bad = stats->refused + stats->unmatched;
		uint32_t words[16];

		for (n = 0; n < 16; n++)
			words[n] = htonl(c->words[n]);
		sendto(test->raw, words, c->len, 0,
		    (struct sockaddr *)&test->server_address,
		    sizeof(test->server_address));
		if (c->reply_stat != NO_REPLY)
			check_reply(test, c);
		assert_served(test);
		assert_false(has_datagram(&test->raw));
		if (stats->refused + stats->unmatched != bad + (i > 0 ? 1 : 0))
			fail_msg("%s: not counted", c->name);
	}
}

static void
oversized_datagram_is_refused(void **state)
{
	rpc_test_t *test = *state;
	static const size_t sizes[] = {MSP_RPC_MESSAGE_MAX + 1, 9000, 60000};
	static char data[60000];
	size_t i;

	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		sendto(test->raw, data, sizes[i], 0,
		    (struct sockaddr *)&test->server_address,
		    sizeof(test->server_address));
		assert_served(test);
		assert_int_equal(
		    msp_rpc_statistics(test->server)->refused, i + 1);
	}
}

typedef struct reply_case {
	const char *name;
	uint32_t words[16]; /* after the xid */
	size_t len; /* bytes, including the xid */
	msp_status_t status; /* expected */
	unsigned int copies; /* how often the reply is sent */
	unsigned int refused; /* expected counters */
	unsigned int unmatched;
	bool from_other_address; /* sent from an address that wasn't called */
} reply_case_t;

static const reply_case_t replies[] = {
    {"complete", {REPLY, MSG_ACCEPTED, 0, 0, SUCCESS, 9}, 28, MSP_OK, 1, 0, 0,
	false},
    {"twice", {REPLY, MSG_ACCEPTED, 0, 0, SUCCESS, 9}, 28, MSP_OK, 2, 0, 1,
	false},
    {"from another address", {REPLY, MSG_ACCEPTED, 0, 0, SUCCESS, 9}, 28,
	MSP_E_DEADLINE, 1, 0, 1, true},
    {"no result", {REPLY, MSG_ACCEPTED, 0, 0, SUCCESS}, 24, MSP_E_DEADLINE, 1,
	1, 0, false},
    {"result too long", {REPLY, MSG_ACCEPTED, 0, 0, SUCCESS, 9}, 32,
	MSP_E_DEADLINE, 1, 1, 0, false},
    {"truncated head", {REPLY, MSG_ACCEPTED}, 12, MSP_E_DEADLINE, 1, 1, 0,
	false},
    {"unknown status", {REPLY, 7, 0, 0, SUCCESS, 9}, 28, MSP_E_DEADLINE, 1, 1,
	0, false},
    {"denied", {REPLY, MSG_DENIED, RPC_MISMATCH, 2, 2}, 24, MSP_E_BAD_REQUEST,
	1, 0, 0, false},
    {"unavailable", {REPLY, MSG_ACCEPTED, 0, 0, PROG_UNAVAIL}, 24,
	MSP_E_BAD_REQUEST, 1, 0, 0, false},
};

static bool
has_counted_reply(void *ctx)
{
	const rpc_test_t *test = ctx;
	const msp_rpc_stats_t *stats = msp_rpc_statistics(test->client);

	return stats->refused + stats->unmatched > 0;
}

static void
run_reply_case(rpc_test_t *test, const reply_case_t *c)
{
	const msp_rpc_stats_t *stats = msp_rpc_statistics(test->client);
	struct sockaddr_in to = test->server_address;
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
		sendto(c->from_other_address ? other : test->raw, words, c->len,
		    0, (struct sockaddr *)&to, sizeof(to));
	assert_true(run_until_count(test->loop, &test->done_count, 1));
	if (test->status != c->status)
		fail_msg(
		    "%s: status %s", c->name, msp_status_name(test->status));
	if (c->refused + c->unmatched > 0)
		assert_true(run_until(test->loop, has_counted_reply, test));
	assert_int_equal(test->done_count, 1);
	assert_int_equal(stats->refused, c->refused);
	assert_int_equal(stats->unmatched, c->unmatched);
	if (c->status == MSP_E_DEADLINE) {
		/* A late reply must not be taken for that of another call. */
		words[1] = htonl(REPLY);
		sendto(test->raw, words, c->len, 0, (struct sockaddr *)&to,
		    sizeof(to));
		assert_served(test);
		assert_int_equal(stats->unmatched, c->unmatched + 1);
	}
	close(other);
}

static void
only_complete_matching_reply_is_accepted(void **state)
{
	size_t i;

	for (i = 0; i < sizeof(replies) / sizeof(*replies); i++) {
		run_reply_case(*state, &replies[i]);
		tear_down_rpc(state);
		assert_int_equal(set_up_rpc(state), 0);
	}
}

static void
drop_client(void *ctx, msp_status_t status, void *result)
{
	rpc_test_t *test = ctx;

	(void)status;
	(void)result;
	test->done_count++;
	msp_drop_rpc(test->client);
	test->client = NULL;
}

static void
endpoint_may_be_dropped_in_callback(void **state)
{
	rpc_test_t *test = *state;
	uint32_t number = 1;
	int i;

	for (i = 0; i < 3; i++)
		msp_call_rpc(test->client, &test->server_address, PROC_ADD,
		    (xdrproc_t)xdr_uint32_t, &number, (xdrproc_t)xdr_uint32_t,
		    sizeof(uint32_t), MSP_SECOND, drop_client, test);
	assert_true(run_until_count(test->loop, &test->done_count, 1));
	msp_step_loop(test->loop, 20);
	assert_int_equal(test->done_count, 1);
}

int
main(void)
{
#define CASE(name) \
	cmocka_unit_test_setup_teardown(name, set_up_rpc, tear_down_rpc)
	const struct CMUnitTest tests[] = {
	    CASE(call_ends_with_expected_status),
	    CASE(oversized_call_is_not_sent),
	    CASE(closed_port_is_reported),
	    CASE(datagrams_get_expected_reply),
	    CASE(oversized_datagram_is_refused),
	    CASE(only_complete_matching_reply_is_accepted),
	    CASE(endpoint_may_be_dropped_in_callback),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
