#include <stdio.h>
#include <string.h>

#include "ctl.h"

/*
 * Creates a note that sets the state of one place or target to draining.
 * On an error, prints it, sets *code and returns NULL.
 */
static msp_note_t *
new_drain_note(ctl_t *ctl, const char *kind, const char *name, ctl_exit_t *code)
{
	msp_release_t *release = fetch_release(ctl, code);
	msp_buffer_t text = {0};
	msp_note_t *note = NULL;

	if (release == NULL)
		return NULL;
	*code = CTL_REFUSED;
	if (strcmp(kind, "place") == 0) {
		const msp_place_t *place = msp_find_place(release, name);
		msp_place_t draining;

		if (place == NULL)
			goto out;
		draining = *place;
		draining.state = MSP_STATE_DRAINING;
		msp_append_printf(&text, "{\"change\":{\"places\":[");
		msp_print_item(MSP_ITEM_PLACE, &draining, &text);
	} else {
		const msp_target_t *target = msp_find_target(release, name);
		msp_target_t draining;

		if (target == NULL)
			goto out;
		draining = *target;
		draining.state = MSP_STATE_DRAINING;
		msp_append_printf(&text, "{\"change\":{\"targets\":[");
		msp_print_item(MSP_ITEM_TARGET, &draining, &text);
	}
	msp_append_printf(&text, "]}}");
	if (msp_parse_note(msp_buffer_text(&text), text.len, "drain", &note) ==
	    MSP_OK) {
		msp_set_note_base(note, release->version, release->digest);
		snprintf(note->comment, sizeof(note->comment), "drain %s %s",
		    kind, name);
		*code = CTL_OK;
	}
out:
	if (note == NULL)
		print_ctl_error("no %s \"%s\" in the release", kind, name);
	msp_drop_buffer(&text);
	msp_drop_release(release);
	return note;
}

static ctl_exit_t
drain_item(ctl_t *ctl, const char *kind, const char *name)
{
	msp_note_t *note;
	ctl_exit_t code;
	bool new_id;

	note = new_drain_note(ctl, kind, name, &code);
	if (note == NULL)
		return code;
	code = set_note_defaults(ctl, note, &new_id);
	if (code == CTL_OK)
		code = send_note(ctl, note, new_id);
	msp_drop_note(note);
	return code;
}

/* Whether the VM at an operator port is the one named `name`. */
static bool
has_vm_name(ctl_t *ctl, const ctl_vm_t *vm, const char *name)
{
	ctl_response_t response;
	json_object *status;
	bool same;

	call_vm(ctl, vm, "GET", "/v1/status", NULL, false, &response);
	status = response.status == MSP_OK
	    ? json_tokener_parse(msp_buffer_text(&response.body))
	    : NULL;
	same = strcmp(get_json_text(status, "vm"), name) == 0;
	json_object_put(status);
	drop_response(&response);
	return same;
}

/*
 * Finds the address of a VM in the membership. Its operator port is taken to be
 * that of the VM just called, since all VMs of a deployment share the port.
 */
static bool
find_member_address(ctl_t *ctl, const char *name, ctl_vm_t *vm)
{
	json_object *members;
	ctl_exit_t code;
	bool found = false;
	size_t i;

	members = fetch_json(ctl, "/v1/members", &code);
	if (members == NULL)
		return false;
	vm->port = ctl->options.vms[ctl->current_vm].port;
	for (i = 0; !found && i < json_object_array_length(members); i++) {
		json_object *member = json_object_array_get_idx(members, i);

		if (strcmp(get_json_text(member, "vm"), name) != 0)
			continue;
		snprintf(vm->address, sizeof(vm->address), "%s",
		    get_json_text(member, "address"));
		found = true;
	}
	json_object_put(members);
	return found;
}

/* Finds the operator port of a VM among those of --vm, else by membership. */
static bool
find_operator_port(ctl_t *ctl, const char *name, ctl_vm_t *vm)
{
	size_t i;

	for (i = 0; i < ctl->options.vm_count; i++) {
		*vm = ctl->options.vms[i];
		if (has_vm_name(ctl, vm, name))
			return true;
	}
	return find_member_address(ctl, name, vm) && has_vm_name(ctl, vm, name);
}

static ctl_exit_t
drain_vm(ctl_t *ctl, const char *name)
{
	ctl_exit_t code = CTL_OK;
	ctl_response_t response;
	msp_buffer_t body = {0};
	ctl_vm_t vm;

	if (!find_operator_port(ctl, name, &vm)) {
		print_ctl_error("VM \"%s\" not found: give its operator port "
				"with --vm",
		    name);
		return CTL_UNREACHABLE;
	}
	msp_append_printf(&body, "{}");
	call_vm(ctl, &vm, "POST", "/v1/leave", &body, false, &response);
	msp_drop_buffer(&body);
	if (response.status != MSP_OK || response.http_status >= 300)
		code = report_problem(ctl, &response);
	else if (ctl->options.json)
		printf("%s\n", msp_buffer_text(&response.body));
	else
		printf("%s is leaving\n", name);
	drop_response(&response);
	return code;
}

ctl_exit_t
run_drain(ctl_t *ctl)
{
	const char *kind = ctl->options.args[0];
	const char *name = ctl->options.args[1];

	if (strcmp(kind, "vm") == 0)
		return drain_vm(ctl, name);
	if (strcmp(kind, "place") == 0 || strcmp(kind, "target") == 0)
		return drain_item(ctl, kind, name);
	print_ctl_error("drain: \"%s\" is not one of place, target, vm", kind);
	return CTL_USAGE;
}
