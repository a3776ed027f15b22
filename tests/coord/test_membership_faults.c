#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "gossip_net.h"

#define JOIN_BOUND (40 * MSP_SECOND)
#define SERVICE "records-vault"

static net_t *
started_net(size_t nodes, uint64_t seed, double loss)
{
	net_t *net = new_net(nodes, seed);
	size_t i;

	net->loss = loss;
	for (i = 0; i < nodes; i++)
		start_node(net, i);
	run_until_agreed(net, JOIN_BOUND);
	assert_true(net_agrees(net));
	return net;
}

typedef struct seeded_case {
	size_t nodes;
	double loss;
	uint64_t seeds;
	msp_time_t bound;
} seeded_case_t;

/* Whether any peer still ranks the node for some shard. */
static bool
is_ranked(const net_t *net, size_t node)
{
	const msp_member_t *ranked[NET_NODES_MAX];
	size_t i;
	size_t j;

	for (i = 0; i < net->count; i++) {
		size_t count;

		if (net->nodes[i].membership == NULL)
			continue;
		count = msp_rank_members(net->nodes[i].membership, SERVICE,
		    "dc1", 0, ranked, NET_NODES_MAX);
		for (j = 0; j < count; j++) {
			if (strcmp(ranked[j]->name, net->nodes[node].name) == 0)
				return true;
		}
	}
	return false;
}

static const seeded_case_t leave_cases[] = {
    {4, 0, 20, 3 * MSP_SECOND},
    {23, 0, 20, 3 * MSP_SECOND},
    {23, 0.1, 40, 3 * MSP_SECOND},
    {128, 0, 2, 3 * MSP_SECOND},
    {128, 0.1, 4, 3 * MSP_SECOND},
};

static void
a_leaving_member_is_out_of_rank_in_time(void **state)
{
	size_t i;
	uint64_t seed;

	(void)state;
	for (i = 0; i < sizeof(leave_cases) / sizeof(leave_cases[0]); i++) {
		const seeded_case_t *row = &leave_cases[i];
		msp_time_t longest = 0;

		for (seed = 1; seed <= row->seeds; seed++) {
			net_t *net = started_net(row->nodes, seed, row->loss);
			size_t node = seed % row->nodes;
			msp_time_t start = net->now;

			msp_leave_membership(net->nodes[node].membership);
			while (is_ranked(net, node) &&
			    net->now - start < 10 * MSP_SECOND)
				run_net(net, 100 * MSP_MS);
			if (net->now - start > longest)
				longest = net->now - start;
			drop_net(net);
		}
		print_message("%zu members, loss %.0f%%, %llu seeds: out of "
			      "rank after %.1f s at most\n",
		    row->nodes, row->loss * 100, (unsigned long long)row->seeds,
		    (double)longest / MSP_SECOND);
		assert_in_range(longest, 0, row->bound);
	}
}

static const seeded_case_t restart_cases[] = {
    {4, 0, 10, 10 * MSP_SECOND},
    {23, 0, 10, 10 * MSP_SECOND},
    {23, 0.1, 10, 15 * MSP_SECOND},
    {128, 0, 2, 15 * MSP_SECOND},
};

static void
a_new_incarnation_is_known_everywhere(void **state)
{
	size_t i;
	uint64_t seed;

	(void)state;
	for (i = 0; i < sizeof(restart_cases) / sizeof(restart_cases[0]); i++) {
		const seeded_case_t *row = &restart_cases[i];

		for (seed = 1; seed <= row->seeds; seed++) {
			net_t *net = started_net(row->nodes, seed, row->loss);

			kill_node(net, 1);
			run_net(net, seed * MSP_SECOND);
			start_node(net, 1);
			assert_in_range(
			    run_until_agreed(net, JOIN_BOUND), 0, row->bound);
			drop_net(net);
		}
	}
}

/* The new process's clock is an hour behind the old one's. */
static void
a_clock_set_back_is_made_up_for(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 10; seed++) {
		net_t *net = started_net(12, seed, 0);

		kill_node(net, 4);
		run_net(net, seed * 4 * MSP_SECOND);
		net->clock_offset = 60 * MSP_MINUTE;
		start_node(net, 4);
		assert_in_range(
		    run_until_agreed(net, JOIN_BOUND), 0, 10 * MSP_SECOND);
		drop_net(net);
	}
}

