#ifndef MONSOONSPINDLE_COORD_CREDITS_H
#define MONSOONSPINDLE_COORD_CREDITS_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"

/*
 * Credit-based flow control between regions. A receiver (the dispatcher of a
 * service in a place) offers credit to the clients of another region and also
 * enforces it. An offer is the minimum of the receiver's share of the cap for
 * the pair of regions, its spare capacity, and a ramp that rises slowly while
 * caches are cold. An offer that is not renewed expires.
 *
 * Caps are in requests and bytes per second, where the bytes of a request and
 * its response count together. They hold in each window of one second.
 */

#define MSP_CREDIT_LIFETIME (3 * MSP_SECOND)

typedef struct msp_credit_rate {
	uint32_t requests; /* per second */
	uint64_t bytes; /* per second */
} msp_credit_rate_t;

/* An offer as the sending region gets it. */
typedef struct msp_credit_offer {
	msp_credit_rate_t rate;
	msp_time_t valid_for; /* time left; 0: no offer */
	msp_time_t wait; /* expected time in the receiver's queue */
	msp_time_t background_wait; /* same for background requests */
} msp_credit_offer_t;

/* The receiver's capacity and load, from its own dispatcher. */
typedef struct msp_spare_capacity {
	uint32_t capacity; /* slots that may be in use */
	uint32_t busy; /* requests in flight and queued, of all regions */
	msp_time_t service_time; /* mean */
	msp_time_t wait; /* expected time in the queue */
	msp_time_t background_wait; /* same for background requests */
} msp_spare_capacity_t;

/*
 * Returns the share of `cap` for receiver `index` by weight. It is rounded
 * down, so the shares never add up to more than the cap.
 */
uint64_t msp_split_cap(
    uint64_t cap, const uint32_t *weights, size_t count, size_t index);

/* The receiver's side: grants credit to client regions. */
typedef struct msp_credit_granter msp_credit_granter_t;

typedef struct msp_credit_granter_options {
	/* Of an offer; 0: MSP_CREDIT_LIFETIME. */
	msp_time_t lifetime;
	/*
	 * Time from the change of a share until all other receivers know of it.
	 * A share is raised only after this and the lifetime.
	 */
	msp_time_t propagation_delay;
	uint32_t fill_percent; /* share of the slots to use at most; 0: 85 */
} msp_credit_granter_options_t;

/*
 * All shares start at 0 and are raised, so a new granter offers nothing for the
 * propagation delay and one lifetime, until the offers of its predecessor have
 * expired. Returns NULL when out of memory.
 */
msp_credit_granter_t *msp_new_credit_granter(
    const msp_env_t *env, const msp_credit_granter_options_t *options);
void msp_drop_credit_granter(msp_credit_granter_t *granter);

/*
 * Sets this receiver's share of the cap for a client region. A lower share
 * applies at once, a higher one after the propagation delay and the lifetime.
 * Regions without a share get no credit.
 */
msp_status_t msp_set_credit_share(msp_credit_granter_t *granter,
    const char *region, const msp_credit_rate_t *share);

/* Recomputes the offers. Call it at least twice per lifetime. */
void msp_update_credit_offers(
    msp_credit_granter_t *granter, const msp_spare_capacity_t *spare);

/* Sets `offer` to the current offer for a region; all 0 if there is none. */
void msp_get_credit_offer(const msp_credit_granter_t *granter,
    const char *region, msp_credit_offer_t *offer);

/* Credit held by one admitted request. Zero-initialise; owned by the caller. */
typedef struct msp_credit_reservation {
	struct msp_credit_account *account;
	uint64_t reserved; /* bytes, for the response */
} msp_credit_reservation_t;

/*
 * Admits one request from a client of `region`, or returns MSP_E_NO_CREDIT;
 * the request must not run then. Debits the request's bytes and reserves bytes
 * for the response by the size of recent ones. Each reservation has to be
 * settled once.
 */
msp_status_t msp_reserve_credit(msp_credit_granter_t *granter,
    const char *region, uint64_t request_bytes,
    msp_credit_reservation_t *reservation);

/*
 * Debits the response once its size is known, 0 bytes if there is none. Returns
 * how long to delay the response so that the cap holds: 0 unless responses are
 * larger than recent ones. With a response larger than the whole share the cap
 * can't hold. The response may be sent up to 20 ms after the delay.
 */
msp_time_t msp_settle_credit(msp_credit_granter_t *granter,
    msp_credit_reservation_t *reservation, uint64_t response_bytes);

/* Returns after how long a refused client may retry. */
msp_time_t msp_get_credit_retry_after(
    const msp_credit_granter_t *granter, const char *region);

/*
 * The sender's side: the offers of the places that serve one service. Each VM
 * spends 1/`spenders` of an offer, where `spenders` is the number of VMs of its
 * region that send.
 */
typedef struct msp_sender_credits msp_sender_credits_t;

msp_sender_credits_t *msp_new_sender_credits(const msp_env_t *env);
void msp_drop_sender_credits(msp_sender_credits_t *credits);

/* Stores a place's offer, which is `age` old. */
msp_status_t msp_accept_credit_offer(msp_sender_credits_t *credits,
    const char *place, const msp_credit_offer_t *offer, uint32_t spenders,
    msp_time_t age);

/* Spends the credit of one request, or returns MSP_E_NO_CREDIT. */
msp_status_t msp_spend_credit(msp_sender_credits_t *credits, const char *place);

/* Returns the wait that a place offers, or MSP_NEVER without credit left. */
msp_time_t msp_get_offered_wait(
    const msp_sender_credits_t *credits, const char *place);

/* Same for a background request. */
msp_time_t msp_get_offered_background_wait(
    const msp_sender_credits_t *credits, const char *place);

#endif
