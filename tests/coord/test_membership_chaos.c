#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "gossip_net.h"

#define SETTLE_BOUND (60 * MSP_SECOND)
#define FAULTS 40

/*
 * A network with random faults, some of them at the same time, until all are
 * cleared. The rates are fractions of the messages.
 */
typedef struct chaos_case {
	size_t members;
	double loss;
	double duplicates;
	double late;
	uint64_t seeds;
} chaos_case_t;

static const chaos_case_t chaos_cases[] = {
    {4, 0, 0, 0, 20},
    {12, 0.05, 0.1, 0.1, 20},
    {23, 0.1, 0, 0, 5},
};

static void
partition_network(gossip_net_t *net)
{
	size_t i;

	for (i = 0; i < net->count; i++)
		net->nodes[i].partition = msp_next_random(&net->rng) % 2;
}

static void
heal_partition(gossip_net_t *net)
{
	size_t i;

	for (i = 0; i < net->count; i++)
		net->nodes[i].partition = 0;
}

static void
inject_fault(gossip_net_t *net)
{
	size_t index = msp_next_random(&net->rng) % net->count;
	gossip_node_t *node = &net->nodes[index];

	switch (msp_next_random(&net->rng) % 7) {
	case 0:
		kill_gossip_node(net, index);
		break;
	case 1:
		if (node->membership != NULL && !node->frozen)
			freeze_gossip_node(net, index);
		break;
	case 2:
		if (node->frozen)
			resume_gossip_node(net, index);
		break;
	case 3:
		if (node->membership != NULL && !node->frozen)
			msp_leave_membership(node->membership);
		break;
	case 4:
		partition_network(net);
		break;
	case 5:
		heal_partition(net);
		break;
	default:
		if (node->membership == NULL)
			start_gossip_node(net, index);
		break;
	}
}

static void
clear_faults(gossip_net_t *net)
{
	size_t i;

	heal_partition(net);
	for (i = 0; i < net->count; i++) {
		if (net->nodes[i].frozen)
			resume_gossip_node(net, i);
		if (net->nodes[i].membership == NULL)
			start_gossip_node(net, i);
	}
}

static void
views_converge_after_faults(void **state)
{
	size_t i;
	uint64_t seed;

	(void)state;
	for (i = 0; i < sizeof(chaos_cases) / sizeof(chaos_cases[0]); i++) {
		const chaos_case_t *row = &chaos_cases[i];
		msp_time_t longest = 0;

		for (seed = 1; seed <= row->seeds; seed++) {
			gossip_net_t *net = new_gossip_net(row->members, seed);
			msp_time_t took;
			size_t j;

			net->loss_rate = row->loss;
			net->duplicate_rate = row->duplicates;
			net->late_rate = row->late;
			net->late_max = 2 * MSP_SECOND;
			for (j = 0; j < row->members; j++)
				start_gossip_node(net, j);
			for (j = 0; j < FAULTS; j++) {
				inject_fault(net);
				run_gossip_net(net,
				    msp_next_random(&net->rng) %
					(8 * MSP_SECOND));
			}
			clear_faults(net);
			took = run_until_converged(net, 3 * SETTLE_BOUND);
			if (took > SETTLE_BOUND)
				print_message("seed %llu: %.1f s\n",
				    (unsigned long long)seed,
				    (double)took / MSP_SECOND);
			assert_in_range(took, 0, SETTLE_BOUND);
			if (took > longest)
				longest = took;
			drop_gossip_net(net);
		}
		print_message("%zu members, %llu seeds: agreed after %.1f s "
			      "at most\n",
		    row->members, (unsigned long long)row->seeds,
		    (double)longest / MSP_SECOND);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(views_converge_after_faults),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
