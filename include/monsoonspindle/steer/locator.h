#ifndef MONSOONSPINDLE_STEER_LOCATOR_H
#define MONSOONSPINDLE_STEER_LOCATOR_H

#include "monsoonspindle/coord/membership.h"
#include "monsoonspindle/coord/relay.h"

/*
 * The answer to "which entry VMs should this client use?", from this VM's view
 * of its data centre and the summaries of others. No state of its own.
 */

#define MSP_LOOKUP_ENTRIES_MAX 8 /* of one answer */
#define MSP_LOOKUP_REGIONS_MAX 64

/* Why an entry is in the answer. */
typedef enum msp_entry_kind {
	MSP_ENTRY_NEAR, /* in the client's data centre */
	MSP_ENTRY_REGION, /* in another data centre of its region */
	MSP_ENTRY_REMOTE, /* in another region */
	MSP_ENTRY_DRAINING, /* in a place that is drained: a last resort */
	MSP_ENTRY_KIND_COUNT
} msp_entry_kind_t;

/* "near", "region", "remote" or "draining". */
const char *msp_entry_kind_name(msp_entry_kind_t kind);

typedef struct msp_lookup_entry {
	char name[MSP_MEMBER_NAME_SIZE];
	char address[MSP_MEMBER_ADDRESS_SIZE]; /* IP number */
	uint16_t caller_port;
	char place[MSP_MEMBER_NAME_SIZE];
	char region[MSP_MEMBER_NAME_SIZE];
	msp_entry_kind_t kind;
} msp_lookup_entry_t;

typedef struct msp_lookup {
	const char *service;
	const char *client; /* what the client is known by: spreads the load */
	const char *place; /* the client's data centre; NULL: this one */
	/*
	 * Regions from the nearest to the client on. Those not named come after
	 * them, by name. May be empty.
	 */
	const char *const *regions;
	size_t region_count;
	/* Whether a place is drained, by the release; NULL: none is. */
	bool (*is_drained)(void *ctx, const char *place);
	void *ctx; /* of is_drained */
	size_t max; /* entries; 0: MSP_LOOKUP_ENTRIES_MAX */
} msp_lookup_t;

typedef struct msp_lookup_result {
	msp_lookup_entry_t
	    entries[MSP_LOOKUP_ENTRIES_MAX]; /* in the order to try them */
	size_t count;
	uint32_t ttl_ms; /* ask again after */
} msp_lookup_result_t;

/*
 * Fills `answer`: up to half of the entries of the nearest data centre that
 * takes work, the rest of other data centres of the region and of other
 * regions, one of each before a second one. Leaving and dead VMs are left out,
 * suspects too while another is there. `relay` may be NULL.
 * MSP_E_NO_TARGET if there is no entry at all.
 */
msp_status_t msp_locate_entries(const msp_membership_t *membership,
    const msp_relay_t *relay, const msp_lookup_t *lookup,
    msp_lookup_result_t *answer);

#endif
