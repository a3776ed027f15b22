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

static gossip_net_t *
started_net(size_t nodes, uint64_t seed, double loss)
{
	gossip_net_t *net = new_gossip_net(nodes, seed);
	size_t i;

	net->loss_rate = loss;
	for (i = 0; i < nodes; i++)
		start_gossip_node(net, i);
	run_until_converged(net, JOIN_BOUND);
	assert_true(is_gossip_net_converged(net));
	return net;
}

/* A net that is run with the seeds 1 to `seeds`. */
typedef struct seeded_case {
	size_t nodes;
	double loss;
	uint64_t seeds;
	msp_time_t bound; /* longest time allowed */
} seeded_case_t;

/* Whether any member still ranks the node. */
static bool
is_ranked(const gossip_net_t *net, size_t node)
{
	const msp_member_t *ranked[GOSSIP_NODES_MAX];
	size_t i;
	size_t j;

	for (i = 0; i < net->count; i++) {
		size_t count;

		if (net->nodes[i].membership == NULL)
			continue;
		count = msp_rank_members(net->nodes[i].membership, SERVICE,
		    "dc1", 0, ranked, GOSSIP_NODES_MAX);
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
leaving_member_is_unranked_in_time(void **state)
{
	size_t i;
	uint64_t seed;

	(void)state;
	for (i = 0; i < sizeof(leave_cases) / sizeof(leave_cases[0]); i++) {
		const seeded_case_t *row = &leave_cases[i];
		msp_time_t longest = 0;

		for (seed = 1; seed <= row->seeds; seed++) {
			gossip_net_t *net =
			    started_net(row->nodes, seed, row->loss);
			size_t node = seed % row->nodes;
			msp_time_t start = net->now;

			msp_leave_membership(net->nodes[node].membership);
			while (is_ranked(net, node) &&
			    net->now - start < 10 * MSP_SECOND)
				run_gossip_net(net, 100 * MSP_MS);
			if (net->now - start > longest)
				longest = net->now - start;
			drop_gossip_net(net);
		}
		print_message("%zu members, loss %.0f%%, %llu seeds: out of "
			      "the ranking after %.1f s at most\n",
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
new_incarnation_is_learned_by_all(void **state)
{
	size_t i;
	uint64_t seed;

	(void)state;
	for (i = 0; i < sizeof(restart_cases) / sizeof(restart_cases[0]); i++) {
		const seeded_case_t *row = &restart_cases[i];

		for (seed = 1; seed <= row->seeds; seed++) {
			gossip_net_t *net =
			    started_net(row->nodes, seed, row->loss);

			kill_gossip_node(net, 1);
			run_gossip_net(net, seed * MSP_SECOND);
			start_gossip_node(net, 1);
			assert_in_range(run_until_converged(net, JOIN_BOUND), 0,
			    row->bound);
			drop_gossip_net(net);
		}
	}
}

/*
 * The clock of the restarted process is an hour behind, so its incarnation is
 * lower than the one the others know.
 */
static void
restart_with_an_earlier_clock_is_accepted(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 10; seed++) {
		gossip_net_t *net = started_net(12, seed, 0);

		kill_gossip_node(net, 4);
		run_gossip_net(net, seed * 4 * MSP_SECOND);
		net->clock_lag = 60 * MSP_MINUTE;
		start_gossip_node(net, 4);
		assert_in_range(
		    run_until_converged(net, JOIN_BOUND), 0, 10 * MSP_SECOND);
		drop_gossip_net(net);
	}
}

static const seeded_case_t freeze_cases[] = {
    {2, 0, 20, 10 * MSP_SECOND},
    {4, 0, 10, 10 * MSP_SECOND},
    {23, 0, 10, 10 * MSP_SECOND},
    {23, 0.1, 10, 10 * MSP_SECOND},
    {128, 0, 2, 15 * MSP_SECOND},
};

/*
 * After a pause of 5 s, a member must not rely on its view until peers answer.
 */
static void
resumed_member_waits_for_its_peers(void **state)
{
	size_t i;
	uint64_t seed;

	(void)state;
	for (i = 0; i < sizeof(freeze_cases) / sizeof(freeze_cases[0]); i++) {
		const seeded_case_t *row = &freeze_cases[i];

		for (seed = 1; seed <= row->seeds; seed++) {
			gossip_net_t *net =
			    started_net(row->nodes, seed, row->loss);
			const msp_membership_t *member =
			    net->nodes[1].membership;
			msp_time_t start;

			assert_false(msp_membership_is_paused(member));
			/* Answers are in transit when the process pauses. */
			net->delay = 80 * MSP_MS;
			run_gossip_net(net, 2 * MSP_SECOND);
			freeze_gossip_node(net, 1);
			run_gossip_net(net, 5 * MSP_SECOND);
			assert_true(msp_membership_is_paused(member));
			resume_gossip_node(net, 1);
			/* Messages from before the pause must not end it. */
			run_gossip_net(net, 1);
			assert_true(msp_membership_is_paused(member));
			start = net->now;
			while (msp_membership_is_paused(member) &&
			    net->now - start < row->bound)
				run_gossip_net(net, 10 * MSP_MS);
			assert_in_range(net->now - start, 1, 5 * MSP_SECOND);
			assert_in_range(run_until_converged(net, JOIN_BOUND), 0,
			    row->bound);
			drop_gossip_net(net);
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
partition_heals(void **state)
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
			gossip_net_t *net =
			    started_net(row->nodes, seed, row->loss);
			msp_time_t took;

			for (j = 0; j < row->nodes / 2; j++)
				net->nodes[j].partition = 1;
			assert_in_range(run_until_converged(net, MSP_MINUTE), 0,
			    30 * MSP_SECOND);
			run_gossip_net(net, 4 * MSP_MINUTE);
			assert_true(is_gossip_net_converged(net));
			for (j = 0; j < row->nodes; j++)
				net->nodes[j].partition = 0;
			took = run_until_converged(net, MSP_MINUTE);
			assert_in_range(took, 0, row->bound);
			if (took > longest)
				longest = took;
			drop_gossip_net(net);
		}
		print_message("%zu members, loss %.0f%%: healed in %.1f s "
			      "at most\n",
		    row->nodes, row->loss * 100, (double)longest / MSP_SECOND);
	}
}

/*
 * Minutes to hours of network faults while all members run; the rates are
 * fractions of the messages.
 */
typedef struct endurance_case {
	const char *name;
	size_t nodes;
	double loss;
	double duplicates;
	double late;
	msp_time_t span;
	uint64_t false_dead_max;
} endurance_case_t;

static const endurance_case_t endurance_cases[] = {
    {"no fault", 23, 0, 0, 0, 10 * MSP_MINUTE, 0},
    {"2% lost", 23, 0.02, 0, 0, 20 * MSP_MINUTE, 0},
    {"10% lost", 23, 0.1, 0, 0, 120 * MSP_MINUTE, 0},
    {"duplicated and late", 23, 0, 0.3, 0.2, 20 * MSP_MINUTE, 0},
    {"10% lost, duplicated and late", 23, 0.1, 0.3, 0.2, 20 * MSP_MINUTE, 0},
    {"10% lost", 128, 0.1, 0, 0, 5 * MSP_MINUTE, 0},
    {"30% lost", 23, 0.3, 0, 0, 20 * MSP_MINUTE, 4},
};

static void
live_members_are_not_declared_dead(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(endurance_cases) / sizeof(endurance_cases[0]);
	     i++) {
		const endurance_case_t *row = &endurance_cases[i];
		gossip_net_t *net = started_net(row->nodes, 100 + i, row->loss);

		net->duplicate_rate = row->duplicates;
		net->late_rate = row->late;
		net->late_max = 3 * MSP_SECOND;
		net->count_false_detections = true;
		run_gossip_net(net, row->span);
		print_message("%s, %zu members, %llu min: %llu false deaths, "
			      "%.2f false suspicions per member and hour\n",
		    row->name, row->nodes,
		    (unsigned long long)(row->span / MSP_MINUTE),
		    (unsigned long long)net->false_dead,
		    (double)net->false_suspect / (double)row->nodes /
			(double)row->nodes /
			((double)row->span / (60 * MSP_MINUTE)));
		assert_in_range(net->false_dead, 0, row->false_dead_max);
		drop_gossip_net(net);
	}
}

/* The platform's list names VMs that are gone and lacks new ones. */
static void
outdated_vm_list_is_tolerated(void **state)
{
	gossip_net_t *net = started_net(23, 9, 0);
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
		kill_gossip_node(net, i);
	for (i = 10; i < 23; i++)
		msp_set_discovered_seeds(net->nodes[i].membership, seeds, 23);
	assert_in_range(
	    run_until_converged(net, MSP_MINUTE), 0, 30 * MSP_SECOND);
	run_gossip_net(net, 40 * MSP_MINUTE);
	assert_true(is_gossip_net_converged(net));
	messages = net->nodes[22].messages_out;
	run_gossip_net(net, MSP_MINUTE);
	assert_true(is_gossip_net_converged(net));
	/* Two messages per period, and few to seeds that do not answer. */
	assert_in_range(net->nodes[22].messages_out - messages, 60, 240);
	/* A VM whose settings name only dead VMs joins by the list. */
	start_gossip_node(net, 0);
	msp_set_discovered_seeds(net->nodes[0].membership, seeds + 1, 12);
	assert_in_range(
	    run_until_converged(net, MSP_MINUTE), 0, 30 * MSP_SECOND);
	drop_gossip_net(net);
}

#define REPLACEMENTS_PER_DAY 250

/* One data centre has the rate of replacements of all data centres together. */
static void
views_converge_after_replacements(void **state)
{
	gossip_net_t *net = started_net(23, 11, 0.02);
	msp_time_t interval = 24 * 60 * MSP_MINUTE / REPLACEMENTS_PER_DAY;
	uint64_t i;

	(void)state;
	net->count_false_detections = true;
	for (i = 0; i < 40; i++) {
		size_t node = msp_next_random(&net->rng) % 23;

		if (i % 2 == 0)
			msp_leave_membership(net->nodes[node].membership);
		run_gossip_net(net, 5 * MSP_SECOND);
		kill_gossip_node(net, node);
		run_gossip_net(
		    net, msp_next_random(&net->rng) % (20 * MSP_SECOND));
		start_gossip_node(net, node);
		assert_in_range(
		    run_until_converged(net, MSP_MINUTE), 0, 20 * MSP_SECOND);
		run_gossip_net(net, interval - 25 * MSP_SECOND);
	}
	assert_int_equal(net->false_dead, 0);
	drop_gossip_net(net);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(leaving_member_is_unranked_in_time),
	    cmocka_unit_test(new_incarnation_is_learned_by_all),
	    cmocka_unit_test(restart_with_an_earlier_clock_is_accepted),
	    cmocka_unit_test(resumed_member_waits_for_its_peers),
	    cmocka_unit_test(partition_heals),
	    cmocka_unit_test(live_members_are_not_declared_dead),
	    cmocka_unit_test(outdated_vm_list_is_tolerated),
	    cmocka_unit_test(views_converge_after_replacements),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
