#include <inttypes.h>
#include <stdio.h>
#include <unistd.h>

#include "ctl.h"

#define RETRY_DELAY (300 * MSP_MS)

/* State of a note that is being sent. */
typedef struct submission {
	const msp_note_t *note;
	msp_buffer_t text;
	bool first_attempt; /* the id was never sent before */
	bool in_doubt; /* a VM may have accepted it, or may still do so */
	ctl_response_t response;
} submission_t;

/* Returns false for 5xx or no response: the note is then sent again. */
static bool
is_final(const ctl_response_t *response)
{
	return response->status == MSP_OK && response->http_status < 500;
}

/*
 * Whether the VM may have accepted the note although the response is not final.
 * A VM that responds with 503 has not.
 */
static bool
may_have_accepted(const ctl_response_t *response)
{
	if (response->status != MSP_OK)
		return response->maybe_sent;
	return response->http_status != 503;
}

/*
 * Sends the note to the VMs in turn until one gives a final response. The id
 * stays the same, so that the note is accepted only once.
 */
static ctl_exit_t
send_until_final(ctl_t *ctl, submission_t *submission)
{
	ctl_options_t *options = &ctl->options;
	ctl_response_t *response = &submission->response;

	for (;;) {
		call_vm(ctl, &options->vms[ctl->current_vm], "POST",
		    "/v1/releases", &submission->text,
		    submission->first_attempt, response);
		if (is_final(response))
			return CTL_OK;
		if (may_have_accepted(response)) {
			submission->in_doubt = true;
			submission->first_attempt = false;
		}
		if (get_time_left(ctl) == 0)
			break;
		if (isatty(STDERR_FILENO))
			print_ctl_error(
			    "%s: no final response yet, sending again",
			    submission->note->id);
		drop_response(response);
		ctl->current_vm = (ctl->current_vm + 1) % options->vm_count;
		run_ctl_loop(ctl, RETRY_DELAY);
	}
	report_problem(ctl, response);
	if (submission->in_doubt)
		print_ctl_error(
		    "whether note %s was accepted is not known: apply it "
		    "again with this id",
		    submission->note->id);
	else
		print_ctl_error(
		    "note %s was not accepted", submission->note->id);
	return CTL_UNREACHABLE;
}

static void
print_accepted(const ctl_t *ctl, const char *id, json_object *doc,
    ctl_exit_t code, const char *missing)
{
	uint64_t version = get_json_number(doc, "version");

	if (ctl->options.json) {
		printf("{\"id\":\"%s\",\"version\":%" PRIu64
		       ",\"digest\":\"%s\",\"rebased\":%s",
		    id, version, get_json_text(doc, "digest"),
		    get_json_text(doc, "rebased")[0] == 't' ? "true" : "false");
		if (ctl->options.wait)
			printf(",\"in_force\":%s,\"missing\":[%s]",
			    code == CTL_OK ? "true" : "false", missing);
		printf("}\n");
		return;
	}
	printf("%s: accepted as version %" PRIu64 "%s%s\n", id, version,
	    get_json_text(doc, "rebased")[0] == 't'
		? ", rebased onto newer notes"
		: "",
	    ctl->options.wait && code == CTL_OK ? ", in force everywhere" : "");
	if (code == CTL_NOT_IN_FORCE)
		print_ctl_error("not in force in time at: %s", missing);
}

ctl_exit_t
send_note(ctl_t *ctl, const msp_note_t *note, bool new_id)
{
	submission_t submission = {.note = note, .first_attempt = new_id};
	msp_buffer_t missing = {0};
	json_object *doc = NULL;
	ctl_exit_t code;

	if (msp_print_note(note, &submission.text) != MSP_OK) {
		print_ctl_error("%s", msp_last_message());
		code = CTL_USAGE;
		goto out;
	}
	code = send_until_final(ctl, &submission);
	if (code != CTL_OK)
		goto out;
	if (submission.response.http_status >= 300) {
		code = report_problem(ctl, &submission.response);
		goto out;
	}
	doc = json_tokener_parse(msp_buffer_text(&submission.response.body));
	if (ctl->options.wait)
		code = wait_until_in_force(
		    ctl, get_json_number(doc, "version"), &missing);
	print_accepted(ctl, note->id, doc, code, msp_buffer_text(&missing));
out:
	json_object_put(doc);
	drop_response(&submission.response);
	msp_drop_buffer(&submission.text);
	msp_drop_buffer(&missing);
	return code;
}
