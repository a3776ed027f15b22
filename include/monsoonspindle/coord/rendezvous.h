#ifndef MONSOONSPINDLE_COORD_RENDEZVOUS_H
#define MONSOONSPINDLE_COORD_RENDEZVOUS_H

#include "monsoonspindle/coord/membership.h"

/* Rendezvous hashing: the member with the highest score for a key has it. */

/* The key of one shard of a service in a data centre. */
uint64_t msp_shard_key(const char *service, const char *place, uint32_t shard);

/* Score of the member `name` for `key`. */
uint64_t msp_rendezvous_score(const char *name, uint64_t key);

/*
 * Fills `out` with the members that may have a shard of `service` in the data
 * centre, first choice first: alive ones by score, then suspects by score.
 * Leaving and dead ones are left out. Returns how many. A member that is
 * paused (msp_membership_is_paused()) must not act on being the first.
 */
size_t msp_rank_members(const msp_membership_t *membership, const char *service,
    const char *place, uint32_t shard, const msp_member_t **out, size_t max);

#endif
