#include "monsoonspindle/steer/locator.h"

#include <stdlib.h>
#include <string.h>

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
kind_of(const msp_place_choice_t *choice)
{
	if (choice->drained)
		return MSP_ENTRY_DRAINING;
	if (choice->distance == MSP_DISTANCE_PLACE)
		return MSP_ENTRY_NEAR;
	if (choice->distance == MSP_DISTANCE_REGION)
		return MSP_ENTRY_REGION;
	return MSP_ENTRY_REMOTE;
}

/* Adds the next entry of the place; false if it has no more, or all are had. */
static bool
add_entry(msp_lookup_answer_t *answer, msp_place_choice_t *choice, size_t max)
{
	const msp_entry_vm_t *vm;
	msp_entry_t *entry;

	if (answer->count == max || choice->taken == choice->vm_count)
		return false;
	vm = &choice->vms[choice->taken++];
	entry = &answer->entries[answer->count++];
	memcpy(entry->name, vm->name, sizeof(entry->name));
	memcpy(entry->address, vm->address, sizeof(entry->address));
	entry->caller_port = vm->caller_port;
	memcpy(entry->place, choice->place, sizeof(entry->place));
	memcpy(entry->region, choice->region, sizeof(entry->region));
	entry->kind = kind_of(choice);
	return true;
}

/* Adds one entry of the first place in, or out of, the region of the nearest.
 */
static void
add_fallback(msp_lookup_answer_t *answer, msp_place_choices_t *choices,
    bool in_region, size_t max)
{
	size_t i;

	for (i = 1; i < choices->count; i++) {
		msp_place_choice_t *choice = &choices->list[i];

		if ((strcmp(choice->region, choices->list[0].region) == 0) ==
			in_region &&
		    add_entry(answer, choice, max))
			return;
	}
}

/* Adds one entry of each place in turn, starting with the first places. */
static void
add_in_turn(
    msp_lookup_answer_t *answer, msp_place_choices_t *choices, size_t max)
{
	size_t turn;
	size_t i;

	for (turn = 1; turn <= MSP_ENTRIES_MAX; turn++) {
		for (i = 1; i < choices->count; i++) {
			if (choices->list[i].taken < turn)
				add_entry(answer, &choices->list[i], max);
		}
	}
}

msp_status_t
msp_locate(const msp_membership_t *membership, const msp_relay_t *relay,
    const msp_lookup_t *lookup, msp_lookup_answer_t *answer)
{
	size_t max = lookup->max == 0 || lookup->max > MSP_ENTRIES_MAX
	    ? MSP_ENTRIES_MAX
	    : lookup->max;
	msp_place_choices_t choices;
	size_t i;

	memset(answer, 0, sizeof(*answer));
	msp_choose_places(membership, relay, lookup, &choices);
	if (choices.count == 0)
		return msp_fail(MSP_E_NO_TARGET, "no entry VM is known");
	for (i = 0; i < (max + 1) / 2; i++)
		add_entry(answer, &choices.list[0], max);
	add_fallback(answer, &choices, true, max);
	add_fallback(answer, &choices, false, max);
	add_in_turn(answer, &choices, max);
	while (add_entry(answer, &choices.list[0], max))
		continue;
	answer->ttl_ms = choices.list[0].distance == MSP_DISTANCE_PLACE &&
		!choices.list[0].drained && !choices.list[0].stale &&
		!msp_membership_paused(membership)
	    ? TTL_MS
	    : UNSETTLED_TTL_MS;
	return MSP_OK;
}
