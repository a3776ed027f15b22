#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "fleet.h"
#include "monsoonspindle/base/histogram.h"

/*
 * Time from the acceptance of a release note until it is in force on all VMs,
 * in a fleet of real processes: two data centres with two VMs each, as in the
 * demo.
 */

#define NOTES 20

static const fleet_place_t places[] = {
    {"a", "north", 2, 1}, {"b", "north", 2, 1}, {0}};

static void
print_note(fleet_t *fleet, int number, char *out, size_t size)
{
	fleet_reply_t reply;
	json_object *doc;
	json_object *digest = NULL;

	send_operator_request(fleet, 0, "GET", "/v1/status", NULL, &reply);
	doc = json_tokener_parse(msp_buffer_text(&reply.response.body));
	json_object_object_get_ex(doc, "digest", &digest);
	snprintf(out, size,
	    "{\"id\":\"in-force-%d\",\"base_version\":%d,\"base_digest\":"
	    "\"%s\",\"add\":{\"places\":[{\"name\":\"p%d\",\"region\":"
	    "\"north\"}]}}",
	    number, number, json_object_get_string(digest), number);
	json_object_put(doc);
	msp_drop_response(&reply.response);
}

int
main(void)
{
	fleet_options_t options = {
	    .places = places, .service = "desk", .slots = 4};
	fleet_t *fleet = new_fleet(&options);
	msp_env_t env = msp_system_env();
	static msp_histogram_t times; /* milliseconds */
	msp_time_t accepted;
	char note[400];
	int i;

	if (fleet == NULL || !apply_initial_note(fleet)) {
		drop_fleet(fleet);
		printf("the processes did not start\n");
		return EXIT_FAILURE;
	}
	for (i = 1; i <= NOTES; i++) {
		print_note(fleet, i, note, sizeof(note));
		if (post_fleet_note(fleet, 0, note) != 201)
			break;
		accepted = msp_now(&env);
		if (!wait_fleet_version(fleet, (uint64_t)i + 1))
			break;
		msp_record_value(&times, (msp_now(&env) - accepted) / MSP_MS);
	}
	printf("%d notes, 4 VMs in 2 data centres: in force on all VMs after "
	       "p50 %llu ms, max %llu ms\n",
	    (int)times.count, (unsigned long long)msp_quantile(&times, 0.5),
	    (unsigned long long)times.max);
	drop_fleet(fleet);
	return times.count == NOTES ? EXIT_SUCCESS : EXIT_FAILURE;
}
