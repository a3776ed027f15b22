#include <stdio.h>
#include <string.h>

#include "claim_sim_private.h"

msp_digest_t
digest_request_body(const claim_sim_caller_t *caller, bool changed)
{
	char body[96];

	snprintf(
	    body, sizeof(body), "%s%s", caller->key, changed ? " changed" : "");
	return msp_digest(body, strlen(body));
}

/* Some outcomes are past the bound of a row, and go into an object. */
void
print_outcome_body(
    const claim_sim_caller_t *caller, bool changed, char *out, size_t size)
{
	snprintf(out, size, "%s printed%s%s", caller->key,
	    changed ? " changed" : "",
	    caller->index == 0 ? ""
			       : ", with a body that is too long for its row");
}

void
record_violation(
    const claim_sim_request_t *sent, unsigned int *count, const char *what)
{
	claim_sim_t *world = sent->caller->sim;
	claim_sim_result_t *result = &world->result;

	if (result->first_violation[0] == '\0')
		snprintf(result->first_violation,
		    sizeof(result->first_violation),
		    "seed %llu, key %u, try %u: %s",
		    (unsigned long long)world->scenario->seed,
		    sent->caller->index, sent->attempt_number, what);
	(*count)++;
}

static void
check_sent(const claim_sim_request_t *sent)
{
	const claim_sim_caller_t *caller = sent->caller;
	claim_sim_result_t *result = &caller->sim->result;

	if (sent->not_run_reported && caller->runs > 0 &&
	    (caller->ran_at <= sent->not_run_reported_at ||
		caller->run_request->arrived_at <= sent->not_run_reported_at))
		record_violation(
		    sent, &result->false_not_run, "a false \"run: no\"");
	if (sent->claim_request != NULL && sent->claim_vm->alive &&
	    sent->claim_vm->incarnation == sent->claim_vm_incarnation)
		record_violation(sent, &result->undecided, "no verdict at all");
}

void
check_claim_sim_callers(claim_sim_t *world)
{
	unsigned int i;
	unsigned int k;

	for (i = 0; i < CLAIM_SIM_KEYS; i++) {
		const claim_sim_caller_t *caller = &world->callers[i];

		world->result.runs += caller->runs;
		if (caller->runs > 1)
			record_violation(&caller->requests[0],
			    &world->result.duplicate_runs,
			    "ran more than once");
		for (k = 0; k < caller->request_count; k++)
			check_sent(&caller->requests[k]);
	}
}
