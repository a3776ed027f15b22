#include <string.h>

#include "locator_places.h"
#include "monsoonspindle/coord/rendezvous.h"

/* A VM with its score for the client. */
typedef struct scored_vm {
	uint64_t score;
	const msp_entry_vm_t *entry; /* of a summary, or NULL */
	const msp_member_t *member; /* of this data centre, or NULL */
} scored_vm_t;

typedef struct scored_list {
	scored_vm_t list[MSP_LOOKUP_ENTRIES_MAX];
	size_t count;
} scored_list_t;

/* Inserts the VM by its score, if it is among the best. */
static void
insert(scored_list_t *best, scored_vm_t vm)
{
	size_t at;

	if (best->count == MSP_LOOKUP_ENTRIES_MAX) {
		if (best->list[MSP_LOOKUP_ENTRIES_MAX - 1].score >= vm.score)
			return;
		best->count--;
	}
	for (at = best->count++; at > 0; at--) {
		if (best->list[at - 1].score >= vm.score)
			break;
		best->list[at] = best->list[at - 1];
	}
	best->list[at] = vm;
}

static void
insert_members(const msp_membership_t *membership, scored_list_t *best,
    msp_member_state_t state, uint64_t hash)
{
	size_t count = msp_member_count(membership);
	size_t i;

	for (i = 0; i < count; i++) {
		const msp_member_t *member = msp_member_at(membership, i);

		if (member->state == state)
			insert(best,
			    (scored_vm_t){
				.score =
				    msp_rendezvous_score(member->name, hash),
				.member = member,
			    });
	}
}

static void
insert_entries(const msp_summary_t *summary, scored_list_t *best, uint64_t hash)
{
	size_t i;

	for (i = 0; i < summary->entry_count; i++) {
		const msp_entry_vm_t *entry = &summary->entries[i];

		insert(best,
		    (scored_vm_t){
			.score = msp_rendezvous_score(entry->name, hash),
			.entry = entry,
		    });
	}
}

static void
copy_vm(msp_entry_vm_t *out, const scored_vm_t *vm)
{
	if (vm->entry != NULL) {
		*out = *vm->entry;
		return;
	}
	memcpy(out->name, vm->member->name, sizeof(out->name));
	memcpy(out->address, vm->member->address, sizeof(out->address));
	out->caller_port = vm->member->caller_port;
	out->peer_port = vm->member->peer_port;
}

void
msp_rank_vms(const msp_membership_t *membership,
    const msp_place_candidate_t *candidate, uint64_t hash,
    msp_ranked_vms_t *vms)
{
	scored_list_t best = {.count = 0};
	size_t i;

	if (candidate->summary != NULL)
		insert_entries(candidate->summary, &best, hash);
	else
		insert_members(membership, &best, MSP_MEMBER_ALIVE, hash);
	if (candidate->summary == NULL && best.count == 0)
		insert_members(membership, &best, MSP_MEMBER_SUSPECT, hash);
	vms->count = best.count;
	for (i = 0; i < best.count; i++)
		copy_vm(&vms->list[i], &best.list[i]);
}
