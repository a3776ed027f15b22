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
	msp_weighted_service_t *part;

	assert_non_null(route);
	snprintf(route->name, sizeof(route->name), "%s%s", host, prefix);
	snprintf(route->host, sizeof(route->host), "%s", host);
	snprintf(route->prefix, sizeof(route->prefix), "%s", prefix);
	part = msp_add_weighted_service(route);
	assert_non_null(part);
	snprintf(part->service, sizeof(part->service), "%s", service);
	part->weight = weight;
	return route;
}

static msp_route_table_t *
new_table(void)
{
	msp_route_table_t *table = msp_new_route_table(7);
	msp_service_config_t *rule;

	assert_non_null(table);
	rule = msp_add_service_config(table);
	assert_non_null(rule);
	strcpy(rule->name, "desk");
	return table;
}

typedef struct match_case {
	const char *host;
	const char *path;
	const char *route; /* NULL: none */
} match_case_t;

static void
the_longest_prefix_of_the_host_wins(void **state)
{
	static const match_case_t cases[] = {
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

typedef struct bad_case {
	const char *prefix;
	const char *service;
	uint32_t weight;
	const char *message;
} bad_case_t;

static void
unusable_routes_are_refused(void **state)
{
	static const bad_case_t cases[] = {
	    {"", "desk", 1, "slash"},
	    {"x/", "desk", 1, "slash"},
	    {"/x", "desk", 1, "slash"},
	    {"/x/", "vault", 1, "no service \"vault\""},
	    {"/x/", "desk", 0, "no service has a weight"},
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
homes_bind_only_where_there_are_some(void **state)
{
	msp_route_table_t *table = new_table();
	msp_path_route_t *route =
	    add_route(table, "a.example", "/x/", "desk", 1);
	msp_region_name_t *home;

	(void)state;
	assert_true(msp_route_allows_region(route, "north"));
	home = msp_add_home_region(route);
	assert_non_null(home);
	strcpy(home->name, "north");
	assert_true(msp_route_allows_region(route, "north"));
	assert_false(msp_route_allows_region(route, "south"));
	msp_drop_route_table(table);
}

static void
a_shared_table_lasts_until_its_last_holder(void **state)
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
	    cmocka_unit_test(the_longest_prefix_of_the_host_wins),
	    cmocka_unit_test(unusable_routes_are_refused),
	    cmocka_unit_test(homes_bind_only_where_there_are_some),
	    cmocka_unit_test(a_shared_table_lasts_until_its_last_holder),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
