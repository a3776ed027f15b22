#ifndef MONSOONSPINDLE_SOURCE_COORD_RELAY_PRIVATE_H
#define MONSOONSPINDLE_SOURCE_COORD_RELAY_PRIVATE_H

#include "monsoonspindle/coord/relay.h"

#define MSP_RELAY_CALLS_MAX 64 /* pending calls; a power of two */

/* A pending call of MSP_GOSSIP_EXCHANGE. */
typedef struct msp_exchange_call {
	uint32_t token; /* 0: the slot is unused */
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t peer_port;
	unsigned int page; /* answers received before in this exchange */
} msp_exchange_call_t;

struct msp_relay {
	msp_env_t env;
	const msp_membership_t *membership;
	msp_relay_options_t options;
	msp_relay_callbacks_t callbacks;
	msp_summary_t own; /* published while this VM is the author */
	msp_time_t start;
	msp_time_t next_period;
	uint32_t last_token;
	msp_exchange_call_t calls[MSP_RELAY_CALLS_MAX];
	msp_summary_t *summaries[MSP_PLACES_MAX]; /* sorted by place; owned */
	size_t summary_count;
	msp_contact_t contacts[MSP_CONTACTS_MAX];
	size_t contact_count;
};

/* relay_summaries.c: the table of the summaries of all data centres. */

/*
 * Stores a copy of the summary if it is newer, and returns the copy. Returns
 * NULL if it is not newer or not plausible, or the table is full.
 */
msp_summary_t *msp_insert_summary(
    msp_relay_t *relay, const msp_summary_t *summary);
void msp_expire_summaries(msp_relay_t *relay);

/*
 * Returns the present sequence for a new summary: this VM's incarnation clock
 * in milliseconds.
 */
uint64_t msp_summary_sequence(const msp_relay_t *relay);

/* relay_exchange.c: requests and answers with summaries. */

/* Asks a member of this data centre for newer summaries. */
void msp_exchange_local(msp_relay_t *relay);

/* Asks another data centre, in this region if `own_region`, else outside. */
void msp_exchange_remote(msp_relay_t *relay, bool own_region);

#endif
