#ifndef SPINDLED_MEMBERS_H
#define SPINDLED_MEMBERS_H

#include "monsoonspindle/coord/membership.h"

struct daemon;

/* The membership of the VM in its data centre, by the gossip protocol. */
typedef struct members members_t;

/* Returns NULL with a last message. */
members_t *new_members(struct daemon *daemon);
void drop_members(members_t *members);

/* Borrowed; never NULL. */
msp_membership_t *get_membership(const members_t *members);

const struct daemon *get_members_daemon(const members_t *members);

/*
 * The VM that dispatches `service` in this data centre, perhaps this one; NULL
 * if none is up.
 */
const msp_member_t *find_dispatcher_vm(
    const members_t *members, const char *service);

/* The member with this incarnation, unless it is dead; NULL if unknown. */
const msp_member_t *find_member_by_incarnation(
    const members_t *members, uint64_t incarnation);

/* Whether the process was paused and too few peers have replied since. */
bool is_membership_paused(const members_t *members);

#endif
