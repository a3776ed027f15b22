#include "table_follower.h"

#include <stdlib.h>
#include <string.h>

#define STORE_TIMEOUT_MS 1200 /* of one read, beyond the wait */
#define STORE_RETRY_TIMEOUT_MS 600 /* while it doesn't answer */
#define STORE_BACKOFF (1 * MSP_SECOND) /* between two tries meanwhile */
#define VM_TIMEOUT_MS 400
#define WITNESSES_MAX 3 /* VMs that are asked about an outage */
#define WHOLE_TIMEOUT_MS 2000 /* of one page of the whole table */
#define QUICK_ATTEMPTS 4 /* sources tried one after the other at once */
#define QUICK_DELAY (10 * MSP_MS)
#define RETRY_MIN (150 * MSP_MS)
#define RETRY_MAX (300 * MSP_MS)

struct table_follower {
	msp_loop_t *loop;
	msp_env_t env;
	store_client_t *store;
	table_follower_options_t options;
	table_follower_callbacks_t callbacks;
	table_copy_t *copy;
	store_call_t *call;
	msp_timer_t *timer;
	bool whole; /* reading the table whole */
	bool known;
	bool from_vm; /* the read under way */
	char from[STORE_KEY_MAX + 1]; /* of the next page; "": the first */
	uint64_t whole_version; /* of the first page */
	unsigned int attempt;
	msp_time_t lost_since; /* the store does not answer; 0: it does */
	msp_time_t store_asked; /* when it was last asked */
	msp_time_t stale_since; /* 0: it is known how the store is */
	msp_time_t steady_since; /* since when it has been known */
	unsigned int witnesses; /* VMs that were asked about an outage */
	bool asks_witness; /* the read under way */
	bool stays_at_store; /* the next read: it has just answered */
	msp_time_t retry_delay;
};

static void read_on(table_follower_t *follower);

static msp_time_t
now_of(const table_follower_t *follower)
{
	return msp_now(&follower->env);
}

static void
on_timer(void *ctx)
{
	table_follower_t *follower = ctx;

	msp_drop_timer(follower->timer);
	follower->timer = NULL;
	read_on(follower);
}

static void
read_after(table_follower_t *follower, msp_time_t delay)
{
	msp_drop_timer(follower->timer);
	follower->timer =
	    msp_new_timer(follower->loop, delay, 0, on_timer, follower);
	if (follower->timer == NULL)
		abort();
}

static void
check_stale(table_follower_t *follower)
{
	if (follower->stale_since != 0 ||
	    get_table_age(follower) <= TABLE_FRESH_MAX_AGE)
		return;
	follower->stale_since = now_of(follower);
	follower->steady_since = 0;
	follower->callbacks.on_stale(follower->callbacks.ctx);
}

/* The next source is asked at once, but not all of them over and over. */
static void
try_next(table_follower_t *follower)
{
	msp_time_t delay = QUICK_DELAY;

	check_stale(follower);
	/* Pages of one source don't go on at another. */
	follower->from[0] = '\0';
	follower->attempt++;
	if (follower->attempt % QUICK_ATTEMPTS == 0) {
		if (follower->retry_delay < RETRY_MIN)
			follower->retry_delay = RETRY_MIN;
		delay = follower->retry_delay +
		    msp_random_below(&follower->env, follower->retry_delay);
		follower->retry_delay *= 2;
		if (follower->retry_delay > RETRY_MAX)
			follower->retry_delay = RETRY_MAX;
	}
	read_after(follower, delay);
}

static void
fail_read(table_follower_t *follower, msp_status_t status)
{
	if (!follower->from_vm && follower->lost_since == 0) {
		follower->lost_since = now_of(follower);
		follower->callbacks.on_store_lost(
		    follower->callbacks.ctx, status);
	}
	try_next(follower);
}

static void
note_store_answer(table_follower_t *follower)
{
	msp_time_t lost_since = follower->lost_since;

	if (follower->from_vm || lost_since == 0)
		return;
	follower->lost_since = 0;
	follower->callbacks.on_store_recovered(
	    follower->callbacks.ctx, now_of(follower) - lost_since);
}

