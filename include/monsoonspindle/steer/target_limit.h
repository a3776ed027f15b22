#ifndef MONSOONSPINDLE_STEER_TARGET_LIMIT_H
#define MONSOONSPINDLE_STEER_TARGET_LIMIT_H

#include <stdbool.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/steer/rate_share.h"

/*
 * The rate limit that a target names in its responses: requests per second from
 * all VMs together, for as long as its responses name it.
 */

/* What one response says. The times are of this VM's clock. */
typedef struct msp_limit_statement {
	bool named; /* the response names a limit */
	double per_second; /* if `named` */
	msp_time_t sent_at; /* when the request was sent */
	msp_time_t heard_at; /* when the response was received */
} msp_limit_statement_t;

/* What a statement changed. */
typedef enum msp_limit_change {
	MSP_LIMIT_UNCHANGED,
	MSP_LIMIT_NAMED, /* there was none before */
	MSP_LIMIT_CHANGED, /* another rate */
	MSP_LIMIT_ENDED,
} msp_limit_change_t;

/* "unchanged", "named", "changed" or "ended". */
const char *msp_limit_change_name(msp_limit_change_t change);

/* What is known of one process of a target. Zero-initialise. */
typedef struct msp_target_limit {
	msp_limit_statement_t last; /* the newest statement; heard_at 0: none */
	msp_rate_share_t share; /* this VM's part, while it is in force */
	bool share_is_old; /* the limit has changed since it was set */
	/* See limit_sync.h. */
	msp_time_t report_due; /* when other VMs are told of it; 0: not due */
	msp_time_t told_at; /* when a VM last told the others; 0: never */
	unsigned int end_reports; /* reports of its end that are still due */
	/* See msp_offer_limit_trial(). */
	msp_time_t trial_due;
	msp_time_t trial_heard_at; /* of the statement that it was set for */
} msp_target_limit_t;

/*
 * Applies a statement. Responses overtake each other: only a request that was
 * sent after the last statement was heard proves that the target has lifted or
 * raised its limit since. Of two statements whose order is not known the lower
 * limit stands.
 */
msp_limit_change_t msp_apply_limit_statement(
    msp_target_limit_t *limit, const msp_limit_statement_t *statement);

/* Whether the target has named a limit and has not lifted it. */
bool msp_limit_in_force(const msp_target_limit_t *limit);

/*
 * Returns the limit as a rate that VMs may share; only while it is in force. It
 * is never 0: the end of a limit is heard with a response only.
 */
msp_shared_rate_t msp_limit_rate(const msp_target_limit_t *limit);

/* Whether this VM's part is to be computed anew. */
bool msp_limit_share_is_old(const msp_target_limit_t *limit, msp_time_t now);

/*
 * Offers a VM without a part one request, at a random time after nothing has
 * been heard of the limit for long, neither by this VM nor by others.
 */
void msp_offer_limit_trial(msp_target_limit_t *limit, const msp_env_t *env);

/* Counts a request that is sent to the target. */
void msp_use_target_limit(msp_target_limit_t *limit);

/* Computes this VM's part. */
void msp_set_limit_share(
    msp_target_limit_t *limit, msp_time_t now, const msp_sender_rank_t *rank);

#endif
