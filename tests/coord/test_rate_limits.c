#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/coord.h"

#define START (100 * MSP_SECOND)
#define FUZZ_SEEDS 20000

static msp_virtual_env_t venv;
static msp_env_t env;

static int
set_up(void **state)
{
	(void)state;
	venv = (msp_virtual_env_t){.now = START, .rng = {.state = 1}};
	env = msp_virtual_env(&venv);
	return 0;
}

static void
ask(msp_rate_owner_t *owner, double per_second, double burst, uint32_t wanted,
    msp_rate_grant_t *grant)
{
	msp_rate_ask_t question = {.name = "north",
	    .limit = {.per_second = per_second, .burst = burst},
	    .version = 1,
	    .wanted = wanted,
	    .arrived = wanted};

	msp_ask_rate_owner(owner, &question, grant);
}

static msp_rate_owner_t *
new_owner(size_t places, double slack)
{
	msp_rate_owner_options_t options = {
	    .place_count = places, .place = 0, .slack = slack};
	msp_rate_owner_t *owner = msp_new_rate_owner(&env, &options);

	assert_non_null(owner);
	msp_act_as_rate_owner(owner, true);
	return owner;
}

/*
 * A burst that was spent before must not be spent again: after a restart there
 * is what came in during a quarter of a second, and later nothing.
 */
static void
new_owner_starts_with_nothing_saved(void **state)
{
	msp_rate_owner_t *owner = new_owner(1, 0);
	msp_rate_grant_t grant;

	(void)state;
	ask(owner, 10, 50, 5, &grant);
	assert_int_equal(grant.granted, 2);
	assert_true(grant.wait > 0 && grant.wait <= MSP_SECOND);
	venv.now += 2 * MSP_SECOND;
	ask(owner, 10, 50, 100, &grant);
	assert_int_equal(grant.granted, 20);
	venv.now += MSP_MINUTE / 2;
	msp_act_as_rate_owner(owner, true);
	ask(owner, 10, 50, 100, &grant);
	assert_int_equal(grant.granted, 0);
	msp_drop_rate_owner(owner);
}

static void
saved_requests_are_bounded_by_the_burst(void **state)
{
	msp_rate_owner_t *owner = new_owner(1, 0);
	msp_rate_grant_t grant;
	unsigned int i;

	(void)state;
	for (i = 0; i < 10; i++) {
		venv.now += MSP_SECOND;
		msp_act_as_rate_owner(owner, true);
	}
	ask(owner, 10, 30, 1000, &grant);
	assert_int_equal(grant.granted, 30);
	msp_drop_rate_owner(owner);
}

/* Callers that are refused together are told to come back one by one. */
static void
refusals_name_the_time_until_there_is_room(void **state)
{
	msp_rate_owner_t *owner = new_owner(1, 0);
	msp_rate_grant_t grant;
	msp_time_t before = 0;
	unsigned int i;

	(void)state;
	ask(owner, 10, 10, 2, &grant);
	for (i = 0; i < 5; i++) {
		ask(owner, 10, 10, 1, &grant);
		assert_int_equal(grant.granted, 0);
		assert_true(grant.wait >= before + (i == 0 ? 40 : 90) * MSP_MS);
		before = grant.wait;
	}
	assert_true(before <= 600 * MSP_MS);
	for (i = 0; i < 1000; i++)
		ask(owner, 10, 10, 1, &grant);
	assert_true(grant.wait <= 10 * MSP_SECOND + 1);
	msp_drop_rate_owner(owner);
}

typedef struct part_case {
	const char *name;
	double told[3]; /* by the places; negative: nothing was heard */
	msp_time_t later;
	double least; /* the part of the first place */
	double most;
} part_case_t;

