#include <stdio.h>

#include "ctl.h"

/* Validates the note locally against the release in force at a VM. */
static ctl_exit_t
check_note(ctl_t *ctl, msp_note_t *note)
{
	msp_release_t *next = NULL;
	msp_release_t *release;
	ctl_exit_t code;

	release = fetch_release(ctl, &code);
	if (release == NULL)
		return code;
	if (!note->has_base)
		msp_set_note_base(note, release->version, release->digest);
	switch (msp_apply_note(release, note, &next)) {
	case MSP_OK:
		printf("%zu items would change version %llu\n",
		    note->change_count, (unsigned long long)release->version);
		break;
	case MSP_E_CONFLICT:
		print_ctl_error("%s", msp_last_message());
		code = CTL_REFUSED;
		break;
	default:
		print_ctl_error("%s", msp_last_message());
		code = CTL_USAGE;
		break;
	}
	msp_drop_release(next);
	msp_drop_release(release);
	return code;
}

ctl_exit_t
run_apply(ctl_t *ctl)
{
	msp_note_t *note;
	ctl_exit_t code;
	bool new_id;

	note = read_note_file(ctl->options.args[0], &code);
	if (note == NULL)
		return code;
	if (ctl->options.check) {
		code = check_note(ctl, note);
	} else {
		code = set_note_defaults(ctl, note, &new_id);
		if (code == CTL_OK)
			code = send_note(ctl, note, new_id);
	}
	msp_drop_note(note);
	return code;
}
