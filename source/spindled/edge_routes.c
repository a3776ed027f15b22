#include "edge_private.h"
#include "members.h"

uint64_t
get_newest_routes_version(const edge_t *edge)
{
	const msp_membership_t *list = get_membership(edge->daemon->members);
	uint64_t newest = get_routes_version(edge);
	size_t i;

	for (i = 0; i < msp_member_count(list); i++) {
		const msp_member_t *member = msp_member_at(list, i);

		if (member->state == MSP_MEMBER_ALIVE &&
		    member->release > newest)
			newest = member->release;
	}
	return newest;
}