static void
parts_follow_what_the_data_centres_are_asked_for(void **state)
{
	static const part_case_t cases[] = {
	    {"nobody was heard", {10, -1, -1}, 0, 0.3, 0.34},
	    {"one was not heard", {10, 0, -1}, 0, 0.3, 0.34},
	    {"all demand is here", {10, 0, 0}, 0, 0.9, 1},
	    {"even demand", {10, 10, 10}, 0, 0.33, 0.34},
	    {"a third as much", {5, 5, 10}, 0, 0.24, 0.27},
	    {"all demand is elsewhere", {0, 20, 20}, 0, 0.001, 0.05},
	    {"no demand at all", {0, 0, 0}, 0, 0.33, 0.34},
	    {"others are silent for some time", {10, 10, 10}, 20 * MSP_SECOND,
		0.33, 0.34},
	};
	size_t i;
	size_t j;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_rate_demand_t demand = {.name = "north"};
		msp_rate_grant_t grant;
		msp_rate_owner_t *owner;
		double part;

		set_up(state);
		owner = new_owner(3, 0);
		if (cases[i].told[0] > 0)
			ask(owner, 10, 10, (uint32_t)cases[i].told[0] * 2,
			    &grant);
		else
			ask(owner, 10, 10, 0, &grant);
		for (j = 1; j < 3; j++) {
			demand.per_second = cases[i].told[j];
			if (cases[i].told[j] >= 0)
				msp_hear_rate_demand(owner, j, &demand, 1);
		}
		msp_tell_rate_demand(owner, &demand, 1);
		part = msp_rate_part(owner, "north");
		if (part < cases[i].least || part > cases[i].most)
			fail_msg("%s: %f", cases[i].name, part);
		venv.now += cases[i].later;
		part = msp_rate_part(owner, "north");
		if (part > cases[i].most)
			fail_msg("%s, later: %f", cases[i].name, part);
		msp_drop_rate_owner(owner);
	}
}

/* Those that are cut off from each other would both take more. */
static void
parts_do_not_grow_while_a_data_centre_is_silent(void **state)
{
	msp_rate_owner_t *owner = new_owner(2, 0);
	msp_rate_demand_t demand = {.name = "north", .per_second = 10};
	msp_rate_grant_t grant;
	double before;
	unsigned int i;

	(void)state;
	ask(owner, 10, 10, 10, &grant);
	msp_hear_rate_demand(owner, 1, &demand, 1);
	msp_tell_rate_demand(owner, &demand, 1);
	before = msp_rate_part(owner, "north");
	for (i = 0; i < 10; i++) {
		venv.now += MSP_SECOND;
		ask(owner, 10, 10, 50, &grant);
		msp_tell_rate_demand(owner, &demand, 1);
		assert_true(msp_rate_part(owner, "north") <= before + 1e-9);
	}
	demand.per_second = 10;
	msp_hear_rate_demand(owner, 1, &demand, 1);
	assert_true(msp_rate_part(owner, "north") > before + 0.1);
	msp_drop_rate_owner(owner);
}

/* A small limit is not split into parts that admit nothing. */
static void
slack_admits_where_a_part_is_less_than_a_request(void **state)
{
	msp_rate_owner_t *owner = new_owner(10, 20);
	msp_rate_grant_t grant;

	(void)state;
	ask(owner, 0.5, 1, 1, &grant);
	assert_int_equal(grant.granted, 1);
	ask(owner, 0.5, 1, 1, &grant);
	assert_int_equal(grant.granted, 0);
	msp_drop_rate_owner(owner);
}

static void
newest_configuration_sets_the_limit(void **state)
{
	msp_rate_owner_t *owner = new_owner(1, 0);
	msp_rate_ask_t question = {.name = "north",
	    .limit = {.per_second = 100, .burst = 100},
	    .version = 5};
	msp_rate_grant_t grant;

	(void)state;
	msp_ask_rate_owner(owner, &question, &grant);
	venv.now += MSP_SECOND;
	question.version = 6;
	question.limit = (msp_rate_limit_t){.per_second = 10, .burst = 10};
	msp_ask_rate_owner(owner, &question, &grant);
	question.version = 5;
	question.limit = (msp_rate_limit_t){.per_second = 100, .burst = 100};
	question.wanted = 200;
	msp_ask_rate_owner(owner, &question, &grant);
	assert_true(grant.granted <= 10);
	msp_drop_rate_owner(owner);
}

static void
returned_requests_may_be_sent_by_others(void **state)
{
	msp_rate_owner_t *owner = new_owner(1, 0);
	msp_rate_ask_t question = {.name = "north",
	    .limit = {.per_second = 1, .burst = 10},
	    .version = 1,
	    .wanted = 3};
	msp_rate_grant_t grant;

	(void)state;
	venv.now += 3 * MSP_SECOND;
	msp_ask_rate_owner(owner, &question, &grant);
	assert_int_equal(grant.granted, 3);
	msp_ask_rate_owner(owner, &question, &grant);
	assert_int_equal(grant.granted, 0);
	question.returned = 2;
	msp_ask_rate_owner(owner, &question, &grant);
	assert_int_equal(grant.granted, 2);
	question.returned = 0;
	question.charged = 5;
	question.wanted = 0;
	msp_ask_rate_owner(owner, &question, &grant);
	question.charged = 0;
	question.wanted = 1;
	venv.now += 4 * MSP_SECOND;
	msp_ask_rate_owner(owner, &question, &grant);
	assert_int_equal(grant.granted, 0);
	msp_drop_rate_owner(owner);
}

