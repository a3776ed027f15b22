#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/steer.h"

typedef struct view_test {
	msp_virtual_env_t clock;
	msp_target_view_t *view;
	uint64_t version;
} view_test_t;

static const char *
find_region(void *ctx, const char *place)
{
	(void)ctx;
	return strncmp(place, "north", 5) == 0 ? "north" : NULL;
}

static int
set_up(void **state)
{
	view_test_t *test = calloc(1, sizeof(*test));
	msp_target_view_callbacks_t callbacks = {.find_region = find_region};
	msp_env_t env;

	assert_non_null(test);
	test->clock.now = 1000 * MSP_SECOND;
	env = msp_virtual_env(&test->clock);
	test->view = msp_new_target_view(&env, &callbacks);
	assert_non_null(test->view);
	*state = test;
	return 0;
}

static int
tear_down(void **state)
{
	view_test_t *test = *state;

	msp_drop_target_view(test->view);
	free(test);
	return 0;
}

/* The fields of a heartbeat that differ between the cases. */
typedef struct heartbeat {
	uint64_t incarnation;
	uint64_t sequence;
	bool draining;
	uint32_t cold_ms;
	const char *service;
} heartbeat_t;

static void
apply_heartbeat(view_test_t *test, const char *id, const heartbeat_t *heartbeat)
{
	msp_registration_t registration = {.port = 80,
	    .slots = 5,
	    .incarnation = heartbeat->incarnation,
	    .sequence = heartbeat->sequence,
	    .draining = heartbeat->draining,
	    .cold_ms = heartbeat->cold_ms};

	snprintf(registration.id, sizeof(registration.id), "%s", id);
	strcpy(registration.address, "10.0.0.1");
	strcpy(registration.place, "north-a");
	strcpy(registration.service,
	    heartbeat->service == NULL ? "desk" : heartbeat->service);
	msp_apply_registration(test->view, id, ++test->version, &registration);
}

static bool
is_usable(const view_test_t *test, const char *id)
{
	const msp_view_target_t *target = msp_find_view_target(test->view, id);

	return target != NULL && msp_target_is_usable(target, "desk");
}

typedef struct sequence_case {
	const char *name;
	heartbeat_t first;
	bool remove; /* between the two */
	heartbeat_t second;
	bool usable; /* after both */
} sequence_case_t;

static void
view_never_returns_to_an_older_state(void **state)
{
	static const sequence_case_t cases[] = {
	    {"next heartbeat", {1, 1, 0, 0, 0}, false, {1, 2, 0, 0, 0}, true},
	    {"drains", {1, 1, 0, 0, 0}, false, {1, 2, 1, 0, 0}, false},
	    {"late heartbeat after draining", {1, 5, 1, 0, 0}, false,
		{1, 4, 0, 0, 0}, false},
	    {"ready after draining", {1, 5, 1, 0, 0}, false, {1, 6, 0, 0, 0},
		false},
	    {"new process after draining", {1, 5, 1, 0, 0}, false,
		{2, 1, 0, 0, 0}, true},
	    {"old process", {2, 1, 1, 0, 0}, false, {1, 9, 0, 0, 0}, false},
	    {"removed", {1, 5, 0, 0, 0}, true, {1, 5, 0, 0, 0}, false},
	    {"late heartbeat after removal", {1, 5, 0, 0, 0}, true,
		{1, 4, 0, 0, 0}, false},
	    {"back after removal", {1, 5, 0, 0, 0}, true, {1, 6, 0, 0, 0},
		true},
	    {"drained, removed, ready again", {1, 5, 1, 0, 0}, true,
		{1, 6, 0, 0, 0}, false},
	    {"new process after removal", {1, 5, 0, 0, 0}, true,
		{2, 0, 0, 0, 0}, true},
	    {"another service", {1, 5, 0, 0, 0}, false, {2, 1, 0, 0, "vault"},
		false},
	};
	view_test_t *test = *state;
	char id[16];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		snprintf(id, sizeof(id), "t%zu", i);
		apply_heartbeat(test, id, &cases[i].first);
		if (cases[i].remove)
			msp_remove_registration(
			    test->view, id, ++test->version);
		apply_heartbeat(test, id, &cases[i].second);
		if (is_usable(test, id) != cases[i].usable)
			fail_msg("%s", cases[i].name);
	}
}

static void
an_older_row_changes_nothing(void **state)
{
	view_test_t *test = *state;
	const heartbeat_t ready = {1, 2, 0, 0, 0};
	const heartbeat_t drains = {1, 3, 1, 0, 0};

	apply_heartbeat(test, "t", &ready);
	test->version = 0;
	apply_heartbeat(test, "t", &drains);
	assert_true(is_usable(test, "t"));
	msp_remove_registration(test->view, "t", 1);
	assert_true(is_usable(test, "t"));
}

