#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim_sim_private.h"

#define NET_DELAY (2 * MSP_MS)
#define ANSWER_TIMEOUT (5 * MSP_SECOND) /* of an entry VM */
#define TARGET_TIMEOUT (2 * MSP_SECOND) /* of a dispatcher */
#define LATE_ANSWER (7 * MSP_SECOND)
#define FROZEN_FOR (8 * MSP_SECOND)
#define RESTART_AFTER MSP_SECOND
#define STORE_DOWN_FOR (9 * MSP_SECOND)
#define RELEASE_RECORDED (80 * MSP_MS) /* after a release, in the store */
#define NONCE_LIFETIME (10 * MSP_SECOND)

typedef enum end {
	END_ANSWERED,
	END_NOT_RUN,
	END_UNKNOWN
} end_t;

/* One commit on its way through a dispatcher to the target and back. */
typedef struct job {
	claim_sim_request_t *sent;
	claim_sim_vm_t *vm;
	uint64_t incarnation;
	msp_nonce_t nonce;
	msp_time_t age; /* of the nonce, when it was sent */
	claim_sim_dispatcher_t *dispatcher;
	bool went_elsewhere;
	bool answered_once;
	end_t end;
	unsigned int holds;
} job_t;

static void
let_go(job_t *job)
{
	if (--job->holds == 0)
		free(job);
}

static void
wake_dispatcher(void *ctx)
{
	msp_record_nonce_set_pause(((claim_sim_dispatcher_t *)ctx)->nonces);
}

static void
freeze_dispatcher(claim_sim_dispatcher_t *dispatcher)
{
	claim_sim_t *world = dispatcher->sim;

	dispatcher->frozen_until = world->venv.now + FROZEN_FOR;
	schedule_claim_sim_event(
	    world, FROZEN_FOR, wake_dispatcher, dispatcher);
}

static void
restart_dispatcher(void *ctx)
{
	claim_sim_dispatcher_t *dispatcher = ctx;

	msp_drop_nonce_set(dispatcher->nonces);
	dispatcher->nonces =
	    msp_new_nonce_set(&dispatcher->sim->env, NONCE_LIFETIME);
	dispatcher->alive = true;
}

static void
kill_dispatcher(claim_sim_dispatcher_t *dispatcher)
{
	dispatcher->alive = false;
	schedule_claim_sim_event(
	    dispatcher->sim, RESTART_AFTER, restart_dispatcher, dispatcher);
}

/* Whether the VM that sent the job still runs. */
static bool
is_wanted(const job_t *job)
{
	return job->vm->alive && job->vm->incarnation == job->incarnation;
}

static void
report_answer(job_t *job)
{
	const claim_sim_caller_t *caller = job->sent->caller;
	msp_claim_field_t field = {"content-type", "text/plain"};
	char body[128];
	msp_claim_outcome_t outcome = {
	    .http_status = 201, .fields = &field, .field_count = 1};

	print_outcome_body(caller, job->sent->changed_body, body, sizeof(body));
	outcome.body = body;
	outcome.body_len = strlen(body);
	msp_finish_claim(job->vm->claims, job->nonce, &outcome);
}

static void
strike_after_release(void *ctx)
{
	trigger_owner_fault(
	    ctx, OWNER_KILLED_AFTER_RUN, OWNER_FROZEN_AFTER_RUN);
}

static void
report_end(void *ctx)
{
	job_t *job = ctx;
	msp_refusal_t refusal = {
	    .status = MSP_E_OVERLOAD,
	    .retry_after_ms = 100,
	    .reason = "the dispatcher did not run it",
	};

	if (is_wanted(job)) {
		if (job->end == END_ANSWERED) {
			report_answer(job);
		} else if (job->end == END_NOT_RUN) {
			msp_release_claim(
			    job->vm->claims, job->nonce, &refusal);
			schedule_claim_sim_event(job->vm->sim, RELEASE_RECORDED,
			    strike_after_release, job->vm);
		} else {
			refusal.status = MSP_E_IN_DOUBT;
			refusal.reason = "the target's answer is not known";
			msp_mark_claim_in_doubt(
			    job->vm->claims, job->nonce, &refusal);
		}
	}
	let_go(job);
}

static void
heal_store(void *ctx)
{
	claim_sim_t *world = ctx;

	msp_memory_store_faults(world->store)->down = false;
}

/* The end reaches the entry VM. */
static void
receive_end(void *ctx)
{
	job_t *job = ctx;
	claim_sim_t *world = job->vm->sim;

	if (is_wanted(job) && job->end == END_ANSWERED) {
		trigger_owner_fault(
		    job->vm, OWNER_KILLED_AFTER_RUN, OWNER_FROZEN_AFTER_RUN);
		if (trigger_claim_fault(world, STORE_DOWN_AFTER_RUN)) {
			msp_memory_store_faults(world->store)->down = true;
			schedule_claim_sim_event(
			    world, STORE_DOWN_FOR, heal_store, world);
		}
	}
	deliver_to_vm(job->vm, report_end, job);
}

static void
carry_end(void *ctx)
{
	job_t *job = ctx;

	deliver_to_vm(job->vm, receive_end, job);
}

static void
answer_job(job_t *job, end_t end, msp_time_t delay)
{
	if (job->answered_once) {
		let_go(job);
		return;
	}
	job->answered_once = true;
	job->end = end;
	schedule_claim_sim_event(
	    job->vm->sim, delay + NET_DELAY, carry_end, job);
}

static void
on_timeout(void *ctx)
{
	answer_job(ctx, END_UNKNOWN, 0);
}

