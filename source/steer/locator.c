#include "monsoonspindle/steer/locator.h"

#include <string.h>

#include <bsd/string.h>

#include "locator_places.h"

#define TTL_MS 10000
#define UNSETTLED_TTL_MS 2000 /* while the nearest place is not at its best */

static const char *const kind_names[MSP_ENTRY_KIND_COUNT] = {
    [MSP_ENTRY_NEAR] = "near",
    [MSP_ENTRY_REGION] = "region",
    [MSP_ENTRY_REMOTE] = "remote",
    [MSP_ENTRY_DRAINING] = "draining",
};

const char *
msp_entry_kind_name(msp_entry_kind_t kind)
{
	return (unsigned int)kind < MSP_ENTRY_KIND_COUNT ? kind_names[kind]
							 : "unknown";
}

static msp_entry_kind_t
kind_of(const msp_place_candidate_t *choice)
{
	if (choice->drained)
		return MSP_ENTRY_DRAINING;
	if (choice->distance == MSP_DISTANCE_PLACE)
		return MSP_ENTRY_NEAR;
	if (choice->distance == MSP_DISTANCE_REGION)
		return MSP_ENTRY_REGION;
	return MSP_ENTRY_REMOTE;
}

/* What the entries of one answer are taken from. */
typedef struct lookup_state {
	const msp_membership_t *membership;
	msp_lookup_result_t *answer;
	size_t max;
	msp_place_candidates_t choices;
} lookup_state_t;

/* Adds the next `count` entries of the place, as far as there are any. */
static bool
add_entries(lookup_state_t *state, msp_place_candidate_t *choice, size_t count)
{
	msp_lookup_result_t *answer = state->answer;
	msp_ranked_vms_t vms;
	bool added = false;

	if (answer->count == state->max)
		return false;
	msp_rank_vms(state->membership, choice, state->choices.hash, &vms);
	while (count-- > 0 && answer->count < state->max &&
	    choice->entries_taken < vms.count) {
		const msp_entry_vm_t *vm = &vms.list[choice->entries_taken++];
		msp_lookup_entry_t *entry = &answer->entries[answer->count++];

		memcpy(entry->name, vm->name, sizeof(entry->name));
		memcpy(entry->address, vm->address, sizeof(entry->address));
		entry->caller_port = vm->caller_port;
		strlcpy(entry->place, choice->place, sizeof(entry->place));
		strlcpy(entry->region, choice->region, sizeof(entry->region));
		entry->kind = kind_of(choice);
		added = true;
	}
	return added;
}

/* Adds one entry of the first place in, or out of, the region of the nearest.
 */
static void
add_fallback(lookup_state_t *state, bool in_region)
{
	msp_place_candidates_t *choices = &state->choices;
	size_t i;

	for (i = 1; i < choices->count; i++) {
		msp_place_candidate_t *choice = &choices->list[i];

		if ((strcmp(choice->region, choices->list[0].region) == 0) ==
			in_region &&
		    add_entries(state, choice, 1))
			return;
	}
}

/* Adds one entry of each place in turn, starting with the first places. */
static void
add_in_turn(lookup_state_t *state)
{
	msp_place_candidates_t *choices = &state->choices;
	size_t turn;
	size_t i;

	for (turn = 1; turn <= MSP_LOOKUP_ENTRIES_MAX; turn++) {
		for (i = 1; i < choices->count; i++) {
			if (state->answer->count == state->max)
				return;
			if (choices->list[i].entries_taken < turn)
				add_entries(state, &choices->list[i], 1);
		}
	}
}

msp_status_t
msp_locate_entries(const msp_membership_t *membership, const msp_relay_t *relay,
    const msp_lookup_t *lookup, msp_lookup_result_t *answer)
{
	lookup_state_t state = {
	    .membership = membership,
	    .answer = answer,
	    .max = lookup->max == 0 || lookup->max > MSP_LOOKUP_ENTRIES_MAX
		? MSP_LOOKUP_ENTRIES_MAX
		: lookup->max,
	};
	msp_place_candidate_t *nearest = &state.choices.list[0];

	answer->count = 0;
	msp_rank_places(membership, relay, lookup, &state.choices);
	if (state.choices.count == 0)
		return msp_fail(MSP_E_NO_TARGET, "no entry VM is known");
	add_entries(&state, nearest, (state.max + 1) / 2);
	add_fallback(&state, true);
	add_fallback(&state, false);
	add_in_turn(&state);
	add_entries(&state, nearest, state.max);
	answer->ttl_ms = nearest->distance == MSP_DISTANCE_PLACE &&
		!nearest->drained && !nearest->stale &&
		!msp_membership_is_paused(membership)
	    ? TTL_MS
	    : UNSETTLED_TTL_MS;
	return MSP_OK;
}
