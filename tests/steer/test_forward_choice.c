#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/steer.h"

#define CASE_VMS 4
#define ROUNDS 400
#define SERVICE "desk"

/* The VM's name is its address here. */
#define HERE(name_)                      \
	{                                \
		name_, 1, "n-a", "north" \
	}
#define NEAR(name_)                      \
	{                                \
		name_, 1, "n-b", "north" \
	}
#define FAR(name_)                       \
	{                                \
		name_, 1, "s-a", "south" \
	}
#define NOWHERE(name_)                \
	{                             \
		name_, 1, "x-a", NULL \
	}

typedef struct choice_fixture {
	msp_virtual_env_t venv;
	msp_forward_choice_t *choice;
	msp_route_table_t *table;
	msp_path_route_t *route;
} choice_fixture_t;

static int
set_up(void **state)
{
	static choice_fixture_t fixture;
	msp_env_t env;

	fixture = (choice_fixture_t){.venv = {.now = MSP_SECOND}};
	env = msp_virtual_env(&fixture.venv);
	fixture.choice = msp_new_forward_choice(&env);
	fixture.table = msp_new_route_table(1);
	assert_non_null(fixture.choice);
	assert_non_null(fixture.table);
	fixture.route = msp_add_path_route(fixture.table);
	*state = &fixture;
	return 0;
}

static int
tear_down(void **state)
{
	choice_fixture_t *fixture = *state;

	msp_drop_forward_choice(fixture->choice);
	msp_drop_route_table(fixture->table);
	return 0;
}

/* Returns the address of the VM that is picked, or "". */
static const char *
pick(choice_fixture_t *fixture, const msp_forward_vm_t *vms, size_t count,
    const msp_forward_vm_t *tried, size_t tried_count)
{
	msp_forward_query_t query = {.place = "n-a",
	    .region = "north",
	    .service = SERVICE,
	    .homes = {.route = &fixture->route->homes},
	    .tried = tried,
	    .tried_count = tried_count};
	msp_forward_pick_t picked = {0};
	size_t i;

	for (i = 0; i < count && vms[i].address != NULL; i++)
		msp_offer_forward_vm(fixture->choice, &query, &vms[i], &picked);
	return picked.vm.address == NULL ? "" : picked.vm.address;
}

typedef struct choice_case {
	const char *name;
	msp_forward_vm_t vms[CASE_VMS];
	msp_forward_vm_t tried[CASE_VMS];
	size_t tried_count;
	const char *homes; /* one region; NULL: any */
	const char *picked;
} choice_case_t;

/* Guards against requests that leave their home regions or go round. */
static void
nearest_allowed_vm_is_picked(void **state)
{
	static const choice_case_t cases[] = {
	    {"no VM", {{0}}, {{0}}, 0, NULL, ""},
	    {"own data centre first", {FAR("f"), NEAR("n"), HERE("h")}, {{0}},
		0, NULL, "h"},
	    {"then the own region", {FAR("f"), NEAR("n")}, {{0}}, 0, NULL, "n"},
	    {"then others", {FAR("f")}, {{0}}, 0, NULL, "f"},
	    {"an unknown region is the last", {NOWHERE("x")}, {{0}}, 0, NULL,
		"x"},
	    {"no VM twice", {HERE("h")}, {HERE("h")}, 1, NULL, ""},
	    {"another data centre than the one tried",
		{HERE("h2"), FAR("f"), NEAR("n")}, {HERE("h")}, 1, NULL, "n"},
	    {"even of another region", {HERE("h2"), FAR("f"), NEAR("n2")},
		{HERE("h"), NEAR("n")}, 2, NULL, "f"},
	    {"the same again if there is no other", {HERE("h2"), NEAR("n2")},
		{HERE("h"), NEAR("n")}, 2, NULL, "h2"},
	    {"homes exclude", {HERE("h"), NEAR("n"), FAR("f")}, {{0}}, 0,
		"south", "f"},
	    {"homes exclude all", {HERE("h"), NEAR("n")}, {{0}}, 0, "south",
		""},
	    {"an unknown region is no home", {NOWHERE("x")}, {{0}}, 0, "north",
		""},
	};
	choice_fixture_t *fixture = *state;
	const char *picked;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const choice_case_t *test = &cases[i];

		tear_down(state);
		set_up(state);
		if (test->homes != NULL)
			strcpy(msp_add_region(&fixture->route->homes)->name,
			    test->homes);
		picked = pick(fixture, test->vms, CASE_VMS, test->tried,
		    test->tried_count);
		if (strcmp(picked, test->picked) != 0)
			fail_msg("%s: picked \"%s\"", test->name, picked);
	}
}

