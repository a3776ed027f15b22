#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim_sim_private.h"

#define SERVICE "mergedesk"
#define CLIENT_DELAY (8 * MSP_MS) /* from a caller to its entry VM */
#define FORWARD_DELAY (60 * MSP_MS) /* at most */
#define FORWARD_TIMEOUT (3 * MSP_SECOND)
#define REQUEST_DEADLINE (10 * MSP_SECOND)
#define FINAL_WAIT (40 * MSP_SECOND) /* so that late runs are seen */
#define ATTEMPTS_MAX 5 /* of one caller */

static void send_attempt(claim_sim_caller_t *caller);
static void handle_forward_arrival(void *ctx);

static void
handle_caller_end(void *ctx)
{
	((claim_sim_caller_t *)ctx)->done = true;
}

static void
handle_resend(void *ctx)
{
	send_attempt(ctx);
}

/*
 * The caller has a response, or stopped waiting. Schedules its next attempt, or
 * its end if the response is final or it has no attempts left.
 */
static void
resend_or_end(claim_sim_request_t *request, bool final)
{
	claim_sim_caller_t *caller = request->caller;
	claim_sim_t *sim = caller->sim;
	msp_time_t delay = draw_claim_sim_random(sim, 2) *
	    draw_claim_sim_random(sim, 500 * MSP_MS);

	if (request->attempt_number != caller->request_count)
		return;
	if (final || caller->request_count >= ATTEMPTS_MAX) {
		schedule_claim_sim_event(
		    sim, FINAL_WAIT, handle_caller_end, caller);
		return;
	}
	if (sim->scenario->pattern == RESEND_AFTER_A_MINUTE)
		delay = MSP_MINUTE;
	schedule_claim_sim_event(sim, delay, handle_resend, caller);
}

static void
end_request(claim_sim_request_t *request)
{
	request->claim_request = NULL;
	request->ended = true;
}

static void
check_outcome(claim_sim_request_t *request, const msp_claim_outcome_t *outcome)
{
	claim_sim_t *sim = request->caller->sim;
	char body[128];

	print_outcome_body(
	    request->caller, request->changed_body, body, sizeof(body));
	if (request->caller->runs == 0 ||
	    request->caller->ran_changed_body != request->changed_body ||
	    outcome->http_status != 201 || outcome->field_count != 1 ||
	    strcmp(outcome->fields[0].value, "text/plain") != 0 ||
	    outcome->body_len != strlen(body) ||
	    memcmp(outcome->body, body, outcome->body_len) != 0)
		record_violation(request, &sim->result.wrong_responses,
		    "the response is not the outcome of the run");
	sim->result.answered++;
}

static void
count_reason(reason_counts_t *reasons, const char *text)
{
	unsigned int i;

	if (reasons == NULL)
		return;
	for (i = 0; i < reasons->reason_count; i++) {
		if (strcmp(reasons->text[i], text) == 0)
			break;
	}
	if (i == sizeof(reasons->count) / sizeof(reasons->count[0]))
		return;
	if (i == reasons->reason_count) {
		reasons->reason_count++;
		snprintf(
		    reasons->text[i], sizeof(reasons->text[i]), "%s", text);
	}
	reasons->count[i]++;
}

static void
record_refusal(
    claim_sim_request_t *request, msp_run_status_t run, const char *reason)
{
	claim_sim_t *sim = request->caller->sim;

	if (run == MSP_RUN_NOT_EXECUTED) {
		request->not_run_reported = true;
		request->not_run_reported_at = sim->venv.now;
		sim->result.not_run_reported++;
		return;
	}
	sim->result.unknown_reported++;
	count_reason(sim->reasons, reason);
}

/* Ends the request with a refusal. */
static void
refuse_request(claim_sim_request_t *request, msp_status_t status,
    msp_run_status_t run, const char *reason)
{
	bool permanent =
	    status == MSP_E_KEY_MISMATCH || status == MSP_E_KEY_EXPIRED;

	end_request(request);
	record_refusal(request, run, reason);
	if (!request->abandoned)
		resend_or_end(request, permanent && !request->changed_body);
}

static void
forward_after_release(
    claim_sim_request_t *request, const msp_claim_verdict_t *verdict)
{
	claim_sim_t *sim = request->caller->sim;

	request->claim_request = NULL;
	request->released_nonce = verdict->nonce;
	request->arrived_after_release =
	    sim->venv.now - request->arrival_estimate < verdict->release_age;
	schedule_claim_sim_event(sim, draw_claim_sim_random(sim, FORWARD_DELAY),
	    handle_forward_arrival, request);
}

