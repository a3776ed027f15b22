#include <string.h>

#include "edge_private.h"
#include "gossip.h"
#include "log.h"
#include "members.h"

#define UNKNOWN_LOG_INTERVAL (10 * MSP_SECOND)

const edge_vm_profile_t *
find_vm_profile(const edge_t *edge, const char *vm)
{
	return edge->vm_profiles == NULL ? NULL
					 : msp_map_get(edge->vm_profiles, vm);
}

/* A VM is not known to be able to anything before its row was read. */
static msp_protocol_range_t
get_protocol_range(const edge_t *edge, const char *vm)
{
	const edge_vm_profile_t *profile = find_vm_profile(edge, vm);
	msp_protocol_range_t unknown = {0};

	return profile == NULL ? unknown : profile->speaks;
}

void
update_protocol_features(edge_t *edge)
{
	const msp_membership_t *list = get_membership(edge->daemon->members);
	const msp_member_t *live[MSP_MEMBERS_MAX];
	msp_protocol_range_t ranges[MSP_MEMBERS_MAX];
	size_t count = msp_list_live_members(list, live, MSP_MEMBERS_MAX);
	bool before = edge->link_speed_gate.is_open;
	bool now;
	size_t i;

	for (i = 0; i < count; i++)
		ranges[i] = get_protocol_range(edge, live[i]->name);
	now = msp_update_feature_gate(&edge->link_speed_gate,
	    msp_now(&edge->daemon->env), MSP_PROTOCOL_LINK_SPEED, ranges,
	    count);
	if (now != before)
		log_info("event=protocol feature=link-speed state=%s vms=%zu",
		    now ? "used" : "not-used", count);
}

void
count_unknown_message(edge_t *edge)
{
	edge->unknown_messages++;
	msp_add_to_counter(
	    edge->daemon->counters, 1, "msp_peer_messages_unknown_total");
}

void
report_unknown_messages(edge_t *edge)
{
	uint64_t gossip = count_refused_gossip(edge->daemon->gossip);
	msp_time_t now = msp_now(&edge->daemon->env);

	if (edge->unknown_messages + gossip == edge->unknown_logged ||
	    now < edge->unknown_logged_at + UNKNOWN_LOG_INTERVAL)
		return;
	log_warn("event=unknown-messages http=%llu gossip=%llu",
	    (unsigned long long)edge->unknown_messages,
	    (unsigned long long)gossip);
	edge->unknown_logged = edge->unknown_messages + gossip;
	edge->unknown_logged_at = now;
}
