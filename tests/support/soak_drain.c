#include "soak_drain.h"

void
begin_judged_drain(drain_judge_t *judge, msp_time_t now)
{
	judge->leaves = true;
	judge->acknowledged_at = now;
}

void
end_judged_drain(drain_judge_t *judge)
{
	judge->leaves = false;
}

bool
judge_drain_arrival(drain_judge_t *judge, msp_time_t now, msp_time_t vm_since)
{
	if (!judge->leaves)
		return false;
	judge->judged++;
	return now > judge->acknowledged_at + judge->options.deadline &&
	    now >= vm_since + judge->options.contact_time;
}
