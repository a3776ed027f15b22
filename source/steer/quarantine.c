#include "monsoonspindle/steer/quarantine.h"

#include <stdint.h>
#include <stdlib.h>

#define QUARANTINE_STRIKES 2 /* strikes that put a request in quarantine */

typedef struct quarantine_entry {
	msp_digest_t fingerprint;
	msp_time_t until; /* when it expires; 0: unused */
	msp_time_t last_strike; /* when the target of the last strike died */
	uint32_t strikes;
	bool imported; /* from another dispatcher only */
} quarantine_entry_t;

struct msp_quarantine_list {
	msp_env_t env;
	size_t used; /* number of entries in use, with expired ones */
	quarantine_entry_t entries[MSP_QUARANTINE_ENTRIES_MAX];
};

msp_quarantine_list_t *
msp_new_quarantine_list(const msp_env_t *env)
{
	msp_quarantine_list_t *list = calloc(1, sizeof(*list));

	if (list != NULL)
		list->env = *env;
	return list;
}

void
msp_drop_quarantine_list(msp_quarantine_list_t *list)
{
	free(list);
}

static const quarantine_entry_t *
find_entry(const msp_quarantine_list_t *list, msp_digest_t fingerprint)
{
	msp_time_t now = msp_now(&list->env);
	size_t i;

	for (i = 0; i < list->used; i++) {
		const quarantine_entry_t *entry = &list->entries[i];

		if (entry->until > now &&
		    msp_digest_equal(entry->fingerprint, fingerprint))
			return entry;
	}
	return NULL;
}

/*
 * Returns the entry of `fingerprint`, which it adds if there is none; a full
 * list loses the entry that expires first.
 */
static quarantine_entry_t *
find_or_add_entry(msp_quarantine_list_t *list, msp_digest_t fingerprint)
{
	quarantine_entry_t *entry =
	    (quarantine_entry_t *)find_entry(list, fingerprint);
	quarantine_entry_t *slot = &list->entries[0];
	size_t i;

	if (entry != NULL)
		return entry;
	if (list->used < MSP_QUARANTINE_ENTRIES_MAX) {
		slot = &list->entries[list->used++];
	} else {
		for (i = 1; i < list->used; i++) {
			if (list->entries[i].until < slot->until)
				slot = &list->entries[i];
		}
	}
	*slot = (quarantine_entry_t){.fingerprint = fingerprint};
	return slot;
}

static msp_time_t
get_strike_lifetime(uint32_t strikes)
{
	return strikes < QUARANTINE_STRIKES ? MSP_SUSPECT_TIME
					    : MSP_QUARANTINE_TIME;
}

bool
msp_add_strike(msp_quarantine_list_t *list, msp_digest_t fingerprint,
    msp_time_t started, msp_time_t ended)
{
	msp_time_t now = msp_now(&list->env);
	quarantine_entry_t *entry;

	if (msp_digest_is_zero(fingerprint))
		return false;
	entry = find_or_add_entry(list, fingerprint);
	if (entry->strikes > 0 && started < entry->last_strike)
		return false;
	entry->strikes++;
	entry->last_strike = ended;
	entry->imported = false;
	entry->until = now + get_strike_lifetime(entry->strikes);
	return true;
}

/*
 * What strikes in the order of their ends come to. More of them never come to
 * less, whichever become known first.
 */
typedef struct strike_sum {
	uint32_t strikes; /* of different events */
	msp_time_t counted_until; /* end of the last one that counted */
	msp_time_t last; /* end of the last one */
} strike_sum_t;

static void
add_to_sum(strike_sum_t *sum, const msp_strike_times_t *strike)
{
	if (strike->ended > sum->last + get_strike_lifetime(sum->strikes))
		sum->strikes = 0;
	sum->last = strike->ended;
	if (sum->strikes > 0 && strike->started < sum->counted_until)
		return;
	sum->strikes++;
	sum->counted_until = strike->ended;
}

