#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/config.h"

/* Two regions with a place each, a link, a service, two targets, two blocks. */
static const char first_note[] =
    "{ // first\n\"id\":\"n1\",\"add\":{"
    "\"regions\":[{\"name\":\"r1\"},{\"name\":\"r2\"}],"
    "\"places\":[{\"name\":\"p1\",\"region\":\"r1\"},"
    "{\"name\":\"p2\",\"region\":\"r2\"}],"
    "\"links\":[{\"name\":\"l1\",\"region_a\":\"r1\",\"region_b\":\"r2\","
    "\"max_requests_per_s\":100,\"max_bytes_per_s\":1000000}],"
    "\"services\":[{\"name\":\"desk\",\"routes\":["
    "{\"method\":\"GET\",\"prefix\":\"/\",\"class\":\"interactive\"},"
    "{\"method\":\"GET\",\"prefix\":\"/archive\",\"class\":\"background\"},"
    "{\"method\":\"*\",\"prefix\":\"/orders\",\"class\":\"commit\"}]}],"
    "\"targets\":["
    "{\"name\":\"t2\",\"service\":\"desk\",\"place\":\"p1\","
    "\"address\":\"10.0.0.2\",\"port\":80,\"slots\":9},"
    "{\"name\":\"t1\",\"service\":\"desk\",\"place\":\"p1\","
    "\"address\":\"10.0.0.1\",\"port\":80,\"slots\":9}],"
    "\"blocks\":[{\"prefix\":\"192.0.2.0/24\",\"region\":\"r1\","
    "\"place\":\"p1\"},{\"prefix\":\"2001:db8::/32\",\"region\":\"r2\"}]}}";

static msp_note_t *
parse(const char *text)
{
	msp_note_t *note;

	if (msp_parse_note(text, strlen(text), "note", &note) != MSP_OK)
		fail_msg("%s: %s", text, msp_last_message());
	return note;
}

/* Parses a note, rebases it to `base` and applies it. */
static msp_status_t
apply(const msp_release_t *base, const char *text, msp_release_t **next)
{
	msp_note_t *note = parse(text);
	msp_status_t status;

	msp_set_note_base(note, base->version, base->digest);
	status = msp_apply_note(base, note, next);
	msp_drop_note(note);
	return status;
}

static msp_release_t *
first_release(void)
{
	msp_release_t *empty = msp_new_release();
	msp_release_t *release;

	assert_int_equal(apply(empty, first_note, &release), MSP_OK);
	msp_drop_release(empty);
	return release;
}

#define TARGET(name_, address_, place_)                                    \
	"{\"name\":\"" name_ "\",\"service\":\"desk\",\"place\":\"" place_ \
	"\",\"address\":\"" address_ "\",\"port\":80,\"slots\":1}"

