#include "table_follower_private.h"

/*
 * Eras of the store. Versions are compared within one era only. A follower
 * knows the newest era that a source has named; its copy is of that era once
 * the first page of a snapshot of it was read.
 */

/* Whether a reply without an era may be taken to be of the known one. */
static bool
may_lack_era(const table_follower_t *follower, bool from_vm)
{
	/* A VM of an older build does not name the era that it is in. */
	return !from_vm || follower->era == 0 || follower->era_changes == 0;
}

/* The first era that is named may be that of the copy's versions. */
static era_order_t
learn_first_era(table_follower_t *follower, const store_reply_t *reply)
{
	follower->era = reply->era;
	if (reply->status == MSP_OK &&
	    reply->version < get_copy_version(follower->copy))
		return ERA_NEWER;
	name_copy_era(follower->copy, reply->era);
	return ERA_SAME;
}

era_order_t
judge_reply_era(
    table_follower_t *follower, const store_reply_t *reply, bool from_vm)
{
	if (reply->era == 0)
		return may_lack_era(follower, from_vm) ? ERA_SAME : ERA_OLDER;
	if (follower->era == 0)
		return learn_first_era(follower, reply);
	if (reply->era == follower->era)
		return ERA_SAME;
	return reply->era > follower->era ? ERA_NEWER : ERA_OLDER;
}

void
learn_newer_era(table_follower_t *follower, uint64_t era, bool from_vm)
{
	uint64_t before = get_copy_era(follower->copy);

	follower->era = era;
	follower->era_changes++;
	follower->reads_snapshot = true;
	follower->page_start[0] = '\0';
	follower->must_read_store = false;
	cancel_second_read(follower);
	follower->callbacks.on_newer_era(
	    follower->callbacks.ctx, era, before, from_vm);
}

bool
is_copy_of_older_era(const table_follower_t *follower)
{
	return get_copy_era(follower->copy) != follower->era;
}

void
begin_era_of_copy(table_follower_t *follower)
{
	if (!is_copy_of_older_era(follower))
		return;
	begin_copy_era(follower->copy, follower->era);
	follower->callbacks.on_era_begin(
	    follower->callbacks.ctx, follower->era);
}