void
msp_set_strikes(msp_quarantine_list_t *list, msp_digest_t fingerprint,
    const msp_strike_times_t *strikes, size_t count)
{
	strike_sum_t sum = {0};
	quarantine_entry_t *entry;
	msp_time_t until;
	size_t i;

	if (count == 0 || msp_digest_is_zero(fingerprint))
		return;
	for (i = 0; i < count; i++)
		add_to_sum(&sum, &strikes[i]);
	if (sum.last + get_strike_lifetime(sum.strikes) <= msp_now(&list->env))
		return;
	entry = find_or_add_entry(list, fingerprint);
	if (entry->strikes < sum.strikes)
		entry->strikes = sum.strikes;
	if (entry->last_strike < sum.last)
		entry->last_strike = sum.last;
	until = sum.last + get_strike_lifetime(entry->strikes);
	if (entry->until < until)
		entry->until = until;
	entry->imported = false;
}

void
msp_clear_strikes(msp_quarantine_list_t *list, msp_digest_t fingerprint)
{
	quarantine_entry_t *entry =
	    (quarantine_entry_t *)find_entry(list, fingerprint);

	if (entry == NULL)
		return;
	*entry = list->entries[--list->used];
	list->entries[list->used] = (quarantine_entry_t){0};
}

static msp_suspicion_t
get_suspicion(const quarantine_entry_t *entry)
{
	return entry->strikes < QUARANTINE_STRIKES ? MSP_SUSPICION_SUSPECT
						   : MSP_SUSPICION_QUARANTINED;
}

msp_suspicion_t
msp_check_suspicion(const msp_quarantine_list_t *list, msp_digest_t fingerprint,
    msp_time_t *remaining)
{
	const quarantine_entry_t *entry;

	if (msp_digest_is_zero(fingerprint))
		return MSP_SUSPICION_NONE;
	entry = find_entry(list, fingerprint);
	if (entry == NULL)
		return MSP_SUSPICION_NONE;
	if (remaining != NULL)
		*remaining = entry->until - msp_now(&list->env);
	return get_suspicion(entry);
}

bool
msp_has_suspicion(const msp_quarantine_list_t *list, msp_suspicion_t suspicion)
{
	msp_time_t now = msp_now(&list->env);
	size_t i;

	for (i = 0; i < list->used; i++) {
		if (list->entries[i].until > now &&
		    get_suspicion(&list->entries[i]) >= suspicion)
			return true;
	}
	return false;
}

size_t
msp_export_quarantine(
    const msp_quarantine_list_t *list, msp_quarantine_record_t *out, size_t max)
{
	msp_time_t now = msp_now(&list->env);
	size_t count = 0;
	size_t i;

	for (i = 0; i < list->used && count < max; i++) {
		const quarantine_entry_t *entry = &list->entries[i];

		if (entry->until <= now || entry->imported ||
		    entry->strikes < QUARANTINE_STRIKES)
			continue;
		out[count++] = (msp_quarantine_record_t){
		    .fingerprint = entry->fingerprint,
		    .remaining = entry->until - now,
		};
	}
	return count;
}

void
msp_import_quarantine(msp_quarantine_list_t *list,
    const msp_quarantine_record_t *records, size_t count)
{
	msp_time_t now = msp_now(&list->env);
	size_t i;

	for (i = 0; i < count; i++) {
		msp_time_t remaining = records[i].remaining;
		quarantine_entry_t *entry;

		if (remaining == 0 ||
		    msp_digest_is_zero(records[i].fingerprint))
			continue;
		if (remaining > MSP_QUARANTINE_TIME)
			remaining = MSP_QUARANTINE_TIME;
		entry = find_or_add_entry(list, records[i].fingerprint);
		if (entry->strikes < QUARANTINE_STRIKES) {
			entry->strikes = QUARANTINE_STRIKES;
			entry->imported = true;
		}
		if (entry->imported && entry->until < now + remaining)
			entry->until = now + remaining;
	}
}
