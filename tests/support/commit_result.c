#include "commit_world.h"

#include <string.h>

static const char *const fault_names[FAULT_COUNT] = {
    [FAULT_NONE] = "none",
    [OWNER_KILLED_BEGUN] = "owner killed before the claim",
    [OWNER_KILLED_CLAIMED] = "owner killed before dispatch",
    [OWNER_KILLED_DISPATCHED] = "owner killed while the target works",
    [OWNER_KILLED_ANSWERED] = "owner killed before the record",
    [OWNER_FROZEN_BEGUN] = "owner frozen before the claim",
    [OWNER_FROZEN_CLAIMED] = "owner frozen before dispatch",
    [OWNER_FROZEN_DISPATCHED] = "owner frozen while the target works",
    [OWNER_FROZEN_ANSWERED] = "owner frozen before the record",
    [DISPATCHER_KILLED_BEFORE] = "dispatcher killed before the run",
    [DISPATCHER_KILLED_AFTER] = "dispatcher killed after the run",
    [DISPATCHER_FROZEN_BEFORE] = "dispatcher frozen before the run",
    [DISPATCHER_FROZEN_AFTER] = "dispatcher frozen after the run",
    [TWO_DISPATCHERS] = "two dispatchers",
    [DISPATCHER_OVERLOADED] = "dispatcher overloaded",
    [STORE_DOWN] = "store down",
    [STORE_SLOW] = "store slow",
    [STORE_LOSES_CALLS] = "store loses calls",
    [STORE_LOSES_ANSWERS] = "store loses answers",
    [STORE_LATE_EFFECTS] = "store's effects late",
    [STORE_DOWN_AFTER_RUN] = "store down after the run",
    [TARGET_LATE] = "target late",
    [TARGET_CUTS] = "target cuts its answer",
    [TARGET_CRASHES] = "target crashes",
    [TARGET_SILENT] = "target's connection silent",
    [VM_CUT_FROM_STORE] = "VM cut from the store",
    [VMS_CUT_FROM_EACH_OTHER] = "VMs cut from each other",
    [VM_LEAVING] = "VM leaving",
};

static const char *const pattern_names[PATTERN_COUNT] = {
    [RESEND_SAME_VM] = "same VM",
    [RESEND_OTHER_VM] = "other VM",
    [RESEND_OTHER_PLACE] = "other data centre",
    [RESEND_SAME_MOMENT] = "same moment",
    [RESEND_AFTER_A_MINUTE] = "after a minute",
    [RESEND_CHANGED_BODY] = "changed body",
};

const char *
commit_fault_name(fault_t fault)
{
	return fault_names[fault];
}

const char *
commit_pattern_name(pattern_t pattern)
{
	return pattern_names[pattern];
}

void
add_commit_result(result_t *to, const result_t *from)
{
	if (to->what[0] == '\0')
		memcpy(to->what, from->what, sizeof(to->what));
	to->runs += from->runs;
	to->answered += from->answered;
	to->said_no += from->said_no;
	to->said_unknown += from->said_unknown;
	to->unanswered += from->unanswered;
	to->doubles += from->doubles;
	to->false_no += from->false_no;
	to->wrong_answers += from->wrong_answers;
	to->stuck += from->stuck;
}

bool
is_commit_broken(const result_t *result)
{
	return result->doubles + result->false_no + result->wrong_answers +
	    result->stuck >
	    0;
}
