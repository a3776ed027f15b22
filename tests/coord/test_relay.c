#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "gossip_net.h"

#define SUMMARIES_BOUND (120 * MSP_SECOND)

typedef struct spread_case {
	size_t nodes;
	size_t places;
	size_t regions;
	uint64_t seed;
	double loss;
} spread_case_t;

static const spread_case_t spread_cases[] = {
    {4, 2, 1, 1, 0},
    {23, 6, 3, 2, 0},
    {23, 6, 3, 3, 0.1},
    {23, 6, 3, 4, 0.3},
    {64, 16, 4, 5, 0},
    {186, 62, 16, 6, 0},
};

static gossip_net_t *
started_net(const spread_case_t *row)
{
	gossip_net_t *net = new_gossip_net(row->nodes, row->seed);
	size_t i;

	net->loss_rate = row->loss;
	net->with_relays = true;
	assign_node_places(net, row->places, row->regions);
	for (i = 0; i < row->nodes; i++)
		start_gossip_node(net, i);
	return net;
}

/* Whether all nodes of `side` have fresh summaries of `places` places. */
static bool
all_have_fresh_summaries(
    const gossip_net_t *net, unsigned int side, size_t places)
{
	size_t i;
	size_t j;

	for (i = 0; i < net->count; i++) {
		const msp_relay_t *relay = net->nodes[i].relay;
		size_t fresh = 0;

		if (relay == NULL || net->nodes[i].partition != side)
			continue;
		for (j = 0; j < msp_summary_count(relay); j++)
			fresh += !msp_summary_is_stale(
			    relay, msp_summary_at(relay, j));
		if (fresh != places)
			return false;
	}
	return true;
}

static msp_time_t
run_until_fresh(
    gossip_net_t *net, unsigned int side, size_t places, msp_time_t bound)
{
	msp_time_t start = net->now;

	while (!all_have_fresh_summaries(net, side, places) &&
	    net->now - start < bound)
		run_gossip_net(net, 100 * MSP_MS);
	return net->now - start;
}

static void
every_place_receives_all_summaries(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(spread_cases) / sizeof(spread_cases[0]); i++) {
		const spread_case_t *row = &spread_cases[i];
		gossip_net_t *net = started_net(row);
		msp_time_t took =
		    run_until_fresh(net, 0, row->places, SUMMARIES_BOUND);

		print_message("%zu places, loss %.0f%%: all nodes have all "
			      "summaries after %.1f s\n",
		    row->places, row->loss * 100, (double)took / MSP_SECOND);
		assert_true(all_have_fresh_summaries(net, 0, row->places));
		assert_in_range(net->largest_message, 1, 1400);
		drop_gossip_net(net);
	}
}

/* While a region is cut off, each side sees the other's summaries as stale. */
static void
partition_is_detected_and_heals(void **state)
{
	const spread_case_t row = {24, 6, 3, 7, 0};
	gossip_net_t *net = started_net(&row);
	size_t i;

	(void)state;
	run_until_fresh(net, 0, 6, SUMMARIES_BOUND);
	for (i = 0; i < 8; i++)
		net->nodes[i].partition = 1;
	run_gossip_net(net, 90 * MSP_SECOND);
	assert_true(all_have_fresh_summaries(net, 1, 2));
	assert_true(all_have_fresh_summaries(net, 0, 4));
	assert_int_equal(msp_summary_count(net->nodes[0].relay), 6);
	for (i = 0; i < 8; i++)
		net->nodes[i].partition = 0;
	assert_in_range(
	    run_until_fresh(net, 0, 6, SUMMARIES_BOUND), 0, 60 * MSP_SECOND);
	drop_gossip_net(net);
}

/* After the author dies, the summaries of the next one are accepted. */
static void
summaries_of_a_new_author_are_accepted(void **state)
{
	const spread_case_t row = {24, 6, 3, 8, 0};
	gossip_net_t *net = started_net(&row);
	const msp_summary_t *summary;
	uint64_t before;
	size_t i;

	(void)state;
	run_until_fresh(net, 0, 6, SUMMARIES_BOUND);
	for (i = 0; i < 4; i++) {
		if (msp_relay_is_author(net->nodes[i].relay))
			break;
	}
	assert_in_range(i, 0, 3);
	before = msp_membership_self(net->nodes[i].membership)->incarnation;
	kill_gossip_node(net, i);
	run_gossip_net(net, 60 * MSP_SECOND);
	assert_true(all_have_fresh_summaries(net, 0, 6));
	summary = msp_find_summary(net->nodes[23].relay, "dc-00");
	assert_non_null(summary);
	assert_true(summary->incarnation != before);
	assert_int_equal(summary->live, 3);
	drop_gossip_net(net);
}

