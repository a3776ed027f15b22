#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim_sim_private.h"

#define NET_DELAY (2 * MSP_MS)
#define VM_TIMEOUT (5 * MSP_SECOND) /* of the entry VM, for a response */
#define TARGET_TIMEOUT (2 * MSP_SECOND) /* of the dispatcher */
#define LATE_RESPONSE_DELAY (7 * MSP_SECOND)
#define FREEZE_DURATION (8 * MSP_SECOND)
#define RESTART_DELAY MSP_SECOND
#define STORE_DOWN_DURATION (9 * MSP_SECOND)
#define RELEASE_WRITE_TIME (80 * MSP_MS) /* until a release is in the store */
#define NONCE_LIFETIME (10 * MSP_SECOND)

/* How a dispatched request ended, as its entry VM sees it. */
typedef enum job_end {
	END_RESPONSE,
	END_NOT_RUN,
	END_UNKNOWN
} job_end_t;

/* A request that an entry VM sent to a dispatcher. */
typedef struct job {
	claim_sim_request_t *request;
	claim_sim_vm_t *vm;
	uint64_t incarnation; /* of the VM when it sent the job */
	msp_nonce_t nonce;
	msp_time_t age; /* of the nonce, when the job was sent */
	claim_sim_dispatcher_t *dispatcher;
	bool retried; /* at the other dispatcher */
	bool ended; /* the first end counts */
	job_end_t end;
	unsigned int ref_count; /* one for each pending event */
} job_t;

static void
unref_job(job_t *job)
{
	if (--job->ref_count == 0)
		free(job);
}

static void
handle_dispatcher_resume(void *ctx)
{
	msp_record_nonce_set_pause(((claim_sim_dispatcher_t *)ctx)->nonces);
}

static void
freeze_dispatcher(claim_sim_dispatcher_t *dispatcher)
{
	claim_sim_t *sim = dispatcher->sim;

	dispatcher->frozen_until = sim->venv.now + FREEZE_DURATION;
	schedule_claim_sim_event(
	    sim, FREEZE_DURATION, handle_dispatcher_resume, dispatcher);
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
	    dispatcher->sim, RESTART_DELAY, restart_dispatcher, dispatcher);
}

/* Whether the process that sent the job still runs. */
static bool
is_sender_running(const job_t *job)
{
	return job->vm->alive && job->vm->incarnation == job->incarnation;
}

static void
report_outcome(job_t *job)
{
	const claim_sim_caller_t *caller = job->request->caller;
	msp_claim_field_t field = {"content-type", "text/plain"};
	char body[128];
	msp_claim_outcome_t outcome = {
	    .http_status = 201, .fields = &field, .field_count = 1};

	print_outcome_body(
	    caller, job->request->changed_body, body, sizeof(body));
	outcome.body = body;
	outcome.body_len = strlen(body);
	msp_finish_claim(job->vm->claims, job->nonce, &outcome);
}

/* The fault OWNER_*_AFTER_RUN occurs after the release of a claim, too. */
static void
handle_release_written(void *ctx)
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

	if (is_sender_running(job)) {
		if (job->end == END_RESPONSE) {
			report_outcome(job);
		} else if (job->end == END_NOT_RUN) {
			msp_release_claim(
			    job->vm->claims, job->nonce, &refusal);
			schedule_claim_sim_event(job->vm->sim,
			    RELEASE_WRITE_TIME, handle_release_written,
			    job->vm);
		} else {
			refusal.status = MSP_E_IN_DOUBT;
			refusal.reason = "the target's response is not known";
			msp_mark_claim_in_doubt(
			    job->vm->claims, job->nonce, &refusal);
		}
	}
	unref_job(job);
}

static void
restore_store(void *ctx)
{
	claim_sim_t *sim = ctx;

	msp_memory_store_faults(sim->store)->down = false;
}

/*
 * The end reaches the entry VM. A fault may freeze the VM at this point, so the
 * end is reported by a second delivery, when the VM runs again.
 */
static void
receive_end(void *ctx)
{
	job_t *job = ctx;
	claim_sim_t *sim = job->vm->sim;

	if (is_sender_running(job) && job->end == END_RESPONSE) {
		trigger_owner_fault(
		    job->vm, OWNER_KILLED_AFTER_RUN, OWNER_FROZEN_AFTER_RUN);
		if (trigger_claim_fault(sim, STORE_DOWN_AFTER_RUN)) {
			msp_memory_store_faults(sim->store)->down = true;
			schedule_claim_sim_event(
			    sim, STORE_DOWN_DURATION, restore_store, sim);
		}
	}
	deliver_to_vm(job->vm, report_end, job);
}

static void
handle_end_arrival(void *ctx)
{
	job_t *job = ctx;

	deliver_to_vm(job->vm, receive_end, job);
}

static void
end_job(job_t *job, job_end_t end, msp_time_t delay)
{
	if (job->ended) {
		unref_job(job);
		return;
	}
	job->ended = true;
	job->end = end;
	schedule_claim_sim_event(
	    job->vm->sim, delay + NET_DELAY, handle_end_arrival, job);
}

static void
handle_timeout(void *ctx)
{
	end_job(ctx, END_UNKNOWN, 0);
}

/* Draws whether a fault of the scenario occurs this time. */
static bool
draw_fault(claim_sim_t *sim, claim_fault_t fault)
{
	return has_claim_fault(sim, fault) &&
	    draw_claim_sim_random(sim, 2) == 0;
}

