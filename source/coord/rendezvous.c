#include "monsoonspindle/coord/rendezvous.h"

#include "monsoonspindle/base/hash.h"

uint64_t
msp_shard_key(const char *service, const char *place, uint32_t shard)
{
	return msp_hash_text(service, msp_hash_text(place, shard));
}

uint64_t
msp_rendezvous_score(const char *name, uint64_t key)
{
	return msp_hash_text(name, key);
}

static bool
ranks_before(const msp_member_t *a, const msp_member_t *b, uint64_t key)
{
	if (a->state != b->state)
		return a->state == MSP_MEMBER_ALIVE;
	return msp_rendezvous_score(a->name, key) >
	    msp_rendezvous_score(b->name, key);
}

size_t
msp_rank_members(const msp_membership_t *membership, const char *service,
    const char *place, uint32_t shard, const msp_member_t **out, size_t max)
{
	uint64_t key = msp_shard_key(service, place, shard);
	size_t total = msp_member_count(membership);
	size_t count = 0;
	size_t i;

	for (i = 0; i < total && max > 0; i++) {
		const msp_member_t *info = msp_member_at(membership, i);
		size_t at;

		if (info->state == MSP_MEMBER_LEAVING ||
		    info->state == MSP_MEMBER_DEAD)
			continue;
		at = count < max ? count++ : max;
		if (at == max) {
			if (!ranks_before(info, out[max - 1], key))
				continue;
			at = max - 1;
		}
		for (; at > 0 && ranks_before(info, out[at - 1], key); at--)
			out[at] = out[at - 1];
		out[at] = info;
	}
	return count;
}