static void
an_invalid_row_neither_adds_nor_changes_a_target(void **state)
{
	view_test_t *test = *state;
	const heartbeat_t ready = {1, 2, 0, 0, 0};
	msp_registration_t elsewhere = {.id = "w", .place = "nowhere"};

	apply_heartbeat(test, "t", &ready);
	msp_apply_registration(test->view, "t", ++test->version, NULL);
	msp_apply_registration(test->view, "u", ++test->version, NULL);
	msp_apply_registration(test->view, "w", ++test->version, &elsewhere);
	assert_true(is_usable(test, "t"));
	assert_false(is_usable(test, "u"));
	assert_false(is_usable(test, "w"));
}

typedef struct outage_case {
	const char *name;
	bool outage;
	bool was_down; /* for targets too */
	msp_time_t after; /* time after the entry was found missing */
	bool usable;
} outage_case_t;

static void
entries_that_expired_in_an_outage_are_held(void **state)
{
	static const outage_case_t cases[] = {
	    {"no outage", false, false, 0, false},
	    {"outage, at once", true, true, 0, true},
	    {"outage, within two seconds", true, true, 1900 * MSP_MS, true},
	    {"outage, too late", true, true, 2300 * MSP_MS, false},
	    {"only this VM was cut off", true, false, 0, false},
	};
	view_test_t *test = *state;
	const heartbeat_t ready = {1, 2, 0, 0, 0};
	char id[16];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		snprintf(id, sizeof(id), "t%zu", i);
		apply_heartbeat(test, id, &ready);
		test->clock.now += 10 * MSP_SECOND;
		if (cases[i].outage) {
			msp_record_store_lost(test->view);
			test->clock.now += 5 * MSP_SECOND;
			msp_record_store_recovered(
			    test->view, cases[i].was_down);
		}
		msp_remove_registration(test->view, id, ++test->version);
		test->clock.now += cases[i].after;
		msp_tick_target_view(test->view);
		if (is_usable(test, id) != cases[i].usable)
			fail_msg("%s", cases[i].name);
	}
}

typedef struct era_case {
	const char *name;
	heartbeat_t known; /* before the store came back from an older copy */
	bool was_removed; /* before */
	bool has_row; /* the copy has a row of the target */
	heartbeat_t row;
	bool usable; /* at once */
	bool usable_later; /* if it never writes again */
} era_case_t;

/*
 * Guards against a target that drains, or is gone, and gets requests again
 * since an older copy of the store says that it is ready; and against one that
 * is forgotten though it only joined after the copy was made.
 */
static void
an_older_copy_of_the_store_changes_no_target(void **state)
{
	static const era_case_t cases[] = {
	    {"same heartbeat", {1, 5, 0, 0, 0}, false, true, {1, 5, 0, 0, 0},
		true, true},
	    {"older heartbeat", {1, 5, 0, 0, 0}, false, true, {1, 2, 0, 0, 0},
		true, true},
	    {"its draining is lost", {1, 5, 1, 0, 0}, false, true,
		{1, 4, 0, 0, 0}, false, false},
	    {"it drains in the new era", {1, 5, 0, 0, 0}, false, true,
		{1, 6, 1, 0, 0}, false, false},
	    {"its removal is lost", {1, 5, 0, 0, 0}, true, true,
		{1, 5, 0, 0, 0}, false, false},
	    {"the removal of a draining one is lost", {1, 5, 1, 0, 0}, true,
		true, {1, 3, 0, 0, 0}, false, false},
	    {"the process before", {2, 1, 0, 0, 0}, false, true,
		{1, 9, 1, 0, 0}, true, true},
	    {"joined after the copy", {1, 5, 0, 0, 0}, false, false,
		{0, 0, 0, 0, 0}, true, false},
	    {"drains, joined after the copy", {1, 5, 1, 0, 0}, false, false,
		{0, 0, 0, 0, 0}, false, false},
	};
	view_test_t *test = *state;
	char id[16];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const era_case_t *c = &cases[i];

		snprintf(id, sizeof(id), "t%zu", i);
		test->version = 1000;
		apply_heartbeat(test, id, &c->known);
		if (c->was_removed)
			msp_remove_registration(
			    test->view, id, ++test->version);
		test->clock.now += 10 * MSP_SECOND;
		/* Versions begin far below those before. */
		test->version = 3;
		msp_begin_store_era(test->view);
		msp_begin_snapshot(test->view);
		if (c->has_row)
			apply_heartbeat(test, id, &c->row);
		msp_end_snapshot(test->view, test->version + 1);
		if (is_usable(test, id) != c->usable)
			fail_msg("%s: at once", c->name);
		test->clock.now += MSP_LAPSED_HOLD_TIME;
		msp_tick_target_view(test->view);
		if (is_usable(test, id) != c->usable_later)
			fail_msg("%s: later", c->name);
	}
}

