#include "table_follower_private.h"

#include <stdlib.h>
#include <string.h>

/* Timeouts until the response begins. */
#define STORE_TIMEOUT_MS 1200 /* of a read of changes, beyond the long poll */
#define STORE_RETRY_TIMEOUT_MS 600 /* after a failed read */
#define STORE_BACKOFF (1 * MSP_SECOND) /* between attempts while it fails */
#define VM_TIMEOUT_MS 400 /* beyond the long poll */
#define SNAPSHOT_TIMEOUT_MS 2000 /* of one page */
/*
 * Time from the start of a response to its end. A VM shares its link with all
 * that read from it, so that the store may be faster. The times are doubled
 * with each response that is cut off, in case there is no faster source.
 */
#define VM_TRANSFER_MS 2000
#define STORE_TRANSFER_MS 4000
#define CUT_READS_MAX 3 /* doublings of these times */
#define QUICK_ATTEMPTS 4 /* attempts before a longer delay */
#define QUICK_DELAY (10 * MSP_MS) /* between these attempts */
#define BEHIND_DELAY (50 * MSP_MS) /* after an older response of a VM */
#define RETRY_DELAY_MIN (150 * MSP_MS)
#define RETRY_DELAY_MAX (300 * MSP_MS)

static void start_read(table_follower_t *follower);

static msp_time_t
get_now(const table_follower_t *follower)
{
	return msp_now(&follower->env);
}

static void
handle_timer(void *ctx)
{
	table_follower_t *follower = ctx;

	msp_drop_timer(follower->timer);
	follower->timer = NULL;
	start_read(follower);
}

static void
schedule_read(table_follower_t *follower, msp_time_t delay)
{
	msp_drop_timer(follower->timer);
	follower->timer =
	    msp_new_timer(follower->loop, delay, 0, handle_timer, follower);
	if (follower->timer == NULL)
		abort();
}

/* Tries the next source soon, with a longer delay after several attempts. */
static void
schedule_retry(table_follower_t *follower)
{
	msp_time_t delay = QUICK_DELAY;

	check_table_stale(follower);
	/* The next page can't be read from another source. */
	follower->page_start[0] = '\0';
	follower->attempt++;
	if (follower->attempt % QUICK_ATTEMPTS == 0) {
		if (follower->retry_delay < RETRY_DELAY_MIN)
			follower->retry_delay = RETRY_DELAY_MIN;
		delay = follower->retry_delay +
		    msp_random_below(&follower->env, follower->retry_delay);
		follower->retry_delay *= 2;
		if (follower->retry_delay > RETRY_DELAY_MAX)
			follower->retry_delay = RETRY_DELAY_MAX;
	}
	schedule_read(follower, delay);
}

/* Whether the source answers, but too slowly for the size of the response. */
static bool
was_cut_off(const store_reply_t *reply)
{
	return reply->call_status == MSP_E_DEADLINE && reply->received > 0;
}

static table_read_end_t
get_read_end(const table_follower_t *follower, const store_reply_t *reply)
{
	return (table_read_end_t){
	    .vm = follower->reads_vm ? &follower->vm : NULL,
	    .reply = reply,
	    .took = get_now(follower) - follower->read_started,
	    .attempt = follower->attempt,
	};
}

static void
handle_read_failure(table_follower_t *follower, const store_reply_t *reply)
{
	table_read_end_t end = get_read_end(follower, reply);

	follower->callbacks.on_read_failed(follower->callbacks.ctx, &end);
	if (was_cut_off(reply) && follower->cut_reads < CUT_READS_MAX)
		follower->cut_reads++;
	if (was_cut_off(reply))
		check_slow_read(follower, true);
	if (was_cut_off(reply) && follower->reads_vm) {
		check_table_stale(follower);
		follower->page_start[0] = '\0';
		follower->must_read_store = true;
		schedule_read(follower, QUICK_DELAY);
		return;
	}
	if (!follower->reads_vm && follower->store_lost_since == 0) {
		follower->store_lost_since = get_now(follower);
		follower->callbacks.on_store_lost(
		    follower->callbacks.ctx, reply->status);
	}
	schedule_retry(follower);
}

