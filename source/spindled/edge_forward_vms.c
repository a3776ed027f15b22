#include "edge_private.h"
#include "members.h"

const char *
find_place_region(const edge_t *edge, const char *place)
{
	const msp_settings_place_t *found =
	    msp_find_settings_place(&edge->daemon->settings->edge, place);

	return found == NULL ? NULL : found->region;
}

/* Members that serve requests themselves; a release of 0 means no routes. */
static void
offer_members(const edge_t *edge, const msp_forward_query_t *query,
    msp_forward_pick_t *pick)
{
	const msp_membership_t *list = get_membership(edge->daemon->members);
	const msp_member_t *self = msp_membership_self(list);
	size_t i;

	for (i = 0; i < msp_member_count(list); i++) {
		const msp_member_t *member = msp_member_at(list, i);
		msp_forward_vm_t vm = {.address = member->address,
		    .port = member->peer_port,
		    .place = query->place,
		    .region = query->region};

		if (member != self && member->state == MSP_MEMBER_ALIVE &&
		    member->release != 0)
			msp_offer_forward_vm(
			    edge->forward_choice, query, &vm, pick);
	}
}

static void
offer_remote_vms(const edge_t *edge, const msp_forward_query_t *query,
    msp_forward_pick_t *pick)
{
	size_t i;

	for (i = 0; i < edge->remote_vm_count; i++) {
		const edge_remote_vm_t *remote = &edge->remote_vms[i];
		msp_forward_vm_t vm = {.address = remote->source.address,
		    .port = remote->source.port,
		    .place = remote->place,
		    .region = find_place_region(edge, remote->place)};

		msp_offer_forward_vm(edge->forward_choice, query, &vm, pick);
	}
}

bool
pick_forward_vm(const edge_t *edge, const msp_forward_query_t *query,
    msp_forward_pick_t *pick)
{
	*pick = (msp_forward_pick_t){0};
	offer_members(edge, query, pick);
	offer_remote_vms(edge, query, pick);
	return pick->vm.address != NULL;
}