static const seeded_case_t freeze_cases[] = {
    {2, 0, 20, 10 * MSP_SECOND},
    {4, 0, 10, 10 * MSP_SECOND},
    {23, 0, 10, 10 * MSP_SECOND},
    {23, 0.1, 10, 10 * MSP_SECOND},
    {128, 0, 2, 15 * MSP_SECOND},
};

/* Frozen for 5 s it must not trust what it knows when it wakes. */
static void
a_woken_member_waits_for_its_peers(void **state)
{
	size_t i;
	uint64_t seed;

	(void)state;
	for (i = 0; i < sizeof(freeze_cases) / sizeof(freeze_cases[0]); i++) {
		const seeded_case_t *row = &freeze_cases[i];

		for (seed = 1; seed <= row->seeds; seed++) {
			net_t *net = started_net(row->nodes, seed, row->loss);
			const msp_membership_t *frozen =
			    net->nodes[1].membership;
			msp_time_t start;

			assert_false(msp_membership_is_paused(frozen));
			/* Answers are on their way when it freezes. */
			net->delay = 80 * MSP_MS;
			run_net(net, 2 * MSP_SECOND);
			freeze_node(net, 1);
			run_net(net, 5 * MSP_SECOND);
			assert_true(msp_membership_is_paused(frozen));
			wake_node(net, 1);
			/* Old messages wait in its socket; none counts. */
			run_net(net, 1);
			assert_true(msp_membership_is_paused(frozen));
			start = net->now;
			while (msp_membership_is_paused(frozen) &&
			    net->now - start < row->bound)
				run_net(net, 10 * MSP_MS);
			assert_in_range(net->now - start, 1, 5 * MSP_SECOND);
			assert_in_range(
			    run_until_agreed(net, JOIN_BOUND), 0, row->bound);
			drop_net(net);
		}
	}
}

static const seeded_case_t partition_cases[] = {
    {4, 0, 5, 20 * MSP_SECOND},
    {23, 0, 5, 20 * MSP_SECOND},
    {23, 0.1, 5, 20 * MSP_SECOND},
    {128, 0, 1, 30 * MSP_SECOND},
};

static void
halves_part_and_meet_again(void **state)
{
	size_t i;
	size_t j;
	uint64_t seed;

	(void)state;
	for (i = 0; i < sizeof(partition_cases) / sizeof(partition_cases[0]);
	     i++) {
		const seeded_case_t *row = &partition_cases[i];
		msp_time_t longest = 0;

		for (seed = 1; seed <= row->seeds; seed++) {
			net_t *net = started_net(row->nodes, seed, row->loss);
			msp_time_t took;

			for (j = 0; j < row->nodes / 2; j++)
				net->nodes[j].side = 1;
			assert_in_range(run_until_agreed(net, MSP_MINUTE), 0,
			    30 * MSP_SECOND);
			run_net(net, 4 * MSP_MINUTE);
			assert_true(net_agrees(net));
			for (j = 0; j < row->nodes; j++)
				net->nodes[j].side = 0;
			took = run_until_agreed(net, MSP_MINUTE);
			assert_in_range(took, 0, row->bound);
			if (took > longest)
				longest = took;
			drop_net(net);
		}
		print_message("%zu members, loss %.0f%%: healed in %.1f s "
			      "at most\n",
		    row->nodes, row->loss * 100, (double)longest / MSP_SECOND);
	}
}

/* Hours under faults of the network, all members running. */
typedef struct endurance_case {
	const char *name;
	size_t nodes;
	double loss;
	double doubled;
	double late;
	msp_time_t span;
	uint64_t false_dead_max;
} endurance_case_t;

static const endurance_case_t endurance_cases[] = {
    {"no fault", 23, 0, 0, 0, 10 * MSP_MINUTE, 0},
    {"2% lost", 23, 0.02, 0, 0, 20 * MSP_MINUTE, 0},
    {"10% lost", 23, 0.1, 0, 0, 120 * MSP_MINUTE, 0},
    {"doubled and late", 23, 0, 0.3, 0.2, 20 * MSP_MINUTE, 0},
    {"10% lost, doubled and late", 23, 0.1, 0.3, 0.2, 20 * MSP_MINUTE, 0},
    {"10% lost", 128, 0.1, 0, 0, 5 * MSP_MINUTE, 0},
    {"30% lost", 23, 0.3, 0, 0, 20 * MSP_MINUTE, 4},
};