static void
report_store_recovered(table_follower_t *follower)
{
	msp_time_t lost_since = follower->store_lost_since;

	if (follower->reads_vm || lost_since == 0)
		return;
	follower->store_lost_since = 0;
	follower->callbacks.on_store_recovered(
	    follower->callbacks.ctx, get_now(follower) - lost_since);
}

/* Patches don't fit if a base is missing; the next read asks for values. */
static void
handle_unfit_patch(table_follower_t *follower, const store_reply_t *reply)
{
	store_reply_t unfit = *reply;

	unfit.status = MSP_E_SYNTAX;
	handle_read_failure(follower, &unfit);
}

/* Reads the next page and returns true, if there is one. */
static bool
read_next_page(table_follower_t *follower, const store_reply_t *reply)
{
	const char *last;

	if (!reply->has_more || reply->row_count == 0)
		return false;
	/* The next page starts with the last row of this one. */
	last = reply->rows[reply->row_count - 1].key;
	if (strlen(last) >= sizeof(follower->page_start) ||
	    strcmp(last, follower->page_start) == 0)
		return false;
	strcpy(follower->page_start, last);
	start_read(follower);
	return true;
}

static msp_status_t
apply_page(table_follower_t *follower, const store_reply_t *reply)
{
	msp_status_t status;

	if (follower->page_start[0] == '\0') {
		begin_era_of_copy(follower);
		follower->snapshot_version = reply->version;
		begin_copy_snapshot(follower->copy);
		follower->callbacks.on_snapshot_begin(follower->callbacks.ctx);
	}
	status = apply_table_rows(follower, reply);
	if (status != MSP_OK || read_next_page(follower, reply))
		return status;
	follower->page_start[0] = '\0';
	follower->reads_snapshot = false;
	follower->is_loaded = true;
	end_copy_snapshot(follower->copy, follower->snapshot_version);
	advance_table_version(follower, reply, follower->snapshot_version);
	follower->callbacks.on_snapshot_end(
	    follower->callbacks.ctx, follower->snapshot_version);
	schedule_read(follower, follower->options.store_interval);
	return MSP_OK;
}

/*
 * Whether the response is of a VM that works, but has not received yet what
 * this VM has from another source.
 */
static bool
is_behind(const table_follower_t *follower, const store_reply_t *reply)
{
	return follower->reads_vm && !follower->reads_snapshot &&
	    reply->status == MSP_OK && is_current(reply) &&
	    reply->version < get_copy_version(follower->copy);
}

/*
 * Whether the rows were fresh when the response began. After a slow transfer
 * they may not be current any more.
 */
static bool
was_sent_fresh(const store_reply_t *reply)
{
	return reply->age_ms * MSP_MS <= TABLE_FRESH_MAX_AGE;
}

/* Applies the changes that a read has brought, and schedules the next one. */
static msp_status_t
handle_changes(table_follower_t *follower, const store_reply_t *reply)
{
	const table_follower_options_t *options = &follower->options;
	msp_status_t status = apply_table_changes(follower, reply);

	if (status != MSP_OK)
		return status;
	if (reply->row_count > 0)
		cancel_second_read(follower);
	if (!was_sent_fresh(reply)) {
		schedule_retry(follower);
		return MSP_OK;
	}
	follower->attempt = 0;
	schedule_read(follower,
	    follower->reads_vm ? options->vm_interval
			       : options->store_interval);
	return MSP_OK;
}

void
restart_table_read(table_follower_t *follower)
{
	cancel_store_call(follower->call);
	follower->call = NULL;
	msp_drop_timer(follower->stale_timer);
	follower->stale_timer = NULL;
	schedule_read(follower, follower->options.vm_interval);
}

/*
 * Handles a response of another era than the known one. Returns false if it is
 * of the same, or the beginning of a snapshot of a newer one, which can be
 * used.
 */
