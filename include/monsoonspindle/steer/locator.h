#ifndef MONSOONSPINDLE_STEER_LOCATOR_H
#define MONSOONSPINDLE_STEER_LOCATOR_H

#include "monsoonspindle/coord/membership.h"
#include "monsoonspindle/coord/relay.h"

/*
 * Chooses the entry VMs that a client should use, from this VM's view of its
 * data centre and the summaries of other data centres. Keeps no state.
 */

#define MSP_LOOKUP_ENTRIES_MAX 8 /* of one result */
#define MSP_LOOKUP_REGIONS_MAX 64

/* Where an entry is, seen from the client. */
typedef enum msp_entry_kind {
	MSP_ENTRY_NEAR, /* in the client's data centre */
	MSP_ENTRY_REGION, /* in another data centre of its region */
	MSP_ENTRY_REMOTE, /* in another region */
	MSP_ENTRY_DRAINING, /* in a drained place; only if there is no other */
	MSP_ENTRY_KIND_COUNT
} msp_entry_kind_t;

/* "near", "region", "remote" or "draining". */
const char *msp_entry_kind_name(msp_entry_kind_t kind);

typedef struct msp_lookup_entry {
	char name[MSP_MEMBER_NAME_SIZE];
	char address[MSP_MEMBER_ADDRESS_SIZE]; /* IP address */
	uint16_t caller_port;
	char place[MSP_MEMBER_NAME_SIZE];
	char region[MSP_MEMBER_NAME_SIZE];
	msp_entry_kind_t kind;
} msp_lookup_entry_t;

typedef struct msp_lookup {
	const char *service;
	const char
	    *client; /* any id of the client; hashed to spread the load */
	const char *place; /* the client's data centre; NULL: this one */
	/*
	 * Regions by their distance from the client, nearest first. Regions
	 * that are not listed come after these. May be empty.
	 */
	const char *const *regions;
	size_t region_count;
	/* Whether the release drains a place; NULL: none is drained. */
	bool (*is_drained)(void *ctx, const char *place);
	void *ctx; /* of is_drained */
	size_t max; /* number of entries; 0: MSP_LOOKUP_ENTRIES_MAX */
} msp_lookup_t;

typedef struct msp_lookup_result {
	/* In the order in which the client should try them. */
	msp_lookup_entry_t entries[MSP_LOOKUP_ENTRIES_MAX];
	size_t count;
	uint32_t ttl_ms; /* after which the client looks up again */
} msp_lookup_result_t;

/*
 * Fills `result`: up to half of the entries are in the nearest usable data
 * centre, the rest in other data centres of its region and in other regions,
 * one of each before a second one. Leaving and dead VMs are left out, and
 * suspect ones if the data centre has any other. `relay` may be NULL. Returns
 * MSP_E_NO_TARGET if there is no entry at all.
 */
msp_status_t msp_locate_entries(const msp_membership_t *membership,
    const msp_relay_t *relay, const msp_lookup_t *lookup,
    msp_lookup_result_t *result);

#endif
