#ifndef TABLE_FOLLOWER_PRIVATE_H
#define TABLE_FOLLOWER_PRIVATE_H

#include "table_follower.h"

struct table_follower {
	msp_loop_t *loop;
	msp_env_t env;
	store_client_t *store;
	table_follower_options_t options;
	table_follower_callbacks_t callbacks;
	table_copy_t *copy;
	store_call_t *call; /* the pending read, or NULL */
	msp_timer_t *timer; /* starts the next read */
	store_call_t *second_call; /* the second read, or NULL */
	store_source_t second_vm; /* to which it goes */
	msp_time_t second_started;
	unsigned int second_attempt; /* since the copy last changed */
	unsigned int second_chain; /* reads since check_slow_read() */
	msp_time_t second_pause; /* the last pause; 0: none yet */
	msp_time_t second_paused_until;
	msp_timer_t *stale_timer; /* for schedule_stale_check() */
	uint64_t era; /* newest that a source has named; 0: none has */
	unsigned int era_changes; /* newer ones after the first */
	bool reads_snapshot; /* else reads changes */
	bool is_loaded; /* a snapshot has been read */
	bool reads_vm; /* the pending read goes to a VM */
	store_source_t vm; /* to which it goes then */
	msp_time_t read_started;
	char page_start[STORE_KEY_MAX + 1]; /* key; "": first page */
	uint64_t snapshot_version; /* of the first page */
	unsigned int attempt; /* since the last fresh response */
	msp_time_t store_lost_since; /* 0: the store answers this VM */
	msp_time_t store_read_at; /* start of the last read of the store */
	msp_time_t stale_since; /* 0: the copy is fresh */
	msp_time_t fresh_since; /* 0: the copy is stale */
	unsigned int outage_checks; /* VMs read since the outage ended */
	bool checks_outage; /* the next read goes to a VM */
	bool must_read_store; /* the next read goes to the store */
	bool refuses_patches; /* the last one did not fit its base */
	/* Responses cut off by their time since the last fresh one. */
	unsigned int cut_reads;
	msp_time_t retry_delay; /* minimum; the maximum is twice as long */
};

/* table_era.c: eras of the store */

/* The era of a reply, next to the newest one that is known. */
typedef enum era_order {
	ERA_SAME, /* or not named, and taken to be the same */
	ERA_NEWER,
	ERA_OLDER, /* or not known: the reply says nothing of the present */
} era_order_t;

era_order_t judge_reply_era(
    table_follower_t *follower, const store_reply_t *reply, bool from_vm);

/* The store has begun an era; the next read is of a snapshot. */
void learn_newer_era(table_follower_t *follower, uint64_t era, bool from_vm);

/* Whether the copy's versions can't be compared with those of replies. */
bool is_copy_of_older_era(const table_follower_t *follower);

/* To be called before the first rows of a snapshot are applied. */
void begin_era_of_copy(table_follower_t *follower);

/* table_apply.c: what a response says of the table */

/*
 * Applies the rows of a response. Returns MSP_E_SYNTAX at one whose patch does
 * not fit; the copy's version must not be advanced then, and the rest is to be
 * read again.
 */
msp_status_t apply_table_rows(
    table_follower_t *follower, const store_reply_t *reply);

/* Records that the copy is complete up to `version`, by this response. */
void advance_table_version(
    table_follower_t *follower, const store_reply_t *reply, uint64_t version);

/* Does both for a response with changes. */
msp_status_t apply_table_changes(
    table_follower_t *follower, const store_reply_t *reply);

/* table_follower.c */

/* Fills in what a read from a VM accepts; NULL: no patches. */
const store_patch_bases_t *get_patch_bases(
    const table_follower_t *follower, store_patch_bases_t *bases);

/* Cancels the pending read, and starts the next one soon. */
void restart_table_read(table_follower_t *follower);

/* table_second_read.c */
void cancel_second_read(table_follower_t *follower);

/* table_freshness.c: how old the copy is, and outages of the store */

/* Reports the copy as stale, if it has become too old. */
void check_table_stale(table_follower_t *follower);

/*
 * Checks the copy after `delay`, by when the response of the pending read must
 * have begun; its transfer may take longer than the copy stays fresh.
 */
void schedule_stale_check(table_follower_t *follower, msp_time_t delay);

/*
 * Returns whether to read from another VM first, to find out whether the store
 * was down for all VMs: `reply` is from the store itself, or from a VM that had
 * lost it like this one.
 */
bool needs_outage_check(
    const table_follower_t *follower, const store_reply_t *reply);

/* Records a fresh response, and reports it if the copy was stale. */
void mark_table_fresh(table_follower_t *follower, const store_reply_t *reply);

/* Whether the rows are still fresh at the end of the response. */
bool is_current(const store_reply_t *reply);

#endif