static bool
misbehaves(claim_sim_t *world, claim_fault_t fault)
{
	return has_claim_fault(world, fault) &&
	    draw_claim_sim_random(world, 2) == 0;
}

static void
count_run(job_t *job)
{
	claim_sim_caller_t *caller = job->sent->caller;

	caller->runs++;
	caller->ran_at = job->vm->sim->venv.now;
	caller->run_request = job->sent;
	caller->ran_changed_body = job->sent->changed_body;
}

static void
reach_target(void *ctx)
{
	job_t *job = ctx;
	claim_sim_t *world = job->vm->sim;
	msp_time_t work =
	    20 * MSP_MS + draw_claim_sim_random(world, 40 * MSP_MS);

	if (misbehaves(world, TARGET_UNREACHABLE)) {
		answer_job(job, END_UNKNOWN, TARGET_TIMEOUT);
		return;
	}
	if (misbehaves(world, TARGET_CRASHES)) {
		if (draw_claim_sim_random(world, 2) == 0)
			count_run(job);
		answer_job(job, END_UNKNOWN, work);
		return;
	}
	count_run(job);
	if (trigger_claim_fault(world, DISPATCHER_KILLED_AFTER_RUN)) {
		kill_dispatcher(job->dispatcher);
		let_go(job);
	} else if (trigger_claim_fault(world, DISPATCHER_FROZEN_AFTER_RUN)) {
		freeze_dispatcher(job->dispatcher);
		answer_job(job, END_ANSWERED, FROZEN_FOR);
	} else if (misbehaves(world, TARGET_CLOSES_CONNECTION)) {
		answer_job(job, END_UNKNOWN, work);
	} else if (misbehaves(world, TARGET_RESPONDS_LATE)) {
		answer_job(job, END_UNKNOWN, LATE_ANSWER);
	} else {
		answer_job(job, END_ANSWERED, work);
	}
}

static void reach_dispatcher(void *ctx);

/* The dispatcher did not take it: another may. */
static void
go_elsewhere(job_t *job)
{
	claim_sim_t *world = job->vm->sim;

	if (job->went_elsewhere) {
		answer_job(job, END_NOT_RUN, 0);
		return;
	}
	job->went_elsewhere = true;
	job->dispatcher = &world->dispatchers[1 - job->dispatcher->index];
	schedule_claim_sim_event(world, NET_DELAY, reach_dispatcher, job);
}

static void
take_job(job_t *job)
{
	claim_sim_t *world = job->vm->sim;

	if (misbehaves(world, DISPATCHER_OVERLOADED)) {
		go_elsewhere(job);
		return;
	}
	switch (
	    msp_consume_nonce(job->dispatcher->nonces, job->nonce, job->age)) {
	case MSP_OK:
		schedule_claim_sim_event(world, MSP_MS, reach_target, job);
		break;
	case MSP_E_KEY_EXPIRED:
		answer_job(job, END_NOT_RUN, 0);
		break;
	default:
		answer_job(job, END_UNKNOWN, 0);
		break;
	}
}

static void
reach_dispatcher(void *ctx)
{
	job_t *job = ctx;
	claim_sim_dispatcher_t *dispatcher = job->dispatcher;
	claim_sim_t *world = job->vm->sim;

	if (!dispatcher->alive) {
		go_elsewhere(job);
	} else if (dispatcher->frozen_until > world->venv.now) {
		schedule_claim_sim_event(world,
		    dispatcher->frozen_until - world->venv.now,
		    reach_dispatcher, job);
	} else if (trigger_claim_fault(world, DISPATCHER_KILLED_BEFORE_RUN)) {
		kill_dispatcher(dispatcher);
		let_go(job);
	} else if (trigger_claim_fault(world, DISPATCHER_FROZEN_BEFORE_RUN)) {
		freeze_dispatcher(dispatcher);
		schedule_claim_sim_event(
		    world, FROZEN_FOR, reach_dispatcher, job);
	} else {
		take_job(job);
	}
}

static void
strike_while_working(void *ctx)
{
	job_t *job = ctx;

	if (is_wanted(job))
		trigger_owner_fault(
		    job->vm, OWNER_KILLED_DURING_RUN, OWNER_FROZEN_DURING_RUN);
	let_go(job);
}

static void
send_job(void *ctx)
{
	job_t *job = ctx;
	claim_sim_t *world = job->vm->sim;
	unsigned int first = 0;

	if (!is_wanted(job)) {
		let_go(job);
		return;
	}
	if (has_claim_fault(world, TWO_DISPATCHERS))
		first = (unsigned int)draw_claim_sim_random(
		    world, CLAIM_SIM_DISPATCHERS);
	job->age = msp_claim_age(job->vm->claims, job->nonce);
	job->dispatcher = &world->dispatchers[first];
	job->holds += 2;
	schedule_claim_sim_event(world, NET_DELAY, reach_dispatcher, job);
	schedule_claim_sim_event(
	    world, 4 * NET_DELAY, strike_while_working, job);
	schedule_claim_sim_event(world, ANSWER_TIMEOUT, on_timeout, job);
}

void
dispatch_claim_sim_request(
    claim_sim_request_t *sent, claim_sim_vm_t *vm, msp_nonce_t nonce)
{
	job_t *job = calloc(1, sizeof(*job));

	if (job == NULL)
		abort();
	*job = (job_t){.sent = sent,
	    .vm = vm,
	    .incarnation = vm->incarnation,
	    .nonce = nonce,
	    .holds = 1};
	trigger_owner_fault(
	    vm, OWNER_KILLED_BEFORE_DISPATCH, OWNER_FROZEN_BEFORE_DISPATCH);
	deliver_to_vm(vm, send_job, job);
}
