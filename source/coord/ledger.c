#include <stdlib.h>
#include <string.h>

#include "ledger_state.h"

#define STORE_TIMEOUT_MS 1000
#define SUBMIT_TIMEOUT (10 * MSP_SECOND)
#define POLL_PERIOD MSP_SECOND
#define PEER_TIMEOUT MSP_SECOND
#define SNAPSHOT_EVERY 64 /* notes */
#define RETAINED_NOTES 4096
#define RETAINED_BYTES (16 << 20)

static void
set_defaults(msp_ledger_options_t *options)
{
	if (options->store_timeout_ms == 0)
		options->store_timeout_ms = STORE_TIMEOUT_MS;
	if (options->submit_timeout == 0)
		options->submit_timeout = SUBMIT_TIMEOUT;
	if (options->poll_period == 0)
		options->poll_period = POLL_PERIOD;
	if (options->peer_timeout == 0)
		options->peer_timeout = PEER_TIMEOUT;
	if (options->snapshot_every == 0)
		options->snapshot_every = SNAPSHOT_EVERY;
	if (options->retained_notes == 0)
		options->retained_notes = RETAINED_NOTES;
}

msp_ledger_t *
msp_new_ledger(const msp_ledger_options_t *options)
{
	msp_ledger_t *ledger = calloc(1, sizeof(*ledger));

	if (ledger == NULL)
		return NULL;
	ledger->options = *options;
	set_defaults(&ledger->options);
	ledger->release = msp_new_release();
	if (ledger->release == NULL) {
		free(ledger);
		return NULL;
	}
	ledger->log.count_max = ledger->options.retained_notes;
	ledger->log.bytes_max = RETAINED_BYTES;
	TAILQ_INIT(&ledger->submissions);
	ledger->next_poll = ledger_now(ledger);
	ledger->pull.step = PULL_WAITING;
	ledger->pull.due = ledger_now(ledger);
	return ledger;
}

void
msp_drop_ledger(msp_ledger_t *ledger)
{
	if (ledger == NULL)
		return;
	drop_submissions(ledger);
	drop_note_log(&ledger->log);
	msp_drop_release(ledger->release);
	free(ledger);
}

bool
msp_ledger_is_ready(const msp_ledger_t *ledger)
{
	return ledger->ready;
}

msp_release_t *
msp_ledger_release(const msp_ledger_t *ledger)
{
	return ledger->release;
}

void
msp_set_ledger_poller(msp_ledger_t *ledger, bool is_poller)
{
	ledger->is_poller = is_poller;
}

static void
handle_poll_reply(void *ctx, const msp_store_reply_t *reply)
{
	msp_ledger_t *ledger = ctx;
	chain_head_t head;

	ledger->poll_pending = false;
	if (reply->status != MSP_OK || reply->row_count != 1)
		return;
	if (parse_head_row(&reply->rows[0], &head) != MSP_OK) {
		report_rejected(ledger, "bad-rows", 0);
		return;
	}
	if (!ledger->ready || reject_head(ledger, &head))
		return;
	if (head.version <= ledger->release->version)
		return;
	if (head.version > ledger->highest_observed)
		ledger->highest_observed = head.version;
	start_pull(ledger, false);
}

static void
tick_poll(msp_ledger_t *ledger)
{
	static const char *const keys[] = {HEAD_KEY};
	msp_store_t *store = &ledger->options.store;

	if (!ledger->is_poller || ledger->poll_pending || !ledger->ready ||
	    ledger_now(ledger) < ledger->next_poll)
		return;
	ledger->poll_pending = true;
	ledger->next_poll = ledger_now(ledger) + ledger->options.poll_period;
	count_ledger_event(ledger, "polls");
	store->get(store->ctx, keys, 1, ledger->options.store_timeout_ms,
	    handle_poll_reply, ledger);
}

void
msp_tick_ledger(msp_ledger_t *ledger)
{
	tick_poll(ledger);
	tick_pull(ledger);
	tick_submissions(ledger);
}

static msp_time_t
earlier(msp_time_t a, msp_time_t b)
{
	return a < b ? a : b;
}

msp_time_t
msp_ledger_deadline(const msp_ledger_t *ledger)
{
	msp_time_t next =
	    earlier(pull_deadline(ledger), submit_deadline(ledger));

	if (ledger->is_poller && ledger->ready && !ledger->poll_pending)
		next = earlier(next, ledger->next_poll);
	return next;
}
