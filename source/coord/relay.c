#include "monsoonspindle/coord/relay.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "monsoonspindle/coord/rendezvous.h"
#include "relay_private.h"
#include "summary_codec.h"

#define AUTHOR_KEY "summary" /* key of the author's rendezvous hash */

static void
set_defaults(msp_relay_options_t *options)
{
	if (options->period == 0)
		options->period = 2 * MSP_SECOND;
	if (options->stale_after == 0)
		options->stale_after = MSP_MINUTE;
	if (options->expire_after == 0)
		options->expire_after = 60 * MSP_MINUTE;
	if (options->remote_exchanges == 0)
		options->remote_exchanges = 3;
	if (options->pages_max == 0)
		options->pages_max = 1;
}

msp_relay_t *
msp_new_relay(const msp_env_t *env, const msp_membership_t *membership,
    const msp_relay_options_t *options, const msp_relay_callbacks_t *callbacks)
{
	msp_relay_t *relay = calloc(1, sizeof(*relay));

	if (relay == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for the relay");
		return NULL;
	}
	relay->env = *env;
	relay->membership = membership;
	relay->options = *options;
	relay->callbacks = *callbacks;
	set_defaults(&relay->options);
	relay->start = msp_now(env);
	relay->next_period =
	    relay->start + msp_random_below(env, relay->options.period);
	return relay;
}

void
msp_drop_relay(msp_relay_t *relay)
{
	size_t i;

	if (relay == NULL)
		return;
	for (i = 0; i < relay->summary_count; i++)
		free(relay->summaries[i]);
	free(relay);
}

bool
msp_relay_is_author(const msp_relay_t *relay)
{
	const msp_member_t *self = msp_membership_self(relay->membership);
	const msp_member_t *first = NULL;

	return msp_rank_members(relay->membership, AUTHOR_KEY, self->place, 0,
		   &first, 1) == 1 &&
	    first == self && !msp_membership_is_paused(relay->membership);
}

/* Fills the entries with alive members, chosen anew for each sequence. */
static void
fill_entries(const msp_relay_t *relay, msp_summary_t *summary)
{
	const msp_member_t *ranked[MSP_MEMBERS_MAX];
	const msp_member_t *self = msp_membership_self(relay->membership);
	size_t count = msp_rank_members(relay->membership, AUTHOR_KEY,
	    self->place, (uint32_t)summary->sequence, ranked, MSP_MEMBERS_MAX);
	size_t i;

	summary->live = 0;
	summary->entry_count = 0;
	for (i = 0; i < count && ranked[i]->state == MSP_MEMBER_ALIVE; i++) {
		msp_entry_vm_t *entry;

		summary->live++;
		if (ranked[i]->release < summary->release)
			summary->release = ranked[i]->release;
		if (summary->entry_count == MSP_SUMMARY_ENTRIES_MAX)
			continue;
		entry = &summary->entries[summary->entry_count++];
		memcpy(entry->name, ranked[i]->name, sizeof(entry->name));
		memcpy(
		    entry->address, ranked[i]->address, sizeof(entry->address));
		entry->caller_port = ranked[i]->caller_port;
		entry->peer_port = ranked[i]->peer_port;
	}
}

static void
write_summary(msp_relay_t *relay)
{
	const msp_member_t *self = msp_membership_self(relay->membership);
	const msp_summary_t *last = msp_find_summary(relay, self->place);
	msp_summary_t summary = relay->own;

	memcpy(summary.place, self->place, sizeof(summary.place));
	memcpy(summary.region, self->region, sizeof(summary.region));
	summary.incarnation = self->incarnation;
	summary.sequence = msp_summary_sequence(relay);
	if (last != NULL && last->sequence >= summary.sequence)
		summary.sequence = last->sequence + 1;
	summary.received = msp_now(&relay->env);
	summary.age_received = 0;
	summary.release = self->release;
	fill_entries(relay, &summary);
	msp_trim_summary(&summary);
	msp_insert_summary(relay, &summary);
}

/* True with probability `remote_exchanges` / live members. */
static bool
is_chosen(const msp_relay_t *relay)
{
	const msp_member_t *live[MSP_MEMBERS_MAX];
	size_t count =
	    msp_list_live_members(relay->membership, live, MSP_MEMBERS_MAX);

	return msp_random_below(&relay->env, count) <
	    relay->options.remote_exchanges;
}

void
msp_tick_relay(msp_relay_t *relay)
{
	msp_time_t now = msp_now(&relay->env);

	if (now < relay->next_period ||
	    msp_membership_is_superseded(relay->membership))
		return;
	relay->next_period += relay->options.period;
	if (relay->next_period <= now)
		relay->next_period = now + relay->options.period;
	msp_expire_summaries(relay);
	if (msp_relay_is_author(relay))
		write_summary(relay);
	msp_exchange_local(relay);
	if (is_chosen(relay))
		msp_exchange_remote(relay, true);
	if (is_chosen(relay))
		msp_exchange_remote(relay, false);
}

void
msp_set_contacts(
    msp_relay_t *relay, const msp_contact_t *contacts, size_t count)
{
	const char *own = msp_membership_self(relay->membership)->place;
	size_t i;

	relay->contact_count = 0;
	for (i = 0; i < count && relay->contact_count < MSP_CONTACTS_MAX; i++) {
		if (strcmp(contacts[i].place, own) != 0)
			relay->contacts[relay->contact_count++] = contacts[i];
	}
}

void
msp_set_own_summary(msp_relay_t *relay, const msp_summary_t *own)
{
	relay->own = *own;
}
