#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "row_spread.h"

/*
 * How long it takes until all VMs of a data centre have the routes that were
 * written, by the model of tests/support/row_spread.h. One VM, often with a
 * slow link, sent each version whole to all others, so that the time grew with
 * their number and with the size of the routes.
 */

#define SLOW_RATE 1.25e6 /* 10 Mbit/s */
#define FAST_RATE 25e6 /* 200 Mbit/s */
#define FAR_RATE 300e3 /* of a connection to a store in another region */
#define NEAR_RATE 100e6
/* The shortest time in which a change must be in force. */
#define DEADLINE (2500 * MSP_MS)

static const spread_policy_t whole_rows = {0};
static const spread_policy_t all = {.ranks_links = true,
    .patches = true,
    .second_reads = true,
    .paces = true};

typedef struct spread_case {
	const char *name;
	unsigned int fast_vms;
	double store_rate;
	unsigned int versions;
	unsigned int routes[SPREAD_VERSIONS_MAX];
	uint32_t written_ms[SPREAD_VERSIONS_MAX];
} spread_case_t;

static const spread_case_t cases[] = {
    {"a large change and a small one, far store", 2, FAR_RATE, 2, {2800, 2801},
	{0, 1150}},
    {"a large change and a small one, near store", 2, NEAR_RATE, 2,
	{2800, 2801}, {0, 1150}},
    {"a storm of large changes, far store", 2, FAR_RATE, 8,
	{1400, 2800, 2801, 4200, 4201, 4202, 5600, 5601},
	{0, 700, 1400, 2100, 2800, 3500, 4200, 4900}},
    {"one fast link", 1, FAR_RATE, 2, {4200, 4201}, {0, 1150}},
    {"slow links only, far store", 0, FAR_RATE, 2, {4200, 4201}, {0, 1150}},
    {"slow links only, near store", 0, NEAR_RATE, 2, {4200, 4201}, {0, 1150}},
    {"fast links only", SPREAD_VMS_MAX, FAR_RATE, 2, {4200, 4201}, {0, 1150}},
};

#define CASE_COUNT (sizeof(cases) / sizeof(*cases))

static const unsigned int sizes[] = {10, 30, 100, 300};

static void
run_case(const spread_case_t *item, unsigned int vms,
    const spread_policy_t *policy, spread_result_t *result)
{
	spread_options_t options = {.policy = *policy,
	    .vms = vms,
	    .fast_vms = item->fast_vms,
	    .slow_rate = SLOW_RATE,
	    .fast_rate = FAST_RATE,
	    .store_rate = item->store_rate,
	    .versions = item->versions,
	    .seed = 9};
	unsigned int i;

	for (i = 0; i < item->versions; i++) {
		options.routes[i] = item->routes[i];
		options.written_ms[i] = item->written_ms[i];
	}
	run_row_spread(&options, result);
}

static void
routes_are_in_force_in_time(void **state)
{
	const spread_case_t *item = *state;
	spread_result_t whole;
	spread_result_t result;
	size_t i;

	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		run_case(item, sizes[i], &whole_rows, &whole);
		run_case(item, sizes[i], &all, &result);
		print_message("%u VMs: %.2f s, whole rows %.2f s; read from "
			      "the store %.1f MB, whole rows %.1f MB\n",
		    sizes[i], (double)result.worst / MSP_SECOND,
		    (double)whole.worst / MSP_SECOND, result.store_bytes / 1e6,
		    whole.store_bytes / 1e6);
		assert_true(result.worst <= DEADLINE);
	}
}

int
main(void)
{
	struct CMUnitTest tests[CASE_COUNT] = {{0}};
	size_t i;

	for (i = 0; i < CASE_COUNT; i++)
		tests[i] = (struct CMUnitTest){.name = cases[i].name,
		    .test_func = routes_are_in_force_in_time,
		    .initial_state = (void *)&cases[i]};
	return cmocka_run_group_tests_name("row spread", tests, NULL, NULL);
}
