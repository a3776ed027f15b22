#ifndef MONSOONSPINDLE_COORD_CLAIM_DOUBTS_H
#define MONSOONSPINDLE_COORD_CLAIM_DOUBTS_H

#include "monsoonspindle/coord/claims.h"

/*
 * Commits of which nobody knows whether they ran: the owner said so, or is
 * gone with nothing recorded. They are listed for the operator, who rules.
 */
typedef struct msp_in_doubt_claim {
	char service[128];
	char key[256];
	uint64_t incarnation; /* of the owner */
	char address[64]; /* of the owner */
	msp_time_t claimed_at; /* by the owner's wall clock */
	bool owner_gone;
} msp_in_doubt_claim_t;

/*
 * `next` is the place to go on from, or NULL at the end. With a status other
 * than MSP_OK there are no doubts. All borrowed during the callback.
 */
typedef void msp_in_doubt_claims_done_t(void *ctx, msp_status_t status,
    const msp_in_doubt_claim_t *doubts, size_t count, const char *next);

/*
 * Reads one page of the table from `after` ("": from the start) and lists the
 * doubts in it, which may be none although there are more pages.
 */
void msp_list_in_doubt_claims(msp_claims_t *claims, const char *after,
    msp_in_doubt_claims_done_t *done, void *ctx);

typedef struct msp_ruling {
	const char *service;
	const char *key;
	bool ran; /* else: it did not run, and never will with this key */
	const char *operator_name; /* the operator */
} msp_ruling_t;

/*
 * MSP_OK            recorded, with who and when
 * MSP_E_NOT_FOUND   no such claim
 * MSP_E_CONFLICT    not in doubt: its owner lives, or its end is recorded
 * MSP_E_STORE_DOWN, MSP_E_LOST  as of the store; rule again to find out
 */
typedef void msp_ruling_done_t(void *ctx, msp_status_t status);

/* Records a ruling by a conditional write. Never called back from inside. */
void msp_rule_claim(msp_claims_t *claims, const msp_ruling_t *ruling,
    msp_ruling_done_t *done, void *ctx);

#endif
