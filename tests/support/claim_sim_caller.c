#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim_sim_private.h"

#define SERVICE "mergedesk"
#define TRAVEL (8 * MSP_MS) /* from a caller to a VM */
#define FORWARD_DELAY (60 * MSP_MS) /* at most */
#define FORWARD_TIMEOUT (3 * MSP_SECOND)
#define TRY_DEADLINE (10 * MSP_SECOND)
#define QUIET_END (40 * MSP_SECOND) /* late runs would come until then */
#define TRIES_SENT 5 /* most of one caller */

static void send_next(claim_sim_caller_t *caller);
static void reach_owner(void *ctx);

static void
end_caller(void *ctx)
{
	((claim_sim_caller_t *)ctx)->done = true;
}

static void
send_again(void *ctx)
{
	send_next(ctx);
}

/* The caller has its answer, or gave up waiting for it. */
static void
after_try(claim_sim_request_t *sent, bool satisfied)
{
	claim_sim_caller_t *caller = sent->caller;
	claim_sim_t *world = caller->sim;
	msp_time_t pause = draw_claim_sim_random(world, 2) *
	    draw_claim_sim_random(world, 500 * MSP_MS);

	if (sent->attempt_number != caller->request_count)
		return;
	if (satisfied || caller->request_count >= TRIES_SENT) {
		schedule_claim_sim_event(world, QUIET_END, end_caller, caller);
		return;
	}
	if (world->scenario->pattern == RESEND_AFTER_A_MINUTE)
		pause = MSP_MINUTE;
	schedule_claim_sim_event(world, pause, send_again, caller);
}

static void
make_final(claim_sim_request_t *sent)
{
	sent->claim_request = NULL;
	sent->ended = true;
}