static void
nobody_is_taken_for_dead(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(endurance_cases) / sizeof(endurance_cases[0]);
	     i++) {
		const endurance_case_t *row = &endurance_cases[i];
		net_t *net = started_net(row->nodes, 100 + i, row->loss);

		net->duplicated = row->doubled;
		net->late = row->late;
		net->late_max = 3 * MSP_SECOND;
		net->watch = true;
		run_net(net, row->span);
		print_message("%s, %zu members, %llu min: %llu false deaths, "
			      "%.2f false suspicions a member and hour\n",
		    row->name, row->nodes,
		    (unsigned long long)(row->span / MSP_MINUTE),
		    (unsigned long long)net->false_dead,
		    (double)net->false_suspect / (double)row->nodes /
			(double)row->nodes /
			((double)row->span / (60 * MSP_MINUTE)));
		assert_in_range(net->false_dead, 0, row->false_dead_max);
		drop_net(net);
	}
}

/* The platform's list names VMs that are gone, and lacks new ones. */
static void
a_lagging_list_only_suggests(void **state)
{
	net_t *net = started_net(23, 9, 0);
	msp_seed_t seeds[23] = {0};
	uint64_t messages;
	size_t i;

	(void)state;
	for (i = 0; i < 23; i++) {
		memcpy(seeds[i].address, net->nodes[i].address,
		    sizeof(seeds[i].address));
		seeds[i].peer_port = net->nodes[i].peer_port;
	}
	for (i = 0; i < 10; i++)
		kill_node(net, i);
	for (i = 10; i < 23; i++)
		msp_set_discovered_seeds(net->nodes[i].membership, seeds, 23);
	assert_in_range(run_until_agreed(net, MSP_MINUTE), 0, 30 * MSP_SECOND);
	run_net(net, 40 * MSP_MINUTE);
	assert_true(net_agrees(net));
	messages = net->nodes[22].messages_out;
	run_net(net, MSP_MINUTE);
	assert_true(net_agrees(net));
	/* Two messages a period, and few for the seeds that are silent. */
	assert_in_range(net->nodes[22].messages_out - messages, 60, 240);
	/* One whose settings name only dead VMs is found through the list. */
	start_node(net, 0);
	msp_set_discovered_seeds(net->nodes[0].membership, seeds + 1, 12);
	assert_in_range(run_until_agreed(net, MSP_MINUTE), 0, 30 * MSP_SECOND);
	drop_net(net);
}

#define REPLACED_A_DAY 250

/* VMs are replaced at the rate of the whole fleet, in one data centre. */
static void
replacements_settle(void **state)
{
	net_t *net = started_net(23, 11, 0.02);
	msp_time_t between = 24 * 60 * MSP_MINUTE / REPLACED_A_DAY;
	uint64_t i;

	(void)state;
	net->watch = true;
	for (i = 0; i < 40; i++) {
		size_t node = msp_next_random(&net->rng) % 23;

		if (i % 2 == 0)
			msp_leave_membership(net->nodes[node].membership);
		run_net(net, 5 * MSP_SECOND);
		kill_node(net, node);
		run_net(net, msp_next_random(&net->rng) % (20 * MSP_SECOND));
		start_node(net, node);
		assert_in_range(
		    run_until_agreed(net, MSP_MINUTE), 0, 20 * MSP_SECOND);
		run_net(net, between - 25 * MSP_SECOND);
	}
	assert_int_equal(net->false_dead, 0);
	drop_net(net);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_leaving_member_is_out_of_rank_in_time),
	    cmocka_unit_test(a_new_incarnation_is_known_everywhere),
	    cmocka_unit_test(a_clock_set_back_is_made_up_for),
	    cmocka_unit_test(a_woken_member_waits_for_its_peers),
	    cmocka_unit_test(halves_part_and_meet_again),
	    cmocka_unit_test(nobody_is_taken_for_dead),
	    cmocka_unit_test(a_lagging_list_only_suggests),
	    cmocka_unit_test(replacements_settle),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
