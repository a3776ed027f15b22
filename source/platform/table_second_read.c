#include "table_follower_private.h"

/* A response that takes longer is slow. */
#define SLOW_TRANSFER (250 * MSP_MS)
#define SECOND_TIMEOUT_MS 700 /* until the response begins */
#define SECOND_TRANSFER_MS 4000
#define SECOND_CHAIN_MAX 4 /* VMs that are asked one after the other */
/* Pauses after chains that brought nothing; each is twice as long. */
#define SECOND_PAUSE_MIN (250 * MSP_MS)
#define SECOND_PAUSE_MAX (4 * MSP_SECOND)

static void start_second_read(table_follower_t *follower);

/* The copy has changed: the next slow read begins anew. */
static void
end_second_reads(table_follower_t *follower)
{
	follower->second_attempt = 0;
	follower->second_pause = 0;
	follower->second_paused_until = 0;
}

/* None of the VMs that were asked had newer rows. */
static void
pause_second_reads(table_follower_t *follower)
{
	msp_time_t pause = follower->second_pause * 2;

	if (pause < SECOND_PAUSE_MIN)
		pause = SECOND_PAUSE_MIN;
	if (pause > SECOND_PAUSE_MAX)
		pause = SECOND_PAUSE_MAX;
	follower->second_pause = pause;
	follower->second_paused_until = msp_now(&follower->env) + pause;
}

void
cancel_second_read(table_follower_t *follower)
{
	cancel_store_call(follower->second_call);
	follower->second_call = NULL;
	end_second_reads(follower);
}

/* Applies a response with newer rows. */
static msp_status_t
use_second_reply(table_follower_t *follower, const store_reply_t *reply)
{
	table_read_end_t end = {.vm = &follower->second_vm,
	    .reply = reply,
	    .took = msp_now(&follower->env) - follower->second_started,
	    .attempt = follower->second_attempt};
	msp_status_t status = apply_table_changes(follower, reply);

	if (status != MSP_OK)
		return status;
	follower->reads_vm = true;
	follower->vm = follower->second_vm;
	if (is_current(reply) && !needs_outage_check(follower, reply))
		mark_table_fresh(follower, reply);
	follower->attempt = 0;
	follower->callbacks.on_second_read(follower->callbacks.ctx, &end);
	end_second_reads(follower);
	/* The slow read would bring the same rows again. */
	restart_table_read(follower);
	return MSP_OK;
}

static void
handle_second_reply(void *ctx, const store_reply_t *reply)
{
	table_follower_t *follower = ctx;

	follower->second_call = NULL;
	/* The next read of the follower itself learns of a newer era. */
	if (judge_reply_era(follower, reply, true) != ERA_SAME ||
	    is_copy_of_older_era(follower)) {
		pause_second_reads(follower);
		return;
	}
	/* The version grows without rows, by changes of other tables. */
	if (reply->status == MSP_OK && reply->row_count > 0 &&
	    !follower->reads_snapshot &&
	    reply->version > get_copy_version(follower->copy) &&
	    use_second_reply(follower, reply) == MSP_OK)
		return;
	follower->second_attempt++;
	if (++follower->second_chain < SECOND_CHAIN_MAX)
		start_second_read(follower);
	else
		pause_second_reads(follower);
}

static void
start_second_read(table_follower_t *follower)
{
	const table_follower_callbacks_t *callbacks = &follower->callbacks;
	store_patch_bases_t bases;
	store_call_options_t call_options = {.begin_ms = SECOND_TIMEOUT_MS,
	    .transfer_ms = SECOND_TRANSFER_MS,
	    .bases = get_patch_bases(follower, &bases),
	    .era = follower->era,
	    .accepts_odd_rows = true};

	if (!callbacks->choose_second_vm(
		callbacks->ctx, follower->second_attempt, &follower->second_vm))
		return;
	follower->second_started = msp_now(&follower->env);
	follower->second_call =
	    read_store_changes(follower->store, &follower->second_vm,
		follower->options.table, get_copy_version(follower->copy), 0,
		&call_options, handle_second_reply, follower);
}

void
check_slow_read(table_follower_t *follower, bool is_behind)
{
	bool is_slow = follower->call != NULL &&
	    get_store_transfer_time(follower->call) > SLOW_TRANSFER;

	if (!follower->is_loaded || follower->reads_snapshot ||
	    follower->second_call != NULL || (!is_slow && !is_behind) ||
	    msp_now(&follower->env) < follower->second_paused_until)
		return;
	follower->second_chain = 0;
	start_second_read(follower);
}