/* Well-formed notes whose resulting release would be invalid. */
static const struct {
	const char *text;
	const char *key;
	const char *message;
} invalid_changes[] = {
    {"{\"id\":\"n\",\"add\":{\"regions\":[{\"name\":\"r1\"}]}}",
	"add.regions.r1", "already exists"},
    {"{\"id\":\"n\",\"change\":{\"regions\":[{\"name\":\"r9\"}]}}",
	"change.regions.r9", "no such item"},
    {"{\"id\":\"n\",\"withdraw\":{\"targets\":[\"t9\"]}}",
	"withdraw.targets.t9", "no such item"},
    {"{\"id\":\"n\",\"withdraw\":{\"blocks\":[\"10.0.0.0/8\"]}}",
	"withdraw.blocks.10.0.0.0/8", "no such item"},
    {"{\"id\":\"n\",\"add\":{\"places\":[{\"name\":\"p\",\"region\":"
     "\"r9\"}]}}",
	"add.places.p.region", "no region \"r9\""},
    {"{\"id\":\"n\",\"add\":{\"targets\":[" TARGET("t", "10.0.0.9", "p9") "]}}",
	"add.targets.t.place", "no place \"p9\""},
    {"{\"id\":\"n\",\"add\":{\"targets\":[{\"name\":\"t\",\"service\":\"x\","
     "\"place\":\"p1\",\"address\":\"10.0.0.9\",\"port\":1,\"slots\":1}]}}",
	"add.targets.t.service", "no service \"x\""},
    {"{\"id\":\"n\",\"add\":{\"targets\":[" TARGET("t", "10.0.0.1", "p1") "]}}",
	"add.targets.t.address", "same address and port as target \"t1\""},
    {"{\"id\":\"n\",\"change\":{\"targets\":[" TARGET(
	 "t1", "10.0.0.2", "p1") "]}}",
	"change.targets.t1.address", "as target \"t2\""},
    {"{\"id\":\"n\",\"add\":{\"targets\":[" TARGET("a", "::1", "p1") "," TARGET(
	 "b", "0:0::1", "p2") "]}}",
	"add.targets.a.address", "as target \"b\""},
    {"{\"id\":\"n\",\"withdraw\":{\"places\":[\"p1\"]}}", "withdraw.places.p1",
	"still used by target \"t1\""},
    {"{\"id\":\"n\",\"withdraw\":{\"places\":[\"p1\"],\"targets\":[\"t1\","
     "\"t2\"]}}",
	"withdraw.places.p1", "still used by block \"192.0.2.0/24\""},
    {"{\"id\":\"n\",\"withdraw\":{\"regions\":[\"r2\"]}}",
	"withdraw.regions.r2", "still used by place \"p2\""},
    {"{\"id\":\"n\",\"withdraw\":{\"services\":[\"desk\"]}}",
	"withdraw.services.desk", "still used by target"},
    {"{\"id\":\"n\",\"change\":{\"places\":[{\"name\":\"p1\",\"region\":"
     "\"r2\"}]}}",
	"change.places.p1.region", "differs from that of block"},
    {"{\"id\":\"n\",\"add\":{\"links\":[{\"name\":\"l2\",\"region_a\":\"r2\","
     "\"region_b\":\"r1\",\"max_requests_per_s\":1,\"max_bytes_per_s\":1}]}}",
	"add.links.l2.region_b", "same regions as link \"l1\""},
    {"{\"id\":\"n\",\"add\":{\"links\":[{\"name\":\"l2\",\"region_a\":\"r2\","
     "\"region_b\":\"r2\",\"max_requests_per_s\":1,\"max_bytes_per_s\":1}]}}",
	"add.links.l2.region_b", "same as region_a"},
    {"{\"id\":\"n\",\"add\":{\"blocks\":[{\"prefix\":\"10.0.0.0/8\","
     "\"region\":\"r1\",\"place\":\"p2\"}]}}",
	"add.blocks.10.0.0.0/8.place", "in another region"},
    {"{\"id\":\"n\",\"add\":{\"services\":[{\"name\":\"s\",\"routes\":["
     "{\"method\":\"get\",\"prefix\":\"/\",\"class\":\"commit\"}]}]}}",
	"add.services.s.routes.method", "not an HTTP method \"get\""},
    {"{\"id\":\"n\",\"add\":{\"services\":[{\"name\":\"s\",\"routes\":["
     "{\"method\":\"GET\",\"prefix\":\"a\",\"class\":\"commit\"}]}]}}",
	"add.services.s.routes.prefix", "does not start with /"},
    {"{\"id\":\"n\",\"add\":{\"services\":[{\"name\":\"s\",\"routes\":["
     "{\"method\":\"GET\",\"prefix\":\"/\",\"class\":\"commit\"},"
     "{\"method\":\"GET\",\"prefix\":\"/\",\"class\":\"background\"}]}]}}",
	"add.services.s.routes", "duplicate method and prefix"},
};

static void
invalid_change_errors_contain_item_and_reason(void **state)
{
	msp_release_t *base = first_release();
	msp_buffer_t before = {0};
	msp_buffer_t after = {0};
	msp_release_t *next = NULL;
	size_t i;

	(void)state;
	assert_int_equal(msp_print_release(base, &before), MSP_OK);
	for (i = 0; i < sizeof(invalid_changes) / sizeof(invalid_changes[0]);
	     i++) {
		if (apply(base, invalid_changes[i].text, &next) !=
		    MSP_E_INVALID_NOTE)
			fail_msg("%s: accepted", invalid_changes[i].text);
		if (strstr(msp_last_message(), invalid_changes[i].key) ==
			NULL ||
		    strstr(msp_last_message(), invalid_changes[i].message) ==
			NULL)
			fail_msg("%s: \"%s\"", invalid_changes[i].text,
			    msp_last_message());
	}
	assert_null(next);
	assert_int_equal(msp_print_release(base, &after), MSP_OK);
	assert_string_equal(msp_buffer_text(&before), msp_buffer_text(&after));
	msp_drop_buffer(&before);
	msp_drop_buffer(&after);
	msp_drop_release(base);
}

