#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/config.h"

static msp_path_route_t *
add_route(msp_route_table_t *table, const char *host, const char *prefix,
    const char *service, uint32_t weight)
{
	msp_path_route_t *route = msp_add_path_route(table);
	msp_weighted_service_t *weighted;

	assert_non_null(route);
	snprintf(route->name, sizeof(route->name), "%s%s", host, prefix);
	snprintf(route->host, sizeof(route->host), "%s", host);
	snprintf(route->prefix, sizeof(route->prefix), "%s", prefix);
	weighted = msp_add_weighted_service(route);
	assert_non_null(weighted);
	snprintf(weighted->service, sizeof(weighted->service), "%s", service);
	weighted->weight = weight;
	return route;
}

static msp_route_table_t *
new_table(void)
{
	msp_route_table_t *table = msp_new_route_table(7);
	msp_service_config_t *config;

	assert_non_null(table);
	config = msp_add_service_config(table);
	assert_non_null(config);
	strcpy(config->name, "desk");
	return table;
}

typedef struct route_match_case {
	const char *host;
	const char *path;
	const char *route; /* NULL: none */
} route_match_case_t;

static void
longest_prefix_of_the_host_wins(void **state)
{
	static const route_match_case_t cases[] = {
	    {"a.example", "/x/1", "a.example/x/"},
	    {"a.example", "/x/y/1", "a.example/x/y/"},
	    {"a.example", "/x/y/", "a.example/x/y/"},
	    {"a.example", "/x/y", "a.example/x/"},
	    {"a.example", "/x/", "a.example/x/"},
	    {"a.example", "/x", NULL},
	    {"a.example", "/xx/1", NULL},
	    {"a.example", "/", NULL},
	    {"a.example", "/x/?q=/y/", "a.example/x/"},
	    {"a.example", "/z/?/x/", NULL},
	    {"A.Example", "/x/1", "a.example/x/"},
	    {"a.example:8080", "/x/1", "a.example/x/"},
	    {"a.example.org", "/x/1", NULL},
	    {"a.exampl", "/x/1", NULL},
	    {"b.example", "/x/y/1", "b.example/x/y/"},
	    {"b.example", "/x/1", NULL},
	    {"", "/x/1", NULL},
	};
	msp_route_table_t *table = new_table();
	const msp_path_route_t *route;
	size_t i;

	(void)state;
	add_route(table, "a.example", "/x/", "desk", 1);
	add_route(table, "b.example", "/x/y/", "desk", 1);
	add_route(table, "a.example", "/x/y/", "desk", 1);
	assert_int_equal(msp_finish_route_table(table), MSP_OK);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		route =
		    msp_match_path_route(table, cases[i].host, cases[i].path);
		if (cases[i].route == NULL)
			assert_null(route);
		else
			assert_string_equal(route->name, cases[i].route);
	}
	msp_drop_route_table(table);
}

typedef struct invalid_route_case {
	const char *prefix;
	const char *service;
	uint32_t weight;
	const char *message;
} invalid_route_case_t;

static void
invalid_routes_are_rejected(void **state)
{
	static const invalid_route_case_t cases[] = {
	    {"", "desk", 1, "slash"},
	    {"x/", "desk", 1, "slash"},
	    {"/x", "desk", 1, "slash"},
	    {"/x/", "vault", 1, "no service \"vault\""},
	    {"/x/", "desk", 0, "all weights are 0"},
	    {"/taken/", "desk", 1, "same prefix"},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_route_table_t *table = new_table();

		add_route(table, "a.example", "/taken/", "desk", 1);
		add_route(table, "a.example", cases[i].prefix, cases[i].service,
		    cases[i].weight);
		assert_int_equal(
		    msp_finish_route_table(table), MSP_E_INVALID_NOTE);
		assert_non_null(strstr(msp_last_message(), cases[i].message));
		msp_drop_route_table(table);
	}
}

static void
home_regions_restrict_a_route(void **state)
{
	msp_route_table_t *table = new_table();
	msp_path_route_t *route =
	    add_route(table, "a.example", "/x/", "desk", 1);
	msp_homes_t homes = {.route = &route->homes};
	msp_region_name_t *region;

	(void)state;
	assert_true(msp_homes_allow(&homes, "north"));
	region = msp_add_region(&route->homes);
	assert_non_null(region);
	strcpy(region->name, "north");
	assert_true(msp_homes_allow(&homes, "north"));
	assert_false(msp_homes_allow(&homes, "south"));
	msp_drop_route_table(table);
}

static void
table_lives_until_its_last_reference(void **state)
{
	msp_route_table_t *table = new_table();
	msp_route_table_t *shared = msp_keep_route_table(table);

	(void)state;
	msp_drop_route_table(table);
	assert_int_equal(shared->version, 7);
	msp_drop_route_table(shared);
	msp_drop_route_table(NULL);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(longest_prefix_of_the_host_wins),
	    cmocka_unit_test(invalid_routes_are_rejected),
	    cmocka_unit_test(home_regions_restrict_a_route),
	    cmocka_unit_test(table_lives_until_its_last_reference),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
