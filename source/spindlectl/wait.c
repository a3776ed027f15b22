#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

#define POLL_PERIOD (100 * MSP_MS)
#define PROGRESS_PERIOD (2 * MSP_SECOND)

/* Who is below a version, while a status is read. */
typedef struct laggards {
	const char *quote; /* around each name */
	uint64_t version;
	size_t total; /* VMs looked at, and other places */
	size_t count; /* of those below */
	msp_buffer_t *names;
} laggards_t;

static void
add_laggard(laggards_t *laggards, const char *name)
{
	msp_append_printf(laggards->names, "%s%s%s%s",
	    laggards->count > 0 ? "," : "", laggards->quote, name,
	    laggards->quote);
	laggards->count++;
}

/* The VMs of the data centre that was asked. */
static void
check_vms(laggards_t *laggards, json_object *vms)
{
	size_t i;

	for (i = 0; i < json_object_array_length(vms); i++) {
		json_object *vm = json_object_array_get_idx(vms, i);

		if (strcmp(get_json_text(vm, "state"), "leaving") == 0)
			continue;
		laggards->total++;
		if (get_json_number(vm, "version") < laggards->version)
			add_laggard(laggards, get_json_text(vm, "vm"));
	}
}

/*
 * The other data centres, each with the lowest version of its live VMs. One
 * that was not heard of lately is below any version.
 */
static void
check_places(laggards_t *laggards, json_object *places)
{
	json_object *stale;
	size_t i;

	for (i = 0; i < json_object_array_length(places); i++) {
		json_object *place = json_object_array_get_idx(places, i);

		laggards->total++;
		if (get_json_number(place, "version") < laggards->version ||
		    (json_object_object_get_ex(place, "stale", &stale) &&
			json_object_get_boolean(stale)))
			add_laggard(laggards, get_json_text(place, "place"));
	}
}

/* Lists who is below `version`; returns how many there are. */
static size_t
list_missing(const ctl_t *ctl, json_object *status, uint64_t version,
    size_t *total, msp_buffer_t *missing)
{
	laggards_t laggards = {.quote = ctl->options.json ? "\"" : "",
	    .version = version,
	    .names = missing};
	json_object *list;

	msp_clear_buffer(missing);
	if (json_object_object_get_ex(status, "vms", &list) &&
	    json_object_is_type(list, json_type_array))
		check_vms(&laggards, list);
	if (laggards.total == 0)
		return 1;
	if (json_object_object_get_ex(status, "places", &list) &&
	    json_object_is_type(list, json_type_array))
		check_places(&laggards, list);
	*total = laggards.total;
	return laggards.count;
}

ctl_exit_t
wait_until_in_force(ctl_t *ctl, uint64_t version, msp_buffer_t *missing)
{
	msp_time_t next_progress = msp_now(&ctl->env) + PROGRESS_PERIOD;
	ctl_exit_t code = CTL_OK;
	json_object *status;
	size_t total = 0;
	size_t count = 1;

	for (;;) {
		status = fetch_json(ctl, "/v1/status", &code);
		if (status != NULL) {
			count =
			    list_missing(ctl, status, version, &total, missing);
			json_object_put(status);
		}
		if (count == 0)
			return CTL_OK;
		if (time_left(ctl) == 0)
			return CTL_NOT_IN_FORCE;
		if (msp_now(&ctl->env) >= next_progress) {
			print_error("version %" PRIu64
				    " in force at %zu of %zu VMs and places, "
				    "waiting for %s",
			    version, total - count, total,
			    msp_buffer_text(missing));
			next_progress += PROGRESS_PERIOD;
		}
		run_ctl_loop(ctl, POLL_PERIOD);
	}
}
