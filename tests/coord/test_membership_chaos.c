#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "gossip_net.h"

#define SETTLE_BOUND (60 * MSP_SECOND)
#define STEPS 40

/* Random faults, also at once, until all is mended. */
typedef struct chaos_case {
	size_t members;
	double loss;
	double doubled;
	double late;
	uint64_t seeds;
} chaos_case_t;

static const chaos_case_t chaos_cases[] = {
    {4, 0, 0, 0, 20},
    {12, 0.05, 0.1, 0.1, 20},
    {23, 0.1, 0, 0, 5},
};

static void
split(net_t *net)
{
	size_t i;

	for (i = 0; i < net->count; i++)
		net->nodes[i].side = msp_next_random(&net->rng) % 2;
}

static void
join(net_t *net)
{
	size_t i;

	for (i = 0; i < net->count; i++)
		net->nodes[i].side = 0;
}

static void
disturb(net_t *net)
{
	size_t index = msp_next_random(&net->rng) % net->count;
	net_node_t *node = &net->nodes[index];

	switch (msp_next_random(&net->rng) % 7) {
	case 0:
		kill_node(net, index);
		break;
	case 1:
		if (node->membership != NULL && !node->frozen)
			freeze_node(net, index);
		break;
	case 2:
		if (node->frozen)
			wake_node(net, index);
		break;
	case 3:
		if (node->membership != NULL && !node->frozen)
			msp_leave_membership(node->membership);
		break;
	case 4:
		split(net);
		break;
	case 5:
		join(net);
		break;
	default:
		if (node->membership == NULL)
			start_node(net, index);
		break;
	}
}

static void
mend(net_t *net)
{
	size_t i;

	join(net);
	for (i = 0; i < net->count; i++) {
		if (net->nodes[i].frozen)
			wake_node(net, i);
		if (net->nodes[i].membership == NULL)
			start_node(net, i);
	}
}

static void
all_agree_when_all_is_mended(void **state)
{
	size_t i;
	uint64_t seed;

	(void)state;
	for (i = 0; i < sizeof(chaos_cases) / sizeof(chaos_cases[0]); i++) {
		const chaos_case_t *row = &chaos_cases[i];
		msp_time_t longest = 0;

		for (seed = 1; seed <= row->seeds; seed++) {
			net_t *net = new_net(row->members, seed);
			msp_time_t took;
			size_t j;

			net->loss = row->loss;
			net->duplicated = row->doubled;
			net->late = row->late;
			net->late_max = 2 * MSP_SECOND;
			for (j = 0; j < row->members; j++)
				start_node(net, j);
			for (j = 0; j < STEPS; j++) {
				disturb(net);
				run_net(net,
				    msp_next_random(&net->rng) %
					(8 * MSP_SECOND));
			}
			mend(net);
			took = run_until_agreed(net, 3 * SETTLE_BOUND);
			if (took > SETTLE_BOUND)
				print_message("seed %llu: %.1f s\n",
				    (unsigned long long)seed,
				    (double)took / MSP_SECOND);
			assert_in_range(took, 0, SETTLE_BOUND);
			if (took > longest)
				longest = took;
			drop_net(net);
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
	    cmocka_unit_test(all_agree_when_all_is_mended),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