static msp_time_t
stale_for(const table_follower_t *follower)
{
	return now_of(follower) - follower->stale_since + TABLE_FRESH_MAX_AGE;
}

/* Whether a VM that knew all the while how the store is gave the answer. */
static bool
shows_store_up(const table_follower_t *follower, const store_reply_t *reply)
{
	return follower->from_vm &&
	    reply->fresh_for_ms * MSP_MS >= stale_for(follower);
}

/*
 * Whether another VM is to be asked first if the store was away for all: after
 * an answer of the store itself, or of a VM that was cut off like this one.
 */
static bool
needs_witness(const table_follower_t *follower, const store_reply_t *reply)
{
	return follower->stale_since != 0 &&
	    stale_for(follower) > follower->options.outage_threshold &&
	    !shows_store_up(follower, reply) &&
	    follower->witnesses < WITNESSES_MAX;
}

/* The answer tells how the store is now. */
static void
note_fresh(table_follower_t *follower, const store_reply_t *reply)
{
	bool was_down;

	follower->attempt = 0;
	follower->retry_delay = 0;
	follower->witnesses = 0;
	if (follower->steady_since == 0)
		follower->steady_since = now_of(follower);
	if (follower->stale_since == 0)
		return;
	was_down = stale_for(follower) > follower->options.outage_threshold &&
	    !shows_store_up(follower, reply);
	follower->steady_since = now_of(follower);
	follower->callbacks.on_fresh(
	    follower->callbacks.ctx, stale_for(follower), was_down);
	follower->stale_since = 0;
}

static void
give_rows(table_follower_t *follower, const store_reply_t *reply)
{
	size_t i;

	for (i = 0; i < reply->row_count; i++) {
		put_copy_row(follower->copy, &reply->rows[i]);
		follower->callbacks.on_row(
		    follower->callbacks.ctx, &reply->rows[i]);
	}
}

static void
advance(
    table_follower_t *follower, const store_reply_t *reply, uint64_t version)
{
	advance_copy(
	    follower->copy, version, now_of(follower) - reply->age_ms * MSP_MS);
	follower->callbacks.on_update(follower->callbacks.ctx);
}

/* Whether there is a next page, which is then asked for. */
static bool
turn_page(table_follower_t *follower, const store_reply_t *reply)
{
	const char *last;

	if (!reply->has_more || reply->row_count == 0)
		return false;
	/* The next page begins with the last row of this one. */
	last = reply->rows[reply->row_count - 1].key;
	if (strlen(last) >= sizeof(follower->from) ||
	    strcmp(last, follower->from) == 0)
		return false;
	strcpy(follower->from, last);
	read_on(follower);
	return true;
}

static void
take_page(table_follower_t *follower, const store_reply_t *reply)
{
	if (follower->from[0] == '\0') {
		follower->whole_version = reply->version;
		begin_copy_snapshot(follower->copy);
		follower->callbacks.on_snapshot_begin(follower->callbacks.ctx);
	}
	give_rows(follower, reply);
	if (turn_page(follower, reply))
		return;
	follower->from[0] = '\0';
	follower->whole = false;
	follower->known = true;
	end_copy_snapshot(follower->copy, follower->whole_version);
	advance(follower, reply, follower->whole_version);
	follower->callbacks.on_snapshot_end(
	    follower->callbacks.ctx, follower->whole_version);
	read_after(follower, follower->options.store_interval);
}

