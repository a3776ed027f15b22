#ifndef MONSOONSPINDLE_COORD_SUMMARY_H
#define MONSOONSPINDLE_COORD_SUMMARY_H

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/coord/member.h"

#define MSP_SUMMARY_ENTRIES_MAX 6
#define MSP_SUMMARY_SERVICES_MAX 16
#define MSP_SUMMARY_CREDITS_MAX 256 /* bytes */

/* An entry VM of another data centre: one that takes requests from callers. */
typedef struct msp_entry_vm {
	char name[MSP_MEMBER_NAME_SIZE];
	char address[MSP_MEMBER_ADDRESS_SIZE]; /* numeric IP address */
	uint16_t caller_port;
	uint16_t peer_port;
} msp_entry_vm_t;

/* Free and total slots of one service in a data centre. */
typedef struct msp_headroom {
	char service[MSP_MEMBER_NAME_SIZE];
	uint32_t slots_free;
	uint32_t slots;
} msp_headroom_t;

/*
 * What one data centre publishes about itself to the others. One of its
 * members, the author, writes it; the next author continues with a higher
 * sequence.
 */
typedef struct msp_summary {
	char place[MSP_MEMBER_NAME_SIZE]; /* data centre */
	char region[MSP_MEMBER_NAME_SIZE];
	uint64_t incarnation; /* of its author */
	uint64_t sequence; /* strictly grows; ms of the author's clock */
	msp_time_t received; /* on this process's clock */
	msp_time_t age_received; /* age when it was received */
	/* Lowest release version of the alive members, as the author knows. */
	uint64_t release;
	uint32_t live; /* number of alive members */
	bool draining; /* accepts nothing new */
	/* Some of the alive members. */
	msp_entry_vm_t entries[MSP_SUMMARY_ENTRIES_MAX];
	size_t entry_count;
	msp_headroom_t services[MSP_SUMMARY_SERVICES_MAX];
	size_t service_count;
	uint8_t credits[MSP_SUMMARY_CREDITS_MAX]; /* credit offers; opaque */
	size_t credits_len; /* bytes */
} msp_summary_t;

/* Returns the time since the author wrote the summary. */
msp_time_t msp_summary_age(const msp_summary_t *summary, msp_time_t now);

#endif