static void
items_are_found_by_key(void **state)
{
	msp_release_t *release = first_release();
	const msp_service_t *desk = msp_find_service(release, "desk");
	msp_cursor_t cursor = {0};
	msp_prefix_t prefix;

	(void)state;
	assert_int_equal(release->version, 1);
	assert_int_equal(release->counts[MSP_ITEM_TARGET], 2);
	assert_non_null(desk);
	assert_null(msp_find_service(release, "des"));
	assert_string_equal(msp_find_place(release, "p2")->region, "r2");
	assert_int_equal(msp_find_target(release, "t1")->slots, 9);
	assert_string_equal(msp_find_link(release, "r2", "r1")->name, "l1");
	assert_int_equal(msp_parse_prefix("2001:db8::/32", &prefix), MSP_OK);
	assert_string_equal(msp_find_block(release, &prefix)->region, "r2");
	assert_string_equal(
	    msp_next_target(release, "desk", "p1", &cursor)->name, "t1");
	assert_string_equal(
	    msp_next_target(release, "desk", "p1", &cursor)->name, "t2");
	assert_null(msp_next_target(release, "desk", "p1", &cursor));
	cursor = (msp_cursor_t){0};
	assert_null(msp_next_target(release, "desk", "p2", &cursor));
	cursor = (msp_cursor_t){0};
	assert_non_null(msp_next_target(release, "desk", NULL, &cursor));
	msp_drop_release(release);
}

static const struct {
	const char *method;
	const char *path;
	int class; /* -1: no route */
} route_cases[] = {
    {"GET", "/", MSP_CLASS_INTERACTIVE},
    {"HEAD", "/x/y", MSP_CLASS_INTERACTIVE},
    {"GET", "/archive", MSP_CLASS_BACKGROUND},
    {"GET", "/archive/7?q=1", MSP_CLASS_BACKGROUND},
    {"GET", "/archive?q=1", MSP_CLASS_BACKGROUND},
    {"GET", "/archives", MSP_CLASS_INTERACTIVE},
    {"GET", "/orders/1", MSP_CLASS_COMMIT},
    {"POST", "/orders", MSP_CLASS_COMMIT},
    {"POST", "/archive", -1},
};

static void
routes_match_by_longest_prefix(void **state)
{
	msp_release_t *release = first_release();
	const msp_service_t *desk = msp_find_service(release, "desk");
	const msp_service_route_t *route;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(route_cases) / sizeof(route_cases[0]); i++) {
		route = msp_match_service_route(
		    desk, route_cases[i].method, route_cases[i].path);
		if ((route == NULL ? -1 : (int)route->class) !=
		    route_cases[i].class)
			fail_msg("%s %s", route_cases[i].method,
			    route_cases[i].path);
	}
	msp_drop_release(release);
}

static void
printed_notes_and_releases_parse_back(void **state)
{
	msp_release_t *release = first_release();
	msp_note_t *note = parse(first_note);
	msp_note_t *reparsed;
	msp_release_t *loaded;
	msp_digest_t digest;
	msp_digest_t other;
	msp_buffer_t a = {0};
	msp_buffer_t b = {0};
	size_t len;

	(void)state;
	assert_int_equal(msp_print_note(note, &a), MSP_OK);
	reparsed = parse(msp_buffer_text(&a));
	msp_digest_note(note, &digest);
	msp_set_note_base(reparsed, 7, digest);
	msp_digest_note(reparsed, &other);
	assert_true(msp_digest_equal(digest, other));
	msp_drop_note(reparsed);
	msp_drop_note(note);

	msp_clear_buffer(&a);
	assert_int_equal(msp_print_release(release, &a), MSP_OK);
	assert_int_equal(
	    msp_parse_release(a.data, a.len, "snapshot", &loaded), MSP_OK);
	assert_int_equal(msp_print_release(loaded, &b), MSP_OK);
	assert_string_equal(a.data, b.data);
	msp_drop_release(loaded);
	for (len = 0; len < a.len; len++)
		assert_int_not_equal(
		    msp_parse_release(a.data, len, "truncated", &loaded),
		    MSP_OK);
	for (len = 0; len < a.len; len += 7) {
		a.data[len] ^= 1;
		assert_int_not_equal(
		    msp_parse_release(a.data, a.len, "corrupted", &loaded),
		    MSP_OK);
		a.data[len] ^= 1;
	}
	msp_drop_buffer(&a);
	msp_drop_buffer(&b);
	msp_drop_release(release);
}

