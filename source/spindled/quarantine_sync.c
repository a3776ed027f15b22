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
#define TELL_TIMEOUT_MS 1000
#define RECORDS_MAX 64 /* of one message */

struct quarantine_sync {
	daemon_t *daemon;
	msp_quarantine_list_t *list;
	msp_map_t *told; /* fingerprints that others were told of */
	msp_timer_t *timer;
};

static void
on_told(void *ctx, msp_call_result_t *ended)
{
	daemon_t *daemon = ctx;

	if (ended->status != MSP_OK)
		msp_count(
		    daemon->counters, 1, "msp_quarantines_not_told_total");
}

/* One line a record: fingerprint and microseconds that remain. */
static void
tell(daemon_t *daemon, const char *address, uint16_t port, const char *text,
    bool pass_on)
{
	msp_call_options_t options = {
	    .address = address, .port = port, .timeout_ms = TELL_TIMEOUT_MS};
	msp_request_t request = {.method = "POST"};

	snprintf(request.path, sizeof(request.path), "%s%s", QUARANTINE_PATH,
	    pass_on ? "?pass-on=1" : "");
	msp_append_buffer(&request.body, text, strlen(text));
	msp_start_call(
	    daemon->peer_client, &options, &request, on_told, daemon);
	msp_drop_request(&request);
}

static void
tell_members(daemon_t *daemon, const char *text)
{
	const msp_membership_t *list = get_membership(daemon->members);
	size_t i;

	for (i = 0; i < msp_member_count(list); i++) {
		const msp_member_t *member = msp_member_at(list, i);

		if (member != msp_membership_self(list) &&
		    member->state != MSP_MEMBER_DEAD)
			tell(daemon, member->address, member->peer_port, text,
			    false);
	}
}

static void
tell_places(daemon_t *daemon, const char *text)
{
	const msp_relay_t *relay = get_places_relay(daemon->places);
	remote_vm_t choice;
	size_t i;

	for (i = 0; i < msp_summary_count(relay); i++) {
		const msp_summary_t *summary = msp_summary_at(relay, i);

		if (strcmp(summary->place, daemon->settings->place) != 0 &&
		    choose_entry_vm(daemon->places, summary, &choice))
			tell(daemon, choice.address, choice.peer_port, text,
			    true);
	}
}

/* Adds what is new, and forgets what is no longer quarantined. */
static void
write_news(quarantine_sync_t *quarantines,
    const msp_quarantine_record_t *records, size_t count, msp_buffer_t *out)
{
	msp_map_t *still = msp_new_map();
	char name[MSP_DIGEST_TEXT_SIZE];
	size_t i;

	if (still == NULL)
		return;
	for (i = 0; i < count; i++) {
		msp_print_digest(records[i].fingerprint, name);
		if (msp_map_get(quarantines->told, name) == NULL) {
			log_warn("event=quarantine fingerprint=%s", name);
			msp_print_buffer(out, "%s %" PRIu64 "\n", name,
			    records[i].remaining);
		}
		msp_map_put(still, name, still);
	}
	msp_drop_map(quarantines->told);
	quarantines->told = still;
}

static void
check(void *ctx)
{
	quarantine_sync_t *quarantines = ctx;
	msp_quarantine_record_t records[RECORDS_MAX];
	msp_buffer_t text = {0};
	size_t count;

	count = msp_export_quarantine(quarantines->list, records, RECORDS_MAX);
	write_news(quarantines, records,
	    count < RECORDS_MAX ? count : RECORDS_MAX, &text);
	if (text.len > 0) {
		tell_members(quarantines->daemon, msp_buffer_text(&text));
		tell_places(quarantines->daemon, msp_buffer_text(&text));
	}
	msp_drop_buffer(&text);
}

quarantine_sync_t *
new_quarantine_sync(struct daemon *daemon, msp_quarantine_list_t *list)
{
	quarantine_sync_t *quarantines = calloc(1, sizeof(*quarantines));

	if (quarantines == NULL)
		return NULL;
	quarantines->daemon = daemon;
	quarantines->list = list;
	quarantines->told = msp_new_map();
	quarantines->timer = msp_new_timer(
	    daemon->loop, CHECK_PERIOD, CHECK_PERIOD, check, quarantines);
	if (quarantines->told == NULL || quarantines->timer == NULL) {
		drop_quarantine_sync(quarantines);
		return NULL;
	}
	return quarantines;
}

void
drop_quarantine_sync(quarantine_sync_t *quarantines)
{
	if (quarantines == NULL)
		return;
	msp_drop_timer(quarantines->timer);
	msp_drop_map(quarantines->told);
	free(quarantines);
}

/* Reads records line by line; false if one is malformed. */
static bool
read_records(const char *text, msp_quarantine_record_t *records, size_t *count)
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
serve_quarantine(quarantine_sync_t *quarantines, msp_exchange_t *exchange)
{
	const msp_request_t *request = msp_exchange_request(exchange);
	const char *text = msp_buffer_text(&request->body);
	msp_quarantine_record_t records[RECORDS_MAX];
	size_t count;

	if (!read_records(text, records, &count)) {
		msp_fail(MSP_E_BAD_REQUEST, "malformed quarantine record");
		answer_error(exchange, MSP_E_BAD_REQUEST);
		return;
	}
	msp_import_quarantine(quarantines->list, records, count);
	msp_count(quarantines->daemon->counters, count,
	    "msp_quarantines_heard_total");
	if (strstr(request->path, "?pass-on=1") != NULL)
		tell_members(quarantines->daemon, text);
	answer_json(exchange, 200, "{}\n");
}
