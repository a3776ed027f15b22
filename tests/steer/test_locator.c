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
static net_t *
settled_net(uint64_t seed)
{
	net_t *net = new_net(VMS, seed);
	size_t i;

	drained_place = NULL;
	net->relays = true;
	place_nodes(net, PLACES, 3);
	for (i = 0; i < VMS; i++)
		start_node(net, i);
	run_net(net, SETTLED);
	return net;
}

static msp_lookup_result_t
locate(const net_t *net, size_t node, const char *place, const char *client)
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
	msp_lookup_result_t answer;

	assert_int_equal(msp_locate_entries(net->nodes[node].membership,
			     net->nodes[node].relay, &lookup, &answer),
	    MSP_OK);
	return answer;
}

static size_t
entries_in(const msp_lookup_result_t *answer, const char *place)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < answer->count; i++)
		count += strcmp(answer->entries[i].place, place) == 0;
	return count;
}

static bool
names(const msp_lookup_result_t *answer, const char *name)
{
	size_t i;

	for (i = 0; i < answer->count; i++) {
		if (strcmp(answer->entries[i].name, name) == 0)
			return true;
	}
	return false;
}

static void
near_entries_come_first(void **state)
{
	net_t *net = settled_net(1);
	msp_lookup_result_t answer = locate(net, 0, NULL, "client");
	size_t i;

	(void)state;
	assert_int_equal(answer.count, MSP_LOOKUP_ENTRIES_MAX);
	for (i = 0; i < 4; i++)
		assert_string_equal(answer.entries[i].place, "dc-00");
	assert_int_equal(answer.entries[0].kind, MSP_ENTRY_NEAR);
	assert_string_equal(answer.entries[4].place, "dc-01");
	assert_int_equal(answer.entries[4].kind, MSP_ENTRY_REGION);
	assert_string_equal(answer.entries[5].region, "region-02");
	assert_int_equal(answer.entries[5].kind, MSP_ENTRY_REMOTE);
	assert_true(answer.ttl_ms > 0);
	drop_net(net);
}

/* A client of another place is sent there. */
static void
the_place_of_the_client_counts(void **state)
{
	net_t *net = settled_net(2);
	msp_lookup_result_t answer = locate(net, 0, "dc-03", "client");

	(void)state;
	assert_string_equal(answer.entries[0].place, "dc-03");
	assert_int_equal(entries_in(&answer, "dc-03"), 4);
	assert_true(entries_in(&answer, "dc-02") >= 1);
	drop_net(net);
}

static void
leaving_and_suspect_members_are_left_out(void **state)
{
	net_t *net = settled_net(3);
	msp_lookup_result_t answer;

	(void)state;
	msp_leave_membership(net->nodes[1].membership);
	run_net(net, 3 * MSP_SECOND);
	answer = locate(net, 0, NULL, "client");
	assert_false(names(&answer, "vm-0001"));
	msp_report_refused_connection(net->nodes[0].membership, "vm-0002");
	answer = locate(net, 0, NULL, "client");
	assert_false(names(&answer, "vm-0002"));
	assert_true(names(&answer, "vm-0003"));
	drop_net(net);
}

static void
drained_places_are_a_last_resort(void **state)
{
	net_t *net = settled_net(4);
	msp_lookup_result_t answer;
	size_t i;

	(void)state;
	drained_place = "dc-00";
	answer = locate(net, 0, NULL, "client");
	assert_int_equal(entries_in(&answer, "dc-00"), 0);
	assert_string_equal(answer.entries[0].place, "dc-01");
	for (i = 4; i < VMS; i++)
		kill_node(net, i);
	run_net(net, 2 * 60 * MSP_MINUTE);
	answer = locate(net, 0, NULL, "client");
	assert_int_equal(answer.count, 4);
	assert_int_equal(answer.entries[0].kind, MSP_ENTRY_DRAINING);
	drop_net(net);
}

/* Cut off, it answers from its own members first and the stale ones after. */
static void
a_cut_off_place_serves_its_own(void **state)
{
	net_t *net = settled_net(5);
	msp_lookup_result_t answer;
	size_t i;

	(void)state;
	for (i = 0; i < 4; i++)
		net->nodes[i].side = 1;
	run_net(net, 5 * MSP_MINUTE);
	answer = locate(net, 0, NULL, "client");
	assert_int_equal(entries_in(&answer, "dc-00"), 4);
	answer = locate(net, 0, "dc-03", "client");
	assert_string_equal(answer.entries[0].place, "dc-00");
	drop_net(net);
}

static void
clients_are_spread_evenly(void **state)
{
	net_t *net = settled_net(6);
	size_t counts[4] = {0};
	char client[32];
	size_t i;
	size_t j;

	(void)state;
	for (i = 0; i < CLIENTS; i++) {
		msp_lookup_result_t answer;

		snprintf(
		    client, sizeof(client), "10.1.%zu.%zu", i / 256, i % 256);
		answer = locate(net, i % 4, NULL, client);
		for (j = 0; j < 4; j++)
			counts[j] += strcmp(answer.entries[0].name,
					 net->nodes[j].name) == 0;
	}
	for (j = 0; j < 4; j++)
		assert_in_range(
		    counts[j], CLIENTS / 4 * 9 / 10, CLIENTS / 4 * 11 / 10);
	drop_net(net);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(near_entries_come_first),
	    cmocka_unit_test(the_place_of_the_client_counts),
	    cmocka_unit_test(leaving_and_suspect_members_are_left_out),
	    cmocka_unit_test(drained_places_are_a_last_resort),
	    cmocka_unit_test(a_cut_off_place_serves_its_own),
	    cmocka_unit_test(clients_are_spread_evenly),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