static void
count_run(job_t *job)
{
	claim_sim_caller_t *caller = job->request->caller;

	caller->runs++;
	caller->ran_at = job->vm->sim->venv.now;
	caller->run_request = job->request;
	caller->ran_changed_body = job->request->changed_body;
}

static void
run_on_target(void *ctx)
{
	job_t *job = ctx;
	claim_sim_t *sim = job->vm->sim;
	msp_time_t service_time =
	    20 * MSP_MS + draw_claim_sim_random(sim, 40 * MSP_MS);

	if (draw_fault(sim, TARGET_UNREACHABLE)) {
		end_job(job, END_UNKNOWN, TARGET_TIMEOUT);
		return;
	}
	if (draw_fault(sim, TARGET_CRASHES)) {
		if (draw_claim_sim_random(sim, 2) == 0)
			count_run(job);
		end_job(job, END_UNKNOWN, service_time);
		return;
	}
	count_run(job);
	if (trigger_claim_fault(sim, DISPATCHER_KILLED_AFTER_RUN)) {
		kill_dispatcher(job->dispatcher);
		unref_job(job);
	} else if (trigger_claim_fault(sim, DISPATCHER_FROZEN_AFTER_RUN)) {
		freeze_dispatcher(job->dispatcher);
		end_job(job, END_RESPONSE, FREEZE_DURATION);
	} else if (draw_fault(sim, TARGET_CLOSES_CONNECTION)) {
		end_job(job, END_UNKNOWN, service_time);
	} else if (draw_fault(sim, TARGET_RESPONDS_LATE)) {
		end_job(job, END_UNKNOWN, LATE_RESPONSE_DELAY);
	} else {
		end_job(job, END_RESPONSE, service_time);
	}
}

static void handle_dispatcher_arrival(void *ctx);

/* The dispatcher did not accept the job: tries the other one, once. */
static void
try_other_dispatcher(job_t *job)
{
	claim_sim_t *sim = job->vm->sim;

	if (job->retried) {
		end_job(job, END_NOT_RUN, 0);
		return;
	}
	job->retried = true;
	job->dispatcher = &sim->dispatchers[1 - job->dispatcher->index];
	schedule_claim_sim_event(
	    sim, NET_DELAY, handle_dispatcher_arrival, job);
}

static void
accept_job(job_t *job)
{
	claim_sim_t *sim = job->vm->sim;

	if (draw_fault(sim, DISPATCHER_OVERLOADED)) {
		try_other_dispatcher(job);
		return;
	}
	switch (
	    msp_consume_nonce(job->dispatcher->nonces, job->nonce, job->age)) {
	case MSP_OK:
		schedule_claim_sim_event(sim, MSP_MS, run_on_target, job);
		break;
	case MSP_E_KEY_EXPIRED:
		end_job(job, END_NOT_RUN, 0);
		break;
	default:
		end_job(job, END_UNKNOWN, 0);
		break;
	}
}

static void
handle_dispatcher_arrival(void *ctx)
{
	job_t *job = ctx;
	claim_sim_dispatcher_t *dispatcher = job->dispatcher;
	claim_sim_t *sim = job->vm->sim;

	if (!dispatcher->alive) {
		try_other_dispatcher(job);
	} else if (dispatcher->frozen_until > sim->venv.now) {
		schedule_claim_sim_event(sim,
		    dispatcher->frozen_until - sim->venv.now,
		    handle_dispatcher_arrival, job);
	} else if (trigger_claim_fault(sim, DISPATCHER_KILLED_BEFORE_RUN)) {
		kill_dispatcher(dispatcher);
		unref_job(job);
	} else if (trigger_claim_fault(sim, DISPATCHER_FROZEN_BEFORE_RUN)) {
		freeze_dispatcher(dispatcher);
		schedule_claim_sim_event(
		    sim, FREEZE_DURATION, handle_dispatcher_arrival, job);
	} else {
		accept_job(job);
	}
}

static void
handle_mid_run(void *ctx)
{
	job_t *job = ctx;

	if (is_sender_running(job))
		trigger_owner_fault(
		    job->vm, OWNER_KILLED_DURING_RUN, OWNER_FROZEN_DURING_RUN);
	unref_job(job);
}

static void
send_job(void *ctx)
{
	job_t *job = ctx;
	claim_sim_t *sim = job->vm->sim;
	unsigned int first = 0;

	if (!is_sender_running(job)) {
		unref_job(job);
		return;
	}
	if (has_claim_fault(sim, TWO_DISPATCHERS))
		first = (unsigned int)draw_claim_sim_random(
		    sim, CLAIM_SIM_DISPATCHERS);
	job->age = msp_get_claim_age(job->vm->claims, job->nonce);
	job->dispatcher = &sim->dispatchers[first];
	job->ref_count += 2;
	schedule_claim_sim_event(
	    sim, NET_DELAY, handle_dispatcher_arrival, job);
	schedule_claim_sim_event(sim, 4 * NET_DELAY, handle_mid_run, job);
	schedule_claim_sim_event(sim, VM_TIMEOUT, handle_timeout, job);
}

void
dispatch_claim_sim_request(
    claim_sim_request_t *request, claim_sim_vm_t *vm, msp_nonce_t nonce)
{
	job_t *job = calloc(1, sizeof(*job));

	if (job == NULL)
		abort();
	*job = (job_t){.request = request,
	    .vm = vm,
	    .incarnation = vm->incarnation,
	    .nonce = nonce,
	    .ref_count = 1};
	trigger_owner_fault(
	    vm, OWNER_KILLED_BEFORE_DISPATCH, OWNER_FROZEN_BEFORE_DISPATCH);
	deliver_to_vm(vm, send_job, job);
}
