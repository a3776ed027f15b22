#ifndef MONSOONSPINDLE_STEER_RATE_SHARE_H
#define MONSOONSPINDLE_STEER_RATE_SHARE_H

#include <stdbool.h>
#include <stddef.h>

#include "monsoonspindle/base/env.h"

/*
 * This VM's part of a rate of requests that holds for all VMs together. Each VM
 * computes its part by itself, from what all of them know: the data centres of
 * the deployment, and the live VMs of its own. So it needs no message and goes
 * on while data centres or the store can't be reached.
 */

/* This VM's place among the VMs that share a rate. */
typedef struct msp_sender_rank {
	size_t place_count; /* data centres that share the rate */
	size_t place; /* rank of this VM's among them; 0: the first */
	size_t vm_count; /* live VMs of this data centre; 0: unknown */
	size_t vm; /* rank of this VM among them; 0: the first */
} msp_sender_rank_t;

/* A rate of all VMs together. */
typedef struct msp_shared_rate {
	double per_second;
	/* Requests beyond the rate that all VMs together may have saved up. */
	double burst;
	/* The first requests are sent at once instead of spread over time. */
	bool starts_at_once;
} msp_shared_rate_t;

/* Zero-initialise. */
typedef struct msp_rate_share {
	bool is_set;
	double per_second; /* 0: this VM sends nothing */
	double burst;
	double tokens; /* requests that may be sent now */
	msp_time_t refilled_at;
	msp_time_t set_at;
} msp_rate_share_t;

/*
 * Whether the part is to be set anew: it was never set, or the ranks of VMs may
 * have changed since.
 */
bool msp_rate_share_is_old(const msp_rate_share_t *share, msp_time_t now);

/*
 * Sets the part of this VM. A VM may save up one request at least, so that only
 * as many VMs as `burst` allows get a part: those of the first data centres,
 * and of each the first VMs. The parts of all VMs add up to at most the rate
 * and the burst. A VM that gets a part only later starts without a saved
 * request.
 */
void msp_set_rate_share(msp_rate_share_t *share, msp_time_t now,
    const msp_shared_rate_t *rate, const msp_sender_rank_t *rank);

/* Whether a request may be sent now. */
bool msp_rate_share_allows(msp_rate_share_t *share, msp_time_t now);

/* Counts a request that is sent. */
void msp_use_rate_share(msp_rate_share_t *share);

/* Returns the time until a request may be sent; MSP_NEVER without a part. */
msp_time_t msp_rate_share_wait(msp_rate_share_t *share, msp_time_t now);

#endif