static void
note_applies_only_to_its_base(void **state)
{
	msp_release_t *release = first_release();
	msp_note_t *note = parse("{\"id\":\"n\",\"withdraw\":{\"targets\":"
				 "[\"t1\"]}}");
	msp_release_t *next = NULL;
	msp_digest_t other = {1, 2};

	(void)state;
	assert_int_equal(msp_apply_note(release, note, &next), MSP_E_CONFLICT);
	msp_set_note_base(note, 2, release->digest);
	assert_int_equal(msp_apply_note(release, note, &next), MSP_E_CONFLICT);
	msp_set_note_base(note, 1, other);
	assert_int_equal(msp_apply_note(release, note, &next), MSP_E_CONFLICT);
	assert_null(next);
	msp_set_note_base(note, 1, release->digest);
	assert_int_equal(msp_apply_note(release, note, &next), MSP_OK);
	assert_null(msp_find_target(next, "t1"));
	assert_non_null(msp_find_target(release, "t1"));
	msp_drop_release(next);
	msp_drop_note(note);
	msp_drop_release(release);
}

/*
 * Compares random additions, changes and withdrawals of targets with an array
 * of their slots; 0 stands for no target.
 */
static void
random_changes_match_a_model(void **state)
{
	enum {
		NAMES = 700,
		ROUNDS = 300,
		SEED = 11
	};
	static int slots[NAMES];
	msp_release_t *release = first_release();
	msp_rng_t rng = {SEED};
	msp_release_t *next;
	char text[512];
	char name[16];
	int round;
	int i;

	(void)state;
	for (round = 0; round < ROUNDS; round++) {
		i = (int)(msp_next_random(&rng) % NAMES);
		if (slots[i] != 0 && msp_next_random(&rng) % 3 == 0) {
			snprintf(text, sizeof(text),
			    "{\"id\":\"n\",\"withdraw\":{\"targets\":"
			    "[\"x%d\"]}}",
			    i);
			slots[i] = 0;
		} else {
			snprintf(text, sizeof(text),
			    "{\"id\":\"n\",\"%s\":{\"targets\":[{\"name\":"
			    "\"x%d\",\"service\":\"desk\",\"place\":\"p%d\","
			    "\"address\":\"10.1.0.1\",\"port\":%d,"
			    "\"slots\":%d}]}}",
			    slots[i] == 0 ? "add" : "change", i, 1 + round % 2,
			    1 + i, 1 + round);
			slots[i] = 1 + round;
		}
		if (apply(release, text, &next) != MSP_OK)
			fail_msg("round %d: %s", round, msp_last_message());
		msp_drop_release(release);
		release = next;
	}
	for (i = 0; i < NAMES; i++) {
		const msp_target_t *target;
		msp_cursor_t cursor = {0};

		snprintf(name, sizeof(name), "x%d", i);
		target = msp_find_target(release, name);
		assert_int_equal(target == NULL ? 0 : target->slots, slots[i]);
		/* The index by service must contain the target too. */
		while (target != NULL &&
		    target !=
			msp_next_target(
			    release, "desk", target->place, &cursor))
			;
	}
	msp_drop_release(release);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(invalid_change_errors_contain_item_and_reason),
	    cmocka_unit_test(items_are_found_by_key),
	    cmocka_unit_test(routes_match_by_longest_prefix),
	    cmocka_unit_test(printed_notes_and_releases_parse_back),
	    cmocka_unit_test(note_applies_only_to_its_base),
	    cmocka_unit_test(random_changes_match_a_model),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
