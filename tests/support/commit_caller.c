#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "commit_parts.h"

#define SERVICE "mergedesk"
#define TRAVEL (8 * MSP_MS) /* from a caller to a VM */
#define FORWARD_DELAY (60 * MSP_MS) /* at most */
#define FORWARD_TIMEOUT (3 * MSP_SECOND)
#define TRY_DEADLINE (10 * MSP_SECOND)
#define QUIET_END (40 * MSP_SECOND) /* late runs would come until then */
#define TRIES_SENT 5 /* most of one caller */

static void send_next(caller_t *caller);
static void reach_owner(void *ctx);

static void
end_caller(void *ctx)
{
	((caller_t *)ctx)->done = true;
}

static void
send_again(void *ctx)
{
	send_next(ctx);
}

/* The caller has its answer, or gave up waiting for it. */
static void
after_try(sent_t *sent, bool satisfied)
{
	caller_t *caller = sent->caller;
	world_t *world = caller->world;
	msp_time_t pause = cw_below(world, 2) * cw_below(world, 500 * MSP_MS);

	if (sent->number != caller->count)
		return;
	if (satisfied || caller->count >= TRIES_SENT) {
		cw_later(world, QUIET_END, end_caller, caller);
		return;
	}
	if (world->scenario->pattern == RESEND_AFTER_A_MINUTE)
		pause = MSP_MINUTE;
	cw_later(world, pause, send_again, caller);
}

static void
make_final(sent_t *sent)
{
	sent->tried = NULL;
	sent->final = true;
}

static void
check_answer(sent_t *sent, const msp_claim_outcome_t *outcome)
{
	world_t *world = sent->caller->world;
	char body[128];

	cw_print_outcome(sent->caller, sent->changed, body, sizeof(body));
	if (sent->caller->runs == 0 ||
	    sent->caller->ran_changed != sent->changed ||
	    outcome->http_status != 201 || outcome->field_count != 1 ||
	    strcmp(outcome->fields[0].value, "text/plain") != 0 ||
	    outcome->body_len != strlen(body) ||
	    memcmp(outcome->body, body, outcome->body_len) != 0)
		cw_broke(sent, &world->result.wrong_answers,
		    "an answer that is not the run's");
	world->result.answered++;
}

static void
count_reason(reasons_t *reasons, const char *text)
{
	unsigned int i;

	if (reasons == NULL)
		return;
	for (i = 0; i < reasons->used; i++) {
		if (strcmp(reasons->text[i], text) == 0)
			break;
	}
	if (i == sizeof(reasons->count) / sizeof(reasons->count[0]))
		return;
	if (i == reasons->used) {
		reasons->used++;
		snprintf(
		    reasons->text[i], sizeof(reasons->text[i]), "%s", text);
	}
	reasons->count[i]++;
}

static void
note_refusal(sent_t *sent, msp_run_status_t run, const char *reason)
{
	world_t *world = sent->caller->world;

	if (run == MSP_RUN_NO) {
		sent->said_no = true;
		sent->said_at = world->venv.now;
		world->result.said_no++;
		return;
	}
	world->result.said_unknown++;
	count_reason(world->reasons, reason);
}

/* Answers the caller with a refusal; each try is answered once. */
static void
refuse(
    sent_t *sent, msp_status_t status, msp_run_status_t run, const char *reason)
{
	bool hopeless =
	    status == MSP_E_KEY_MISMATCH || status == MSP_E_KEY_EXPIRED;

	make_final(sent);
	note_refusal(sent, run, reason);
	if (!sent->gone)
		after_try(sent, hopeless && !sent->changed);
}

static void
forward_again(sent_t *sent, const msp_claim_verdict_t *verdict)
{
	world_t *world = sent->caller->world;

	sent->tried = NULL;
	sent->release_seen = verdict->nonce;
	sent->after_release = world->venv.now - sent->arrival < verdict->age;
	cw_later(world, cw_below(world, FORWARD_DELAY), reach_owner, sent);
}

