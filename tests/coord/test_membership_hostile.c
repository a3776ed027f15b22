#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>

#include "gossip_net.h"

#define MEMBERS 7
#define SETTLE_TIME (20 * MSP_SECOND)
#define CORRUPT_SEEDS 20
#define DAY (24 * 60 * MSP_MINUTE)

static gossip_net_t *
converged_net(uint64_t seed)
{
	gossip_net_t *net = new_gossip_net(MEMBERS, seed);
	size_t i;

	for (i = 0; i < MEMBERS; i++)
		start_gossip_node(net, i);
	run_gossip_net(net, SETTLE_TIME);
	assert_true(is_gossip_net_converged(net));
	return net;
}

/* A claim about vm-0001, sent to vm-0000. */
typedef struct claim_case {
	const char *what;
	const char *name;
	const char *place;
	const char *address;
	u_int peer_port;
	int64_t incarnation; /* relative to the true one */
	u_int round;
	int state;
	bool accepted; /* at first; the member refutes it later */
} claim_case_t;

static const claim_case_t claim_cases[] = {
    {"dead", "vm-0001", "dc1", "10.0.0.1", 7000, 0, 0, MSP_GOSSIP_DEAD, true},
    {"dead, last round", "vm-0001", "dc1", "10.0.0.1", 7000, 0, UINT32_MAX,
	MSP_GOSSIP_DEAD, true},
    {"dead, next incarnation", "vm-0001", "dc1", "10.0.0.1", 7000, 1, 0,
	MSP_GOSSIP_DEAD, true},
    {"dead, incarnation in range", "vm-0001", "dc1", "10.0.0.1", 7000,
	(int64_t)(DAY / 2), 0, MSP_GOSSIP_DEAD, true},
    {"leaving", "vm-0001", "dc1", "10.0.0.1", 7000, 0, 5, MSP_GOSSIP_LEAVING,
	true},
    {"at another address", "vm-0001", "dc1", "10.0.0.9", 7000, 5, 0,
	MSP_GOSSIP_ALIVE, true},
    {"dead, incarnation out of range", "vm-0001", "dc1", "10.0.0.1", 7000,
	(int64_t)(2 * DAY), 0, MSP_GOSSIP_DEAD, false},
    {"old incarnation", "vm-0001", "dc1", "10.0.0.1", 7000, -1, 9,
	MSP_GOSSIP_DEAD, false},
    {"another place", "vm-0001", "dc2", "10.0.0.1", 7000, 0, 0, MSP_GOSSIP_DEAD,
	false},
    {"no address", "vm-0001", "dc1", "localhost", 7000, 1, 0, MSP_GOSSIP_ALIVE,
	false},
    {"port 0", "vm-0001", "dc1", "10.0.0.1", 0, 1, 0, MSP_GOSSIP_ALIVE, false},
    {"port too high", "vm-0001", "dc1", "10.0.0.1", 65536, 1, 0,
	MSP_GOSSIP_ALIVE, false},
    {"state out of range", "vm-0001", "dc1", "10.0.0.1", 7000, 1, 0, 4, false},
    {"negative state", "vm-0001", "dc1", "10.0.0.1", 7000, 1, 0, -1, false},
    {"bad name", "vm 0001\n", "dc1", "10.0.0.1", 7000, 1, 0, MSP_GOSSIP_ALIVE,
	false},
    {"empty name", "", "dc1", "10.0.0.1", 7000, 1, 0, MSP_GOSSIP_ALIVE, false},
};

static msp_status_t
announce(gossip_net_t *net, const claim_case_t *row, u_int copies)
{
	msp_gossip_member_t records[MSP_GOSSIP_UPDATES_MAX];
	const msp_member_t *actual =
	    msp_membership_self(net->nodes[1].membership);
	msp_gossip_ping_t ping = {
	    .head = {.from = (char *)"vm-0002",
		.place = (char *)"dc1",
		.incarnation = 1},
	    .news.updates = {.updates_len = copies, .updates_val = records},
	};
	u_int i;

	for (i = 0; i < copies; i++)
		records[i] = (msp_gossip_member_t){
		    .name = (char *)row->name,
		    .region = (char *)"region1",
		    .place = (char *)row->place,
		    .address = (char *)row->address,
		    .caller_port = 8000,
		    .peer_port = row->peer_port,
		    .incarnation =
			actual->incarnation + (uint64_t)row->incarnation,
		    .round = row->round,
		    .state = (msp_gossip_state_t)row->state,
		};
	return msp_serve_membership(
	    net->nodes[0].membership, MSP_GOSSIP_ANNOUNCE, &ping, NULL);
}