/* A summary from a peer, and whether it is accepted. */
typedef struct summary_case {
	const char *what;
	const char *place;
	const char *region;
	const char *address;
	u_int port;
	int64_t sequence_ms; /* relative to the receiver's sequence clock */
	u_int age_ms;
	u_int entries;
	bool accepted;
} summary_case_t;

static const summary_case_t summary_cases[] = {
    {"good", "dc-09", "region-09", "10.0.0.9", 7000, 0, 0, 1, true},
    {"no entry", "dc-09", "region-09", "10.0.0.9", 7000, 0, 0, 0, true},
    {"ahead in range", "dc-09", "region-09", "10.0.0.9", 7000, 3600000, 0, 1,
	true},
    {"ahead out of range", "dc-09", "region-09", "10.0.0.9", 7000,
	(int64_t)48 * 3600000, 0, 1, false},
    {"past its expiry", "dc-09", "region-09", "10.0.0.9", 7000, 0, 2 * 3600000,
	1, false},
    {"bad place", "dc 09", "region-09", "10.0.0.9", 7000, 0, 0, 1, false},
    {"empty region", "dc-09", "", "10.0.0.9", 7000, 0, 0, 1, false},
    {"bad address", "dc-09", "region-09", "host", 7000, 0, 0, 1, false},
    {"port 0", "dc-09", "region-09", "10.0.0.9", 0, 0, 0, 1, false},
    {"port too high", "dc-09", "region-09", "10.0.0.9", 70000, 0, 0, 1, false},
    {"too many entries", "dc-09", "region-09", "10.0.0.9", 7000, 0, 0, 7,
	false},
};

static uint32_t last_token;

static void
record_token(void *ctx, const char *address, uint16_t peer_port,
    uint32_t procedure, const void *message, uint32_t token, msp_time_t timeout)
{
	(void)ctx;
	(void)address;
	(void)peer_port;
	(void)procedure;
	(void)message;
	(void)timeout;
	last_token = token;
}

static void
summaries_out_of_range_are_dropped(void **state)
{
	const spread_case_t nodes = {4, 1, 1, 9, 0};
	gossip_net_t *net = started_net(&nodes);
	msp_virtual_env_t venv = {.now = MSP_SECOND};
	msp_env_t env = msp_virtual_env(&venv);
	msp_relay_callbacks_t callbacks = {.send = record_token};
	msp_relay_options_t options = {0};
	msp_gossip_entry_t entries[7];
	size_t i;
	size_t j;

	(void)state;
	run_gossip_net(net, 20 * MSP_SECOND);
	for (i = 0; i < sizeof(summary_cases) / sizeof(summary_cases[0]); i++) {
		const summary_case_t *row = &summary_cases[i];
		const msp_membership_t *member = net->nodes[0].membership;
		msp_relay_t *relay =
		    msp_new_relay(&env, member, &options, &callbacks);
		msp_gossip_summary_t summary = {
		    .place = (char *)row->place,
		    .region = (char *)row->region,
		    .incarnation = 1,
		    .sequence =
			msp_membership_self(member)->incarnation / MSP_MS +
			(uint64_t)row->sequence_ms,
		    .age_ms = row->age_ms,
		    .entries = {row->entries, entries},
		};
		msp_gossip_summaries_t answer = {
		    .summaries = {1, &summary},
		};

		for (j = 0; j < 7; j++)
			entries[j] = (msp_gossip_entry_t){
			    .name = (char *)"vm-0900",
			    .address = (char *)row->address,
			    .caller_port = 8000,
			    .peer_port = row->port,
			};
		venv.now += 3 * MSP_SECOND;
		msp_tick_relay(relay);
		msp_complete_relay_call(relay, last_token, MSP_OK, &answer);
		print_message("%s\n", row->what);
		assert_int_equal(
		    msp_find_summary(relay, row->place) != NULL, row->accepted);
		/* A second answer to the same call is ignored. */
		summary.place = (char *)"dc-10";
		msp_complete_relay_call(relay, last_token, MSP_OK, &answer);
		assert_null(msp_find_summary(relay, "dc-10"));
		msp_drop_relay(relay);
	}
	drop_gossip_net(net);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(every_place_receives_all_summaries),
	    cmocka_unit_test(partition_is_detected_and_heals),
	    cmocka_unit_test(summaries_of_a_new_author_are_accepted),
	    cmocka_unit_test(summaries_out_of_range_are_dropped),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
