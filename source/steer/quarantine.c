#include "monsoonspindle/steer/quarantine.h"

#include <stdint.h>
#include <stdlib.h>

#define QUARANTINE_STRIKES 2

typedef struct caller_request {
	msp_digest_t fingerprint;
	msp_time_t until; /* 0: free */
	msp_time_t struck; /* when the last strike fell */
	uint32_t strikes;
	bool imported;
} caller_request_t;

struct msp_quarantine_list {
	msp_env_t env;
	size_t used; /* entries in use or lapsed; the rest were never used */
	caller_request_t entries[MSP_QUARANTINE_ENTRIES_MAX];
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

static bool
is_blank(msp_digest_t fingerprint)
{
	return fingerprint.high == 0 && fingerprint.low == 0;
}

static const caller_request_t *
find_entry(const msp_quarantine_list_t *list, msp_digest_t fingerprint)
{
	msp_time_t now = msp_now(&list->env);
	size_t i;

	for (i = 0; i < list->used; i++) {
		const caller_request_t *entry = &list->entries[i];

		if (entry->until > now &&
		    msp_digest_equal(entry->fingerprint, fingerprint))
			return entry;
	}
	return NULL;
}

/* Returns the entry of `fingerprint`, made if need be. */
static caller_request_t *
keep_entry(msp_quarantine_list_t *list, msp_digest_t fingerprint)
{
	caller_request_t *entry =
	    (caller_request_t *)find_entry(list, fingerprint);
	caller_request_t *oldest = &list->entries[0];
	size_t i;

	if (entry != NULL)
		return entry;
	if (list->used < MSP_QUARANTINE_ENTRIES_MAX) {
		oldest = &list->entries[list->used++];
	} else {
		for (i = 1; i < list->used; i++) {
			if (list->entries[i].until < oldest->until)
				oldest = &list->entries[i];
		}
	}
	*oldest = (caller_request_t){.fingerprint = fingerprint};
	return oldest;
}

bool
msp_add_strike(msp_quarantine_list_t *list, msp_digest_t fingerprint,
    msp_time_t started, msp_time_t ended)
{
	msp_time_t now = msp_now(&list->env);
	caller_request_t *entry;

	if (is_blank(fingerprint))
		return false;
	entry = keep_entry(list, fingerprint);
	if (entry->strikes > 0 && started < entry->struck)
		return false;
	entry->strikes++;
	entry->struck = ended;
	entry->imported = false;
	entry->until = now +
	    (entry->strikes < QUARANTINE_STRIKES ? MSP_SUSPECT_TIME
						 : MSP_QUARANTINE_TIME);
	return true;
}

void
msp_clear_strikes(msp_quarantine_list_t *list, msp_digest_t fingerprint)
{
	caller_request_t *entry =
	    (caller_request_t *)find_entry(list, fingerprint);

	if (entry == NULL)
		return;
	*entry = list->entries[--list->used];
	list->entries[list->used] = (caller_request_t){0};
}

msp_suspicion_t
msp_check_suspicion(const msp_quarantine_list_t *list, msp_digest_t fingerprint,
    msp_time_t *remaining)
{
	const caller_request_t *entry;

	if (is_blank(fingerprint))
		return MSP_SUSPICION_NONE;
	entry = find_entry(list, fingerprint);
	if (entry == NULL)
		return MSP_SUSPICION_NONE;
	if (remaining != NULL)
		*remaining = entry->until - msp_now(&list->env);
	return entry->strikes < QUARANTINE_STRIKES ? MSP_SUSPICION_SUSPECT
						   : MSP_SUSPICION_QUARANTINED;
}

size_t
msp_export_quarantine(
    const msp_quarantine_list_t *list, msp_quarantine_record_t *out, size_t max)
{
	msp_time_t now = msp_now(&list->env);
	size_t count = 0;
	size_t i;

	for (i = 0; i < list->used && count < max; i++) {
		const caller_request_t *entry = &list->entries[i];

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
		msp_time_t span = records[i].remaining;
		caller_request_t *entry;

		if (span == 0 || is_blank(records[i].fingerprint))
			continue;
		if (span > MSP_QUARANTINE_TIME)
			span = MSP_QUARANTINE_TIME;
		entry = keep_entry(list, records[i].fingerprint);
		if (entry->strikes < QUARANTINE_STRIKES) {
			entry->strikes = QUARANTINE_STRIKES;
			entry->imported = true;
		}
		if (entry->imported && entry->until < now + span)
			entry->until = now + span;
	}
}
