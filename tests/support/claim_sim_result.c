#include "claim_sim.h"

#include <string.h>

static const char *const fault_names[CLAIM_FAULT_COUNT] = {
    [CLAIM_FAULT_NONE] = "none",
    [OWNER_KILLED_BEFORE_CLAIM] = "owner killed before the claim",
    [OWNER_KILLED_BEFORE_DISPATCH] = "owner killed before dispatch",
    [OWNER_KILLED_DURING_RUN] = "owner killed during the run",
    [OWNER_KILLED_AFTER_RUN] = "owner killed after the run",
    [OWNER_FROZEN_BEFORE_CLAIM] = "owner frozen before the claim",
    [OWNER_FROZEN_BEFORE_DISPATCH] = "owner frozen before dispatch",
    [OWNER_FROZEN_DURING_RUN] = "owner frozen during the run",
    [OWNER_FROZEN_AFTER_RUN] = "owner frozen after the run",
    [DISPATCHER_KILLED_BEFORE_RUN] = "dispatcher killed before the run",
    [DISPATCHER_KILLED_AFTER_RUN] = "dispatcher killed after the run",
    [DISPATCHER_FROZEN_BEFORE_RUN] = "dispatcher frozen before the run",
    [DISPATCHER_FROZEN_AFTER_RUN] = "dispatcher frozen after the run",
    [TWO_DISPATCHERS] = "two dispatchers",
    [DISPATCHER_OVERLOADED] = "dispatcher overloaded",
    [STORE_DOWN] = "store down",
    [STORE_SLOW] = "store slow",
    [STORE_LOSES_CALLS] = "store loses calls",
    [STORE_LOSES_REPLIES] = "store loses replies",
    [STORE_APPLIES_LATE] = "store applies writes late",
    [STORE_DOWN_AFTER_RUN] = "store down after the run",
    [TARGET_RESPONDS_LATE] = "target responds late",
    [TARGET_CLOSES_CONNECTION] = "target closes the connection",
    [TARGET_CRASHES] = "target crashes",
    [TARGET_UNREACHABLE] = "target unreachable",
    [VM_WITHOUT_STORE] = "VM without the store",
    [VM_WITHOUT_PEERS] = "VM without its peers",
    [VM_LEAVING] = "VM leaving",
};

static const char *const pattern_names[RESEND_PATTERN_COUNT] = {
    [RESEND_SAME_VM] = "same VM",
    [RESEND_OTHER_VM] = "other VM",
    [RESEND_OTHER_PLACE] = "other data centre",
    [RESEND_CONCURRENTLY] = "concurrently",
    [RESEND_AFTER_A_MINUTE] = "after a minute",
    [RESEND_CHANGED_BODY] = "changed body",
};

const char *
get_claim_fault_name(claim_fault_t fault)
{
	return fault_names[fault];
}

const char *
get_resend_pattern_name(resend_pattern_t pattern)
{
	return pattern_names[pattern];
}

void
add_claim_sim_result(claim_sim_result_t *to, const claim_sim_result_t *from)
{
	if (to->first_violation[0] == '\0')
		memcpy(to->first_violation, from->first_violation,
		    sizeof(to->first_violation));
	to->runs += from->runs;
	to->answered += from->answered;
	to->not_run_reported += from->not_run_reported;
	to->unknown_reported += from->unknown_reported;
	to->unanswered += from->unanswered;
	to->duplicate_runs += from->duplicate_runs;
	to->false_not_run += from->false_not_run;
	to->wrong_responses += from->wrong_responses;
	to->undecided += from->undecided;
}

bool
has_claim_violation(const claim_sim_result_t *result)
{
	return result->duplicate_runs + result->false_not_run +
	    result->wrong_responses + result->undecided >
	    0;
}
