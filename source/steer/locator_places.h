#ifndef MONSOONSPINDLE_SOURCE_STEER_LOCATOR_PLACES_H
#define MONSOONSPINDLE_SOURCE_STEER_LOCATOR_PLACES_H

#include "monsoonspindle/steer/locator.h"

#define MSP_DISTANCE_PLACE 0U
#define MSP_DISTANCE_REGION 1U
#define MSP_DISTANCE_FIRST 2U /* of the nearest other region */

/* A data centre that may serve a client, with VMs in the client's order. */
typedef struct msp_place_choice {
	char place[MSP_MEMBER_NAME_SIZE];
	char region[MSP_MEMBER_NAME_SIZE];
	bool drained;
	bool stale;
	bool full; /* the service is known to have no free slot there */
	unsigned int distance;
	uint64_t score; /* orders places of equal distance, for this client */
	msp_entry_vm_t vms[MSP_ENTRIES_MAX];
	size_t vm_count;
	size_t taken;
} msp_place_choice_t;

typedef struct msp_place_choices {
	msp_place_choice_t list[MSP_PLACES_MAX + 1];
	size_t count;
} msp_place_choices_t;

/*
 * Fills `choices` with the places that have an entry VM, best first; drained
 * ones only if there is no other.
 */
void msp_choose_places(const msp_membership_t *membership,
    const msp_relay_t *relay, const msp_lookup_t *lookup,
    msp_place_choices_t *choices);

#endif
