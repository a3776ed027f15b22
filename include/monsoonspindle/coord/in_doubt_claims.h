#ifndef MONSOONSPINDLE_COORD_IN_DOUBT_CLAIMS_H
#define MONSOONSPINDLE_COORD_IN_DOUBT_CLAIMS_H

#include "monsoonspindle/coord/claims.h"

/*
 * A claim in doubt: whether its request ran is unknown. Either the owner has
 * recorded this, or the owner is gone and has recorded no end. Such claims are
 * listed for an operator, who rules on each.
 */
typedef struct msp_in_doubt_claim {
	char service[128];
	char key[256];
	uint64_t incarnation; /* of the owner */
	char address[64]; /* of the owner */
	msp_time_t claimed_at; /* by the owner's wall clock, microseconds */
	bool owner_ended;
} msp_in_doubt_claim_t;

/*
 * Receives one page. `next` is the row key to pass as `after` for the next
 * page, NULL after the last one. With a status other than MSP_OK, `count` is 0.
 * All pointers are valid during the callback only.
 */
typedef void msp_in_doubt_claims_done_t(void *ctx, msp_status_t status,
    const msp_in_doubt_claim_t *claims, size_t count, const char *next);

/*
 * Reads one page of the table that follows the row key `after` ("": from the
 * start) and lists the claims in doubt on it. There may be none on this page
 * although more pages follow.
 */
void msp_list_in_doubt_claims(msp_claims_t *claims, const char *after,
    msp_in_doubt_claims_done_t *done, void *ctx);

/* An operator's decision about a claim in doubt. */
typedef struct msp_ruling {
	const char *service;
	const char *key;
	bool ran; /* else: it did not run, and never will with this key */
	const char *operator_name;
} msp_ruling_t;

/*
 * MSP_OK            recorded, with the operator's name and the time
 * MSP_E_NOT_FOUND   no such claim
 * MSP_E_CONFLICT    not in doubt: its owner is alive, or its end is recorded
 * MSP_E_STORE_DOWN, MSP_E_LOST  as for a store call; repeat the ruling to learn
 *                   whether it was recorded
 */
typedef void msp_ruling_done_t(void *ctx, msp_status_t status);

/*
 * Records a ruling by a conditional write. `done` is never called before this
 * function returns.
 */
void msp_rule_claim(msp_claims_t *claims, const msp_ruling_t *ruling,
    msp_ruling_done_t *done, void *ctx);

#endif
