#include <inttypes.h>
#include <stdio.h>
#include <unistd.h>

#include "ctl.h"

#define RETRY_PAUSE (300 * MSP_MS)

/* How far a note has come. */
typedef struct sending {
	const msp_note_t *note;
	msp_buffer_t text;
	bool first_try;
	bool in_doubt; /* a VM may have accepted it, or may yet */
	ctl_response_t answer;
} sending_t;

static bool
is_final(const ctl_response_t *answer)
{
	return answer->status == MSP_OK && answer->http_status < 500;
}

/* Whether the VM may have taken the note in spite of its answer. */
static bool
leaves_doubt(const ctl_response_t *answer)
{
	if (answer->status != MSP_OK)
		return answer->maybe_sent;
	return answer->http_status != 503;
}

/* Sends to one VM after the other, the same id each time. */
static ctl_exit_t
send_until_final(ctl_t *ctl, sending_t *sending)
{
	ctl_options_t *options = &ctl->options;
	ctl_response_t *answer = &sending->answer;

	for (;;) {
		call_vm(ctl, &options->vms[ctl->current_vm], "POST",
		    "/v1/releases", &sending->text, sending->first_try, answer);
		if (is_final(answer))
			return CTL_OK;
		if (leaves_doubt(answer)) {
			sending->in_doubt = true;
			sending->first_try = false;
		}
		if (time_left(ctl) == 0)
			break;
		if (isatty(STDERR_FILENO))
			print_error("%s: no final answer yet, sending again",
			    sending->note->id);
		drop_response(answer);
		ctl->current_vm = (ctl->current_vm + 1) % options->vm_count;
		run_ctl_loop(ctl, RETRY_PAUSE);
	}
	report_problem(ctl, answer);
	if (sending->in_doubt)
		print_error(
		    "whether note %s was accepted is not known: apply it "
		    "again with this id",
		    sending->note->id);
	else
		print_error("note %s was not accepted", sending->note->id);
	return CTL_UNREACHABLE;
}

static void
print_accepted(const ctl_t *ctl, const char *id, json_object *accepted,
    ctl_exit_t code, const char *missing)
{
	uint64_t version = get_json_number(accepted, "version");

	if (ctl->options.json) {
		printf("{\"id\":\"%s\",\"version\":%" PRIu64
		       ",\"digest\":\"%s\",\"rebased\":%s",
		    id, version, get_json_text(accepted, "digest"),
		    get_json_text(accepted, "rebased")[0] == 't' ? "true"
								 : "false");
		if (ctl->options.wait)
			printf(",\"in_force\":%s,\"missing\":[%s]",
			    code == CTL_OK ? "true" : "false", missing);
		printf("}\n");
		return;
	}
	printf("%s: accepted as version %" PRIu64 "%s%s\n", id, version,
	    get_json_text(accepted, "rebased")[0] == 't'
		? ", after notes of others"
		: "",
	    ctl->options.wait && code == CTL_OK ? ", in force everywhere" : "");
	if (code == CTL_NOT_IN_FORCE)
		print_error("not in force in time at: %s", missing);
}

ctl_exit_t
send_note(ctl_t *ctl, const msp_note_t *note, bool new_id)
{
	sending_t sending = {.note = note, .first_try = new_id};
	msp_buffer_t missing = {0};
	json_object *accepted = NULL;
	ctl_exit_t code;

	if (msp_print_note(note, &sending.text) != MSP_OK) {
		print_error("%s", msp_last_message());
		code = CTL_USAGE;
		goto out;
	}
	code = send_until_final(ctl, &sending);
	if (code != CTL_OK)
		goto out;
	if (sending.answer.http_status >= 300) {
		code = report_problem(ctl, &sending.answer);
		goto out;
	}
	accepted = json_tokener_parse(msp_buffer_text(&sending.answer.body));
	if (ctl->options.wait)
		code = wait_until_in_force(
		    ctl, get_json_number(accepted, "version"), &missing);
	print_accepted(
	    ctl, note->id, accepted, code, msp_buffer_text(&missing));
out:
	json_object_put(accepted);
	drop_response(&sending.answer);
	msp_drop_buffer(&sending.text);
	msp_drop_buffer(&missing);
	return code;
}
