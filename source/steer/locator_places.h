#ifndef MONSOONSPINDLE_SOURCE_STEER_LOCATOR_PLACES_H
#define MONSOONSPINDLE_SOURCE_STEER_LOCATOR_PLACES_H

#include "monsoonspindle/steer/locator.h"

#define MSP_DISTANCE_PLACE 0U
#define MSP_DISTANCE_REGION 1U
#define MSP_DISTANCE_OTHER_REGION 2U /* plus the index in lookup->regions */

/* A data centre that may serve a client. */
typedef struct msp_place_candidate {
	const char *place;
	const char *region;
	const msp_summary_t *summary; /* NULL: this data centre */
	bool drained;
	bool stale;
	bool full; /* the service is known to have no free slot there */
	unsigned int distance;
	uint64_t score; /* of this client, orders places of equal distance */
	size_t entries_taken; /* number of its VMs in the result */
} msp_place_candidate_t;

/* Pointers in the list are borrowed from the membership and the relay. */
typedef struct msp_place_candidates {
	msp_place_candidate_t list[MSP_PLACES_MAX + 1];
	size_t count;
	uint64_t hash; /* of the client and the service, for the scores */
} msp_place_candidates_t;

/*
 * Fills `candidates` with the places that have an entry VM, best first; drained
 * places are included only if there is no other.
 */
void msp_rank_places(const msp_membership_t *membership,
    const msp_relay_t *relay, const msp_lookup_t *lookup,
    msp_place_candidates_t *candidates);

/* The VMs of one place, by their score for the client. */
typedef struct msp_ranked_vms {
	msp_entry_vm_t list[MSP_LOOKUP_ENTRIES_MAX];
	size_t count;
} msp_ranked_vms_t;

void msp_rank_vms(const msp_membership_t *membership,
    const msp_place_candidate_t *candidate, uint64_t hash,
    msp_ranked_vms_t *vms);

#endif
