#ifndef MONSOONSPINDLE_COORD_RELAY_H
#define MONSOONSPINDLE_COORD_RELAY_H

#include "monsoonspindle/coord/membership.h"
#include "monsoonspindle/coord/summary.h"

/*
 * Exchange of summaries between data centres. In each period every member asks
 * one other member of its data centre for summaries newer than its own. A few
 * randomly chosen members also ask a data centre of the same region, and a few
 * ask one of another region. No member receives data on all VMs, and the
 * traffic of a member per period is bounded. No I/O, as in membership.h.
 */
typedef struct msp_relay msp_relay_t;

#define MSP_PLACES_MAX 96 /* data centres */
#define MSP_CONTACTS_MAX 512

/*
 * Address of a VM in another data centre, from the settings or the platform's
 * list.
 */
typedef struct msp_contact {
	char place[MSP_MEMBER_NAME_SIZE];
	char region[MSP_MEMBER_NAME_SIZE];
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t peer_port;
} msp_contact_t;

typedef struct msp_relay_options {
	msp_time_t period; /* between exchanges; 0: 2 s */
	/*
	 * Age at which a summary of this region is stale. In other regions, one
	 * period is added for each known place. 0: 60 s.
	 */
	msp_time_t stale_after;
	msp_time_t expire_after; /* age at which it is removed; 0: 1 h */
	/*
	 * Expected number of this data centre's members that ask a data centre
	 * of the same region in a period, and also of those that ask one of
	 * another region. 0: 3.
	 */
	unsigned int remote_exchanges;
	unsigned int pages_max; /* answers in one exchange; 0: 1 */
} msp_relay_options_t;

typedef struct msp_relay_callbacks {
	/*
	 * As in msp_membership_callbacks_t, but a call ends with
	 * msp_complete_relay_call().
	 */
	void (*send)(void *ctx, const char *address, uint16_t peer_port,
	    uint32_t procedure, const void *message, uint32_t token,
	    msp_time_t timeout);
	/* A newer summary of another data centre arrived. May be NULL. */
	void (*on_summary)(void *ctx, const msp_summary_t *summary);
	void *ctx;
} msp_relay_callbacks_t;

/*
 * `membership` is borrowed. Returns NULL on failure, with msp_last_message()
 * set.
 */
msp_relay_t *msp_new_relay(const msp_env_t *env,
    const msp_membership_t *membership, const msp_relay_options_t *options,
    const msp_relay_callbacks_t *callbacks);
void msp_drop_relay(msp_relay_t *relay);

/* Runs due timers. Call it about ten times per period. */
void msp_tick_relay(msp_relay_t *relay);

/* Serves MSP_GOSSIP_EXCHANGE; otherwise as msp_serve_membership(). */
msp_status_t msp_serve_relay(
    msp_relay_t *relay, uint32_t procedure, const void *argument, void *result);

/* Ends a call that send() started, as msp_complete_membership_call(). */
void msp_complete_relay_call(msp_relay_t *relay, uint32_t token,
    msp_status_t status, const void *result);

/* Replaces the contacts. Those in this VM's place are left out. */
void msp_set_contacts(
    msp_relay_t *relay, const msp_contact_t *contacts, size_t count);

/*
 * Sets what this VM publishes about its data centre while it is the author.
 * Only `draining`, `services` and `credits` of `own` are used. All members
 * should set it, since any of them can become the author.
 */
void msp_set_own_summary(msp_relay_t *relay, const msp_summary_t *own);

/* True if this VM currently writes the summary of its data centre. */
bool msp_relay_is_author(const msp_relay_t *relay);

/*
 * Access to the known summaries, sorted by place, including that of this data
 * centre once it has been written. Borrowed; valid until the next call that is
 * not a getter.
 */
size_t msp_summary_count(const msp_relay_t *relay);
const msp_summary_t *msp_summary_at(const msp_relay_t *relay, size_t index);

/* Returns NULL if there is none. */
const msp_summary_t *msp_find_summary(
    const msp_relay_t *relay, const char *place);

/*
 * True if the summary is too old to rely on: its data centre may be
 * partitioned off.
 */
bool msp_summary_is_stale(
    const msp_relay_t *relay, const msp_summary_t *summary);

#endif
