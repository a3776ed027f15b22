#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "gossip_net.h"

#define CONVERGENCE_BOUND (30 * MSP_SECOND)

/* Members that are all started at once. */
typedef struct start_case {
	size_t nodes;
	uint64_t seed;
	double loss;
} start_case_t;

static const start_case_t start_cases[] = {
    {2, 1, 0},
    {4, 2, 0},
    {23, 3, 0},
    {23, 4, 0.1},
    {23, 5, 0.3},
    {128, 6, 0},
    {128, 7, 0.1},
};

static gossip_net_t *
started_net(size_t nodes, uint64_t seed)
{
	gossip_net_t *net = new_gossip_net(nodes, seed);
	size_t i;

	for (i = 0; i < nodes; i++)
		start_gossip_node(net, i);
	run_until_converged(net, CONVERGENCE_BOUND);
	assert_true(is_gossip_net_converged(net));
	return net;
}

static void
members_discover_each_other(void **state)
{
	size_t i;
	size_t j;

	(void)state;
	for (i = 0; i < sizeof(start_cases) / sizeof(start_cases[0]); i++) {
		const start_case_t *row = &start_cases[i];
		gossip_net_t *net = new_gossip_net(row->nodes, row->seed);
		msp_time_t took;

		net->loss_rate = row->loss;
		for (j = 0; j < row->nodes; j++)
			start_gossip_node(net, j);
		took = run_until_converged(net, CONVERGENCE_BOUND);
		print_message("%zu members, loss %.0f%%: all joined after "
			      "%.1f s\n",
		    row->nodes, row->loss * 100, (double)took / MSP_SECOND);
		assert_true(is_gossip_net_converged(net));
		assert_in_range(net->largest_message, 1, 1400);
		drop_gossip_net(net);
	}
}

static void
killed_member_is_declared_dead_by_all(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 20; seed++) {
		gossip_net_t *net = started_net(23, seed);

		kill_gossip_node(net, 5);
		assert_in_range(run_until_converged(net, 20 * MSP_SECOND), 0,
		    10 * MSP_SECOND);
		drop_gossip_net(net);
	}
}

/* A suspect no longer ranks before alive members. */
static void
killed_member_is_suspected_soon(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 20; seed++) {
		gossip_net_t *net = started_net(23, seed);
		msp_time_t start;
		size_t unaware = 22;
		size_t i;

		run_gossip_net(net, MSP_MINUTE);
		start = net->now;
		kill_gossip_node(net, 5);
		while (unaware > 0 && net->now - start < MSP_MINUTE) {
			run_gossip_net(net, 100 * MSP_MS);
			unaware = 0;
			for (i = 0; i < 23; i++)
				unaware += i != 5 &&
				    get_observed_state(net, i, 5) ==
					MSP_MEMBER_ALIVE;
		}
		assert_in_range(net->now - start, 0, 4 * MSP_SECOND);
		drop_gossip_net(net);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(members_discover_each_other),
	    cmocka_unit_test(killed_member_is_declared_dead_by_all),
	    cmocka_unit_test(killed_member_is_suspected_soon),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