static void
check_answer(claim_sim_request_t *sent, const msp_claim_outcome_t *outcome)
{
	claim_sim_t *world = sent->caller->sim;
	char body[128];

	print_outcome_body(
	    sent->caller, sent->changed_body, body, sizeof(body));
	if (sent->caller->runs == 0 ||
	    sent->caller->ran_changed_body != sent->changed_body ||
	    outcome->http_status != 201 || outcome->field_count != 1 ||
	    strcmp(outcome->fields[0].value, "text/plain") != 0 ||
	    outcome->body_len != strlen(body) ||
	    memcmp(outcome->body, body, outcome->body_len) != 0)
		record_violation(sent, &world->result.wrong_responses,
		    "an answer that is not the run's");
	world->result.answered++;
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
note_refusal(
    claim_sim_request_t *sent, msp_run_status_t run, const char *reason)
{
	claim_sim_t *world = sent->caller->sim;

	if (run == MSP_RUN_NO) {
		sent->not_run_reported = true;
		sent->not_run_reported_at = world->venv.now;
		world->result.not_run_reported++;
		return;
	}
	world->result.unknown_reported++;
	count_reason(world->reasons, reason);
}

/* Answers the caller with a refusal; each try is answered once. */
static void
refuse(claim_sim_request_t *sent, msp_status_t status, msp_run_status_t run,
    const char *reason)
{
	bool hopeless =
	    status == MSP_E_KEY_MISMATCH || status == MSP_E_KEY_EXPIRED;

	make_final(sent);
	note_refusal(sent, run, reason);
	if (!sent->abandoned)
		after_try(sent, hopeless && !sent->changed_body);
}

static void
forward_again(claim_sim_request_t *sent, const msp_claim_verdict_t *verdict)
{
	claim_sim_t *world = sent->caller->sim;

	sent->claim_request = NULL;
	sent->released_nonce = verdict->nonce;
	sent->arrived_after_release =
	    world->venv.now - sent->arrival_estimate < verdict->age;
	schedule_claim_sim_event(world,
	    draw_claim_sim_random(world, FORWARD_DELAY), reach_owner, sent);
}

static void
on_verdict(void *ctx, const msp_claim_verdict_t *verdict)
{
	claim_sim_request_t *sent = ctx;

	switch (verdict->kind) {
	case MSP_CLAIM_VERDICT_RUN:
		dispatch_claim_sim_request(
		    sent, sent->claim_vm, verdict->nonce);
		break;
	case MSP_CLAIM_VERDICT_REPLAY:
		make_final(sent);
		check_answer(sent, verdict->outcome);
		if (!sent->abandoned)
			after_try(sent, true);
		break;
	case MSP_CLAIM_VERDICT_REFUSE:
		refuse(sent, verdict->refusal.status, verdict->refusal.run,
		    verdict->refusal.reason);
		break;
	case MSP_CLAIM_VERDICT_RELEASED:
		forward_again(sent, verdict);
		break;
	}
}

static void
begin(claim_sim_request_t *sent, claim_sim_vm_t *vm, bool forwarded)
{
	const claim_sim_caller_t *caller = sent->caller;
	claim_sim_t *world = caller->sim;
	msp_time_t arrival =
	    forwarded ? world->venv.now : sent->arrival_estimate;
	msp_claim_request_params_t params = {
	    .service = SERVICE,
	    .key = caller->key,
	    .digest = digest_request_body(caller, sent->changed_body),
	    .attempt_number =
		world->scenario->numbered_attempts ? sent->attempt_number : 0,
	    .arrival = arrival + vm->clock_offset,
	    .deadline =
		sent->arrival_estimate + TRY_DEADLINE + vm->clock_offset,
	    .forwarded = forwarded,
	    .release_seen = sent->released_nonce,
	    .after_release = sent->arrived_after_release,
	};

	sent->claim_vm = vm;
	sent->claim_vm_incarnation = vm->incarnation;
	sent->claim_request =
	    msp_begin_claim_request(vm->claims, &params, on_verdict, sent);
	if (sent->claim_request == NULL)
		abort();
	trigger_owner_fault(
	    vm, OWNER_KILLED_BEFORE_CLAIM, OWNER_FROZEN_BEFORE_CLAIM);
}

static void
give_up_forward(void *ctx)
{
	refuse(ctx, MSP_E_PEER_DOWN, MSP_RUN_UNKNOWN,
	    "the VM that issued the key does not answer");
}

static void
begin_forwarded(void *ctx)
{
	claim_sim_request_t *sent = ctx;

	if (sent->claim_vm->alive && !sent->abandoned)
		begin(sent, sent->claim_vm, true);
}

/* A forwarded try reaches the VM that issued its key. */
static void
reach_owner(void *ctx)
{
	claim_sim_request_t *sent = ctx;
	claim_sim_t *world = sent->caller->sim;
	claim_sim_vm_t *owner = &world->vms[0];

	if (world->closing || sent->abandoned)
		return;
	if (owner->peers_unreachable || sent->entry_vm->peers_unreachable) {
		schedule_claim_sim_event(
		    world, FORWARD_TIMEOUT, give_up_forward, sent);
		return;
	}
	if (!owner->alive) {
		refuse(sent, MSP_E_PEER_DOWN, MSP_RUN_UNKNOWN,
		    "the VM that issued the key is down");
		return;
	}
	sent->claim_vm = owner;
	deliver_to_vm(owner, begin_forwarded, sent);
}

static void
take_in(void *ctx)
{
	claim_sim_request_t *sent = ctx;
	claim_sim_vm_t *vm = sent->entry_vm;
	claim_sim_t *world = vm->sim;
	msp_issued_key_t issued;

	if (!vm->alive || sent->abandoned || world->closing)
		return;
	if (vm->leaving) {
		refuse(sent, MSP_E_LEAVING,
		    msp_infer_unclaimed_run(vm->claims,
			world->scenario->numbered_attempts
			    ? sent->attempt_number
			    : 0,
			sent->arrival_estimate + vm->clock_offset),
		    "this VM is leaving");
		return;
	}
	if (msp_route_key(sent->caller->key, vm->incarnation,
		is_claim_sim_vm_gone, vm, &issued) == MSP_KEY_FORWARD)
		schedule_claim_sim_event(world,
		    draw_claim_sim_random(world, FORWARD_DELAY), reach_owner,
		    sent);
	else
		begin(sent, vm, false);
}

/* A VM cannot tell how long bytes waited while it was frozen. */
static void
arrive(void *ctx)
{
	claim_sim_request_t *sent = ctx;
	claim_sim_vm_t *vm = sent->entry_vm;

	sent->arrived_at = vm->sim->venv.now;
	sent->arrival_estimate = sent->arrived_at;
	if (vm->alive && is_vm_frozen(vm))
		sent->arrival_estimate = vm->frozen_since;
	deliver_to_vm(vm, take_in, sent);
}

/* The caller waits no longer; its VM may not notice. */
static void
lose_patience(void *ctx)
{
	claim_sim_request_t *sent = ctx;
	claim_sim_t *world = sent->caller->sim;
	const claim_sim_vm_t *vm = sent->claim_vm;

	if (sent->ended || sent->abandoned || world->closing)
		return;
	sent->abandoned = true;
	world->result.unanswered++;
	if (sent->claim_request != NULL && vm->alive &&
	    vm->incarnation == sent->claim_vm_incarnation &&
	    !is_vm_frozen(vm) && draw_claim_sim_random(world, 3) > 0) {
		msp_cancel_claim_request(sent->claim_request);
		sent->claim_request = NULL;
		sent->ended = true;
	}
	after_try(sent, false);
}

/* A marking caller waits longer than the window of its first try. */
static msp_time_t
draw_patience(claim_sim_t *world)
{
	static const msp_time_t unmarked[] = {
	    300 * MSP_MS, 2 * MSP_SECOND, 12 * MSP_SECOND};
	static const msp_time_t marked[] = {
	    6 * MSP_SECOND, 8 * MSP_SECOND, 12 * MSP_SECOND};

	return world->scenario->numbered_attempts
	    ? marked[draw_claim_sim_random(world, 3)]
	    : unmarked[draw_claim_sim_random(world, 3)];
}

static claim_sim_vm_t *
choose_vm(const claim_sim_caller_t *caller)
{
	claim_sim_t *world = caller->sim;
	const claim_sim_vm_t *last;

	if (caller->request_count == 0)
		return &world->vms[draw_claim_sim_random(world, CLAIM_SIM_VMS)];
	last = caller->requests[caller->request_count - 1].entry_vm;
	switch (world->scenario->pattern) {
	case RESEND_SAME_VM:
		return &world->vms[last->index];
	case RESEND_OTHER_PLACE:
		return &world->vms[last->index == 2
			? draw_claim_sim_random(world, 2)
			: 2];
	default:
		return &world->vms[(last->index + 1 +
				       draw_claim_sim_random(world, 2)) %
		    CLAIM_SIM_VMS];
	}
}

static void
send_next(claim_sim_caller_t *caller)
{
	claim_sim_t *world = caller->sim;
	claim_sim_vm_t *vm = choose_vm(caller);
	claim_sim_request_t *sent;

	if (world->closing)
		return;
	sent = &caller->requests[caller->request_count++];
	sent->caller = caller;
	sent->attempt_number = caller->request_count;
	sent->entry_vm = vm;
	sent->claim_vm = vm;
	sent->changed_body = world->scenario->pattern == RESEND_CHANGED_BODY &&
	    caller->request_count == 2;
	schedule_claim_sim_event(world, TRAVEL, arrive, sent);
	schedule_claim_sim_event(
	    world, draw_patience(world), lose_patience, sent);
}

static void
start_caller(void *ctx)
{
	claim_sim_caller_t *caller = ctx;
	const claim_scenario_t *scenario = caller->sim->scenario;

	send_next(caller);
	if (scenario->pattern == RESEND_CONCURRENTLY &&
	    !scenario->numbered_attempts)
		send_next(caller);
}

void
start_claim_sim_callers(claim_sim_t *world)
{
	char prefix[MSP_ISSUED_PREFIX_SIZE] = "";
	const claim_sim_vm_t *issuer = &world->vms[0];
	unsigned int i;

	if (world->scenario->issued_keys)
		msp_issue_key_prefix(issuer->incarnation,
		    world->venv.now + issuer->clock_offset, prefix);
	for (i = 0; i < CLAIM_SIM_KEYS; i++) {
		claim_sim_caller_t *caller = &world->callers[i];

		caller->sim = world;
		caller->index = i;
		snprintf(
		    caller->key, sizeof(caller->key), "%sorder-%u", prefix, i);
		schedule_claim_sim_event(world,
		    draw_claim_sim_random(world, 400 * MSP_MS), start_caller,
		    caller);
	}
}
