#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <json-c/json.h>

#include "fleet_group.h"

/*
 * A data centre is drained, and its clients spill over to the other region.
 * They are served as soon as that region has offered credit; until then they
 * are refused at once, with a Retry-After header.
 */

static const fleet_place_t places[] = {
    {"a", "north", 2, 1}, {"b", "south", 2, 2}, {0}};

static int
start_fleet(void **state)
{
	fleet_options_t options = {
	    .places = places, .service = "desk", .slots = 4};

	return start_fleet_group(state, &options);
}

/*
 * Sends a request to a VM of the drained place. A refusal must have a
 * Retry-After header.
 */
static bool
is_served_by_south(void *ctx)
{
	fleet_t *fleet = ctx;
	fleet_reply_t reply;
	const char *text;
	bool served;

	send_fleet_request(fleet, fleet->vms[0].port, "GET",
	    "/v1/services/desk/x", NULL, NULL, &reply);
	text = msp_buffer_text(&reply.response.body);
	served =
	    reply.http_status == 200 && strstr(text, "\"target\":\"b-") != NULL;
	if (!served &&
	    (reply.http_status != 503 ||
		msp_find_header(&reply.response.headers, "retry-after") ==
		    NULL))
		fail_msg("%d: %s", reply.http_status, text);
	msp_drop_response(&reply.response);
	return served;
}

static void
drain_place(fleet_t *fleet)
{
	fleet_reply_t reply;
	json_object *doc;
	json_object *digest;
	char note[400];

	send_operator_request(fleet, 0, "GET", "/v1/status", NULL, &reply);
	doc = json_tokener_parse(msp_buffer_text(&reply.response.body));
	assert_true(json_object_object_get_ex(doc, "digest", &digest));
	snprintf(note, sizeof(note),
	    "{\"id\":\"drain-a\",\"base_version\":1,\"base_digest\":\"%s\","
	    "\"change\":{\"places\":[{\"name\":\"a\",\"region\":\"north\","
	    "\"state\":\"draining\"}]}}",
	    json_object_get_string(digest));
	json_object_put(doc);
	msp_drop_response(&reply.response);
	assert_int_equal(post_fleet_note(fleet, 0, note), 201);
	assert_true(wait_fleet_version(fleet, 2));
}

static void
drained_place_spills_over_to_the_other_region(void **state)
{
	fleet_t *fleet = *state;
	fleet_reply_t reply;

	/* Starts both dispatchers, so that they offer credit. */
	send_fleet_request(fleet, fleet->vms[0].port, "GET",
	    "/v1/services/desk/x", NULL, NULL, &reply);
	assert_int_equal(reply.http_status, 200);
	msp_drop_response(&reply.response);
	send_fleet_request(fleet, fleet->vms[2].port, "GET",
	    "/v1/services/desk/x", NULL, NULL, &reply);
	assert_int_equal(reply.http_status, 200);
	msp_drop_response(&reply.response);
	drain_place(fleet);
	assert_true(wait_fleet_until(fleet, is_served_by_south, fleet));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(drained_place_spills_over_to_the_other_region),
	};

	return cmocka_run_group_tests(tests, start_fleet, stop_fleet_group);
}
