#ifndef MONSOONSPINDLE_COORD_RETRY_BUDGET_H
#define MONSOONSPINDLE_COORD_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Bounds retries and hedges to a share of recent first tries. Each first try
 * earns `percent` hundredths of a retry, up to `burst` retries.
 */
typedef struct msp_retry_budget {
	uint32_t percent;
	uint32_t burst;
	uint64_t hundredths; /* earned and not spent */
} msp_retry_budget_t;

/* Fills `budget`; it starts full. */
void msp_init_retry_budget(
    msp_retry_budget_t *budget, uint32_t percent, uint32_t burst);

/* Counts one first try. */
void msp_refill_retry_budget(msp_retry_budget_t *budget);

/* Spends one retry and returns true, or returns false if none is left. */
bool msp_spend_retry(msp_retry_budget_t *budget);

#endif
