#ifndef MONSOONSPINDLE_COORD_RATE_OWNER_H
#define MONSOONSPINDLE_COORD_RATE_OWNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"
#include "monsoonspindle/config/organisation.h"

/*
 * The rate limits of organisations in one data centre.
 *
 * One VM of each data centre, the owner, admits the requests of its data centre
 * from a token bucket for each organisation. Its buckets have a part of each
 * limit, in proportion to what the data centres are asked for. Each owner tells
 * the others its demand; the parts add up to the whole limit as long as all
 * compute with the same figures. While a data centre hears nothing from another
 * one, its parts do not grow. A data centre without any demand keeps a small
 * part, so that a first caller need not wait until others have heard of it.
 *
 * A VM that becomes the owner starts with empty buckets, because the one before
 * may just have spent them; after the start of its process, with what came in
 * while it can't have admitted anything. No I/O.
 */
typedef struct msp_rate_owner msp_rate_owner_t;

typedef struct msp_rate_owner_options {
	size_t place_count; /* data centres that share the limits */
	size_t place; /* of this VM, among them */
	/*
	 * Requests by which all data centres together may exceed each limit.
	 * Some of it is used where a part of a limit is less than a request.
	 */
	double slack;
} msp_rate_owner_options_t;

/* Returns NULL if out of memory. */
msp_rate_owner_t *msp_new_rate_owner(
    const msp_env_t *env, const msp_rate_owner_options_t *options);
void msp_drop_rate_owner(msp_rate_owner_t *owner);

/*
 * This VM is the owner from now on, or still is. To be called when the VM is
 * the first choice or is asked; after 5 s without a call it has to start anew.
 * One that is not the first choice is asked by VMs that did not reach the first
 * one. It admits only a little, because the first may well go on.
 */
void msp_act_as_rate_owner(msp_rate_owner_t *owner, bool is_first);

/* What a VM asks for one organisation. */
typedef struct msp_rate_ask {
	char name[MSP_ORGANISATION_NAME_SIZE];
	msp_rate_limit_t limit; /* by the VM's configuration */
	uint64_t version; /* of that configuration; the newest one holds */
	uint32_t wanted; /* requests to admit */
	uint32_t arrived; /* requests that came since the last ask */
	uint32_t charged; /* requests that were sent without asking */
	uint32_t returned; /* admitted requests that were not sent */
} msp_rate_ask_t;

typedef struct msp_rate_grant {
	char name[MSP_ORGANISATION_NAME_SIZE];
	uint32_t granted; /* requests that may be sent */
	msp_time_t wait; /* until the next request has room; MSP_NEVER: none */
} msp_rate_grant_t;

/* Fills `grant`, also without memory, when it grants nothing. */
void msp_ask_rate_owner(msp_rate_owner_t *owner, const msp_rate_ask_t *ask,
    msp_rate_grant_t *grant);

/* What a data centre is asked for, of one organisation. */
typedef struct msp_rate_demand {
	char name[MSP_ORGANISATION_NAME_SIZE];
	double per_second;
} msp_rate_demand_t;

/*
 * Sets what another data centre is asked for. Organisations that it leaves out
 * for 3 s are not asked for there. One that tells nothing keeps its parts for
 * a minute, since it may only be cut off; until each has been heard once, this
 * one takes no more than an even part. A VM that may become the owner is told
 * the demand of its own data centre too.
 */
void msp_hear_rate_demand(msp_rate_owner_t *owner, size_t place,
    const msp_rate_demand_t *demand, size_t count);

/*
 * Fills `out` with what this data centre is asked for, to be told to all others
 * at once and every half second, also if it is nothing, and forgets
 * organisations that are no longer used. Returns how many, at most `max`; the
 * next call goes on where this one ended if there are more.
 */
size_t msp_tell_rate_demand(
    msp_rate_owner_t *owner, msp_rate_demand_t *out, size_t max);

/* This data centre's part of a limit, 0 to 1. */
double msp_rate_part(const msp_rate_owner_t *owner, const char *name);

/* Organisations of which there is a bucket. */
size_t msp_count_rate_buckets(const msp_rate_owner_t *owner);

#endif
