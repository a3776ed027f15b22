#include "edge_vm_rank.h"

#include <string.h>

#include <bsd/string.h>

#include "edge_private.h"
#include "members.h"
#include "monsoonspindle/coord/rendezvous.h"

void
exclude_vm(edge_exclusions_t *exclusions, const char *vm, msp_time_t until)
{
	size_t at = 0;
	size_t i;

	for (i = 1; i < EDGE_EXCLUDED_VMS_MAX; i++) {
		if (exclusions->list[i].until < exclusions->list[at].until)
			at = i;
	}
	strlcpy(exclusions->list[at].vm, vm, sizeof(exclusions->list[at].vm));
	exclusions->list[at].until = until;
}

bool
is_vm_excluded(
    const edge_t *edge, const edge_exclusions_t *exclusions, const char *vm)
{
	msp_time_t now = msp_now(&edge->daemon->env);
	size_t i;

	for (i = 0; i < EDGE_EXCLUDED_VMS_MAX; i++) {
		if (now < exclusions->list[i].until &&
		    strcmp(exclusions->list[i].vm, vm) == 0)
			return true;
	}
	return false;
}

uint32_t
get_link_mbps(const edge_t *edge, const char *vm)
{
	const edge_vm_profile_t *profile = NULL;

	if (edge->link_speed_gate.is_open)
		profile = find_vm_profile(edge, vm);
	return profile == NULL ? 0 : profile->link_mbps;
}

size_t
rank_vms_for_role(const edge_t *edge, const char *role,
    const edge_exclusions_t *exclusions, msp_reader_t *ranked)
{
	const msp_membership_t *list = get_membership(edge->daemon->members);
	const msp_settings_t *settings = edge->daemon->settings;
	const msp_member_t *live[MSP_MEMBERS_MAX];
	size_t live_count = msp_list_live_members(list, live, MSP_MEMBERS_MAX);
	size_t count = 0;
	size_t i;

	for (i = 0; i < live_count; i++) {
		const char *name = live[i]->name;

		if (live[i]->state == MSP_MEMBER_LEAVING ||
		    (strcmp(name, settings->vm) != 0 &&
			is_vm_excluded(edge, exclusions, name)))
			continue;
		ranked[count++] = (msp_reader_t){.name = name,
		    .link_mbps = get_link_mbps(edge, name),
		    .is_suspect = live[i]->state == MSP_MEMBER_SUSPECT};
	}
	msp_rank_readers(
	    ranked, count, msp_shard_key(role, settings->place, 0));
	return count;
}