static bool
handle_other_era(table_follower_t *follower, const store_reply_t *reply)
{
	bool is_snapshot;

	switch (judge_reply_era(follower, reply, follower->reads_vm)) {
	case ERA_NEWER:
		report_store_recovered(follower);
		is_snapshot = follower->reads_snapshot &&
		    follower->page_start[0] == '\0' && reply->status == MSP_OK;
		learn_newer_era(follower, reply->era, follower->reads_vm);
		if (is_snapshot)
			return false;
		schedule_read(follower, QUICK_DELAY);
		return true;
	case ERA_OLDER:
		check_table_stale(follower);
		if (follower->stale_since != 0)
			handle_read_failure(follower, reply);
		else
			schedule_read(follower, BEHIND_DELAY);
		return true;
	default:
		return false;
	}
}

/* Whether the rows are older than the copy's, which versions tell. */
static bool
is_older(const table_follower_t *follower, const store_reply_t *reply)
{
	return !is_copy_of_older_era(follower) &&
	    reply->version < get_copy_version(follower->copy);
}

/* Applies a response that is neither older than the copy nor unusable. */
static void
use_reply(table_follower_t *follower, const store_reply_t *reply)
{
	table_read_end_t end = get_read_end(follower, reply);
	msp_status_t status;

	follower->callbacks.on_read_done(follower->callbacks.ctx, &end);
	report_store_recovered(follower);
	if (was_sent_fresh(reply) && needs_outage_check(follower, reply)) {
		follower->outage_checks++;
		follower->checks_outage = true;
		start_read(follower);
		return;
	}
	if (is_current(reply))
		mark_table_fresh(follower, reply);
	status = follower->reads_snapshot ? apply_page(follower, reply)
					  : handle_changes(follower, reply);
	follower->refuses_patches = status != MSP_OK;
	if (status != MSP_OK)
		handle_unfit_patch(follower, reply);
}

static void
handle_reply(void *ctx, const store_reply_t *reply)
{
	table_follower_t *follower = ctx;

	follower->call = NULL;
	msp_drop_timer(follower->stale_timer);
	follower->stale_timer = NULL;
	if (handle_other_era(follower, reply))
		return;
	if (reply->status == MSP_E_KEY_EXPIRED && !follower->reads_snapshot) {
		report_store_recovered(follower);
		follower->reads_snapshot = true;
		follower->page_start[0] = '\0';
		follower->must_read_store = !follower->reads_vm;
		start_read(follower);
		return;
	}
	if (is_behind(follower, reply)) {
		check_table_stale(follower);
		if (follower->stale_since == 0) {
			schedule_read(follower, BEHIND_DELAY);
			return;
		}
	}
	/* Rejects older data than the copy's, and a stale later snapshot. */
	if (reply->status != MSP_OK || is_older(follower, reply) ||
	    (follower->reads_snapshot && follower->is_loaded &&
		!was_sent_fresh(reply))) {
		handle_read_failure(follower, reply);
		return;
	}
	use_reply(follower, reply);
}

/* Chooses where the next read goes. */
static void
choose_source(table_follower_t *follower)
{
	const table_follower_callbacks_t *callbacks = &follower->callbacks;

	if (follower->page_start[0] != '\0' || follower->must_read_store)
		follower->reads_vm = false;
	else if (follower->checks_outage)
		follower->reads_vm =
		    callbacks->choose_vm(callbacks->ctx, &follower->vm);
	else
		follower->reads_vm = callbacks->choose_source(
		    callbacks->ctx, follower->attempt, &follower->vm);
	follower->checks_outage = false;
	/* Backs off from a failing store while VMs keep the copy fresh. */
	if (!follower->reads_vm && follower->store_lost_since != 0 &&
	    follower->stale_since == 0 && !follower->must_read_store &&
	    get_now(follower) < follower->store_read_at + STORE_BACKOFF)
		follower->reads_vm =
		    callbacks->choose_vm(callbacks->ctx, &follower->vm);
	follower->must_read_store = false;
}

