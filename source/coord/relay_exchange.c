#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "monsoonspindle/base/hash.h"
#include "gossip_fields.h"
#include "relay_private.h"
#include "summary_codec.h"

#define ANSWER_BYTES_MAX 1150 /* encoded summaries in an answer */

/* Factor of the priority of a summary that is near the requester. */
#define NEAR_WEIGHT 8U

/* A summary that is newer than the requester's. */
typedef struct candidate {
	const msp_summary_t *summary;
	uint64_t priority; /* sequence gain, weighted by nearness */
} candidate_t;

static uint32_t
place_hash(const char *place)
{
	return (uint32_t)msp_hash_text(place, 0);
}

static msp_status_t
fill_head(const msp_relay_t *relay, msp_gossip_head_t *head)
{
	const msp_member_t *self = msp_membership_self(relay->membership);

	head->from = strdup(self->name);
	head->place = strdup(self->place);
	head->incarnation = self->incarnation;
	head->release = self->release;
	if (head->from == NULL || head->place == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a message");
	return MSP_OK;
}

static msp_status_t
fill_have(const msp_relay_t *relay, msp_gossip_exchange_t *request)
{
	size_t i;

	request->have.have_val =
	    calloc(MSP_PLACES_MAX, sizeof(msp_gossip_have_t));
	if (request->have.have_val == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a message");
	for (i = 0; i < relay->summary_count; i++) {
		msp_gossip_have_t *have = &request->have.have_val[i];

		have->place_hash = place_hash(relay->summaries[i]->place);
		have->sequence = (u_int)relay->summaries[i]->sequence;
	}
	request->have.have_len = (u_int)relay->summary_count;
	return MSP_OK;
}

static void
send_exchange(msp_relay_t *relay, const char *address, uint16_t peer_port,
    unsigned int page)
{
	msp_gossip_exchange_t request = {0};
	msp_exchange_call_t *call;

	if (++relay->last_token == 0)
		relay->last_token = 1;
	call = &relay->calls[relay->last_token % MSP_RELAY_CALLS_MAX];
	*call = (msp_exchange_call_t){
	    .token = relay->last_token,
	    .peer_port = peer_port,
	    .page = page,
	};
	strlcpy(call->address, address, sizeof(call->address));
	request.region = strdup(msp_membership_self(relay->membership)->region);
	if (request.region != NULL &&
	    fill_head(relay, &request.head) == MSP_OK &&
	    fill_have(relay, &request) == MSP_OK)
		relay->callbacks.send(relay->callbacks.ctx, call->address,
		    peer_port, MSP_GOSSIP_EXCHANGE, &request, call->token,
		    relay->options.period / 2);
	xdr_free((xdrproc_t)xdr_msp_gossip_exchange_t, (char *)&request);
}

void
msp_exchange_local(msp_relay_t *relay)
{
	const msp_member_t *self = msp_membership_self(relay->membership);
	const msp_member_t *picked = NULL;
	size_t seen = 0;
	size_t i;

	for (i = 0; i < msp_member_count(relay->membership); i++) {
		const msp_member_t *member =
		    msp_member_at(relay->membership, i);

		if (member == self || member->state != MSP_MEMBER_ALIVE)
			continue;
		if (msp_random_below(&relay->env, ++seen) == 0)
			picked = member;
	}
	if (picked != NULL)
		send_exchange(relay, picked->address, picked->peer_port, 0);
}

static bool
is_remote_place(const msp_relay_t *relay, const char *place, const char *region,
    bool own_region)
{
	const msp_member_t *self = msp_membership_self(relay->membership);

	return strcmp(place, self->place) != 0 &&
	    (strcmp(region, self->region) == 0) == own_region;
}

/* Picks a data centre uniformly from those of contacts and summaries. */
static const char *
pick_place(const msp_relay_t *relay, bool own_region)
{
	const char *picked = NULL;
	size_t seen = 0;
	size_t i;

	for (i = 0; i < relay->summary_count; i++) {
		const msp_summary_t *summary = relay->summaries[i];

		if (is_remote_place(
			relay, summary->place, summary->region, own_region) &&
		    msp_random_below(&relay->env, ++seen) == 0)
			picked = summary->place;
	}
	for (i = 0; i < relay->contact_count; i++) {
		const msp_contact_t *contact = &relay->contacts[i];

		if (is_remote_place(
			relay, contact->place, contact->region, own_region) &&
		    msp_find_summary(relay, contact->place) == NULL &&
		    msp_random_below(&relay->env, ++seen) == 0)
			picked = contact->place;
	}
	return picked;
}

static const msp_contact_t *
pick_contact(const msp_relay_t *relay, const char *place)
{
	const msp_contact_t *picked = NULL;
	size_t seen = 0;
	size_t i;

	for (i = 0; i < relay->contact_count; i++) {
		if (strcmp(relay->contacts[i].place, place) == 0 &&
		    msp_random_below(&relay->env, ++seen) == 0)
			picked = &relay->contacts[i];
	}
	return picked;
}

/*
 * Asks a VM named in the data centre's summary. If the summary is stale, a
 * contact is asked with probability 1/2 instead.
 */
void
msp_exchange_remote(msp_relay_t *relay, bool own_region)
{
	const char *place = pick_place(relay, own_region);
	const msp_summary_t *summary;
	const msp_contact_t *contact;

	if (place == NULL)
		return;
	summary = msp_find_summary(relay, place);
	contact = pick_contact(relay, place);
	if (summary != NULL && summary->entry_count > 0 &&
	    (contact == NULL || !msp_summary_is_stale(relay, summary) ||
		msp_random_below(&relay->env, 2) == 0)) {
		const msp_entry_vm_t *entry =
		    &summary->entries[msp_random_below(
			&relay->env, summary->entry_count)];

		send_exchange(relay, entry->address, entry->peer_port, 0);
	} else if (contact != NULL) {
		send_exchange(relay, contact->address, contact->peer_port, 0);
	}
}

/* Returns by how much the summary is newer than the requester's; 0 if not. */
static uint32_t
get_sequence_gain(
    const msp_summary_t *summary, const msp_gossip_exchange_t *request)
{
	uint32_t hash = place_hash(summary->place);
	u_int i;

	for (i = 0; i < request->have.have_len; i++) {
		const msp_gossip_have_t *have = &request->have.have_val[i];
		uint32_t ahead = (uint32_t)summary->sequence - have->sequence;

		if (have->place_hash == hash)
			return ahead <= INT32_MAX ? ahead : 0;
	}
	return INT32_MAX;
}

static int
compare_candidates(const void *a, const void *b)
{
	const candidate_t *first = a;
	const candidate_t *second = b;

	if (first->priority != second->priority)
		return first->priority > second->priority ? -1 : 1;
	return 0;
}

static size_t
find_candidates(const msp_relay_t *relay, const msp_gossip_exchange_t *request,
    candidate_t *candidates)
{
	const char *own = msp_membership_self(relay->membership)->place;
	size_t count = 0;
	size_t i;

	for (i = 0; i < relay->summary_count; i++) {
		const msp_summary_t *summary = relay->summaries[i];
		uint32_t gain = get_sequence_gain(summary, request);
		bool near; /* of the requester's region, or this data centre */

		if (gain == 0)
			continue;
		near = strcmp(summary->place, own) == 0 ||
		    strcmp(summary->region, request->region) == 0;
		candidates[count++] = (candidate_t){
		    .summary = summary,
		    .priority = near ? (uint64_t)gain * NEAR_WEIGHT : gain,
		};
	}
	qsort(candidates, count, sizeof(candidate_t), compare_candidates);
	return count;
}

static msp_status_t
serve_summary_exchange(msp_relay_t *relay, const msp_gossip_exchange_t *request,
    msp_gossip_summaries_t *answer)
{
	candidate_t candidates[MSP_PLACES_MAX] = {0};
	size_t count = find_candidates(relay, request, candidates);
	size_t used = 0;
	size_t i;
	msp_status_t status = fill_head(relay, &answer->head);

	if (status != MSP_OK)
		return status;
	answer->summaries.summaries_val =
	    calloc(MSP_GOSSIP_SUMMARIES_MAX, sizeof(msp_gossip_summary_t));
	if (answer->summaries.summaries_val == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a message");
	for (i = 0; i < count; i++) {
		u_int at = answer->summaries.summaries_len;

		used += msp_summary_size(candidates[i].summary);
		if (at == MSP_GOSSIP_SUMMARIES_MAX || used > ANSWER_BYTES_MAX)
			break;
		answer->summaries.summaries_len++;
		status = msp_fill_summary_message(
		    &answer->summaries.summaries_val[at], candidates[i].summary,
		    msp_now(&relay->env));
		if (status != MSP_OK)
			return status;
	}
	answer->more = i < count;
	return MSP_OK;
}

msp_status_t
msp_serve_relay(
    msp_relay_t *relay, uint32_t procedure, const void *argument, void *result)
{
	if (procedure != MSP_GOSSIP_EXCHANGE)
		return msp_fail(MSP_E_BAD_REQUEST,
		    "unknown gossip procedure %u", procedure);
	return serve_summary_exchange(relay, argument, result);
}

static void
merge_summary(msp_relay_t *relay, const msp_gossip_summary_t *message)
{
	const char *own = msp_membership_self(relay->membership)->place;
	msp_summary_t summary;
	const msp_summary_t *stored;

	if (msp_parse_summary_message(
		&summary, message, msp_now(&relay->env)) != MSP_OK ||
	    msp_summary_age(&summary, msp_now(&relay->env)) >
		relay->options.expire_after)
		return;
	stored = msp_insert_summary(relay, &summary);
	if (stored != NULL && relay->callbacks.on_summary != NULL &&
	    strcmp(stored->place, own) != 0)
		relay->callbacks.on_summary(relay->callbacks.ctx, stored);
}

void
msp_complete_relay_call(
    msp_relay_t *relay, uint32_t token, msp_status_t status, const void *result)
{
	const msp_gossip_summaries_t *answer = result;
	msp_exchange_call_t *slot = &relay->calls[token % MSP_RELAY_CALLS_MAX];
	msp_exchange_call_t call = *slot;
	u_int i;

	if (token == 0 || call.token != token)
		return;
	slot->token = 0;
	if (status != MSP_OK)
		return;
	for (i = 0; i < answer->summaries.summaries_len; i++)
		merge_summary(relay, &answer->summaries.summaries_val[i]);
	if (answer->more && call.page + 1 < relay->options.pages_max)
		send_exchange(
		    relay, call.address, call.peer_port, call.page + 1);
}
