#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "gossip_net.h"
#include "monsoonspindle/steer.h"

#define VMS 24
#define PLACES 6
#define CLIENTS 4000
#define SETTLED (30 * MSP_SECOND)

static const char *drained_place;

static bool
is_drained(void *ctx, const char *place)
{
	(void)ctx;
	return drained_place != NULL && strcmp(place, drained_place) == 0;
}

/* 24 VMs in 6 places of 3 regions; nodes 0 to 3 are dc-00 in region-00. */
static gossip_net_t *
start_settled_net(uint64_t seed)
{
	gossip_net_t *net = new_gossip_net(VMS, seed);
	size_t i;

	drained_place = NULL;
	net->with_relays = true;
	assign_node_places(net, PLACES, 3);
	for (i = 0; i < VMS; i++)
		start_gossip_node(net, i);
	run_gossip_net(net, SETTLED);
	return net;
}

static msp_lookup_result_t
locate(
    const gossip_net_t *net, size_t node, const char *place, const char *client)
{
	static const char *const regions[] = {
	    "region-02", "region-01", "region-00"};
	msp_lookup_t lookup = {
	    .service = "records-vault",
	    .client = client,
	    .place = place,
	    .regions = regions,
	    .region_count = 3,
	    .is_drained = is_drained,
	};
	msp_lookup_result_t result;

	assert_int_equal(msp_locate_entries(net->nodes[node].membership,
			     net->nodes[node].relay, &lookup, &result),
	    MSP_OK);
	return result;
}

static size_t
count_entries_in(const msp_lookup_result_t *result, const char *place)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < result->count; i++)
		count += strcmp(result->entries[i].place, place) == 0;
	return count;
}

static bool
has_entry(const msp_lookup_result_t *result, const char *name)
{
	size_t i;

	for (i = 0; i < result->count; i++) {
		if (strcmp(result->entries[i].name, name) == 0)
			return true;
	}
	return false;
}

static void
near_entries_come_first(void **state)
{
	gossip_net_t *net = start_settled_net(1);
	msp_lookup_result_t result = locate(net, 0, NULL, "client");
	size_t i;

	(void)state;
	assert_int_equal(result.count, MSP_LOOKUP_ENTRIES_MAX);
	for (i = 0; i < 4; i++)
		assert_string_equal(result.entries[i].place, "dc-00");
	assert_int_equal(result.entries[0].kind, MSP_ENTRY_NEAR);
	assert_string_equal(result.entries[4].place, "dc-01");
	assert_int_equal(result.entries[4].kind, MSP_ENTRY_REGION);
	assert_string_equal(result.entries[5].region, "region-02");
	assert_int_equal(result.entries[5].kind, MSP_ENTRY_REMOTE);
	assert_true(result.ttl_ms > 0);
	drop_gossip_net(net);
}

static void
clients_of_another_place_are_sent_there(void **state)
{
	gossip_net_t *net = start_settled_net(2);
	msp_lookup_result_t result = locate(net, 0, "dc-03", "client");

	(void)state;
	assert_string_equal(result.entries[0].place, "dc-03");
	assert_int_equal(count_entries_in(&result, "dc-03"), 4);
	assert_true(count_entries_in(&result, "dc-02") >= 1);
	drop_gossip_net(net);
}

static void
leaving_and_suspect_members_are_left_out(void **state)
{
	gossip_net_t *net = start_settled_net(3);
	msp_lookup_result_t result;

	(void)state;
	msp_leave_membership(net->nodes[1].membership);
	run_gossip_net(net, 3 * MSP_SECOND);
	result = locate(net, 0, NULL, "client");
	assert_false(has_entry(&result, "vm-0001"));
	msp_report_refused_connection(net->nodes[0].membership, "vm-0002");
	result = locate(net, 0, NULL, "client");
	assert_false(has_entry(&result, "vm-0002"));
	assert_true(has_entry(&result, "vm-0003"));
	drop_gossip_net(net);
}

static void
drained_places_are_a_last_resort(void **state)
{
	gossip_net_t *net = start_settled_net(4);
	msp_lookup_result_t result;
	size_t i;

	(void)state;
	drained_place = "dc-00";
	result = locate(net, 0, NULL, "client");
	assert_int_equal(count_entries_in(&result, "dc-00"), 0);
	assert_string_equal(result.entries[0].place, "dc-01");
	for (i = 4; i < VMS; i++)
		kill_gossip_node(net, i);
	run_gossip_net(net, 2 * 60 * MSP_MINUTE);
	result = locate(net, 0, NULL, "client");
	assert_int_equal(result.count, 4);
	assert_int_equal(result.entries[0].kind, MSP_ENTRY_DRAINING);
	drop_gossip_net(net);
}

/* A partitioned place lists its own members before those of stale places. */
static void
a_partitioned_place_lists_its_own_vms(void **state)
{
	gossip_net_t *net = start_settled_net(5);
	msp_lookup_result_t result;
	size_t i;

	(void)state;
	for (i = 0; i < 4; i++)
		net->nodes[i].partition = 1;
	run_gossip_net(net, 5 * MSP_MINUTE);
	result = locate(net, 0, NULL, "client");
	assert_int_equal(count_entries_in(&result, "dc-00"), 4);
	result = locate(net, 0, "dc-03", "client");
	assert_string_equal(result.entries[0].place, "dc-00");
	drop_gossip_net(net);
}

static void
clients_are_spread_evenly(void **state)
{
	gossip_net_t *net = start_settled_net(6);
	size_t counts[4] = {0};
	char client[32];
	size_t i;
	size_t j;

	(void)state;
	for (i = 0; i < CLIENTS; i++) {
		msp_lookup_result_t result;

		snprintf(
		    client, sizeof(client), "10.1.%zu.%zu", i / 256, i % 256);
		result = locate(net, i % 4, NULL, client);
		for (j = 0; j < 4; j++)
			counts[j] += strcmp(result.entries[0].name,
					 net->nodes[j].name) == 0;
	}
	for (j = 0; j < 4; j++)
		assert_in_range(
		    counts[j], CLIENTS / 4 * 9 / 10, CLIENTS / 4 * 11 / 10);
	drop_gossip_net(net);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(near_entries_come_first),
	    cmocka_unit_test(clients_of_another_place_are_sent_there),
	    cmocka_unit_test(leaving_and_suspect_members_are_left_out),
	    cmocka_unit_test(drained_places_are_a_last_resort),
	    cmocka_unit_test(a_partitioned_place_lists_its_own_vms),
	    cmocka_unit_test(clients_are_spread_evenly),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
