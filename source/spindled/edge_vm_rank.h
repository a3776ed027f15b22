#ifndef SPINDLED_EDGE_VM_RANK_H
#define SPINDLED_EDGE_VM_RANK_H

#include "monsoonspindle/config/settings.h"
#include "monsoonspindle/coord/membership.h"
#include "monsoonspindle/coord/reader_rank.h"

/*
 * Which VM of this data centre has a role for the others: all rank the live
 * members alike, and leave out those that they could not use recently.
 */

struct edge;

#define EDGE_EXCLUDED_VMS_MAX 4

/* Members that are left out for a while. Zero-initialise. */
typedef struct edge_exclusions {
	struct {
		char vm[MSP_NAME_SIZE];
		msp_time_t until;
	} list[EDGE_EXCLUDED_VMS_MAX];
} edge_exclusions_t;

/* Leaves a member out; overwrites the entry that expires first. */
void exclude_vm(
    edge_exclusions_t *exclusions, const char *vm, msp_time_t until);

bool is_vm_excluded(const struct edge *edge,
    const edge_exclusions_t *exclusions, const char *vm);

/*
 * Fills `ranked`, which has room for MSP_MEMBERS_MAX, with the members that can
 * have the role, best first, and returns how many. This VM is never left out.
 * The names are borrowed from the membership.
 */
size_t rank_vms_for_role(const struct edge *edge, const char *role,
    const edge_exclusions_t *exclusions, msp_reader_t *ranked);

/* The speed of a member's network link, if it is used for ranks; 0: unknown. */
uint32_t get_link_mbps(const struct edge *edge, const char *vm);

#endif
