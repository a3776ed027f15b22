#include "monsoonspindle/coord/retry_budget.h"

#define HUNDREDTHS_PER_RETRY 100

void
msp_init_retry_budget(
    msp_retry_budget_t *budget, uint32_t percent, uint32_t burst)
{
	*budget = (msp_retry_budget_t){
	    .percent = percent,
	    .burst = burst,
	    .hundredths =
		percent == 0 ? 0 : (uint64_t)burst * HUNDREDTHS_PER_RETRY,
	};
}

void
msp_refill_retry_budget(msp_retry_budget_t *budget)
{
	uint64_t max = (uint64_t)budget->burst * HUNDREDTHS_PER_RETRY;

	budget->hundredths += budget->percent;
	if (budget->hundredths > max)
		budget->hundredths = max;
}

bool
msp_spend_retry(msp_retry_budget_t *budget)
{
	if (budget->hundredths < HUNDREDTHS_PER_RETRY)
		return false;
	budget->hundredths -= HUNDREDTHS_PER_RETRY;
	return true;
}