static void
handle_verdict(void *ctx, const msp_claim_verdict_t *verdict)
{
	claim_sim_request_t *request = ctx;

	switch (verdict->kind) {
	case MSP_CLAIM_VERDICT_RUN:
		dispatch_claim_sim_request(
		    request, request->claim_vm, verdict->nonce);
		break;
	case MSP_CLAIM_VERDICT_REPLAY:
		end_request(request);
		check_outcome(request, verdict->outcome);
		if (!request->abandoned)
			resend_or_end(request, true);
		break;
	case MSP_CLAIM_VERDICT_REFUSE:
		refuse_request(request, verdict->refusal.status,
		    verdict->refusal.run, verdict->refusal.reason);
		break;
	case MSP_CLAIM_VERDICT_RELEASED:
		forward_after_release(request, verdict);
		break;
	}
}

static void
begin_claim(claim_sim_request_t *request, claim_sim_vm_t *vm, bool forwarded)
{
	const claim_sim_caller_t *caller = request->caller;
	claim_sim_t *sim = caller->sim;
	msp_time_t arrival =
	    forwarded ? sim->venv.now : request->arrival_estimate;
	msp_claim_request_params_t params = {
	    .service = SERVICE,
	    .key = caller->key,
	    .digest = digest_request_body(caller, request->changed_body),
	    .attempt_number =
		sim->scenario->numbered_attempts ? request->attempt_number : 0,
	    .arrival = arrival + vm->clock_offset,
	    .deadline =
		request->arrival_estimate + REQUEST_DEADLINE + vm->clock_offset,
	    .forwarded = forwarded,
	    .released_nonce = request->released_nonce,
	    .arrived_after_release = request->arrived_after_release,
	};

	request->claim_vm = vm;
	request->claim_vm_incarnation = vm->incarnation;
	request->claim_request = msp_begin_claim_request(
	    vm->claims, &params, handle_verdict, request);
	if (request->claim_request == NULL)
		abort();
	trigger_owner_fault(
	    vm, OWNER_KILLED_BEFORE_CLAIM, OWNER_FROZEN_BEFORE_CLAIM);
}

static void
handle_forward_timeout(void *ctx)
{
	refuse_request(ctx, MSP_E_PEER_DOWN, MSP_RUN_UNKNOWN,
	    "the VM that issued the key does not answer");
}

static void
handle_forwarded(void *ctx)
{
	claim_sim_request_t *request = ctx;

	if (request->claim_vm->alive && !request->abandoned)
		begin_claim(request, request->claim_vm, true);
}

/* A forwarded request arrives at the VM that issued its key. */
static void
handle_forward_arrival(void *ctx)
{
	claim_sim_request_t *request = ctx;
	claim_sim_t *sim = request->caller->sim;
	claim_sim_vm_t *owner = &sim->vms[0];

	if (sim->closing || request->abandoned)
		return;
	if (owner->peers_unreachable || request->entry_vm->peers_unreachable) {
		schedule_claim_sim_event(
		    sim, FORWARD_TIMEOUT, handle_forward_timeout, request);
		return;
	}
	if (!owner->alive) {
		refuse_request(request, MSP_E_PEER_DOWN, MSP_RUN_UNKNOWN,
		    "the VM that issued the key is down");
		return;
	}
	request->claim_vm = owner;
	deliver_to_vm(owner, handle_forwarded, request);
}

static void
handle_request(void *ctx)
{
	claim_sim_request_t *request = ctx;
	claim_sim_vm_t *vm = request->entry_vm;
	claim_sim_t *sim = vm->sim;
	msp_issued_key_t issued;

	if (!vm->alive || request->abandoned || sim->closing)
		return;
	if (vm->leaving) {
		refuse_request(request, MSP_E_LEAVING,
		    msp_infer_unclaimed_run(vm->claims,
			sim->scenario->numbered_attempts
			    ? request->attempt_number
			    : 0,
			request->arrival_estimate + vm->clock_offset),
		    "this VM is leaving");
		return;
	}
	if (msp_route_key(request->caller->key, vm->incarnation,
		is_claim_sim_vm_gone, vm, &issued) == MSP_KEY_FORWARD)
		schedule_claim_sim_event(sim,
		    draw_claim_sim_random(sim, FORWARD_DELAY),
		    handle_forward_arrival, request);
	else
		begin_claim(request, vm, false);
}

/*
 * A VM that was frozen can't tell when a request arrived, and assumes the time
 * when it froze.
 */
