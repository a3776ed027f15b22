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

/*
 * The outcomes of callers other than the first are too long for a row, and are
 * stored as objects.
 */
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
record_violation(const claim_sim_request_t *request, unsigned int *count,
    const char *violation)
{
	claim_sim_t *sim = request->caller->sim;
	claim_sim_result_t *result = &sim->result;

	if (result->first_violation[0] == '\0')
		snprintf(result->first_violation,
		    sizeof(result->first_violation),
		    "seed %llu, key %u, attempt %u: %s",
		    (unsigned long long)sim->scenario->seed,
		    request->caller->index, request->attempt_number, violation);
	(*count)++;
}

static void
check_request(const claim_sim_request_t *request)
{
	const claim_sim_caller_t *caller = request->caller;
	claim_sim_result_t *result = &caller->sim->result;

	if (request->not_run_reported && caller->runs > 0 &&
	    (caller->ran_at <= request->not_run_reported_at ||
		caller->run_request->arrived_at <=
		    request->not_run_reported_at))
		record_violation(
		    request, &result->false_not_run, "\"run: no\", but it ran");
	if (request->claim_request != NULL && request->claim_vm->alive &&
	    request->claim_vm->incarnation == request->claim_vm_incarnation)
		record_violation(request, &result->undecided, "no verdict");
}

void
check_claim_sim_callers(claim_sim_t *sim)
{
	unsigned int i;
	unsigned int k;

	for (i = 0; i < CLAIM_SIM_KEYS; i++) {
		const claim_sim_caller_t *caller = &sim->callers[i];

		sim->result.runs += caller->runs;
		if (caller->runs > 1)
			record_violation(&caller->requests[0],
			    &sim->result.duplicate_runs, "ran more than once");
		for (k = 0; k < caller->request_count; k++)
			check_request(&caller->requests[k]);
	}
}
