#ifndef MONSOONSPINDLE_COORD_RELAY_H
#define MONSOONSPINDLE_COORD_RELAY_H

#include "monsoonspindle/coord/membership.h"
#include "monsoonspindle/coord/summary.h"

/*
 * Summaries between data centres. Each period every member asks one other of
 * its data centre for summaries that are newer than its own, and a few members
 * in turns, drawn anew each period, ask a data centre of the same region and
 * one of another region. So nobody hears all members, and what a member sends
 * and receives in a period is bounded. No I/O, as in membership.h.
 */
typedef struct msp_relay msp_relay_t;

#define MSP_PLACES_MAX 96 /* data centres */
#define MSP_CONTACTS_MAX 512

/* A VM of another data centre, from the settings or the platform's list. */
typedef struct msp_contact {
	char place[MSP_MEMBER_NAME_SIZE];
	char region[MSP_MEMBER_NAME_SIZE];
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t peer_port;
} msp_contact_t;

typedef struct msp_relay_options {
	msp_time_t period; /* between exchanges; 0: 2 s */
	/*
	 * Age of a summary of the own region; one of another region may be
	 * older by a period for each place that is known. 0: 60 s.
	 */
	msp_time_t stale_after;
	msp_time_t expire_after; /* age of a summary; 0: 1 h */
	unsigned int
	    remote_exchanges; /* members a period that ask outside; 0: 3 */
	unsigned int pages_max; /* answers from one member in a period; 0: 1 */
} msp_relay_options_t;

typedef struct msp_relay_callbacks {
	/* As in msp_membership_callbacks_t; end with msp_complete_relay_call().
	 */
	void (*send)(void *ctx, const char *address, uint16_t peer_port,
	    uint32_t procedure, const void *message, uint32_t token,
	    msp_time_t timeout);
	/* A newer summary of another data centre has come. May be NULL. */
	void (*on_summary)(void *ctx, const msp_summary_t *summary);
	void *ctx;
} msp_relay_callbacks_t;

/* `membership` is borrowed. Returns NULL with a last message. */
msp_relay_t *msp_new_relay(const msp_env_t *env,
    const msp_membership_t *membership, const msp_relay_options_t *options,
    const msp_relay_callbacks_t *callbacks);
void msp_drop_relay(msp_relay_t *relay);

/* Call it about ten times a period. */
void msp_tick_relay(msp_relay_t *relay);

/* Serves MSP_GOSSIP_EXCHANGE, as msp_serve_membership() does its own. */
msp_status_t msp_serve_relay(
    msp_relay_t *relay, uint32_t procedure, const void *argument, void *result);

/* As msp_complete_membership_call(). */
void msp_complete_relay_call(msp_relay_t *relay, uint32_t token,
    msp_status_t status, const void *result);

/* In place of the contacts given before; those of this place are left out. */
void msp_set_contacts(
    msp_relay_t *relay, const msp_contact_t *contacts, size_t count);

/*
 * What this VM would say of its data centre, if it is the author: of `own` are
 * used draining, services and credits. All members should set it.
 */
void msp_set_own_summary(msp_relay_t *relay, const msp_summary_t *own);

/* True if this VM writes its data centre's summary now. */
bool msp_relay_is_author(const msp_relay_t *relay);

/*
 * The summaries held, sorted by place, with that of this data centre once it
 * was written. Borrowed; valid until the next call that is not a getter.
 */
size_t msp_summary_count(const msp_relay_t *relay);
const msp_summary_t *msp_summary_at(const msp_relay_t *relay, size_t index);

/* NULL if there is none. */
const msp_summary_t *msp_find_summary(
    const msp_relay_t *relay, const char *place);

/* True if it is too old to be relied on: its data centre may be cut off. */
bool msp_summary_is_stale(
    const msp_relay_t *relay, const msp_summary_t *summary);

#endif
