#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

msp_note_t *
read_note_file(const char *path, ctl_exit_t *code)
{
	msp_buffer_t text = {.limit = MSP_NOTE_BYTES_MAX + 1};
	msp_note_t *note = NULL;
	msp_status_t status = read_input_file(path, &text);

	*code = CTL_USAGE;
	if (status == MSP_OK)
		status = msp_parse_note(msp_buffer_text(&text), text.len,
		    strcmp(path, "-") == 0 ? "standard input" : path, &note);
	if (status != MSP_OK)
		print_ctl_error("%s", msp_last_message());
	else
		*code = CTL_OK;
	msp_drop_buffer(&text);
	return note;
}

ctl_exit_t
set_note_defaults(ctl_t *ctl, msp_note_t *note, bool *new_id)
{
	json_object *status;
	msp_digest_t digest;
	ctl_exit_t code = CTL_OK;

	*new_id = note->id[0] == '\0';
	if (*new_id)
		snprintf(note->id, sizeof(note->id), "note-%016" PRIx64,
		    ctl->env.random(ctl->env.ctx));
	if (note->comment[0] == '\0' && ctl->options.comment != NULL)
		snprintf(note->comment, sizeof(note->comment), "%s",
		    ctl->options.comment);
	if (note->has_base)
		return CTL_OK;
	status = fetch_json(ctl, "/v1/status", &code);
	if (status == NULL)
		return code;
	if (msp_parse_digest(get_json_text(status, "digest"), &digest) == 0) {
		msp_set_note_base(
		    note, get_json_number(status, "version"), digest);
	} else {
		print_ctl_error("the VM's status has no digest");
		code = CTL_UNREACHABLE;
	}
	json_object_put(status);
	return code;
}