/* A hot organisation takes nothing from what others may send. */
static void
hot_organisation_leaves_others_their_limits(void **state)
{
	msp_rate_owner_t *owner = new_owner(1, 0);
	msp_rate_ask_t hot = {.name = "hot",
	    .limit = {.per_second = 10, .burst = 10},
	    .version = 1,
	    .wanted = 75,
	    .arrived = 75};
	msp_rate_ask_t other = {.name = "other",
	    .limit = {.per_second = 10, .burst = 10},
	    .version = 1,
	    .wanted = 6,
	    .arrived = 6};
	unsigned int hot_sent = 0;
	unsigned int other_sent = 0;
	msp_rate_grant_t grant;
	unsigned int i;

	(void)state;
	for (i = 0; i < 20; i++) {
		venv.now += MSP_SECOND;
		msp_ask_rate_owner(owner, &hot, &grant);
		hot_sent += grant.granted;
		msp_ask_rate_owner(owner, &other, &grant);
		other_sent += grant.granted;
	}
	assert_int_equal(other_sent, 20 * 6);
	assert_true(hot_sent <= 20 * 10 + 10);
	msp_drop_rate_owner(owner);
}

/* Each message has 256 organisations; all are told, and idle ones forgotten. */
static void
demand_of_many_organisations_is_told_in_turns(void **state)
{
	msp_rate_owner_t *owner = new_owner(2, 0);
	static msp_rate_demand_t demand[100];
	msp_rate_grant_t grant;
	size_t told = 0;
	size_t count;
	unsigned int i;

	(void)state;
	for (i = 0; i < 250; i++) {
		msp_rate_ask_t question = {
		    .limit = {.per_second = 10}, .version = 1, .arrived = 5};

		snprintf(question.name, sizeof(question.name), "o-%u", i);
		msp_ask_rate_owner(owner, &question, &grant);
	}
	do {
		count = msp_tell_rate_demand(owner, demand, 100);
		told += count;
	} while (count == 100);
	assert_int_equal(told, 250);
	venv.now += 2 * MSP_MINUTE;
	assert_int_equal(msp_tell_rate_demand(owner, demand, 100), 0);
	assert_int_equal(msp_count_rate_buckets(owner), 0);
	msp_drop_rate_owner(owner);
}

static void
leases_ask_once_and_give_back_what_they_do_not_use(void **state)
{
	msp_rate_leases_t *leases = msp_new_rate_leases(&env);
	msp_organisation_t organisation = {
	    .name = "north", .limit = {.per_second = 100, .burst = 10}};
	msp_rate_grant_t grant = {.name = "north"};
	msp_rate_ask_t asks[2];
	msp_time_t wait;
	unsigned int i;

	(void)state;
	assert_int_equal(
	    msp_take_lease(leases, &organisation, 1, &wait), MSP_RATE_ASK);
	assert_false(msp_is_rate_asked(leases, "north"));
	assert_int_equal(msp_collect_rate_asks(leases, asks, 2), 1);
	assert_int_equal(asks[0].wanted, 1);
	assert_true(msp_is_rate_asked(leases, "north"));
	/* One more comes before the answer; it has to wait for the next. */
	assert_int_equal(
	    msp_take_lease(leases, &organisation, 1, &wait), MSP_RATE_ASK);
	grant.granted = 4;
	msp_apply_rate_grant(leases, &grant);
	assert_int_equal(
	    msp_take_granted(leases, "north", &wait), MSP_RATE_ADMITTED);
	assert_int_equal(
	    msp_take_granted(leases, "north", &wait), MSP_RATE_ASK);
	msp_withdraw_rate_wait(leases, "north");
	for (i = 0; i < 2; i++)
		assert_int_equal(
		    msp_take_lease(leases, &organisation, 1, &wait),
		    MSP_RATE_ADMITTED);
	venv.now += MSP_RATE_LEASE_TIME;
	assert_int_equal(msp_collect_rate_asks(leases, asks, 2), 1);
	assert_int_equal(asks[0].returned, 1);
	assert_int_equal(asks[0].wanted, 0);
	assert_int_equal(msp_collect_rate_asks(leases, asks, 2), 0);
	msp_return_lease(leases, "north");
	msp_charge_lease(leases, "north");
	assert_int_equal(msp_collect_rate_asks(leases, asks, 2), 1);
	assert_int_equal(asks[0].returned, 1);
	assert_int_equal(asks[0].charged, 1);
	venv.now += 2 * MSP_MINUTE;
	msp_tidy_rate_leases(leases);
	assert_int_equal(msp_count_rate_leases(leases), 0);
	msp_drop_rate_leases(leases);
}

