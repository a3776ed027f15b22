#include "locator_places.h"

#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/coord/rendezvous.h"

/* Data centre of the client. */
static const char *
find_client_place(
    const msp_membership_t *membership, const msp_lookup_t *lookup)
{
	return lookup->place != NULL ? lookup->place
				     : msp_membership_self(membership)->place;
}

static const char *
find_client_region(const msp_membership_t *membership, const msp_relay_t *relay,
    const msp_lookup_t *lookup)
{
	const msp_member_t *self = msp_membership_self(membership);
	const char *place = find_client_place(membership, lookup);
	const msp_summary_t *summary;

	if (strcmp(place, self->place) == 0)
		return self->region;
	summary = relay != NULL ? msp_find_summary(relay, place) : NULL;
	if (summary != NULL)
		return summary->region;
	return lookup->region_count > 0 ? lookup->regions[0] : self->region;
}

static unsigned int
measure_distance(const msp_place_candidate_t *candidate, const char *place,
    const char *region, const msp_lookup_t *lookup)
{
	size_t i;

	if (strcmp(candidate->place, place) == 0)
		return MSP_DISTANCE_PLACE;
	if (strcmp(candidate->region, region) == 0)
		return MSP_DISTANCE_REGION;
	for (i = 0; i < lookup->region_count; i++) {
		if (strcmp(candidate->region, lookup->regions[i]) == 0)
			break;
	}
	return MSP_DISTANCE_OTHER_REGION + (unsigned int)i;
}

static bool
is_drained(const msp_lookup_t *lookup, const char *place)
{
	return lookup->is_drained != NULL &&
	    lookup->is_drained(lookup->ctx, place);
}

static bool
is_full(const msp_summary_t *summary, const char *service)
{
	size_t i;

	for (i = 0; i < summary->service_count; i++) {
		if (strcmp(summary->services[i].service, service) == 0)
			return summary->services[i].slots_free == 0;
	}
	return false;
}

/* Whether this data centre has a member that a result may list. */
static bool
has_live_members(const msp_membership_t *membership)
{
	size_t count = msp_member_count(membership);
	size_t i;

	for (i = 0; i < count; i++) {
		msp_member_state_t state = msp_member_at(membership, i)->state;

		if (state == MSP_MEMBER_ALIVE || state == MSP_MEMBER_SUSPECT)
			return true;
	}
	return false;
}

static void
add_local_place(const msp_membership_t *membership, const msp_lookup_t *lookup,
    msp_place_candidates_t *candidates)
{
	const msp_member_t *self = msp_membership_self(membership);

	if (!has_live_members(membership))
		return;
	candidates->list[candidates->count++] = (msp_place_candidate_t){
	    .place = self->place,
	    .region = self->region,
	    .drained = is_drained(lookup, self->place),
	};
}

static void
add_summary(const msp_relay_t *relay, const msp_summary_t *summary,
    const msp_lookup_t *lookup, msp_place_candidates_t *candidates)
{
	if (summary->entry_count == 0)
		return;
	candidates->list[candidates->count++] = (msp_place_candidate_t){
	    .place = summary->place,
	    .region = summary->region,
	    .summary = summary,
	    .drained = summary->draining || is_drained(lookup, summary->place),
	    .stale = msp_summary_is_stale(relay, summary),
	    .full = is_full(summary, lookup->service),
	};
}

static int
compare_candidates(const void *a, const void *b)
{
	const msp_place_candidate_t *first = a;
	const msp_place_candidate_t *second = b;

	if (first->drained != second->drained)
		return first->drained ? 1 : -1;
	if (first->stale != second->stale)
		return first->stale ? 1 : -1;
	if (first->distance != second->distance)
		return first->distance < second->distance ? -1 : 1;
	if (first->full != second->full)
		return first->full ? 1 : -1;
	if (first->score != second->score)
		return first->score > second->score ? -1 : 1;
	return strcmp(first->place, second->place);
}

void
msp_rank_places(const msp_membership_t *membership, const msp_relay_t *relay,
    const msp_lookup_t *lookup, msp_place_candidates_t *candidates)
{
	const char *own = msp_membership_self(membership)->place;
	const char *place = find_client_place(membership, lookup);
	const char *region = find_client_region(membership, relay, lookup);
	size_t count = relay != NULL ? msp_summary_count(relay) : 0;
	size_t i;

	candidates->count = 0;
	candidates->hash =
	    msp_hash_text(lookup->client, msp_hash_text(lookup->service, 0));
	add_local_place(membership, lookup, candidates);
	for (i = 0; i < count; i++) {
		const msp_summary_t *summary = msp_summary_at(relay, i);

		if (strcmp(summary->place, own) != 0)
			add_summary(relay, summary, lookup, candidates);
	}
	for (i = 0; i < candidates->count; i++) {
		msp_place_candidate_t *candidate = &candidates->list[i];

		candidate->distance =
		    measure_distance(candidate, place, region, lookup);
		candidate->score =
		    msp_rendezvous_score(candidate->place, candidates->hash);
	}
	qsort(candidates->list, candidates->count, sizeof(candidates->list[0]),
	    compare_candidates);
	while (candidates->count > 0 && !candidates->list[0].drained &&
	    candidates->list[candidates->count - 1].drained)
		candidates->count--;
}
