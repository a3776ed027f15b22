#ifndef MONSOONSPINDLE_COORD_CREDITS_H
#define MONSOONSPINDLE_COORD_CREDITS_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"

/*
 * Credits: what a receiver (the dispatcher of a service in a place) allows the
 * clients of another region to send it. An offer is the least of the
 * receiver's share of the pair's cap, its spare slots and the ramp for cold
 * caches. It lapses by itself. The receiver also enforces it.
 *
 * Caps are in requests and bytes a second, bytes of a request and its answer
 * taken together; they hold in each window of one second.
 */

#define MSP_CREDIT_LIFETIME (3 * MSP_SECOND)

typedef struct msp_credit_rate {
	uint32_t requests; /* a second */
	uint64_t bytes; /* a second */
} msp_credit_rate_t;

/* An offer as told to the sending region. */
typedef struct msp_credit_offer {
	msp_credit_rate_t rate;
	msp_time_t valid_for; /* a span; 0: no offer */
	msp_time_t wait; /* expected time in the receiver's queue */
	msp_time_t background_wait; /* the same for background requests */
} msp_credit_offer_t;

/* The receiver's state, from its own dispatcher. */
typedef struct msp_spare_capacity {
	uint32_t capacity; /* slots that may be in use */
	uint32_t busy; /* in flight and waiting, shifted ones included */
	msp_time_t service_time; /* mean */
	msp_time_t wait;
	msp_time_t background_wait;
} msp_spare_capacity_t;

/*
 * Returns receiver `index`'s share of `cap` by weight, rounded down, so that
 * all shares add up to at most the cap.
 */
uint64_t msp_split_cap(
    uint64_t cap, const uint32_t *weights, size_t count, size_t index);

typedef struct msp_credit_granter msp_credit_granter_t;

typedef struct msp_credit_granter_options {
	/* Of a credit; 0: MSP_CREDIT_LIFETIME. */
	msp_time_t lifetime;
	/*
	 * From the change of a share until all other receivers have heard of
	 * it: added to the lifetime before a share is raised.
	 */
	msp_time_t propagation_delay;
	uint32_t fill_percent; /* of the slots, with shifted work; 0: 85 */
} msp_credit_granter_options_t;

/*
 * A new granter offers nothing for the spread and one lifetime, until what its
 * predecessor offered has lapsed: all shares start at 0 and are raised. Returns
 * NULL without memory.
 */
msp_credit_granter_t *msp_new_credit_granter(
    const msp_env_t *env, const msp_credit_granter_options_t *options);
void msp_drop_credit_granter(msp_credit_granter_t *granter);

/*
 * Sets this receiver's share of the cap for a client region. A lower share
 * holds at once, a higher one after the spread and the lifetime have passed.
 * Regions never set get nothing.
 */
msp_status_t msp_set_credit_share(msp_credit_granter_t *granter,
    const char *region, const msp_credit_rate_t *share);

/* Recomputes the offers; call it at least twice a lifetime. */
void msp_update_credit_offers(
    msp_credit_granter_t *granter, const msp_spare_capacity_t *spare);

/* Fills in the offer in force for a region; all 0 if there is none. */
void msp_get_credit_offer(const msp_credit_granter_t *granter,
    const char *region, msp_credit_offer_t *offer);

/* One admitted request. Zero-initialise; owned by the caller. */
typedef struct msp_credit_reservation {
	struct msp_credit_account *account;
	uint64_t reserved; /* bytes */
} msp_credit_reservation_t;

/*
 * Admits one request from a client of `region`, or returns MSP_E_NO_CREDIT:
 * the request was not run. Its bytes are debited now, those of the answer are
 * reserved by recent sizes. Each admitted shift is settled once.
 */
msp_status_t msp_reserve_credit(msp_credit_granter_t *granter,
    const char *region, uint64_t request_bytes,
    msp_credit_reservation_t *shift);

/*
 * Debits the answer when its size is known, 0 if there is none, and returns
 * how long to wait before sending it so that the cap holds: 0 unless answers
 * are larger than before. One larger than the whole share can't hold it. The
 * timer may be up to 20 ms late.
 */
msp_time_t msp_settle_credit(msp_credit_granter_t *granter,
    msp_credit_reservation_t *shift, uint64_t answer_bytes);

/* When a refused client may come back: a span. */
msp_time_t msp_get_credit_retry_after(
    const msp_credit_granter_t *granter, const char *region);

/*
 * The sender's side: the offers of the places that serve one service. Of each,
 * a VM spends one part in `spenders`, the number of VMs of its region that
 * send.
 */
typedef struct msp_sender_credits msp_sender_credits_t;

msp_sender_credits_t *msp_new_sender_credits(const msp_env_t *env);
void msp_drop_sender_credits(msp_sender_credits_t *wallet);

/* Takes in a place's offer, which is `age` old. */
msp_status_t msp_accept_credit_offer(msp_sender_credits_t *wallet,
    const char *place, const msp_credit_offer_t *offer, uint32_t spenders,
    msp_time_t age);

/* Spends one request, or returns MSP_E_NO_CREDIT. */
msp_status_t msp_spend_credit(msp_sender_credits_t *wallet, const char *place);

/* The place's offered wait, or MSP_NEVER without a request to spend. */
msp_time_t msp_get_offered_wait(
    const msp_sender_credits_t *wallet, const char *place);

/* The same for a background request. */
msp_time_t msp_get_offered_background_wait(
    const msp_sender_credits_t *wallet, const char *place);

#endif
