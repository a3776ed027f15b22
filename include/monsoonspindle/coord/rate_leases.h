#ifndef MONSOONSPINDLE_COORD_RATE_LEASES_H
#define MONSOONSPINDLE_COORD_RATE_LEASES_H

#include "monsoonspindle/coord/rate_owner.h"

/*
 * A VM's side of the rate limits of organisations: what the owner of its data
 * centre (rate_owner.h) has let it send, and what it has yet to ask or tell. A
 * VM that sends many requests of an organisation asks for those of the next
 * moment too. What it doesn't send in time it gives back. No I/O.
 */
typedef struct msp_rate_leases msp_rate_leases_t;

/* How long admitted requests may be kept. */
#define MSP_RATE_LEASE_TIME (250 * MSP_MS)

/* Returns NULL if out of memory. */
msp_rate_leases_t *msp_new_rate_leases(const msp_env_t *env);
void msp_drop_rate_leases(msp_rate_leases_t *leases);

typedef enum msp_rate_verdict {
	MSP_RATE_ADMITTED,
	MSP_RATE_REFUSED, /* the owner has just said that there is no room */
	MSP_RATE_ASK, /* the owner is to be asked; the request counts as waiting
		       */
} msp_rate_verdict_t;

/* A request has come. Sets *wait to the time until there is room. */
msp_rate_verdict_t msp_take_lease(msp_rate_leases_t *leases,
    const msp_organisation_t *organisation, uint64_t version, msp_time_t *wait);

/*
 * The same for a request that waited until the owner answered. MSP_RATE_ASK if
 * the owner was not asked for it yet, and it goes on to wait.
 */
msp_rate_verdict_t msp_take_granted(
    msp_rate_leases_t *leases, const char *name, msp_time_t *wait);

/* Whether the owner was asked for the first of the waiting requests. */
bool msp_is_rate_asked(const msp_rate_leases_t *leases, const char *name);

/* A waiting request no longer waits. */
void msp_withdraw_rate_wait(msp_rate_leases_t *leases, const char *name);

/* An admitted request has not been executed and will not be. */
void msp_return_lease(msp_rate_leases_t *leases, const char *name);

/* A request is sent once more, and may be executed twice. */
void msp_charge_lease(msp_rate_leases_t *leases, const char *name);

/*
 * Fills `out` with what the owner is to be asked or told, and takes it for
 * told. Returns how many asks there are, at most `max`.
 */
size_t msp_collect_rate_asks(
    msp_rate_leases_t *leases, msp_rate_ask_t *out, size_t max);

void msp_apply_rate_grant(
    msp_rate_leases_t *leases, const msp_rate_grant_t *grant);

/* Forgets organisations that were not used for some time. */
void msp_tidy_rate_leases(msp_rate_leases_t *leases);

/* Organisations that are kept. */
size_t msp_count_rate_leases(const msp_rate_leases_t *leases);

#endif