/* Under load the owner is not asked for each request that it would refuse. */
static void
refused_leases_do_not_ask_again_at_once(void **state)
{
	msp_rate_leases_t *leases = msp_new_rate_leases(&env);
	msp_organisation_t organisation = {
	    .name = "north", .limit = {.per_second = 1, .burst = 1}};
	msp_rate_grant_t grant = {.name = "north", .wait = MSP_SECOND};
	msp_rate_ask_t asks[1];
	msp_time_t wait;

	(void)state;
	assert_int_equal(
	    msp_take_lease(leases, &organisation, 1, &wait), MSP_RATE_ASK);
	msp_collect_rate_asks(leases, asks, 1);
	msp_apply_rate_grant(leases, &grant);
	assert_int_equal(
	    msp_take_granted(leases, "north", &wait), MSP_RATE_REFUSED);
	assert_int_equal(wait, MSP_SECOND);
	venv.now += 50 * MSP_MS;
	assert_int_equal(
	    msp_take_lease(leases, &organisation, 1, &wait), MSP_RATE_REFUSED);
	assert_int_equal(wait, 950 * MSP_MS);
	venv.now += 50 * MSP_MS;
	assert_int_equal(
	    msp_take_lease(leases, &organisation, 1, &wait), MSP_RATE_ASK);
	msp_collect_rate_asks(leases, asks, 1);
	assert_int_equal(asks[0].arrived, 2);
	msp_drop_rate_leases(leases);
}

static void
messages_are_read_as_written(void **state)
{
	msp_rate_ask_t ask_out = {.name = "north and south",
	    .limit = {.per_second = 12.5, .burst = 3},
	    .version = 77,
	    .wanted = 1,
	    .arrived = 2,
	    .charged = 3,
	    .returned = 4};
	msp_rate_grant_t grant_out = {
	    .name = "n 1 2", .granted = 5, .wait = MSP_NEVER};
	msp_rate_demand_t demand_out = {.name = "7 eleven", .per_second = 0.25};
	static msp_rate_ask_t asks[MSP_RATES_PER_MESSAGE_MAX];
	static msp_rate_grant_t grants[MSP_RATES_PER_MESSAGE_MAX];
	static msp_rate_demand_t demand[MSP_RATES_PER_MESSAGE_MAX];
	msp_buffer_t text = {0};
	char place[16];
	size_t count;

	(void)state;
	msp_encode_rate_asks(&ask_out, 1, &text);
	assert_int_equal(
	    msp_decode_rate_asks(msp_buffer_text(&text), asks, &count), MSP_OK);
	assert_int_equal(count, 1);
	assert_memory_equal(&asks[0], &ask_out, sizeof(ask_out));
	msp_drop_buffer(&text);
	msp_encode_rate_grants(&grant_out, 1, &text);
	assert_int_equal(
	    msp_decode_rate_grants(msp_buffer_text(&text), grants, &count),
	    MSP_OK);
	assert_string_equal(grants[0].name, grant_out.name);
	assert_int_equal(grants[0].granted, 5);
	assert_true(grants[0].wait == MSP_NEVER);
	msp_drop_buffer(&text);
	msp_encode_rate_demand("here", &demand_out, 1, &text);
	assert_int_equal(msp_decode_rate_demand(msp_buffer_text(&text), place,
			     sizeof(place), demand, &count),
	    MSP_OK);
	assert_string_equal(place, "here");
	assert_string_equal(demand[0].name, "7 eleven");
	assert_true(demand[0].per_second == 0.25);
	msp_drop_buffer(&text);
}

