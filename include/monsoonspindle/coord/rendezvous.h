#ifndef MONSOONSPINDLE_COORD_RENDEZVOUS_H
#define MONSOONSPINDLE_COORD_RENDEZVOUS_H

#include "monsoonspindle/coord/membership.h"

/* Rendezvous hashing: the member with the highest score for a key owns it. */

/* Returns the key of one shard of a service in a data centre. */
uint64_t msp_shard_key(const char *service, const char *place, uint32_t shard);

/* Returns the score of the member `name` for `key`. */
uint64_t msp_rendezvous_score(const char *name, uint64_t key);

/*
 * Fills `out` with the members that can own a shard of `service` in the data
 * centre, best choice first: alive members by score, then suspects by score.
 * Leaving and dead members are left out. Returns how many, at most `max`. A
 * member that is paused (msp_membership_is_paused()) must not act on being
 * first.
 */
size_t msp_rank_members(const msp_membership_t *membership, const char *service,
    const char *place, uint32_t shard, const msp_member_t **out, size_t max);

#endif
