#include "monsoonspindle/coord/roster.h"

#include <stdlib.h>

#include "monsoonspindle/base/buffer.h"
#include "monsoonspindle/base/map.h"

/* A VM that answers again and again is asked at most this rarely. */
#define UNSEEN_TIME_MAX (5 * MSP_MINUTE)
#define ANSWERS_MAX 8 /* that are counted; the time is at its maximum then */

typedef struct roster_entry {
	uint64_t version; /* of its row; 0: not listed */
	uint64_t next_version; /* by the read that is being taken over */
	msp_buffer_t value; /* of its row */
	bool is_doubted;
	bool answers_late;
	bool is_live;
	unsigned int answers; /* to doubts, since it was last live */
	msp_time_t unseen_since; /* listed and not live; 0: it is not so */
	msp_time_t doubted_since; /* 0: it is not doubted */
	msp_time_t retired_at; /* the doubt had stayed for long enough; 0: no */
	msp_time_t removed_at; /* last try to remove the row; 0: none */
} roster_entry_t;

struct msp_roster {
	msp_env_t env;
	msp_map_t *entries; /* roster_entry_t by name */
	bool is_readable; /* the last read succeeded */
};

msp_roster_t *
msp_new_roster(const msp_env_t *env)
{
	msp_roster_t *roster = calloc(1, sizeof(*roster));

	if (roster == NULL)
		return NULL;
	roster->env = *env;
	roster->entries = msp_new_map();
	if (roster->entries == NULL) {
		free(roster);
		return NULL;
	}
	return roster;
}

static void
free_entry(roster_entry_t *entry)
{
	msp_drop_buffer(&entry->value);
	free(entry);
}

void
msp_drop_roster(msp_roster_t *roster)
{
	const char *name;
	size_t cursor = 0;
	void *entry;

	if (roster == NULL)
		return;
	while (msp_map_next(roster->entries, &cursor, &name, &entry))
		free_entry(entry);
	msp_drop_map(roster->entries);
	free(roster);
}

static roster_entry_t *
find_or_add_entry(msp_roster_t *roster, const char *name)
{
	return msp_map_get_or_add(
	    roster->entries, name, sizeof(roster_entry_t));
}

/* How long a VM is missed until it is doubted: twice as long after each answer.
 */
static msp_time_t
get_unseen_time(const roster_entry_t *entry)
{
	msp_time_t time = MSP_ROSTER_UNSEEN_TIME << entry->answers;

	return time < UNSEEN_TIME_MAX ? time : UNSEEN_TIME_MAX;
}

/* The VM has written its row again since it was last read. */
static void
note_answer(roster_entry_t *entry, msp_time_t now)
{
	entry->unseen_since = now;
	if (entry->answers < ANSWERS_MAX)
		entry->answers++;
}

/* The row differs from that of the read before. */
static void
take_over_new_row(
    roster_entry_t *entry, const msp_roster_row_t *row, msp_time_t now)
{
	bool has_answered = entry->is_doubted && !row->is_doubted;

	entry->is_doubted = row->is_doubted;
	entry->answers_late = row->answers_late;
	entry->doubted_since = 0;
	entry->retired_at = 0;
	entry->removed_at = 0;
	if (has_answered && !entry->is_live)
		note_answer(entry, now);
}

static msp_status_t
load_row(msp_roster_t *roster, const msp_roster_row_t *row)
{
	roster_entry_t *entry = find_or_add_entry(roster, row->name);

	if (entry == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for the roster");
	entry->next_version = row->version;
	if (row->version == entry->version)
		return MSP_OK;
	take_over_new_row(entry, row, msp_now(&roster->env));
	msp_clear_buffer(&entry->value);
	return msp_append_data(&entry->value, row->value, row->value_len);
}

static void
update_doubt(roster_entry_t *entry, msp_time_t now)
{
	msp_time_t answer_time = entry->answers_late
	    ? MSP_ROSTER_LATE_ANSWER_TIME
	    : MSP_ROSTER_ANSWER_TIME;

	if (entry->doubted_since == 0)
		entry->doubted_since = now;
	if (entry->retired_at == 0 && now >= entry->doubted_since + answer_time)
		entry->retired_at = now;
}

/* Sets the times of a VM whose row or liveness has been set. */
static void
update_unseen(const msp_roster_t *roster, roster_entry_t *entry)
{
	if (entry->is_live) {
		entry->unseen_since = 0;
		entry->answers = 0;
	} else if (entry->version == 0) {
		entry->unseen_since = 0;
	} else if (entry->unseen_since == 0 && roster->is_readable) {
		entry->unseen_since = msp_now(&roster->env);
	}
}

/* Takes over what the read has, or lacks, of each VM. */
static void
take_over_entries(msp_roster_t *roster)
{
	msp_time_t now = msp_now(&roster->env);
	const char *name;
	size_t cursor = 0;
	void *value;

	while (msp_map_next(roster->entries, &cursor, &name, &value)) {
		roster_entry_t *entry = value;

		entry->version = entry->next_version;
		entry->next_version = 0;
		if (entry->version == 0) {
			entry->is_doubted = false;
			entry->retired_at = 0;
		}
		if (entry->is_doubted)
			update_doubt(entry, now);
		update_unseen(roster, entry);
	}
}

/*
 * Forgets VMs that are neither live nor in the read that was just taken over.
 * Before a read, a member that is lost may be one that was listed lately.
 */
static void
remove_unknown_entries(msp_roster_t *roster)
{
	const char *name;
	size_t cursor = 0;
	void *value;

	while (msp_map_next(roster->entries, &cursor, &name, &value)) {
		roster_entry_t *entry = value;

		if (entry->version != 0 || entry->is_live)
			continue;
		msp_map_remove(roster->entries, name);
		free_entry(entry);
	}
}

msp_status_t
msp_load_roster(
    msp_roster_t *roster, const msp_roster_row_t *rows, size_t count)
{
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < count && status == MSP_OK; i++)
		status = load_row(roster, &rows[i]);
	roster->is_readable = true;
	take_over_entries(roster);
	remove_unknown_entries(roster);
	if (status != MSP_OK)
		msp_suspend_roster(roster);
	return status;
}