/* Returns the timeouts of the next read, if it is no long poll. */
static store_call_options_t
get_timeouts(const table_follower_t *follower, bool is_retry)
{
	store_call_options_t call_options = {.begin_ms = STORE_TIMEOUT_MS,
	    .transfer_ms = STORE_TRANSFER_MS,
	    .accepts_odd_rows = true};

	if (follower->reads_vm) {
		call_options.begin_ms = VM_TIMEOUT_MS;
		call_options.transfer_ms = VM_TRANSFER_MS;
	} else if (is_retry) {
		call_options.begin_ms = STORE_RETRY_TIMEOUT_MS;
	}
	if (follower->reads_snapshot)
		call_options.begin_ms = SNAPSHOT_TIMEOUT_MS;
	call_options.transfer_ms <<= follower->cut_reads;
	return call_options;
}

const store_patch_bases_t *
get_patch_bases(const table_follower_t *follower, store_patch_bases_t *bases)
{
	if (follower->refuses_patches)
		return NULL;
	*bases = (store_patch_bases_t){0};
	if (!is_copy_of_older_era(follower))
		list_patch_bases(follower->copy, bases);
	return bases;
}

static void
start_read(table_follower_t *follower)
{
	const table_follower_options_t *options = &follower->options;
	const store_source_t *source;
	store_range_t range = {.from = follower->page_start[0] == '\0'
		? NULL
		: follower->page_start};
	/* No long poll after a failure or while the copy is old. */
	bool is_retry = follower->attempt > 0 || follower->stale_since != 0 ||
	    get_table_age(follower) > TABLE_FRESH_MAX_AGE;
	store_call_options_t call_options;
	store_patch_bases_t bases;
	uint32_t wait_ms = 0;

	choose_source(follower);
	follower->read_started = get_now(follower);
	if (!follower->reads_vm)
		follower->store_read_at = get_now(follower);
	source = follower->reads_vm ? &follower->vm : NULL;
	call_options = get_timeouts(follower, is_retry);
	if (follower->reads_vm)
		call_options.bases = get_patch_bases(follower, &bases);
	call_options.era = follower->era;
	if (!is_retry && !follower->reads_snapshot)
		wait_ms = follower->reads_vm ? options->vm_wait_ms
					     : options->store_wait_ms;
	call_options.begin_ms += wait_ms;
	schedule_stale_check(follower, call_options.begin_ms * MSP_MS);
	if (follower->reads_snapshot)
		follower->call =
		    read_store_rows(follower->store, source, options->table,
			&range, &call_options, handle_reply, follower);
	else
		follower->call = read_store_changes(follower->store, source,
		    options->table, get_copy_version(follower->copy), wait_ms,
		    &call_options, handle_reply, follower);
	if (follower->call == NULL)
		handle_read_failure(follower,
		    &(store_reply_t){.status = MSP_E_NO_MEMORY,
			.call_status = MSP_E_NO_MEMORY});
}

table_follower_t *
new_table_follower(msp_loop_t *loop, const msp_env_t *env,
    store_client_t *store, const table_follower_options_t *options,
    const table_follower_callbacks_t *callbacks)
{
	table_follower_t *follower = calloc(1, sizeof(*follower));

	if (follower != NULL)
		follower->copy = new_table_copy(env);
	if (follower == NULL || follower->copy == NULL) {
		free(follower);
		msp_fail(MSP_E_NO_MEMORY, "no memory for a follower");
		return NULL;
	}
	follower->loop = loop;
	follower->env = *env;
	follower->store = store;
	follower->options = *options;
	follower->callbacks = *callbacks;
	follower->reads_snapshot = true;
	start_read(follower);
	return follower;
}

void
drop_table_follower(table_follower_t *follower)
{
	if (follower == NULL)
		return;
	cancel_store_call(follower->call);
	cancel_second_read(follower);
	msp_drop_timer(follower->timer);
	msp_drop_timer(follower->stale_timer);
	drop_table_copy(follower->copy);
	free(follower);
}

msp_time_t
get_table_age(const table_follower_t *follower)
{
	msp_time_t as_of = get_copy_time(follower->copy);

	return as_of == 0 ? MSP_NEVER : get_now(follower) - as_of;
}

bool
is_table_loaded(const table_follower_t *follower)
{
	return follower->is_loaded;
}

bool
is_copy_whole(const table_follower_t *follower)
{
	return get_copy_version(follower->copy) != 0;
}

table_copy_t *
get_table_copy(const table_follower_t *follower)
{
	return follower->copy;
}
