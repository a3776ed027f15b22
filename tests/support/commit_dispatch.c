#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "commit_parts.h"

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
	sent_t *sent;
	vm_t *vm;
	uint64_t incarnation;
	msp_nonce_t nonce;
	msp_time_t age; /* of the nonce, when it was sent */
	dispatcher_t *dispatcher;
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
	msp_record_nonce_set_pause(((dispatcher_t *)ctx)->nonces);
}

static void
freeze_dispatcher(dispatcher_t *dispatcher)
{
	world_t *world = dispatcher->world;

	dispatcher->frozen_until = world->venv.now + FROZEN_FOR;
	cw_later(world, FROZEN_FOR, wake_dispatcher, dispatcher);
}

static void
restart_dispatcher(void *ctx)
{
	dispatcher_t *dispatcher = ctx;

	msp_drop_nonce_set(dispatcher->nonces);
	dispatcher->nonces =
	    msp_new_nonce_set(&dispatcher->world->env, NONCE_LIFETIME);
	dispatcher->alive = true;
}

static void
kill_dispatcher(dispatcher_t *dispatcher)
{
	dispatcher->alive = false;
	cw_later(
	    dispatcher->world, RESTART_AFTER, restart_dispatcher, dispatcher);
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
	const caller_t *caller = job->sent->caller;
	msp_claim_field_t field = {"content-type", "text/plain"};
	char body[128];
	msp_claim_outcome_t outcome = {
	    .http_status = 201, .fields = &field, .field_count = 1};

	cw_print_outcome(caller, job->sent->changed, body, sizeof(body));
	outcome.body = body;
	outcome.body_len = strlen(body);
	msp_finish_claim(job->vm->claims, job->nonce, &outcome);
}

static void
strike_after_release(void *ctx)
{
	cw_strike_owner(ctx, OWNER_KILLED_ANSWERED, OWNER_FROZEN_ANSWERED);
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
			cw_later(job->vm->world, RELEASE_RECORDED,
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
	world_t *world = ctx;

	msp_memory_store_faults(world->store)->down = false;
}

/* The end reaches the entry VM. */
static void
receive_end(void *ctx)
{
	job_t *job = ctx;
	world_t *world = job->vm->world;

	if (is_wanted(job) && job->end == END_ANSWERED) {
		cw_strike_owner(
		    job->vm, OWNER_KILLED_ANSWERED, OWNER_FROZEN_ANSWERED);
		if (cw_fault_strikes(world, STORE_DOWN_AFTER_RUN)) {
			msp_memory_store_faults(world->store)->down = true;
			cw_later(world, STORE_DOWN_FOR, heal_store, world);
		}
	}
	cw_deliver(job->vm, report_end, job);
}

static void
carry_end(void *ctx)
{
	job_t *job = ctx;

	cw_deliver(job->vm, receive_end, job);
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
	cw_later(job->vm->world, delay + NET_DELAY, carry_end, job);
}

static void
on_timeout(void *ctx)
{
	answer_job(ctx, END_UNKNOWN, 0);
}

static bool
misbehaves(world_t *world, fault_t fault)
{
	return cw_has_fault(world, fault) && cw_below(world, 2) == 0;
}

static void
count_run(job_t *job)
{
	caller_t *caller = job->sent->caller;

	caller->runs++;
	caller->ran_at = job->vm->world->venv.now;
	caller->ran_for = job->sent;
	caller->ran_changed = job->sent->changed;
}

static void
reach_target(void *ctx)
{
	job_t *job = ctx;
	world_t *world = job->vm->world;
	msp_time_t work = 20 * MSP_MS + cw_below(world, 40 * MSP_MS);

	if (misbehaves(world, TARGET_SILENT)) {
		answer_job(job, END_UNKNOWN, TARGET_TIMEOUT);
		return;
	}
	if (misbehaves(world, TARGET_CRASHES)) {
		if (cw_below(world, 2) == 0)
			count_run(job);
		answer_job(job, END_UNKNOWN, work);
		return;
	}
	count_run(job);
	if (cw_fault_strikes(world, DISPATCHER_KILLED_AFTER)) {
		kill_dispatcher(job->dispatcher);
		let_go(job);
	} else if (cw_fault_strikes(world, DISPATCHER_FROZEN_AFTER)) {
		freeze_dispatcher(job->dispatcher);
		answer_job(job, END_ANSWERED, FROZEN_FOR);
	} else if (misbehaves(world, TARGET_CUTS)) {
		answer_job(job, END_UNKNOWN, work);
	} else if (misbehaves(world, TARGET_LATE)) {
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
	world_t *world = job->vm->world;

	if (job->went_elsewhere) {
		answer_job(job, END_NOT_RUN, 0);
		return;
	}
	job->went_elsewhere = true;
	job->dispatcher = &world->dispatchers[1 - job->dispatcher->index];
	cw_later(world, NET_DELAY, reach_dispatcher, job);
}

static void
take_job(job_t *job)
{
	world_t *world = job->vm->world;

	if (misbehaves(world, DISPATCHER_OVERLOADED)) {
		go_elsewhere(job);
		return;
	}
	switch (
	    msp_consume_nonce(job->dispatcher->nonces, job->nonce, job->age)) {
	case MSP_OK:
		cw_later(world, MSP_MS, reach_target, job);
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
	dispatcher_t *dispatcher = job->dispatcher;
	world_t *world = job->vm->world;

	if (!dispatcher->alive) {
		go_elsewhere(job);
	} else if (dispatcher->frozen_until > world->venv.now) {
		cw_later(world, dispatcher->frozen_until - world->venv.now,
		    reach_dispatcher, job);
	} else if (cw_fault_strikes(world, DISPATCHER_KILLED_BEFORE)) {
		kill_dispatcher(dispatcher);
		let_go(job);
	} else if (cw_fault_strikes(world, DISPATCHER_FROZEN_BEFORE)) {
		freeze_dispatcher(dispatcher);
		cw_later(world, FROZEN_FOR, reach_dispatcher, job);
	} else {
		take_job(job);
	}
}

static void
strike_while_working(void *ctx)
{
	job_t *job = ctx;

	if (is_wanted(job))
		cw_strike_owner(
		    job->vm, OWNER_KILLED_DISPATCHED, OWNER_FROZEN_DISPATCHED);
	let_go(job);
}

static void
send_job(void *ctx)
{
	job_t *job = ctx;
	world_t *world = job->vm->world;
	unsigned int first = 0;

	if (!is_wanted(job)) {
		let_go(job);
		return;
	}
	if (cw_has_fault(world, TWO_DISPATCHERS))
		first = (unsigned int)cw_below(world, WORLD_DISPATCHERS);
	job->age = msp_claim_age(job->vm->claims, job->nonce);
	job->dispatcher = &world->dispatchers[first];
	job->holds += 2;
	cw_later(world, NET_DELAY, reach_dispatcher, job);
	cw_later(world, 4 * NET_DELAY, strike_while_working, job);
	cw_later(world, ANSWER_TIMEOUT, on_timeout, job);
}

void
cw_dispatch(sent_t *sent, vm_t *vm, msp_nonce_t nonce)
{
	job_t *job = calloc(1, sizeof(*job));

	if (job == NULL)
		abort();
	*job = (job_t){.sent = sent,
	    .vm = vm,
	    .incarnation = vm->incarnation,
	    .nonce = nonce,
	    .holds = 1};
	cw_strike_owner(vm, OWNER_KILLED_CLAIMED, OWNER_FROZEN_CLAIMED);
	cw_deliver(vm, send_job, job);
}