/* Guards against all requests of a cut VM going to one other VM. */
static void
requests_are_spread_over_equal_vms(void **state)
{
	static const msp_forward_vm_t vms[] = {
	    HERE("0"), HERE("1"), FAR("4"), HERE("2"), HERE("3")};
	choice_fixture_t *fixture = *state;
	unsigned int counts[5] = {0};
	unsigned int i;

	for (i = 0; i < ROUNDS; i++)
		counts[pick(fixture, vms, 5, NULL, 0)[0] - '0']++;
	for (i = 0; i < 4; i++)
		assert_in_range(counts[i], ROUNDS / 8, ROUNDS / 2);
	assert_int_equal(counts[4], 0);
}

typedef struct pause_case {
	const char *name;
	msp_forward_failure_t failure;
	unsigned int failures; /* each as soon as the VM is picked again */
	const char *service; /* of the failures */
	bool trusted; /* the VM has served a request since */
	msp_time_t pause; /* until it is picked again */
} pause_case_t;

/* Guards against asking VMs over and over that can't help, or never again. */
static void
vm_that_failed_is_passed_over_for_a_while(void **state)
{
	static const pause_case_t cases[] = {
	    {"cut off", MSP_FORWARD_NO_TARGET, 1, SERVICE, false, MSP_SECOND},
	    {"cut off again", MSP_FORWARD_NO_TARGET, 2, SERVICE, false,
		2 * MSP_SECOND},
	    {"cut off for long", MSP_FORWARD_NO_TARGET, 9, SERVICE, false,
		4 * MSP_SECOND},
	    {"cut off from another service", MSP_FORWARD_NO_TARGET, 1, "other",
		false, 0},
	    {"has served", MSP_FORWARD_NO_TARGET, 3, SERVICE, true, 0},
	    {"unreachable", MSP_FORWARD_UNREACHABLE, 1, "other", false,
		2 * MSP_SECOND},
	    {"unreachable for long", MSP_FORWARD_UNREACHABLE, 9, SERVICE, false,
		32 * MSP_SECOND},
	    {"reached again", MSP_FORWARD_UNREACHABLE, 9, SERVICE, true, 0},
	};
	static const msp_forward_vm_t vm = HERE("h");
	choice_fixture_t *fixture = *state;
	msp_time_t start;
	unsigned int k;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const pause_case_t *test = &cases[i];

		tear_down(state);
		set_up(state);
		for (k = 0; k < test->failures; k++) {
			while (pick(fixture, &vm, 1, NULL, 0)[0] == '\0')
				fixture->venv.now += 100 * MSP_MS;
			msp_pass_over_forward_vm(
			    fixture->choice, &vm, test->service, test->failure);
			/* Another request that was under way. */
			msp_pass_over_forward_vm(
			    fixture->choice, &vm, test->service, test->failure);
		}
		if (test->trusted)
			msp_trust_forward_vm(
			    fixture->choice, &vm, test->service);
		start = fixture->venv.now;
		while (pick(fixture, &vm, 1, NULL, 0)[0] == '\0')
			fixture->venv.now += 100 * MSP_MS;
		if (fixture->venv.now - start != test->pause)
			fail_msg("%s: passed over for %u ms", test->name,
			    (unsigned int)((fixture->venv.now - start) /
				MSP_MS));
	}
}

#define CHOICE_TEST(name_) \
	cmocka_unit_test_setup_teardown(name_, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    CHOICE_TEST(nearest_allowed_vm_is_picked),
	    CHOICE_TEST(requests_are_spread_over_equal_vms),
	    CHOICE_TEST(vm_that_failed_is_passed_over_for_a_while),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
