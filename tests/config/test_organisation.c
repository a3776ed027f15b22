#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/config.h"

#define MANY_ORGANISATIONS 10000
#define KEYS_EACH 10

static void
add(msp_organisations_t *set, const char *name, const char *const *keys)
{
	msp_organisation_t *organisation = msp_add_organisation(set);

	assert_non_null(organisation);
	strcpy(organisation->name, name);
	for (; *keys != NULL; keys++)
		assert_int_equal(
		    msp_add_api_key(set, *keys, strlen(*keys)), MSP_OK);
}

static msp_organisations_t *
new_set(void)
{
	msp_organisations_t *set = msp_new_organisations();

	assert_non_null(set);
	add(set, "north", (const char *const[]){"key-1", "key-2", NULL});
	add(set, "south", (const char *const[]){"key-3", "key-3", NULL});
	add(set, "empty", (const char *const[]){NULL});
	return set;
}

typedef struct key_case {
	const char *key;
	const char *holder; /* NULL: unknown */
} key_case_t;

static void
keys_name_their_organisations(void **state)
{
	static const key_case_t cases[] = {
	    {"key-1", "north"},
	    {"key-2", "north"},
	    {"key-3", "south"},
	    {"key-", NULL},
	    {"key-11", NULL},
	    {"KEY-1", NULL},
	    {"key-4", NULL},
	    {"", NULL},
	    {"north", NULL},
	};
	msp_organisations_t *set = new_set();
	const msp_organisation_t *found;
	size_t i;

	(void)state;
	assert_int_equal(msp_finish_organisations(set), MSP_OK);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		found = msp_find_key_holder(
		    set, cases[i].key, strlen(cases[i].key));
		if (cases[i].holder == NULL)
			assert_null(found);
		else
			assert_string_equal(found->name, cases[i].holder);
	}
	assert_null(msp_find_key_holder(set, "key-1 and more", 7));
	assert_non_null(msp_find_key_holder(set, "key-1 and more", 5));
	assert_string_equal(msp_find_organisation(set, "empty")->name, "empty");
	assert_null(msp_find_organisation(set, "key-1"));
	msp_drop_organisations(set);
}

static void
empty_set_knows_no_key(void **state)
{
	msp_organisations_t *set = msp_new_organisations();

	(void)state;
	assert_int_equal(msp_finish_organisations(set), MSP_OK);
	assert_null(msp_find_key_holder(set, "key", 3));
	assert_null(msp_find_organisation(set, ""));
	msp_drop_organisations(set);
}

static void
rejects_ambiguous_organisations(void **state)
{
	static const struct {
		const char *name;
		const char *key;
		const char *message;
	} cases[] = {
	    {"", "k", "no valid name"},
	    {"new\nline", "k", "no valid name"},
	    {"north", "k", "two organisations are called north"},
	    {"west", "key-2", "have the same key"},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_organisations_t *set = new_set();

		add(set, cases[i].name,
		    (const char *const[]){cases[i].key, NULL});
		assert_int_equal(
		    msp_finish_organisations(set), MSP_E_INVALID_NOTE);
		assert_non_null(strstr(msp_last_message(), cases[i].message));
		msp_drop_organisations(set);
	}
}

static void
rejects_keys_without_a_sensible_length(void **state)
{
	static char key[MSP_API_KEY_MAX + 1];
	msp_organisations_t *set = new_set();

	(void)state;
	memset(key, 'k', sizeof(key));
	assert_int_equal(msp_add_api_key(set, key, 0), MSP_E_INVALID_NOTE);
	assert_int_equal(
	    msp_add_api_key(set, key, sizeof(key)), MSP_E_INVALID_NOTE);
	assert_int_equal(msp_add_api_key(set, key, MSP_API_KEY_MAX), MSP_OK);
	assert_int_equal(msp_finish_organisations(set), MSP_OK);
	assert_non_null(msp_find_key_holder(set, key, MSP_API_KEY_MAX));
	assert_null(msp_find_key_holder(set, key, MSP_API_KEY_MAX - 1));
	assert_null(msp_find_key_holder(set, key, sizeof(key)));
	msp_drop_organisations(set);
}

static void
finds_each_of_many_keys(void **state)
{
	msp_organisations_t *set = msp_new_organisations();
	msp_organisation_t *organisation;
	char name[32];
	char key[32];
	unsigned int i;
	unsigned int j;

	(void)state;
	for (i = 0; i < MANY_ORGANISATIONS; i++) {
		organisation = msp_add_organisation(set);
		snprintf(organisation->name, sizeof(organisation->name),
		    "organisation-%u", i);
		for (j = 0; j < KEYS_EACH; j++) {
			snprintf(key, sizeof(key), "key-%u-%u", i, j);
			msp_add_api_key(set, key, strlen(key));
		}
	}
	assert_int_equal(msp_finish_organisations(set), MSP_OK);
	assert_int_equal(
	    msp_count_api_keys(set), MANY_ORGANISATIONS * KEYS_EACH);
	for (i = 0; i < MANY_ORGANISATIONS; i++) {
		snprintf(key, sizeof(key), "key-%u-%u", i, i % KEYS_EACH);
		snprintf(name, sizeof(name), "organisation-%u", i);
		assert_string_equal(
		    msp_find_key_holder(set, key, strlen(key))->name, name);
		assert_non_null(msp_find_organisation(set, name));
		snprintf(key, sizeof(key), "key-%u-none", i);
		assert_null(msp_find_key_holder(set, key, strlen(key)));
	}
	assert_true(msp_organisations_size(set) < MANY_ORGANISATIONS *
		(sizeof(msp_organisation_t) * 2 + KEYS_EACH * 128));
	msp_drop_organisations(set);
}

typedef struct homes_case {
	const char *route; /* "": none */
	const char *organisation;
	bool north; /* whether it is allowed */
	bool south;
} homes_case_t;

static void
homes_of_route_and_organisation_both_bind(void **state)
{
	static const homes_case_t cases[] = {
	    {"", "", true, true},
	    {"north", "", true, false},
	    {"", "south", false, true},
	    {"north", "north", true, false},
	    {"north", "south", false, false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_region_list_t route = {0};
		msp_region_list_t organisation = {0};
		msp_homes_t homes = {
		    .route = &route, .organisation = &organisation};

		if (*cases[i].route != '\0')
			strcpy(msp_add_region(&route)->name, cases[i].route);
		if (*cases[i].organisation != '\0')
			strcpy(msp_add_region(&organisation)->name,
			    cases[i].organisation);
		assert_int_equal(
		    msp_homes_allow(&homes, "north"), cases[i].north);
		assert_int_equal(
		    msp_homes_allow(&homes, "south"), cases[i].south);
		assert_int_equal(
		    msp_has_homes(&homes), !(cases[i].north && cases[i].south));
		msp_clear_regions(&route);
		msp_clear_regions(&organisation);
	}
	assert_true(msp_homes_allow(&(msp_homes_t){0}, "north"));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(keys_name_their_organisations),
	    cmocka_unit_test(empty_set_knows_no_key),
	    cmocka_unit_test(rejects_ambiguous_organisations),
	    cmocka_unit_test(rejects_keys_without_a_sensible_length),
	    cmocka_unit_test(finds_each_of_many_keys),
	    cmocka_unit_test(homes_of_route_and_organisation_both_bind),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
