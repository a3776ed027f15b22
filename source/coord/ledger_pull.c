#include "ledger_state.h"

#define RETRY_MIN (50 * MSP_MS)
#define RETRY_MAX (2 * MSP_SECOND)
#define RETRY_DOUBLINGS_MAX 6
/*
 * After this many queries without progress, an observed version is dropped if a
 * complete scan of the store did not find it.
 */
#define UNCONFIRMED_SCANS 2

static void
query_peer(msp_ledger_t *ledger)
{
	ledger->pull.step = PULL_PEER;
	ledger->pull.due = ledger_now(ledger) + ledger->options.peer_timeout;
	ledger->options.fetch_from_peer(
	    ledger->options.ctx, ledger->release->version);
}

/* Queries the source that `from_peer` selects. */
static void
query_source(msp_ledger_t *ledger)
{
	pull_t *pull = &ledger->pull;
	bool peer = pull->from_peer && ledger->options.fetch_from_peer != NULL;

	pull->start_version = ledger->release->version;
	if (peer)
		query_peer(ledger);
	else if (ledger->ready)
		start_scan(ledger);
	else
		start_boot(ledger);
}

void
start_pull(msp_ledger_t *ledger, bool from_peer)
{
	if (ledger->pull.step != PULL_IDLE ||
	    ledger_now(ledger) < ledger->pull.backoff_until)
		return;
	ledger->pull.failures = 0;
	ledger->pull.from_peer = from_peer;
	query_source(ledger);
}

static msp_time_t
retry_delay(const msp_ledger_t *ledger)
{
	unsigned int doublings = ledger->pull.failures;
	msp_time_t delay;

	if (doublings > RETRY_DOUBLINGS_MAX)
		doublings = RETRY_DOUBLINGS_MAX;
	delay = RETRY_MIN << doublings;
	if (delay > RETRY_MAX)
		delay = RETRY_MAX;
	return delay / 2 + msp_random_below(&ledger->options.env, delay / 2);
}

/* Stops the pull for a version that neither the store nor a peer has. */
static void
drop_unconfirmed_version(msp_ledger_t *ledger)
{
	report_rejected(
	    ledger, "unconfirmed-version", ledger->highest_observed);
	ledger->highest_observed = ledger->release->version;
	ledger->pull.step = PULL_IDLE;
	ledger->pull.backoff_until = ledger_now(ledger) + RETRY_MAX;
}

void
handle_pull_result(msp_ledger_t *ledger, bool complete)
{
	pull_t *pull = &ledger->pull;
	bool progress = ledger->release->version > pull->start_version;

	if (ledger->ready &&
	    ledger->highest_observed <= ledger->release->version) {
		pull->step = PULL_IDLE;
		return;
	}
	if (progress) {
		pull->failures = 0;
		query_source(ledger);
		return;
	}
	pull->failures++;
	if (ledger->ready && complete && pull->failures >= UNCONFIRMED_SCANS) {
		drop_unconfirmed_version(ledger);
		return;
	}
	pull->from_peer = !pull->from_peer;
	pull->step = PULL_WAITING;
	pull->due = ledger_now(ledger) + retry_delay(ledger);
}

void
tick_pull(msp_ledger_t *ledger)
{
	pull_t *pull = &ledger->pull;

	if (ledger_now(ledger) < pull->due)
		return;
	if (pull->step == PULL_WAITING) {
		query_source(ledger);
		return;
	}
	if (pull->step != PULL_PEER)
		return;
	count_ledger_event(ledger, "peer_timeouts");
	handle_pull_result(ledger, false);
}

msp_time_t
pull_deadline(const msp_ledger_t *ledger)
{
	if (ledger->pull.step != PULL_WAITING && ledger->pull.step != PULL_PEER)
		return MSP_NEVER;
	return ledger->pull.due;
}

void
msp_fail_ledger_fetch(msp_ledger_t *ledger)
{
	if (ledger->pull.step == PULL_PEER)
		handle_pull_result(ledger, false);
}

void
msp_observe_ledger_version(
    msp_ledger_t *ledger, uint64_t version, const msp_digest_t *digest)
{
	chain_head_t head = {.version = version};

	if (!ledger->ready)
		return;
	if (version > ledger->release->version) {
		if (version > ledger->highest_observed)
			ledger->highest_observed = version;
		start_pull(ledger, true);
		return;
	}
	if (digest == NULL || version < ledger->release->version)
		return;
	head.digest = *digest;
	reject_head(ledger, &head);
}