/* What the view learns in one era must not hold back what the next one says. */
static void
changes_are_applied_in_each_era(void **state)
{
	view_test_t *test = *state;
	const heartbeat_t ready = {1, 5, 0, 0, 0};
	const heartbeat_t back = {1, 6, 0, 0, 0};
	const heartbeat_t drains = {1, 7, 1, 0, 0};
	unsigned int era;

	for (era = 0; era < 3; era++) {
		test->version = 1000 - era * 100;
		msp_begin_store_era(test->view);
		apply_heartbeat(test, "t", &ready);
		assert_true(is_usable(test, "t"));
	}
	/* It joined after the copy, and writes again in time. */
	test->version = 10;
	msp_begin_store_era(test->view);
	msp_begin_snapshot(test->view);
	msp_end_snapshot(test->view, ++test->version);
	apply_heartbeat(test, "t", &back);
	test->clock.now += 10 * MSP_SECOND;
	msp_tick_target_view(test->view);
	assert_true(is_usable(test, "t"));
	apply_heartbeat(test, "t", &drains);
	assert_false(is_usable(test, "t"));
}

static void
a_held_target_is_listed_after_a_heartbeat(void **state)
{
	view_test_t *test = *state;
	const heartbeat_t ready = {1, 2, 0, 0, 0};
	const heartbeat_t next = {1, 3, 0, 0, 0};

	apply_heartbeat(test, "t", &ready);
	msp_record_store_lost(test->view);
	msp_remove_registration(test->view, "t", ++test->version);
	test->clock.now += 60 * MSP_SECOND;
	msp_tick_target_view(test->view);
	assert_true(is_usable(test, "t"));
	msp_record_store_recovered(test->view, true);
	apply_heartbeat(test, "t", &next);
	test->clock.now += 60 * MSP_SECOND;
	msp_tick_target_view(test->view);
	assert_true(is_usable(test, "t"));
}

static void
targets_missing_in_a_snapshot_are_removed(void **state)
{
	view_test_t *test = *state;
	const heartbeat_t ready = {1, 2, 0, 0, 0};

	apply_heartbeat(test, "kept", &ready);
	apply_heartbeat(test, "gone", &ready);
	msp_begin_snapshot(test->view);
	apply_heartbeat(test, "kept", &ready);
	apply_heartbeat(test, "new", &ready);
	msp_end_snapshot(test->view, ++test->version);
	assert_true(is_usable(test, "kept"));
	assert_true(is_usable(test, "new"));
	assert_false(is_usable(test, "gone"));
}

static void
a_target_is_cold_for_the_reported_time(void **state)
{
	view_test_t *test = *state;
	const heartbeat_t cold = {1, 1, 0, 3000, 0};
	const heartbeat_t warm = {1, 2, 0, 0, 0};
	const msp_view_target_t *target;

	apply_heartbeat(test, "t", &cold);
	target = msp_find_view_target(test->view, "t");
	assert_true(msp_target_is_cold(target, test->clock.now));
	assert_true(
	    msp_target_is_cold(target, test->clock.now + 2900 * MSP_MS));
	assert_false(
	    msp_target_is_cold(target, test->clock.now + 3000 * MSP_MS));
	apply_heartbeat(test, "t", &warm);
	assert_false(msp_target_is_cold(target, test->clock.now));
}

static void
removed_targets_are_dropped_after_the_retention(void **state)
{
	view_test_t *test = *state;
	const heartbeat_t ready = {1, 2, 0, 0, 0};
	msp_view_target_t *target;

	apply_heartbeat(test, "t", &ready);
	target = msp_keep_view_target(msp_find_view_target(test->view, "t"));
	msp_remove_registration(test->view, "t", ++test->version);
	test->clock.now += MSP_REMOVED_RETENTION;
	msp_tick_target_view(test->view);
	assert_null(msp_find_view_target(test->view, "t"));
	/* A request that holds a reference may still use it. */
	assert_string_equal(target->registration.id, "t");
	msp_release_view_target(target);
}

#define VIEW_TEST(name_) \
	cmocka_unit_test_setup_teardown(name_, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    VIEW_TEST(view_never_returns_to_an_older_state),
	    VIEW_TEST(an_older_row_changes_nothing),
	    VIEW_TEST(an_invalid_row_neither_adds_nor_changes_a_target),
	    VIEW_TEST(entries_that_expired_in_an_outage_are_held),
	    VIEW_TEST(a_held_target_is_listed_after_a_heartbeat),
	    VIEW_TEST(an_older_copy_of_the_store_changes_no_target),
	    VIEW_TEST(changes_are_applied_in_each_era),
	    VIEW_TEST(targets_missing_in_a_snapshot_are_removed),
	    VIEW_TEST(a_target_is_cold_for_the_reported_time),
	    VIEW_TEST(removed_targets_are_dropped_after_the_retention),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