void
msp_suspend_roster(msp_roster_t *roster)
{
	const char *name;
	size_t cursor = 0;
	void *value;

	roster->is_readable = false;
	while (msp_map_next(roster->entries, &cursor, &name, &value)) {
		roster_entry_t *entry = value;

		entry->unseen_since = 0;
		entry->doubted_since = 0;
	}
}

msp_status_t
msp_set_roster_members(
    msp_roster_t *roster, const char *const *names, size_t count)
{
	msp_status_t status = MSP_OK;
	const char *name;
	size_t cursor = 0;
	void *value;
	size_t i;

	while (msp_map_next(roster->entries, &cursor, &name, &value))
		((roster_entry_t *)value)->is_live = false;
	for (i = 0; i < count; i++) {
		roster_entry_t *entry = find_or_add_entry(roster, names[i]);

		if (entry == NULL)
			status = msp_fail(
			    MSP_E_NO_MEMORY, "no memory for the roster");
		else
			entry->is_live = true;
	}
	cursor = 0;
	while (msp_map_next(roster->entries, &cursor, &name, &value))
		update_unseen(roster, value);
	return status;
}

void
msp_count_roster(const msp_roster_t *roster, msp_roster_counts_t *counts)
{
	const char *name;
	size_t cursor = 0;
	void *value;

	*counts = (msp_roster_counts_t){0};
	while (msp_map_next(roster->entries, &cursor, &name, &value)) {
		const roster_entry_t *entry = value;

		counts->seen += entry->is_live ? 1 : 0;
		if (entry->retired_at != 0 && !entry->is_live)
			continue;
		counts->voters++;
		if (!entry->is_live || entry->is_doubted)
			counts->unsettled++;
	}
}

bool
msp_is_majority(const msp_roster_counts_t *counts)
{
	return 2 * counts->seen > counts->voters;
}

static bool
is_removal_due(const roster_entry_t *entry, msp_time_t now, msp_time_t delay)
{
	return entry->retired_at != 0 && now >= entry->retired_at + delay &&
	    (entry->removed_at == 0 ||
		now >= entry->removed_at + MSP_ROSTER_REMOVAL_INTERVAL);
}

static bool
is_doubt_due(const roster_entry_t *entry, msp_time_t now, msp_time_t delay)
{
	return entry->unseen_since != 0 &&
	    now >= entry->unseen_since + get_unseen_time(entry) + delay;
}

/* Whether the step is due for a VM that waits `delay` longer than the first. */
static bool
is_step_due(const roster_entry_t *entry, msp_roster_step_t step, msp_time_t now,
    msp_time_t delay)
{
	if (entry->version == 0)
		return false;
	switch (step) {
	case MSP_ROSTER_RESTORE:
		return entry->is_doubted && entry->is_live &&
		    now >= entry->doubted_since + delay;
	case MSP_ROSTER_DOUBT:
		return !entry->is_doubted && !entry->is_live &&
		    is_doubt_due(entry, now, delay);
	case MSP_ROSTER_RETIRE:
		return entry->is_doubted && !entry->is_live &&
		    is_removal_due(entry, now, delay);
	}
	return false;
}

/* Adds the changes of one kind that are due; returns how many there are then.
 */
static size_t
plan_step(msp_roster_t *roster, msp_roster_step_t step, msp_time_t delay,
    msp_roster_change_t changes[MSP_ROSTER_CHANGES_MAX], size_t count)
{
	msp_time_t now = msp_now(&roster->env);
	const char *name;
	size_t cursor = 0;
	void *value;

	while (count < MSP_ROSTER_CHANGES_MAX &&
	    msp_map_next(roster->entries, &cursor, &name, &value)) {
		roster_entry_t *entry = value;

		if (!is_step_due(entry, step, now, delay))
			continue;
		if (step == MSP_ROSTER_RETIRE)
			entry->removed_at = now;
		changes[count++] = (msp_roster_change_t){.step = step,
		    .name = name,
		    .version = entry->version,
		    .value = msp_buffer_text(&entry->value),
		    .value_len = entry->value.len,
		    .unseen_for = entry->unseen_since == 0
			? 0
			: now - entry->unseen_since};
	}
	return count;
}

size_t
msp_plan_roster(msp_roster_t *roster, size_t rank,
    msp_roster_change_t changes[MSP_ROSTER_CHANGES_MAX])
{
	static const msp_roster_step_t steps[] = {
	    MSP_ROSTER_RESTORE, MSP_ROSTER_RETIRE, MSP_ROSTER_DOUBT};
	msp_time_t delay = rank * MSP_ROSTER_KEEPER_DELAY;
	size_t count = 0;
	size_t i;

	if (rank >= MSP_ROSTER_KEEPERS || !roster->is_readable)
		return 0;
	for (i = 0; i < sizeof(steps) / sizeof(*steps); i++)
		count = plan_step(roster, steps[i], delay, changes, count);
	return count;
}
