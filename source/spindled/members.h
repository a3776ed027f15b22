#ifndef SPINDLED_MEMBERS_H
#define SPINDLED_MEMBERS_H

#include "monsoonspindle/coord/membership.h"

struct daemon;

/* The VM's membership of its data centre, over ONC RPC on UDP. */
typedef struct members members_t;

/* Returns NULL with a last message. */
members_t *new_members(struct daemon *daemon);
void drop_members(members_t *members);

/* Borrowed. */
msp_membership_t *get_membership(const members_t *members);

/* The VM that it belongs to. */
const struct daemon *get_members_daemon(const members_t *members);

/* The VM that dispatches `service` in this data centre; NULL if none is up. */
const msp_member_t *find_dispatcher_vm(
    const members_t *members, const char *service);

/* The member that runs as an incarnation and is not dead; NULL if unknown. */
const msp_member_t *find_member_by_incarnation(
    const members_t *members, uint64_t incarnation);

/* The process was paused, and its peers were not heard yet. */
bool is_membership_paused(const members_t *members);

#endif
