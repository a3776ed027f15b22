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

/* Whether the deadline had passed before the store became impaired. */
static bool
binds_all_the_while(const drain_judge_t *judge)
{
	return judge->acknowledged_at + judge->options.deadline <=
	    judge->impaired_since;
}

void
impair_judged_store(drain_judge_t *judge, msp_time_t now)
{
	if (judge->store_impaired)
		return;
	judge->store_impaired = true;
	judge->impaired_since = now;
}

void
recover_judged_store(drain_judge_t *judge, msp_time_t now)
{
	if (judge->store_impaired && !binds_all_the_while(judge))
		judge->acknowledged_at = now;
	judge->store_impaired = false;
}

bool
judge_drain_arrival(drain_judge_t *judge, msp_time_t now, msp_time_t vm_since)
{
	if (!judge->leaves ||
	    (judge->store_impaired && !binds_all_the_while(judge)))
		return false;
	judge->judged++;
	return now > judge->acknowledged_at + judge->options.deadline &&
	    now >= vm_since + judge->options.contact_time;
}
