#ifndef MONSOONSPINDLE_SOURCE_STEER_LOCATOR_PLACES_H
#define MONSOONSPINDLE_SOURCE_STEER_LOCATOR_PLACES_H

#include "monsoonspindle/steer/locator.h"

#define MSP_DISTANCE_PLACE 0U
#define MSP_DISTANCE_REGION 1U
#define MSP_DISTANCE_OTHER_REGION 2U /* of the nearest other region */

/* A data centre that may serve a client. */
typedef struct msp_place_candidate {
	const char *place;
	const char *region;
	const msp_summary_t *summary; /* NULL: this data centre */
	bool drained;
	bool stale;
	bool full; /* the service is known to have no free slot there */
	unsigned int distance;
	uint64_t score; /* orders places of equal distance, for this client */
	size_t entries_taken; /* entries */
} msp_place_candidate_t;

/* Pointers are borrowed from the membership and the relay. */
typedef struct msp_place_candidates {
	msp_place_candidate_t list[MSP_PLACES_MAX + 1];
	size_t count;
	uint64_t hash; /* of the client and the service */
} msp_place_candidates_t;

/*
 * Fills `choices` with the places that have an entry VM, best first; drained
 * ones only if there is no other.
 */
void msp_rank_places(const msp_membership_t *membership,
    const msp_relay_t *relay, const msp_lookup_t *lookup,
    msp_place_candidates_t *choices);

/* The VMs of one place in the client's order. */
typedef struct msp_ranked_vms {
	msp_entry_vm_t list[MSP_LOOKUP_ENTRIES_MAX];
	size_t count;
} msp_ranked_vms_t;

void msp_rank_vms(const msp_membership_t *membership,
    const msp_place_candidate_t *choice, uint64_t key, msp_ranked_vms_t *vms);

#endif
