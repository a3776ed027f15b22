#ifndef SPINDLED_EDGE_RATE_ROLES_H
#define SPINDLED_EDGE_RATE_ROLES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Which VM owns the rate limits of organisations for this data centre: the
 * first by the membership. A VM that has just started and doesn't know most
 * members yet goes by the platform's list of VMs.
 */

struct edge;

#define RATE_OWNERS_MAX 3 /* VMs that may be the owner */
#define RATE_OWNER_ROLE "rate-owner" /* the key that ranks the VMs */

/* A VM that may be the owner. Borrowed until the next event. */
typedef struct rate_owner_vm {
	const char *name;
	const char *address;
	uint16_t port;
	bool is_self;
} rate_owner_vm_t;

/*
 * Lists the VMs that may be the owner, best first. They are few, so that VMs
 * which reach no other one do not all become owners.
 */
size_t list_rate_owners(
    const struct edge *edge, rate_owner_vm_t owners[RATE_OWNERS_MAX]);

typedef enum rate_role {
	RATE_NOT_OWNER,
	RATE_STANDBY_OWNER, /* for VMs that can't use the first */
	RATE_FIRST_OWNER,
} rate_role_t;

/*
 * What this VM may be. It owns no limits unless it sees most of the VMs of its
 * data centre, or has just started: one that is cut off from them must not
 * admit requests beside their owner.
 */
rate_role_t get_rate_role(const struct edge *edge);

#endif
