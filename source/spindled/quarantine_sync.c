#include "quarantine_sync.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "log.h"
#include "members.h"
#include "places.h"
#include "problem.h"

#define CHECK_PERIOD (200 * MSP_MS)
#define SEND_TIMEOUT_MS 1000
#define RECORDS_MAX 64 /* in one message */

struct quarantine_sync {
	daemon_t *daemon;
	msp_quarantine_list_t *list;
	msp_map_t *sent; /* keys: fingerprints already sent */
	msp_timer_t *timer;
};

static void
handle_send_done(void *ctx, msp_call_result_t *call_result)
{
	daemon_t *daemon = ctx;

	if (call_result->status != MSP_OK)
		msp_add_to_counter(
		    daemon->counters, 1, "msp_quarantines_not_told_total");
}

/*
 * Sends `text` to a VM: one record per line, with the fingerprint and the
 * remaining time in microseconds.
 */
static void
send_records(daemon_t *daemon, const char *address, uint16_t port,
    const char *text, bool pass_on)
{
	msp_call_options_t options = {
	    .address = address, .port = port, .timeout_ms = SEND_TIMEOUT_MS};
	msp_request_t request = {.method = "POST"};

	snprintf(request.path, sizeof(request.path), "%s%s", QUARANTINE_PATH,
	    pass_on ? "?pass-on=1" : "");
	msp_append_data(&request.body, text, strlen(text));
	msp_start_call(
	    daemon->peer_client, &options, &request, handle_send_done, daemon);
	msp_drop_request(&request);
}

static void
send_to_members(daemon_t *daemon, const char *text)
{
	const msp_membership_t *list = get_membership(daemon->members);
	size_t i;

	for (i = 0; i < msp_member_count(list); i++) {
		const msp_member_t *member = msp_member_at(list, i);

		if (member != msp_membership_self(list) &&
		    member->state != MSP_MEMBER_DEAD)
			send_records(daemon, member->address, member->peer_port,
			    text, false);
	}
}

static void
send_to_other_places(daemon_t *daemon, const char *text)
{
	const msp_relay_t *relay = get_places_relay(daemon->places);
	remote_vm_t choice;
	size_t i;

	for (i = 0; i < msp_summary_count(relay); i++) {
		const msp_summary_t *summary = msp_summary_at(relay, i);

		if (strcmp(summary->place, daemon->settings->place) != 0 &&
		    choose_entry_vm(daemon->places, summary, &choice))
			send_records(daemon, choice.address, choice.peer_port,
			    text, true);
	}
}

/*
 * Appends the records that were not sent yet, and removes those that are no
 * longer quarantined from `sent`.
 */
static void
encode_new_records(quarantine_sync_t *sync,
    const msp_quarantine_record_t *records, size_t count, msp_buffer_t *out)
{
	msp_map_t *quarantined = msp_new_map();
	char name[MSP_DIGEST_TEXT_SIZE];
	size_t i;

	if (quarantined == NULL)
		return;
	for (i = 0; i < count; i++) {
		msp_print_digest(records[i].fingerprint, name);
		if (msp_map_get(sync->sent, name) == NULL) {
			log_warn("event=quarantine fingerprint=%s", name);
			msp_append_printf(out, "%s %" PRIu64 "\n", name,
			    records[i].remaining);
		}
		msp_map_put(quarantined, name, quarantined);
	}
	msp_drop_map(sync->sent);
	sync->sent = quarantined;
}

static void
send_new_records(void *ctx)
{
	quarantine_sync_t *sync = ctx;
	msp_quarantine_record_t records[RECORDS_MAX];
	msp_buffer_t text = {0};
	size_t count;

	count = msp_export_quarantine(sync->list, records, RECORDS_MAX);
	encode_new_records(
	    sync, records, count < RECORDS_MAX ? count : RECORDS_MAX, &text);
	if (text.len > 0) {
		send_to_members(sync->daemon, msp_buffer_text(&text));
		send_to_other_places(sync->daemon, msp_buffer_text(&text));
	}
	msp_drop_buffer(&text);
}

quarantine_sync_t *
new_quarantine_sync(struct daemon *daemon, msp_quarantine_list_t *list)
{
	quarantine_sync_t *sync = calloc(1, sizeof(*sync));

	if (sync == NULL)
		return NULL;
	sync->daemon = daemon;
	sync->list = list;
	sync->sent = msp_new_map();
	sync->timer = msp_new_timer(
	    daemon->loop, CHECK_PERIOD, CHECK_PERIOD, send_new_records, sync);
	if (sync->sent == NULL || sync->timer == NULL) {
		drop_quarantine_sync(sync);
		return NULL;
	}
	return sync;
}

void
drop_quarantine_sync(quarantine_sync_t *sync)
{
	if (sync == NULL)
		return;
	msp_drop_timer(sync->timer);
	msp_drop_map(sync->sent);
	free(sync);
}

/* Decodes one record per line; false if one is malformed or too many. */
static bool
decode_records(
    const char *text, msp_quarantine_record_t *records, size_t *count)
{
	char name[MSP_DIGEST_TEXT_SIZE];
	int len;

	*count = 0;
	while (*text != '\0') {
		if (*count == RECORDS_MAX ||
		    sscanf(text, "%32s %" SCNu64 "%n", name,
			&records[*count].remaining, &len) != 2 ||
		    text[len] != '\n' ||
		    msp_parse_digest(name, &records[*count].fingerprint) != 0)
			return false;
		text += len + 1;
		(*count)++;
	}
	return true;
}

void
serve_quarantine(quarantine_sync_t *sync, msp_exchange_t *exchange)
{
	const msp_request_t *request = msp_exchange_request(exchange);
	const char *text = msp_buffer_text(&request->body);
	msp_quarantine_record_t records[RECORDS_MAX];
	size_t count;

	if (!decode_records(text, records, &count)) {
		msp_fail(MSP_E_BAD_REQUEST, "malformed quarantine record");
		answer_error(exchange, MSP_E_BAD_REQUEST);
		return;
	}
	msp_import_quarantine(sync->list, records, count);
	msp_add_to_counter(
	    sync->daemon->counters, count, "msp_quarantines_heard_total");
	if (strstr(request->path, "?pass-on=1") != NULL)
		send_to_members(sync->daemon, text);
	answer_json(exchange, 200, "{}\n");
}
