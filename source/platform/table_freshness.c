#include "table_follower_private.h"

#define OUTAGE_CHECKS_MAX 3 /* VMs that are read after an outage */

void
check_table_stale(table_follower_t *follower)
{
	if (follower->stale_since != 0 ||
	    get_table_age(follower) <= TABLE_FRESH_MAX_AGE)
		return;
	follower->stale_since = msp_now(&follower->env);
	follower->fresh_since = 0;
	follower->callbacks.on_stale(follower->callbacks.ctx);
}

static void
handle_stale_timer(void *ctx)
{
	table_follower_t *follower = ctx;

	msp_drop_timer(follower->stale_timer);
	follower->stale_timer = NULL;
	check_table_stale(follower);
}

void
schedule_stale_check(table_follower_t *follower, msp_time_t delay)
{
	msp_drop_timer(follower->stale_timer);
	follower->stale_timer = msp_new_timer(
	    follower->loop, delay, 0, handle_stale_timer, follower);
}

/* A copy becomes stale TABLE_FRESH_MAX_AGE after its last fresh response. */
static msp_time_t
get_stale_time(const table_follower_t *follower)
{
	return msp_now(&follower->env) - follower->stale_since +
	    TABLE_FRESH_MAX_AGE;
}

/* Returns whether `reply` is from a VM whose copy was fresh all the time. */
static bool
shows_store_was_up(const table_follower_t *follower, const store_reply_t *reply)
{
	return follower->reads_vm &&
	    reply->fresh_for_ms * MSP_MS >= get_stale_time(follower);
}

bool
needs_outage_check(const table_follower_t *follower, const store_reply_t *reply)
{
	return follower->stale_since != 0 &&
	    get_stale_time(follower) > follower->options.outage_threshold &&
	    !shows_store_was_up(follower, reply) &&
	    follower->outage_checks < OUTAGE_CHECKS_MAX;
}

void
mark_table_fresh(table_follower_t *follower, const store_reply_t *reply)
{
	bool was_down;

	follower->attempt = 0;
	follower->cut_reads = 0;
	follower->retry_delay = 0;
	follower->outage_checks = 0;
	if (follower->fresh_since == 0)
		follower->fresh_since = msp_now(&follower->env);
	if (follower->stale_since == 0)
		return;
	was_down =
	    get_stale_time(follower) > follower->options.outage_threshold &&
	    !shows_store_was_up(follower, reply);
	follower->fresh_since = msp_now(&follower->env);
	follower->callbacks.on_fresh(
	    follower->callbacks.ctx, get_stale_time(follower), was_down);
	follower->stale_since = 0;
}

bool
is_current(const store_reply_t *reply)
{
	return ((msp_time_t)reply->age_ms + reply->transfer_ms) * MSP_MS <=
	    TABLE_FRESH_MAX_AGE;
}

msp_time_t
get_table_fresh_time(const table_follower_t *follower)
{
	if (follower->fresh_since == 0 || follower->stale_since != 0 ||
	    get_table_age(follower) > TABLE_FRESH_MAX_AGE)
		return 0;
	return msp_now(&follower->env) - follower->fresh_since;
}
