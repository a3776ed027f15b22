#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "ledger_state.h"

/* An answer ends with the note that brings it to this size. */
#define PEER_ANSWER_BYTES (1 << 20)
#define HEADER_LINE_SIZE 96

/*
 * An answer starts with a line "notes VERSION DIGEST" or "snapshot VERSION
 * DIGEST", which gives the server's version. Notes follow, one per line, or the
 * snapshot.
 */
static msp_status_t
print_header_line(
    const msp_ledger_t *ledger, const char *kind, msp_buffer_t *out)
{
	char digest[MSP_DIGEST_TEXT_SIZE];

	msp_print_digest(ledger->release->digest, digest);
	return msp_append_printf(
	    out, "%s %" PRIu64 " %s\n", kind, ledger->release->version, digest);
}

msp_status_t
msp_print_ledger_update(
    const msp_ledger_t *ledger, uint64_t after, msp_buffer_t *out)
{
	uint64_t last = ledger->release->version;
	size_t start = out->len;
	const logged_note_t *note;
	msp_status_t status;

	if (!ledger->ready)
		return msp_fail(
		    MSP_E_NOT_READY, "no release has been read yet");
	if (after < last && find_logged_note(&ledger->log, after + 1) == NULL) {
		status = print_header_line(ledger, "snapshot", out);
		if (status != MSP_OK)
			return status;
		return msp_print_release(ledger->release, out);
	}
	status = print_header_line(ledger, "notes", out);
	while (after < last && status == MSP_OK &&
	    out->len - start < PEER_ANSWER_BYTES) {
		note = find_logged_note(&ledger->log, ++after);
		status = msp_append_data(out, note->text, note->len);
		if (status == MSP_OK)
			status = msp_append_data(out, "\n", 1);
	}
	return status;
}

/* Returns the text after the header line, or NULL if the line is malformed. */
static const char *
parse_header_line(
    const char *text, size_t len, char kind[16], chain_head_t *head)
{
	char digest[MSP_DIGEST_TEXT_SIZE];
	char line[HEADER_LINE_SIZE];
	const char *end = memchr(text, '\n', len);

	if (end == NULL || (size_t)(end - text) >= sizeof(line))
		return NULL;
	memcpy(line, text, (size_t)(end - text));
	line[end - text] = '\0';
	if (sscanf(line, "%15s %" SCNu64 " %32s", kind, &head->version,
		digest) != 3 ||
	    msp_parse_digest(digest, &head->digest) != 0)
		return NULL;
	return end + 1;
}

static void
apply_note_lines(msp_ledger_t *ledger, const char *text, const char *end)
{
	msp_status_t status = MSP_OK;
	const char *next;

	while (text < end && status == MSP_OK) {
		next = memchr(text, '\n', (size_t)(end - text));
		if (next == NULL) {
			report_rejected(ledger, "bad-peer-answer", 0);
			return;
		}
		status = apply_note_text(ledger, text, (size_t)(next - text));
		text = next + 1;
	}
}

/*
 * A ready VM ignores the snapshot, since nothing proves that it continues the
 * VM's own chain.
 */
static void
apply_snapshot(msp_ledger_t *ledger, const char *text, size_t len,
    const chain_head_t *head)
{
	msp_release_t *release;

	if (ledger->ready)
		return;
	if (msp_parse_release(text, len, "peer", &release) != MSP_OK) {
		report_rejected(ledger, "bad-peer-answer", head->version);
		return;
	}
	if (release->version != head->version ||
	    !msp_digest_equal(release->digest, head->digest)) {
		msp_drop_release(release);
		report_rejected(ledger, "bad-peer-answer", head->version);
		return;
	}
	replace_release(ledger, release);
}

void
msp_apply_ledger_update(msp_ledger_t *ledger, const char *text, size_t len)
{
	const char *end = text + len;
	chain_head_t head = {0};
	char kind[16];
	const char *rest;

	rest = parse_header_line(text, len, kind, &head);
	if (rest != NULL && strcmp(kind, "notes") == 0)
		apply_note_lines(ledger, rest, end);
	else if (rest != NULL && strcmp(kind, "snapshot") == 0)
		apply_snapshot(ledger, rest, (size_t)(end - rest), &head);
	else
		report_rejected(ledger, "bad-peer-answer", 0);
	if (rest != NULL && !ledger->ready &&
	    ledger->release->version == head.version &&
	    msp_digest_equal(ledger->release->digest, head.digest))
		mark_ready(ledger);
	if (ledger->pull.step == PULL_PEER)
		handle_pull_result(ledger, false);
}
