#include "monsoonspindle/base/memory_budget.h"

bool
msp_has_memory(const msp_memory_budget_t *budget, size_t bytes)
{
	for (; budget != NULL; budget = budget->whole) {
		if (budget->limit != 0 &&
		    (budget->used > budget->limit ||
			bytes > budget->limit - budget->used))
			return false;
	}
	return true;
}

bool
msp_take_memory(msp_memory_budget_t *budget, size_t bytes)
{
	if (!msp_has_memory(budget, bytes)) {
		budget->refused++;
		return false;
	}
	for (; budget != NULL; budget = budget->whole) {
		budget->used += bytes;
		if (budget->used > budget->most_used)
			budget->most_used = budget->used;
	}
	return true;
}

void
msp_return_memory(msp_memory_budget_t *budget, size_t bytes)
{
	for (; budget != NULL; budget = budget->whole)
		budget->used -= bytes;
}
