#ifndef MONSOONSPINDLE_SOURCE_COORD_RELAY_PRIVATE_H
#define MONSOONSPINDLE_SOURCE_COORD_RELAY_PRIVATE_H

#include "monsoonspindle/coord/relay.h"

#define MSP_RELAY_CALLS_MAX 64 /* calls awaited at once; a power of two */

/* An exchange that is awaited. */
typedef struct msp_exchange_call {
	uint32_t token; /* 0: free */
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t peer_port;
	unsigned int page; /* answers got before */
} msp_exchange_call_t;

struct msp_relay {
	msp_env_t env;
	const msp_membership_t *membership;
	msp_relay_options_t options;
	msp_relay_callbacks_t callbacks;
	msp_summary_t own; /* what this VM would write */
	msp_time_t start;
	msp_time_t next_period;
	uint32_t last_token;
	msp_exchange_call_t calls[MSP_RELAY_CALLS_MAX];
	msp_summary_t *summaries[MSP_PLACES_MAX]; /* sorted by place */
	size_t summary_count;
	msp_contact_t contacts[MSP_CONTACTS_MAX];
	size_t contact_count;
};

/* relay_summaries.c: what is kept of all data centres */

/* Takes the summary in if it is newer; NULL if it is not. */
msp_summary_t *msp_insert_summary(
    msp_relay_t *relay, const msp_summary_t *summary);
void msp_expire_summaries(msp_relay_t *relay);

/* The clock of sequences: that of incarnations, in milliseconds. */
uint64_t msp_summary_sequence(const msp_relay_t *relay);

/* relay_exchange.c */
void msp_exchange_local(msp_relay_t *relay);
void msp_exchange_remote(msp_relay_t *relay, bool own_region);

#endif