static void
handle_arrival(void *ctx)
{
	claim_sim_request_t *request = ctx;
	claim_sim_vm_t *vm = request->entry_vm;

	request->arrived_at = vm->sim->venv.now;
	request->arrival_estimate = request->arrived_at;
	if (vm->alive && is_vm_frozen(vm))
		request->arrival_estimate = vm->frozen_since;
	deliver_to_vm(vm, handle_request, request);
}

/* The caller stops waiting. Its VM may notice that the connection is closed. */
static void
handle_caller_timeout(void *ctx)
{
	claim_sim_request_t *request = ctx;
	claim_sim_t *sim = request->caller->sim;
	const claim_sim_vm_t *vm = request->claim_vm;

	if (request->ended || request->abandoned || sim->closing)
		return;
	request->abandoned = true;
	sim->result.unanswered++;
	if (request->claim_request != NULL && vm->alive &&
	    vm->incarnation == request->claim_vm_incarnation &&
	    !is_vm_frozen(vm) && draw_claim_sim_random(sim, 3) > 0) {
		msp_cancel_claim_request(request->claim_request);
		request->claim_request = NULL;
		request->ended = true;
	}
	resend_or_end(request, false);
}

/*
 * Callers that number their attempts may resend only after first_attempt_window
 * (5 s), so they wait longer than that.
 */
static msp_time_t
draw_caller_timeout(claim_sim_t *sim)
{
	static const msp_time_t timeouts[] = {
	    300 * MSP_MS, 2 * MSP_SECOND, 12 * MSP_SECOND};
	static const msp_time_t numbered_timeouts[] = {
	    6 * MSP_SECOND, 8 * MSP_SECOND, 12 * MSP_SECOND};

	return sim->scenario->numbered_attempts
	    ? numbered_timeouts[draw_claim_sim_random(sim, 3)]
	    : timeouts[draw_claim_sim_random(sim, 3)];
}

static claim_sim_vm_t *
choose_vm(const claim_sim_caller_t *caller)
{
	claim_sim_t *sim = caller->sim;
	const claim_sim_vm_t *last;

	if (caller->request_count == 0)
		return &sim->vms[draw_claim_sim_random(sim, CLAIM_SIM_VMS)];
	last = caller->requests[caller->request_count - 1].entry_vm;
	switch (sim->scenario->pattern) {
	case RESEND_SAME_VM:
		return &sim->vms[last->index];
	case RESEND_OTHER_PLACE:
		return &sim->vms[last->index == 2
			? draw_claim_sim_random(sim, 2)
			: 2];
	default:
		return &sim->vms[(last->index + 1 +
				     draw_claim_sim_random(sim, 2)) %
		    CLAIM_SIM_VMS];
	}
}

static void
send_attempt(claim_sim_caller_t *caller)
{
	claim_sim_t *sim = caller->sim;
	claim_sim_vm_t *vm = choose_vm(caller);
	claim_sim_request_t *request;

	if (sim->closing)
		return;
	request = &caller->requests[caller->request_count++];
	request->caller = caller;
	request->attempt_number = caller->request_count;
	request->entry_vm = vm;
	request->claim_vm = vm;
	request->changed_body = sim->scenario->pattern == RESEND_CHANGED_BODY &&
	    caller->request_count == 2;
	schedule_claim_sim_event(sim, CLIENT_DELAY, handle_arrival, request);
	schedule_claim_sim_event(
	    sim, draw_caller_timeout(sim), handle_caller_timeout, request);
}

static void
start_caller(void *ctx)
{
	claim_sim_caller_t *caller = ctx;
	const claim_scenario_t *scenario = caller->sim->scenario;

	send_attempt(caller);
	if (scenario->pattern == RESEND_CONCURRENTLY &&
	    !scenario->numbered_attempts)
		send_attempt(caller);
}

void
start_claim_sim_callers(claim_sim_t *sim)
{
	char prefix[MSP_ISSUED_PREFIX_SIZE] = "";
	const claim_sim_vm_t *issuer = &sim->vms[0];
	unsigned int i;

	if (sim->scenario->issued_keys)
		msp_issue_key_prefix(issuer->incarnation,
		    sim->venv.now + issuer->clock_offset, prefix);
	for (i = 0; i < CLAIM_SIM_KEYS; i++) {
		claim_sim_caller_t *caller = &sim->callers[i];

		caller->sim = sim;
		caller->index = i;
		snprintf(
		    caller->key, sizeof(caller->key), "%sorder-%u", prefix, i);
		schedule_claim_sim_event(sim,
		    draw_claim_sim_random(sim, 400 * MSP_MS), start_caller,
		    caller);
	}
}