static void
on_verdict(void *ctx, const msp_claim_verdict_t *verdict)
{
	sent_t *sent = ctx;

	switch (verdict->kind) {
	case MSP_CLAIM_VERDICT_RUN:
		cw_dispatch(sent, sent->holder, verdict->nonce);
		break;
	case MSP_CLAIM_VERDICT_REPLAY:
		make_final(sent);
		check_answer(sent, verdict->outcome);
		if (!sent->gone)
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
begin(sent_t *sent, vm_t *vm, bool forwarded)
{
	const caller_t *caller = sent->caller;
	world_t *world = caller->world;
	msp_time_t arrival = forwarded ? world->venv.now : sent->arrival;
	msp_claim_request_params_t params = {
	    .service = SERVICE,
	    .key = caller->key,
	    .digest = cw_body_digest(caller, sent->changed),
	    .attempt_number = world->scenario->marked ? sent->number : 0,
	    .arrival = arrival + vm->clock_offset,
	    .deadline = sent->arrival + TRY_DEADLINE + vm->clock_offset,
	    .forwarded = forwarded,
	    .release_seen = sent->release_seen,
	    .after_release = sent->after_release,
	};

	sent->holder = vm;
	sent->incarnation = vm->incarnation;
	sent->tried =
	    msp_begin_claim_request(vm->claims, &params, on_verdict, sent);
	if (sent->tried == NULL)
		abort();
	cw_strike_owner(vm, OWNER_KILLED_BEGUN, OWNER_FROZEN_BEGUN);
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
	sent_t *sent = ctx;

	if (sent->holder->alive && !sent->gone)
		begin(sent, sent->holder, true);
}

/* A forwarded try reaches the VM that issued its key. */
static void
reach_owner(void *ctx)
{
	sent_t *sent = ctx;
	world_t *world = sent->caller->world;
	vm_t *owner = &world->vms[0];

	if (world->closing || sent->gone)
		return;
	if (owner->cut_from_vms || sent->vm->cut_from_vms) {
		cw_later(world, FORWARD_TIMEOUT, give_up_forward, sent);
		return;
	}
	if (!owner->alive) {
		refuse(sent, MSP_E_PEER_DOWN, MSP_RUN_UNKNOWN,
		    "the VM that issued the key is down");
		return;
	}
	sent->holder = owner;
	cw_deliver(owner, begin_forwarded, sent);
}

static void
take_in(void *ctx)
{
	sent_t *sent = ctx;
	vm_t *vm = sent->vm;
	world_t *world = vm->world;
	msp_issued_key_t issued;

	if (!vm->alive || sent->gone || world->closing)
		return;
	if (vm->leaving) {
		refuse(sent, MSP_E_LEAVING,
		    msp_infer_unclaimed_run(vm->claims,
			world->scenario->marked ? sent->number : 0,
			sent->arrival + vm->clock_offset),
		    "this VM is leaving");
		return;
	}
	if (msp_route_key(sent->caller->key, vm->incarnation, cw_is_gone, vm,
		&issued) == MSP_KEY_FORWARD)
		cw_later(
		    world, cw_below(world, FORWARD_DELAY), reach_owner, sent);
	else
		begin(sent, vm, false);
}

/* A VM cannot tell how long bytes waited while it was frozen. */
static void
arrive(void *ctx)
{
	sent_t *sent = ctx;
	vm_t *vm = sent->vm;

	sent->arrived = vm->world->venv.now;
	sent->arrival = sent->arrived;
	if (vm->alive && cw_is_frozen(vm))
		sent->arrival = vm->frozen_since;
	cw_deliver(vm, take_in, sent);
}

/* The caller waits no longer; its VM may not notice. */
static void
lose_patience(void *ctx)
{
	sent_t *sent = ctx;
	world_t *world = sent->caller->world;
	const vm_t *vm = sent->holder;

	if (sent->final || sent->gone || world->closing)
		return;
	sent->gone = true;
	world->result.unanswered++;
	if (sent->tried != NULL && vm->alive &&
	    vm->incarnation == sent->incarnation && !cw_is_frozen(vm) &&
	    cw_below(world, 3) > 0) {
		msp_cancel_claim_request(sent->tried);
		sent->tried = NULL;
		sent->final = true;
	}
	after_try(sent, false);
}

/* A marking caller waits longer than the window of its first try. */
static msp_time_t
draw_patience(world_t *world)
{
	static const msp_time_t unmarked[] = {
	    300 * MSP_MS, 2 * MSP_SECOND, 12 * MSP_SECOND};
	static const msp_time_t marked[] = {
	    6 * MSP_SECOND, 8 * MSP_SECOND, 12 * MSP_SECOND};

	return world->scenario->marked ? marked[cw_below(world, 3)]
				       : unmarked[cw_below(world, 3)];
}

static vm_t *
choose_vm(const caller_t *caller)
{
	world_t *world = caller->world;
	const vm_t *last;

	if (caller->count == 0)
		return &world->vms[cw_below(world, WORLD_VMS)];
	last = caller->sent[caller->count - 1].vm;
	switch (world->scenario->pattern) {
	case RESEND_SAME_VM:
		return &world->vms[last->index];
	case RESEND_OTHER_PLACE:
		return &world->vms[last->index == 2 ? cw_below(world, 2) : 2];
	default:
		return &world->vms[(last->index + 1 + cw_below(world, 2)) %
		    WORLD_VMS];
	}
}

static void
send_next(caller_t *caller)
{
	world_t *world = caller->world;
	vm_t *vm = choose_vm(caller);
	sent_t *sent;

	if (world->closing)
		return;
	sent = &caller->sent[caller->count++];
	sent->caller = caller;
	sent->number = caller->count;
	sent->vm = vm;
	sent->holder = vm;
	sent->changed = world->scenario->pattern == RESEND_CHANGED_BODY &&
	    caller->count == 2;
	cw_later(world, TRAVEL, arrive, sent);
	cw_later(world, draw_patience(world), lose_patience, sent);
}

static void
start_caller(void *ctx)
{
	caller_t *caller = ctx;
	const scenario_t *scenario = caller->world->scenario;

	send_next(caller);
	if (scenario->pattern == RESEND_SAME_MOMENT && !scenario->marked)
		send_next(caller);
}

void
cw_start_callers(world_t *world)
{
	char prefix[MSP_ISSUED_PREFIX_SIZE] = "";
	const vm_t *issuer = &world->vms[0];
	unsigned int i;

	if (world->scenario->issued)
		msp_issue_key_prefix(issuer->incarnation,
		    world->venv.now + issuer->clock_offset, prefix);
	for (i = 0; i < WORLD_KEYS; i++) {
		caller_t *caller = &world->callers[i];

		caller->world = world;
		caller->index = i;
		snprintf(
		    caller->key, sizeof(caller->key), "%sorder-%u", prefix, i);
		cw_later(
		    world, cw_below(world, 400 * MSP_MS), start_caller, caller);
	}
}
