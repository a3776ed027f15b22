#include "monsoonspindle/coord/retry_budget.h"

#define WHOLE_RETRY 100 /* hundredths */

void
msp_init_retry_budget(
    msp_retry_budget_t *budget, uint32_t percent, uint32_t burst)
{
	*budget = (msp_retry_budget_t){
	    .percent = percent,
	    .burst = burst,
	    .hundredths = percent == 0 ? 0 : (uint64_t)burst * WHOLE_RETRY,
	};
}

void
msp_refill_retry_budget(msp_retry_budget_t *budget)
{
	uint64_t most = (uint64_t)budget->burst * WHOLE_RETRY;

	budget->hundredths += budget->percent;
	if (budget->hundredths > most)
		budget->hundredths = most;
}

bool
msp_spend_retry(msp_retry_budget_t *budget)
{
	if (budget->hundredths < WHOLE_RETRY)
		return false;
	budget->hundredths -= WHOLE_RETRY;
	return true;
}
