#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

#define POLL_PERIOD (100 * MSP_MS)
#define PROGRESS_PERIOD (2 * MSP_SECOND)

/* VMs and places of a status document that lack a version. */
typedef struct missing_list {
	const char *quote; /* printed around each name */
	uint64_t version;
	size_t total; /* VMs checked, and other places */
	size_t count; /* of those, the ones that lack it */
	msp_buffer_t *names; /* separated by commas; borrowed */
} missing_list_t;

static void
add_missing(missing_list_t *missing_list, const char *name)
{
	msp_append_printf(missing_list->names, "%s%s%s%s",
	    missing_list->count > 0 ? "," : "", missing_list->quote, name,
	    missing_list->quote);
	missing_list->count++;
}

/* Checks the VMs of the data centre of the VM that was called. */
static void
check_vms(missing_list_t *missing_list, json_object *vms)
{
	size_t i;

	for (i = 0; i < json_object_array_length(vms); i++) {
		json_object *vm = json_object_array_get_idx(vms, i);

		if (strcmp(get_json_text(vm, "state"), "leaving") == 0)
			continue;
		missing_list->total++;
		if (get_json_number(vm, "version") < missing_list->version)
			add_missing(missing_list, get_json_text(vm, "vm"));
	}
}

/*
 * Checks the other data centres, each by the lowest version of its live VMs.
 * One not heard from recently counts as missing.
 */
static void
check_places(missing_list_t *missing_list, json_object *places)
{
	json_object *stale;
	size_t i;

	for (i = 0; i < json_object_array_length(places); i++) {
		json_object *place = json_object_array_get_idx(places, i);

		missing_list->total++;
		if (get_json_number(place, "version") < missing_list->version ||
		    (json_object_object_get_ex(place, "stale", &stale) &&
			json_object_get_boolean(stale)))
			add_missing(
			    missing_list, get_json_text(place, "place"));
	}
}

/*
 * Lists the VMs and places that lack `version` and returns their number. A
 * status without VMs shows nothing: 1 is returned for it, so that the wait goes
 * on.
 */
static size_t
list_missing(const ctl_t *ctl, json_object *status, uint64_t version,
    size_t *total, msp_buffer_t *missing)
{
	missing_list_t missing_list = {.quote = ctl->options.json ? "\"" : "",
	    .version = version,
	    .names = missing};
	json_object *list;

	msp_clear_buffer(missing);
	if (json_object_object_get_ex(status, "vms", &list) &&
	    json_object_is_type(list, json_type_array))
		check_vms(&missing_list, list);
	if (missing_list.total == 0)
		return 1;
	if (json_object_object_get_ex(status, "places", &list) &&
	    json_object_is_type(list, json_type_array))
		check_places(&missing_list, list);
	*total = missing_list.total;
	return missing_list.count;
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
		if (get_time_left(ctl) == 0)
			return CTL_NOT_IN_FORCE;
		if (msp_now(&ctl->env) >= next_progress) {
			print_ctl_error(
			    "version %" PRIu64
			    " in force at %zu of %zu VMs and places, "
			    "waiting for %s",
			    version, total - count, total,
			    msp_buffer_text(missing));
			next_progress += PROGRESS_PERIOD;
		}
		run_ctl_loop(ctl, POLL_PERIOD);
	}
}