static void
false_claims_are_refuted_or_dropped(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(claim_cases) / sizeof(claim_cases[0]); i++) {
		const claim_case_t *row = &claim_cases[i];
		gossip_net_t *net = converged_net(i + 1);
		msp_member_t before =
		    *msp_find_member(net->nodes[0].membership, "vm-0001");
		const msp_member_t *after;
		msp_time_t took;

		assert_int_equal(announce(net, row, 2), MSP_OK);
		after = msp_find_member(net->nodes[0].membership, "vm-0001");
		if (!row->accepted) {
			assert_memory_equal(&before, after, sizeof(before));
			assert_int_equal(
			    msp_member_count(net->nodes[0].membership),
			    MEMBERS);
		}
		took = run_until_converged(net, MSP_MINUTE);
		print_message("%s: converged after %.1f s\n", row->what,
		    (double)took / MSP_SECOND);
		assert_in_range(took, 0, 20 * MSP_SECOND);
		assert_false(
		    msp_membership_is_superseded(net->nodes[1].membership));
		assert_int_equal(
		    get_observed_state(net, 0, 1), MSP_MEMBER_ALIVE);
		drop_gossip_net(net);
	}
}

/* Records of members that do not exist can't grow the table past its bound. */
static void
invented_members_are_bounded(void **state)
{
	gossip_net_t *net = converged_net(50);
	char name[32];
	claim_case_t row = {.name = name,
	    .place = "dc1",
	    .address = "10.9.9.9",
	    .peer_port = 7000,
	    .state = MSP_GOSSIP_ALIVE};
	int i;

	(void)state;
	for (i = 0; i < 3 * MSP_MEMBERS_MAX; i++) {
		snprintf(name, sizeof(name), "no-%d", i);
		assert_int_equal(announce(net, &row, 1), MSP_OK);
	}
	assert_in_range(msp_member_count(net->nodes[0].membership), MEMBERS,
	    MSP_MEMBERS_MAX);
	drop_gossip_net(net);
}

typedef struct load_case {
	int64_t incarnation; /* relative to the true one */
	uint64_t sequence; /* relative to the true one */
	bool accepted;
} load_case_t;

static const load_case_t load_cases[] = {
    {0, 1, true},
    {0, 1000, true},
    {0, (uint64_t)1 << 33, false},
    {0, UINT64_MAX - 5, false},
    {1, 1, false},
    {-1, 1, false},
};

static void
loads_out_of_range_are_dropped(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(load_cases) / sizeof(load_cases[0]); i++) {
		const load_case_t *row = &load_cases[i];
		gossip_net_t *net = converged_net(i + 70);
		msp_membership_t *owner = net->nodes[1].membership;
		char wrong[] = "wrong";
		msp_gossip_load_t load = {.name = (char *)"vm-0001"};
		msp_gossip_ping_t ping = {
		    .head = {.from = (char *)"vm-0002", .place = (char *)"dc1"},
		    .news.loads = {.loads_len = 1, .loads_val = &load},
		};
		const msp_member_t *seen;

		assert_int_equal(msp_set_member_load(owner, "a", 1), MSP_OK);
		run_gossip_net(net, 5 * MSP_SECOND);
		load.incarnation = msp_membership_self(owner)->incarnation +
		    (uint64_t)row->incarnation;
		load.sequence =
		    msp_membership_self(owner)->load_sequence + row->sequence;
		load.payload.payload_val = wrong;
		load.payload.payload_len = sizeof(wrong);
		assert_int_equal(msp_serve_membership(net->nodes[0].membership,
				     MSP_GOSSIP_ANNOUNCE, &ping, NULL),
		    MSP_OK);
		seen = msp_find_member(net->nodes[0].membership, "vm-0001");
		assert_int_equal(
		    seen->load_len == sizeof(wrong), row->accepted);
		/* The member's own next load replaces it in any case. */
		run_gossip_net(net, 10 * MSP_SECOND);
		assert_int_equal(msp_set_member_load(owner, "bc", 2), MSP_OK);
		run_gossip_net(net, 10 * MSP_SECOND);
		seen = msp_find_member(net->nodes[0].membership, "vm-0001");
		assert_int_equal(seen->load_len, 2);
		drop_gossip_net(net);
	}
}

/* A paused VM is replaced under its name. It must stop when it resumes. */
static void
replaced_vm_is_superseded(void **state)
{
	gossip_net_t *net = new_gossip_net(MEMBERS + 1, 90);
	gossip_node_t *old = &net->nodes[3];
	gossip_node_t *new = &net->nodes[MEMBERS];
	size_t i;

	(void)state;
	memcpy(new->name, old->name, sizeof(new->name));
	for (i = 0; i < MEMBERS; i++)
		start_gossip_node(net, i);
	run_gossip_net(net, SETTLE_TIME);
	freeze_gossip_node(net, 3);
	run_gossip_net(net, MSP_MINUTE);
	start_gossip_node(net, MEMBERS);
	run_gossip_net(net, SETTLE_TIME);
	resume_gossip_node(net, 3);
	run_gossip_net(net, SETTLE_TIME);
	assert_true(msp_membership_is_superseded(old->membership));
	assert_false(msp_membership_is_superseded(new->membership));
	for (i = 0; i < MEMBERS; i++) {
		const msp_member_t *seen =
		    msp_find_member(net->nodes[i].membership, new->name);

		if (i != 3)
			assert_string_equal(seen->address, new->address);
	}
	drop_gossip_net(net);
}

