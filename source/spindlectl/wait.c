#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

#define POLL_PERIOD (100 * MSP_MS)
#define PROGRESS_PERIOD (2 * MSP_SECOND)

/* Lists the live VMs that are below `version`; returns how many there are. */
static size_t
list_missing(const ctl_t *ctl, json_object *status, uint64_t version,
    size_t *total, msp_buffer_t *missing)
{
	const char *quote = ctl->options.json ? "\"" : "";
	json_object *vms = NULL;
	size_t count = 0;
	size_t i;

	*total = 0;
	msp_clear_buffer(missing);
	if (!json_object_object_get_ex(status, "vms", &vms) ||
	    !json_object_is_type(vms, json_type_array))
		return 1;
	for (i = 0; i < json_object_array_length(vms); i++) {
		json_object *vm = json_object_array_get_idx(vms, i);

		if (strcmp(json_text(vm, "state"), "leaving") == 0)
			continue;
		(*total)++;
		if (json_number(vm, "version") >= version)
			continue;
		msp_print_buffer(missing, "%s%s%s%s", count > 0 ? "," : "",
		    quote, json_text(vm, "vm"), quote);
		count++;
	}
	return *total == 0 ? 1 : count;
}

ctl_exit_t
wait_in_force(ctl_t *ctl, uint64_t version, msp_buffer_t *missing)
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
			complain("version %" PRIu64
				 " in force at %zu of %zu VMs, waiting for %s",
			    version, total - count, total,
			    msp_buffer_text(missing));
			next_progress += PROGRESS_PERIOD;
		}
		pause_ctl(ctl, POLL_PERIOD);
	}
}
