#include "edge_rate_roles.h"

#include <stdlib.h>
#include <string.h>

#include "edge_private.h"
#include "members.h"
#include "monsoonspindle/coord/rendezvous.h"

/* A VM that hears of no other member for so many gossip periods is cut off. */
#define CONTACT_PERIODS 2.5
/* Within this time of its start a VM may not know most members. */
#define START_TIME (3 * MSP_SECOND)

static bool
has_contact(const edge_t *edge)
{
	const msp_membership_t *list = get_membership(edge->daemon->members);
	msp_time_t silence = (msp_time_t)(CONTACT_PERIODS * (double)MSP_MS *
	    edge->daemon->settings->gossip_period_ms);

	return msp_now(&edge->daemon->env) <
	    msp_membership_heard_at(list) + silence;
}

static bool
has_just_started(const edge_t *edge)
{
	return msp_now(&edge->daemon->env) < edge->opened_at + START_TIME &&
	    !sees_most_vms(edge);
}

/* Ranks the VMs that the platform lists. */
static size_t
rank_listed_vms(const edge_t *edge, msp_reader_t *ranked)
{
	size_t count = 0;
	size_t cursor = 0;
	const char *name;
	void *value;

	while (count < MSP_MEMBERS_MAX &&
	    msp_map_next(edge->vm_profiles, &cursor, &name, &value)) {
		const edge_vm_profile_t *profile = value;

		ranked[count++] = (msp_reader_t){
		    .name = name, .link_mbps = profile->link_mbps};
	}
	msp_rank_readers(ranked, count,
	    msp_shard_key(RATE_OWNER_ROLE, edge->daemon->settings->place, 0));
	return count;
}

static rate_owner_vm_t
describe_vm(const edge_t *edge, const char *name, bool is_listed)
{
	rate_owner_vm_t vm = {.name = name,
	    .is_self = strcmp(name, edge->daemon->settings->vm) == 0};
	const edge_vm_profile_t *profile;
	const msp_member_t *member;

	if (is_listed) {
		profile = find_vm_profile(edge, name);
		vm.address = profile->address;
		vm.port = profile->peer_port;
		return vm;
	}
	member = msp_find_member(get_membership(edge->daemon->members), name);
	vm.address = member->address;
	vm.port = member->peer_port;
	return vm;
}

size_t
list_rate_owners(const edge_t *edge, rate_owner_vm_t owners[RATE_OWNERS_MAX])
{
	static const edge_exclusions_t nobody;
	msp_reader_t ranked[MSP_MEMBERS_MAX];
	bool by_list = edge->vm_profiles != NULL && has_just_started(edge);
	size_t count = by_list
	    ? rank_listed_vms(edge, ranked)
	    : rank_vms_for_role(edge, RATE_OWNER_ROLE, &nobody, ranked);
	size_t i;

	if (count > RATE_OWNERS_MAX)
		count = RATE_OWNERS_MAX;
	for (i = 0; i < count; i++)
		owners[i] = describe_vm(edge, ranked[i].name, by_list);
	return count;
}

/* Whether the platform's list, if read yet, has a VM of this data centre. */
static bool
lists_vms(const edge_t *edge)
{
	return edge->vm_profiles != NULL &&
	    msp_map_count(edge->vm_profiles) > 0;
}

static bool
is_owner_possible(const edge_t *edge)
{
	const msp_membership_t *list = get_membership(edge->daemon->members);
	msp_roster_counts_t counts;

	if (edge->daemon->leaving || msp_membership_is_paused(list) ||
	    msp_membership_is_superseded(list) || !lists_vms(edge))
		return false;
	if (has_just_started(edge))
		return true;
	count_place_vms(edge, &counts);
	return msp_is_majority(&counts) &&
	    (counts.voters < 2 || has_contact(edge));
}

rate_role_t
get_rate_role(const edge_t *edge)
{
	rate_owner_vm_t owners[RATE_OWNERS_MAX];

	if (!is_owner_possible(edge))
		return RATE_NOT_OWNER;
	return list_rate_owners(edge, owners) > 0 && owners[0].is_self
	    ? RATE_FIRST_OWNER
	    : RATE_STANDBY_OWNER;
}
