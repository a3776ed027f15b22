#include <inttypes.h>

#include "ledger_state.h"

static msp_status_t
print_logged_note(const logged_note_t *note, bool first, msp_buffer_t *out)
{
	char digest[MSP_DIGEST_TEXT_SIZE];
	msp_status_t status;

	msp_print_digest(note->chain_digest, digest);
	status = msp_append_printf(out,
	    "%s{\"version\":%" PRIu64 ",\"digest\":\"%s\",\"note\":",
	    first ? "" : ",\n", note->version, digest);
	if (status == MSP_OK)
		status = msp_append_data(out, note->text, note->len);
	return status == MSP_OK ? msp_append_data(out, "}", 1) : status;
}

msp_status_t
msp_print_ledger_history(
    const msp_ledger_t *ledger, uint64_t after, size_t limit, msp_buffer_t *out)
{
	const note_log_t *log = &ledger->log;
	msp_status_t status = msp_append_data(out, "[", 1);
	const logged_note_t *note;
	size_t printed = 0;
	size_t i;

	for (i = 0; i < log->count && status == MSP_OK; i++) {
		note = &log->notes[(log->first + i) % log->capacity];
		if (note->version <= after)
			continue;
		if (printed == limit)
			break;
		status = print_logged_note(note, printed == 0, out);
		printed++;
	}
	return status == MSP_OK ? msp_append_data(out, "]", 1) : status;
}
