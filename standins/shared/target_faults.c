#include "target_faults.h"

#include <stdio.h>
#include <string.h>

#include "reply.h"

static const char *const mode_names[MODE_COUNT] = {
    [MODE_OK] = "ok",
    [MODE_SHED] = "shed",
    [MODE_CUT] = "cut",
    [MODE_SILENT] = "silent",
    [MODE_SILENT_OLD] = "silent-old",
    [MODE_CHUNKED] = "chunked",
};

static msp_status_t
parse_mode(const char *name, target_mode_t *mode)
{
	int i;

	for (i = 0; i < MODE_COUNT; i++) {
		if (strcmp(mode_names[i], name) == 0) {
			*mode = (target_mode_t)i;
			return MSP_OK;
		}
	}
	return msp_fail(MSP_E_BAD_REQUEST, "unknown mode \"%s\"", name);
}

static msp_status_t
apply_member(target_faults_t *faults, json_object *control, const char *name)
{
	if (strcmp(name, "mode") == 0)
		return MSP_OK;
	if (strcmp(name, "crash_path") == 0)
		snprintf(faults->crash_path, sizeof(faults->crash_path), "%s",
		    get_member_text(control, name, ""));
	else if (strcmp(name, "slow_ms") == 0)
		faults->slow_ms = (uint32_t)get_member_number(control, name, 0);
	else if (strcmp(name, "chunk_bytes") == 0)
		faults->chunk_bytes =
		    (size_t)get_member_number(control, name, 0);
	else if (strcmp(name, "report_in_use") == 0)
		faults->reported_in_use =
		    (int)get_member_number(control, name, -1);
	else if (strcmp(name, "leaving") == 0)
		faults->leaving = json_object_get_boolean(
		    json_object_object_get(control, name));
	else
		return msp_fail(
		    MSP_E_BAD_REQUEST, "unknown member \"%s\"", name);
	if (strcmp(name, "report_in_use") == 0)
		faults->overrides_in_use = faults->reported_in_use >= 0;
	return MSP_OK;
}

msp_status_t
apply_control(target_faults_t *faults, json_object *control, msp_time_t now)
{
	target_faults_t next = *faults;
	const char *mode = get_member_text(control, "mode", NULL);
	msp_status_t status = MSP_OK;

	if (mode != NULL && strcmp(mode, "ok") == 0)
		next = (target_faults_t){0};
	if (mode != NULL) {
		status = parse_mode(mode, &next.mode);
		next.mode_set_at = now;
	}
	json_object_object_foreach(control, name, value)
	{
		(void)value;
		if (status == MSP_OK)
			status = apply_member(&next, control, name);
	}
	if (status == MSP_OK)
		*faults = next;
	return status;
}
