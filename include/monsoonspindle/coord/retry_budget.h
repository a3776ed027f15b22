#ifndef MONSOONSPINDLE_COORD_RETRY_BUDGET_H
#define MONSOONSPINDLE_COORD_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Limits retries and hedged requests to a share of the recent first attempts.
 * Each first attempt adds `percent` hundredths of a retry to the budget, which
 * holds at most `burst` retries.
 */
typedef struct msp_retry_budget {
	uint32_t percent;
	uint32_t burst;
	uint64_t hundredths; /* of a retry, not spent yet */
} msp_retry_budget_t;

/* Initialises `budget`, which starts full, or empty if `percent` is 0. */
void msp_init_retry_budget(
    msp_retry_budget_t *budget, uint32_t percent, uint32_t burst);

/* Adds the share of one first attempt. */
void msp_refill_retry_budget(msp_retry_budget_t *budget);

/* Spends one retry and returns true, or returns false if none is left. */
bool msp_spend_retry(msp_retry_budget_t *budget);

#endif