static void
rejects_malformed_messages(void **state)
{
	static const char *const asks[] = {"1 2 3 4 5 6 7\n", "x\n", "\n",
	    "1 2 3 4 5 6 7 name", "1 2 3 4 5 nan 7 a\n", "1 2 3 4 5 -6 7 a\n",
	    "1 2 3 4 5 6 inf a\n", "1 2 3 4 5 6 7 \n",
	    "9999999 2 3 4 5 6 7 a\n", "1 2 3 4 5 6 7 a\n\n"};
	static const char *const grants[] = {
	    "1 2\n", "1 -2 a\n", "1 99999999999 a\n", "1 2 \n", "a 2 a\n"};
	static const char *const demand[] = {
	    "", "\n", "place", "place\nx a\n", "place\n1\n", "place\n-1 a\n"};
	static msp_rate_ask_t out_asks[MSP_RATES_PER_MESSAGE_MAX];
	static msp_rate_grant_t out_grants[MSP_RATES_PER_MESSAGE_MAX];
	static msp_rate_demand_t out_demand[MSP_RATES_PER_MESSAGE_MAX];
	char place[16];
	size_t count;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(asks) / sizeof(*asks); i++) {
		if (msp_decode_rate_asks(asks[i], out_asks, &count) !=
		    MSP_E_SYNTAX)
			fail_msg("ask %zu", i);
	}
	for (i = 0; i < sizeof(grants) / sizeof(*grants); i++) {
		if (msp_decode_rate_grants(grants[i], out_grants, &count) !=
		    MSP_E_SYNTAX)
			fail_msg("grant %zu", i);
	}
	for (i = 0; i < sizeof(demand) / sizeof(*demand); i++) {
		if (msp_decode_rate_demand(demand[i], place, sizeof(place),
			out_demand, &count) != MSP_E_SYNTAX)
			fail_msg("demand %zu", i);
	}
}

/* Bytes of a message that are changed, cut or doubled, by seed. */
static void
broken_messages_do_no_harm(void **state)
{
	static const char valid[] = "1 2 3 4 77 12.5 3 north and south\n"
				    "0 1 0 0 77 100 100 other\n";
	static msp_rate_ask_t asks[MSP_RATES_PER_MESSAGE_MAX];
	static msp_rate_grant_t grants[MSP_RATES_PER_MESSAGE_MAX];
	static msp_rate_demand_t demand[MSP_RATES_PER_MESSAGE_MAX];
	char text[2 * sizeof(valid)];
	char place[16];
	uint64_t seed;
	size_t count;

	(void)state;
	for (seed = 1; seed <= FUZZ_SEEDS; seed++) {
		msp_rng_t rng = {.state = seed};
		size_t len = sizeof(valid) - 1;
		unsigned int i;

		memcpy(text, valid, sizeof(valid));
		for (i = 0; i < 1 + seed % 4; i++)
			text[msp_next_random(&rng) % len] =
			    (char)msp_next_random(&rng);
		if (seed % 3 == 0)
			text[msp_next_random(&rng) % len] = '\0';
		if (seed % 5 == 0)
			memcpy(text + len, valid, sizeof(valid));
		msp_decode_rate_asks(text, asks, &count);
		assert_true(count <= 4);
		msp_decode_rate_grants(text, grants, &count);
		msp_decode_rate_demand(
		    text, place, sizeof(place), demand, &count);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup(new_owner_starts_with_nothing_saved, set_up),
	    cmocka_unit_test_setup(
		saved_requests_are_bounded_by_the_burst, set_up),
	    cmocka_unit_test_setup(
		refusals_name_the_time_until_there_is_room, set_up),
	    cmocka_unit_test_setup(
		parts_follow_what_the_data_centres_are_asked_for, set_up),
	    cmocka_unit_test_setup(
		parts_do_not_grow_while_a_data_centre_is_silent, set_up),
	    cmocka_unit_test_setup(
		slack_admits_where_a_part_is_less_than_a_request, set_up),
	    cmocka_unit_test_setup(newest_configuration_sets_the_limit, set_up),
	    cmocka_unit_test_setup(
		returned_requests_may_be_sent_by_others, set_up),
	    cmocka_unit_test_setup(
		hot_organisation_leaves_others_their_limits, set_up),
	    cmocka_unit_test_setup(
		demand_of_many_organisations_is_told_in_turns, set_up),
	    cmocka_unit_test_setup(
		leases_ask_once_and_give_back_what_they_do_not_use, set_up),
	    cmocka_unit_test_setup(
		refused_leases_do_not_ask_again_at_once, set_up),
	    cmocka_unit_test_setup(messages_are_read_as_written, set_up),
	    cmocka_unit_test_setup(rejects_malformed_messages, set_up),
	    cmocka_unit_test_setup(broken_messages_do_no_harm, set_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