static void
on_reply(void *ctx, const store_reply_t *reply)
{
	table_follower_t *follower = ctx;
	const table_follower_options_t *options = &follower->options;
	bool fresh = reply->age_ms * MSP_MS <= TABLE_FRESH_MAX_AGE;

	follower->call = NULL;
	if (reply->status == MSP_E_KEY_EXPIRED && !follower->whole) {
		note_store_answer(follower);
		follower->whole = true;
		follower->from[0] = '\0';
		follower->stays_at_store = !follower->from_vm;
		read_on(follower);
		return;
	}
	/* A VM that knows less than this one, or an old whole, is of no use. */
	if (reply->status != MSP_OK ||
	    reply->version < get_copy_version(follower->copy) ||
	    (follower->whole && follower->known && !fresh)) {
		fail_read(follower, reply->status);
		return;
	}
	note_store_answer(follower);
	if (fresh && needs_witness(follower, reply)) {
		follower->witnesses++;
		follower->asks_witness = true;
		read_on(follower);
		return;
	}
	if (fresh)
		note_fresh(follower, reply);
	if (follower->whole) {
		take_page(follower, reply);
		return;
	}
	give_rows(follower, reply);
	advance(follower, reply, reply->version);
	if (!fresh)
		try_next(follower);
	else
		read_after(follower,
		    follower->from_vm ? options->vm_interval
				      : options->store_interval);
}

static void
read_on(table_follower_t *follower)
{
	const table_follower_options_t *options = &follower->options;
	const table_follower_callbacks_t *callbacks = &follower->callbacks;
	store_source_t source;
	const store_source_t *chosen = NULL;
	uint32_t wait_ms = options->store_wait_ms;
	uint32_t timeout_ms = STORE_TIMEOUT_MS;
	store_range_t range = {
	    .from = follower->from[0] == '\0' ? NULL : follower->from};

	if (follower->from[0] != '\0' || follower->stays_at_store)
		follower->from_vm = false;
	else if (follower->asks_witness)
		follower->from_vm =
		    callbacks->choose_vm(callbacks->ctx, &source);
	else
		follower->from_vm = callbacks->choose_source(
		    callbacks->ctx, follower->attempt, &source);
	follower->asks_witness = false;
	/* While other VMs know how the store is, it is not asked too often. */
	if (!follower->from_vm && follower->lost_since != 0 &&
	    follower->stale_since == 0 && !follower->stays_at_store &&
	    now_of(follower) < follower->store_asked + STORE_BACKOFF)
		follower->from_vm =
		    callbacks->choose_vm(callbacks->ctx, &source);
	follower->stays_at_store = false;
	if (!follower->from_vm)
		follower->store_asked = now_of(follower);
	if (follower->from_vm) {
		chosen = &source;
		wait_ms = options->vm_wait_ms;
		timeout_ms = VM_TIMEOUT_MS;
	}
	/* Who has failed, or was away, is asked how it is, not to wait. */
	if (follower->attempt > 0 || follower->stale_since != 0) {
		wait_ms = 0;
		if (!follower->from_vm)
			timeout_ms = STORE_RETRY_TIMEOUT_MS;
	}
	if (follower->whole)
		follower->call =
		    read_store_rows(follower->store, chosen, options->table,
			&range, WHOLE_TIMEOUT_MS, on_reply, follower);
	else
		follower->call = read_store_changes(follower->store, chosen,
		    options->table, get_copy_version(follower->copy), wait_ms,
		    wait_ms + timeout_ms, on_reply, follower);
	if (follower->call == NULL)
		fail_read(follower, MSP_E_NO_MEMORY);
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
	follower->whole = true;
	read_on(follower);
	return follower;
}

void
drop_table_follower(table_follower_t *follower)
{
	if (follower == NULL)
		return;
	cancel_store_call(follower->call);
	msp_drop_timer(follower->timer);
	drop_table_copy(follower->copy);
	free(follower);
}

msp_time_t
get_table_age(const table_follower_t *follower)
{
	msp_time_t as_of = get_copy_time(follower->copy);

	return as_of == 0 ? MSP_NEVER : now_of(follower) - as_of;
}

msp_time_t
get_table_fresh_time(const table_follower_t *follower)
{
	if (follower->steady_since == 0 || follower->stale_since != 0 ||
	    get_table_age(follower) > TABLE_FRESH_MAX_AGE)
		return 0;
	return now_of(follower) - follower->steady_since;
}

bool
is_table_loaded(const table_follower_t *follower)
{
	return follower->known;
}

const table_copy_t *
get_table_copy(const table_follower_t *follower)
{
	return follower->copy;
}
