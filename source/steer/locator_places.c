#include "locator_places.h"

#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/coord/rendezvous.h"

/* Puts the VM in its place by score, if it is among the best. */
static void
insert_vm(msp_place_choice_t *choice, const msp_entry_vm_t *vm, uint64_t key)
{
	uint64_t score = msp_rendezvous_score(vm->name, key);
	size_t at;

	if (choice->vm_count == MSP_ENTRIES_MAX) {
		if (msp_rendezvous_score(
			choice->vms[MSP_ENTRIES_MAX - 1].name, key) >= score)
			return;
		choice->vm_count--;
	}
	at = choice->vm_count++;
	for (; at > 0 &&
	     msp_rendezvous_score(choice->vms[at - 1].name, key) < score;
	     at--)
		choice->vms[at] = choice->vms[at - 1];
	choice->vms[at] = *vm;
}

static void
insert_members(const msp_membership_t *membership, msp_place_choice_t *choice,
    msp_member_state_t state, uint64_t key)
{
	size_t count = msp_member_count(membership);
	size_t i;

	for (i = 0; i < count; i++) {
		const msp_member_t *member = msp_member_at(membership, i);
		msp_entry_vm_t vm = {
		    .caller_port = member->caller_port,
		    .peer_port = member->peer_port,
		};

		if (member->state != state)
			continue;
		memcpy(vm.name, member->name, sizeof(vm.name));
		memcpy(vm.address, member->address, sizeof(vm.address));
		insert_vm(choice, &vm, key);
	}
}

/* Where clients of the look-up are. */
static const char *
place_of(const msp_membership_t *membership, const msp_lookup_t *lookup)
{
	return lookup->place != NULL ? lookup->place
				     : msp_membership_self(membership)->place;
}

static const char *
region_of(const msp_membership_t *membership, const msp_relay_t *relay,
    const msp_lookup_t *lookup)
{
	const msp_member_t *self = msp_membership_self(membership);
	const char *place = place_of(membership, lookup);
	const msp_summary_t *summary;

	if (strcmp(place, self->place) == 0)
		return self->region;
	summary = relay != NULL ? msp_find_summary(relay, place) : NULL;
	if (summary != NULL)
		return summary->region;
	return lookup->region_count > 0 ? lookup->regions[0] : self->region;
}

static unsigned int
distance_of(const msp_place_choice_t *choice, const char *place,
    const char *region, const msp_lookup_t *lookup)
{
	size_t i;

	if (strcmp(choice->place, place) == 0)
		return MSP_DISTANCE_PLACE;
	if (strcmp(choice->region, region) == 0)
		return MSP_DISTANCE_REGION;
	for (i = 0; i < lookup->region_count; i++) {
		if (strcmp(choice->region, lookup->regions[i]) == 0)
			break;
	}
	return MSP_DISTANCE_FIRST + (unsigned int)i;
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

static void
add_own_place(const msp_membership_t *membership, const msp_lookup_t *lookup,
    uint64_t key, msp_place_choices_t *choices)
{
	const msp_member_t *self = msp_membership_self(membership);
	msp_place_choice_t *choice = &choices->list[choices->count];

	memset(choice, 0, sizeof(*choice));
	memcpy(choice->place, self->place, sizeof(choice->place));
	memcpy(choice->region, self->region, sizeof(choice->region));
	choice->drained = is_drained(lookup, choice->place);
	insert_members(membership, choice, MSP_MEMBER_ALIVE, key);
	if (choice->vm_count == 0)
		insert_members(membership, choice, MSP_MEMBER_SUSPECT, key);
	choices->count += choice->vm_count > 0;
}

static void
add_summary(const msp_relay_t *relay, const msp_summary_t *summary,
    const msp_lookup_t *lookup, uint64_t key, msp_place_choices_t *choices)
{
	msp_place_choice_t *choice = &choices->list[choices->count];
	size_t i;

	memset(choice, 0, sizeof(*choice));
	memcpy(choice->place, summary->place, sizeof(choice->place));
	memcpy(choice->region, summary->region, sizeof(choice->region));
	choice->drained =
	    summary->draining || is_drained(lookup, choice->place);
	choice->stale = msp_summary_is_stale(relay, summary);
	choice->full = is_full(summary, lookup->service);
	for (i = 0; i < summary->entry_count; i++)
		insert_vm(choice, &summary->entries[i], key);
	choices->count += choice->vm_count > 0;
}

static int
compare_choices(const void *a, const void *b)
{
	const msp_place_choice_t *first = a;
	const msp_place_choice_t *second = b;

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
msp_choose_places(const msp_membership_t *membership, const msp_relay_t *relay,
    const msp_lookup_t *lookup, msp_place_choices_t *choices)
{
	const char *own = msp_membership_self(membership)->place;
	const char *place = place_of(membership, lookup);
	const char *region = region_of(membership, relay, lookup);
	uint64_t key =
	    msp_hash_text(lookup->client, msp_hash_text(lookup->service, 0));
	size_t count = relay != NULL ? msp_summary_count(relay) : 0;
	size_t i;

	choices->count = 0;
	add_own_place(membership, lookup, key, choices);
	for (i = 0; i < count; i++) {
		const msp_summary_t *summary = msp_summary_at(relay, i);

		if (strcmp(summary->place, own) != 0)
			add_summary(relay, summary, lookup, key, choices);
	}
	for (i = 0; i < choices->count; i++) {
		msp_place_choice_t *choice = &choices->list[i];

		choice->distance = distance_of(choice, place, region, lookup);
		choice->score = msp_rendezvous_score(choice->place, key);
	}
	qsort(choices->list, choices->count, sizeof(choices->list[0]),
	    compare_choices);
	while (choices->count > 0 && !choices->list[0].drained &&
	    choices->list[choices->count - 1].drained)
		choices->count--;
}
