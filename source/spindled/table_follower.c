#include "table_follower.h"

#include <stdlib.h>
#include <string.h>

#define RETRY_MIN (150 * MSP_MS)
#define RETRY_MAX (1 * MSP_SECOND)
#define WHOLE_TIMEOUT_MS 3000 /* of one page of the whole table */

struct table_follower {
	msp_loop_t *loop;
	msp_env_t env;
	store_client_t *store;
	table_follower_options_t options;
	table_follower_callbacks_t callbacks;
	store_call_t *call;
	msp_timer_t *timer;
	bool whole; /* reading the table whole */
	bool known;
	char from[STORE_KEY_MAX + 1]; /* of the next page; "": the first */
	uint64_t version;
	uint64_t whole_version; /* of the first page */
	msp_time_t answered; /* 0: never */
	msp_time_t lost_since; /* 0: the store answers */
	msp_time_t retry_delay;
};

static void read_on(table_follower_t *follower);

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
fail_read(table_follower_t *follower, msp_status_t status)
{
	msp_time_t jitter;

	if (follower->lost_since == 0) {
		follower->lost_since = msp_now(&follower->env);
		follower->retry_delay = RETRY_MIN;
		follower->callbacks.on_lost(follower->callbacks.ctx, status);
	}
	jitter = msp_random_below(&follower->env, follower->retry_delay);
	read_after(follower, follower->retry_delay + jitter);
	follower->retry_delay *= 2;
	if (follower->retry_delay > RETRY_MAX)
		follower->retry_delay = RETRY_MAX;
}

static void
note_answer(table_follower_t *follower)
{
	msp_time_t now = msp_now(&follower->env);
	msp_time_t lost_since = follower->lost_since;

	follower->answered = now;
	if (lost_since == 0)
		return;
	follower->lost_since = 0;
	follower->callbacks.on_back(follower->callbacks.ctx, now - lost_since);
}

static void
give_rows(table_follower_t *follower, const store_reply_t *reply)
{
	size_t i;

	for (i = 0; i < reply->row_count; i++)
		follower->callbacks.on_row(
		    follower->callbacks.ctx, &reply->rows[i]);
}

static void
take_page(table_follower_t *follower, const store_reply_t *reply)
{
	const char *last;

	if (follower->from[0] == '\0') {
		follower->whole_version = reply->version;
		follower->callbacks.on_begin(follower->callbacks.ctx);
	}
	give_rows(follower, reply);
	if (reply->has_more && reply->row_count > 0) {
		/* The next page begins with the last row of this one. */
		last = reply->rows[reply->row_count - 1].key;
		if (strlen(last) < sizeof(follower->from) &&
		    strcmp(last, follower->from) != 0) {
			strcpy(follower->from, last);
			read_on(follower);
			return;
		}
	}
	follower->from[0] = '\0';
	follower->whole = false;
	follower->known = true;
	follower->version = follower->whole_version;
	follower->callbacks.on_end(
	    follower->callbacks.ctx, follower->whole_version);
	read_after(follower, follower->options.pace);
}

static void
on_reply(void *ctx, const store_reply_t *reply)
{
	table_follower_t *follower = ctx;

	follower->call = NULL;
	if (reply->status == MSP_E_KEY_EXPIRED) {
		note_answer(follower);
		follower->whole = true;
		follower->from[0] = '\0';
		read_on(follower);
		return;
	}
	if (reply->status != MSP_OK) {
		fail_read(follower, reply->status);
		return;
	}
	note_answer(follower);
	if (follower->whole) {
		take_page(follower, reply);
		return;
	}
	give_rows(follower, reply);
	if (reply->version > follower->version)
		follower->version = reply->version;
	read_after(follower, follower->options.pace);
}

static void
read_on(table_follower_t *follower)
{
	const table_follower_options_t *options = &follower->options;

	if (follower->whole)
		follower->call = read_store_rows(follower->store,
		    options->table,
		    follower->from[0] == '\0' ? NULL : follower->from,
		    WHOLE_TIMEOUT_MS, on_reply, follower);
	else
		follower->call = follow_store_rows(follower->store,
		    options->table, follower->version, options->wait_ms,
		    options->wait_ms + options->timeout_ms, on_reply, follower);
	if (follower->call == NULL)
		fail_read(follower, MSP_E_NO_MEMORY);
}

table_follower_t *
new_table_follower(msp_loop_t *loop, const msp_env_t *env,
    store_client_t *store, const table_follower_options_t *options,
    const table_follower_callbacks_t *callbacks)
{
	table_follower_t *follower = calloc(1, sizeof(*follower));

	if (follower == NULL) {
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
	free(follower);
}

msp_time_t
table_age(const table_follower_t *follower)
{
	if (follower->answered == 0)
		return MSP_NEVER;
	return msp_now(&follower->env) - follower->answered;
}

uint64_t
table_version(const table_follower_t *follower)
{
	return follower->version;
}

bool
is_table_known(const table_follower_t *follower)
{
	return follower->known;
}