/* Corrupts 30% of all messages in and between two data centres. */
static void
corrupt_messages_have_no_lasting_effect(void **state)
{
	uint64_t seed;
	size_t i;

	(void)state;
	for (seed = 1; seed <= CORRUPT_SEEDS; seed++) {
		gossip_net_t *net = new_gossip_net(2 * MEMBERS, seed);

		net->with_relays = true;
		net->corrupt_rate = 0.3;
		assign_node_places(net, 2, 2);
		for (i = 0; i < net->count; i++)
			start_gossip_node(net, i);
		for (i = 0; i < 60; i++) {
			msp_set_member_load(
			    net->nodes[i % (2 * MEMBERS)].membership, &i,
			    sizeof(i));
			msp_set_member_release(
			    net->nodes[i % (2 * MEMBERS)].membership, i);
			run_gossip_net(net, MSP_SECOND);
		}
		net->corrupt_rate = 0;
		assert_in_range(
		    run_until_converged(net, 2 * MSP_MINUTE), 0, MSP_MINUTE);
		run_gossip_net(net, MSP_MINUTE);
		assert_true(is_gossip_net_converged(net));
		for (i = 0; i < MEMBERS; i++)
			assert_in_range(
			    msp_find_member(
				net->nodes[0].membership, net->nodes[i].name)
				->release,
			    0, 60);
		assert_non_null(msp_find_summary(net->nodes[0].relay, "dc-01"));
		drop_gossip_net(net);
	}
}

/* Encodes a ping with one update; returns its length. */
static size_t
encode_ping(char *bytes, size_t size)
{
	msp_gossip_member_t record = {
	    .name = (char *)"vm-0001",
	    .region = (char *)"region1",
	    .place = (char *)"dc1",
	    .address = (char *)"10.0.0.1",
	};
	msp_gossip_ping_t ping = {
	    .head = {.from = (char *)"vm-0002", .place = (char *)"dc1"},
	    .news.updates = {.updates_len = 1, .updates_val = &record},
	};
	XDR xdrs;
	size_t len;

	xdrmem_create(&xdrs, bytes, (u_int)size, XDR_ENCODE);
	assert_true(xdr_msp_gossip_ping_t(&xdrs, &ping));
	len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return len;
}

static bool
decode_ping(char *bytes, size_t len)
{
	msp_gossip_ping_t ping = {0};
	XDR xdrs;
	bool decoded;

	xdrmem_create(&xdrs, bytes, (u_int)len, XDR_DECODE);
	decoded = xdr_msp_gossip_ping_t(&xdrs, &ping);
	if (decoded) {
		assert_in_range(
		    ping.news.updates.updates_len, 0, MSP_GOSSIP_UPDATES_MAX);
		assert_in_range(
		    ping.news.loads.loads_len, 0, MSP_GOSSIP_LOADS_MAX);
		assert_in_range(strlen(ping.head.from), 0, MSP_GOSSIP_NAME_MAX);
	}
	xdr_free((xdrproc_t)xdr_msp_gossip_ping_t, (char *)&ping);
	return decoded;
}

static const uint32_t bad_counts[] = {
    2, 17, 64, 65, 1400, 0x7fffffff, 0x80000000, UINT32_MAX};

static void
truncated_and_oversized_messages_are_not_decoded(void **state)
{
	char bytes[1400];
	char changed[1400];
	size_t len = encode_ping(bytes, sizeof(bytes));
	size_t at;
	size_t i;

	(void)state;
	assert_true(decode_ping(bytes, len));
	for (at = 0; at < len; at++)
		assert_false(decode_ping(bytes, at));
	for (i = 0; i < sizeof(bad_counts) / sizeof(uint32_t); i++) {
		uint32_t count = htonl(bad_counts[i]);

		for (at = 0; at + 4 <= len; at += 4) {
			memcpy(changed, bytes, len);
			memcpy(changed + at, &count, 4);
			decode_ping(changed, len);
		}
		/* The count of updates is at offset 36, after the head. */
		memcpy(changed, bytes, len);
		memcpy(changed + 36, &count, 4);
		assert_false(decode_ping(changed, len));
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(false_claims_are_refuted_or_dropped),
	    cmocka_unit_test(invented_members_are_bounded),
	    cmocka_unit_test(loads_out_of_range_are_dropped),
	    cmocka_unit_test(replaced_vm_is_superseded),
	    cmocka_unit_test(corrupt_messages_have_no_lasting_effect),
	    cmocka_unit_test(truncated_and_oversized_messages_are_not_decoded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
