#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "gossip_net.h"

#define MEMBERS 8
#define SHARDS 4000
#define SERVICE "eligibility-desk"

static gossip_net_t *
converged_net(void)
{
	gossip_net_t *net = new_gossip_net(MEMBERS, 3);
	size_t i;

	for (i = 0; i < MEMBERS; i++)
		start_gossip_node(net, i);
	run_gossip_net(net, 30 * MSP_SECOND);
	assert_true(is_gossip_net_converged(net));
	return net;
}

static const msp_member_t *
get_first_ranked(const gossip_net_t *net, size_t node, uint32_t shard)
{
	const msp_member_t *first = NULL;

	assert_int_equal(msp_rank_members(net->nodes[node].membership, SERVICE,
			     "dc1", shard, &first, 1),
	    1);
	return first;
}

static void
all_members_agree_on_the_ranking(void **state)
{
	gossip_net_t *net = converged_net();
	const msp_member_t *ranked[MEMBERS];
	const msp_member_t *other[MEMBERS];
	uint32_t shard;
	size_t i;
	size_t j;

	(void)state;
	for (shard = 0; shard < 50; shard++) {
		assert_int_equal(msp_rank_members(net->nodes[0].membership,
				     SERVICE, "dc1", shard, ranked, MEMBERS),
		    MEMBERS);
		for (i = 1; i < MEMBERS; i++) {
			msp_rank_members(net->nodes[i].membership, SERVICE,
			    "dc1", shard, other, MEMBERS);
			for (j = 0; j < MEMBERS; j++)
				assert_string_equal(
				    ranked[j]->name, other[j]->name);
		}
	}
	/* A shorter list has the first members of the full one. */
	assert_int_equal(msp_rank_members(net->nodes[0].membership, SERVICE,
			     "dc1", 49, other, 3),
	    3);
	for (j = 0; j < 3; j++)
		assert_ptr_equal(ranked[j], other[j]);
	assert_int_equal(msp_rank_members(net->nodes[0].membership, SERVICE,
			     "dc1", 0, other, 0),
	    0);
	drop_gossip_net(net);
}

/* Shards are spread evenly, and only those of a lost member move. */
static void
only_shards_of_the_lost_member_move(void **state)
{
	gossip_net_t *net = converged_net();
	static char before[SHARDS][MSP_MEMBER_NAME_SIZE];
	size_t counts[MEMBERS] = {0};
	uint32_t shard;
	size_t i;

	(void)state;
	for (shard = 0; shard < SHARDS; shard++) {
		const msp_member_t *first = get_first_ranked(net, 0, shard);

		memcpy(before[shard], first->name, sizeof(before[shard]));
		for (i = 0; i < MEMBERS; i++)
			counts[i] +=
			    strcmp(first->name, net->nodes[i].name) == 0;
	}
	for (i = 0; i < MEMBERS; i++)
		assert_in_range(counts[i], SHARDS / MEMBERS * 85 / 100,
		    SHARDS / MEMBERS * 115 / 100);
	msp_report_refused_connection(
	    net->nodes[0].membership, net->nodes[5].name);
	for (shard = 0; shard < SHARDS; shard++) {
		const msp_member_t *first = get_first_ranked(net, 0, shard);

		assert_string_not_equal(first->name, net->nodes[5].name);
		if (strcmp(before[shard], net->nodes[5].name) != 0)
			assert_string_equal(first->name, before[shard]);
	}
	drop_gossip_net(net);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(all_members_agree_on_the_ranking),
	    cmocka_unit_test(only_shards_of_the_lost_member_move),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
