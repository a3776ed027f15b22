#include "claim_sim_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FREEZE_DURATION (8 * MSP_SECOND)
#define RESTART_DELAY MSP_SECOND
#define FAULT_START (200 * MSP_MS)
#define FAULT_DURATION (9 * MSP_SECOND)
#define SIM_DURATION (400 * MSP_SECOND)
#define BATCH_WINDOW (4 * MSP_MS)
/* So long that a resend arrives while writes are still queued. */
#define LONG_BATCH_WINDOW (60 * MSP_MS)
#define NONCE_LIFETIME (10 * MSP_SECOND)
#define WALL_CLOCK_START (1700000000 * MSP_SECOND)

bool
has_claim_fault(const claim_sim_t *sim, claim_fault_t fault)
{
	return sim->scenario->faults[0] == fault ||
	    sim->scenario->faults[1] == fault;
}

bool
trigger_claim_fault(claim_sim_t *sim, claim_fault_t fault)
{
	unsigned int i;

	for (i = 0; i < 2; i++) {
		if (sim->scenario->faults[i] != fault ||
		    sim->fault_triggered[i])
			continue;
		sim->fault_triggered[i] = true;
		return true;
	}
	return false;
}

uint64_t
draw_claim_sim_random(claim_sim_t *sim, uint64_t bound)
{
	return msp_random_below(&sim->env, bound);
}

/* Inserts an event by its time, after those with the same time. */
static void
insert_event(
    struct events *events, msp_time_t at, void (*run)(void *), void *ctx)
{
	claim_sim_event_t *event = calloc(1, sizeof(*event));
	claim_sim_event_t *before;

	if (event == NULL)
		abort();
	*event = (claim_sim_event_t){.at = at, .run = run, .ctx = ctx};
	TAILQ_FOREACH_REVERSE(before, events, events, entry)
	{
		if (before->at <= at)
			break;
	}
	if (before == NULL)
		TAILQ_INSERT_HEAD(events, event, entry);
	else
		TAILQ_INSERT_AFTER(events, before, event, entry);
}

/* Removes the first event and runs it. */
static void
run_first_event(struct events *events)
{
	claim_sim_event_t *event = TAILQ_FIRST(events);
	/*
	 * clang-analyzer assumes that the head of the queue is still the freed
	 * event when the next one is removed.
	 */
	claim_sim_event_t due = *event; /* NOLINT(clang-analyzer-unix.Malloc) */

	TAILQ_REMOVE(events, event, entry);
	free(event);
	due.run(due.ctx);
}

void
schedule_claim_sim_event(
    claim_sim_t *sim, msp_time_t delay, void (*run)(void *), void *ctx)
{
	insert_event(&sim->events, sim->venv.now + delay, run, ctx);
}

bool
is_vm_frozen(const claim_sim_vm_t *vm)
{
	return vm->frozen_until > vm->sim->venv.now;
}

void
deliver_to_vm(claim_sim_vm_t *vm, void (*run)(void *), void *ctx)
{
	if (vm->alive && is_vm_frozen(vm))
		insert_event(&vm->deferred, vm->sim->venv.now, run, ctx);
	else
		run(ctx);
}

/* The clocks of the VMs are 1000 s apart. */
static msp_time_t
get_vm_time(void *ctx)
{
	const claim_sim_vm_t *vm = ctx;

	return vm->sim->venv.now + vm->clock_offset;
}

static uint64_t
draw_vm_random(void *ctx)
{
	return msp_next_random(&((claim_sim_vm_t *)ctx)->sim->venv.rng);
}

static msp_time_t
get_wall_time(void *ctx)
{
	return ((claim_sim_vm_t *)ctx)->sim->venv.now + WALL_CLOCK_START;
}

static void
start_vm(void *ctx)
{
	claim_sim_vm_t *vm = ctx;
	msp_claims_options_t options = {
	    .env = {.now = get_vm_time, .random = draw_vm_random, .ctx = vm},
	    .store = make_claim_sim_store(vm),
	    .hooks = {.ctx = vm,
		.query_owner = query_claim_sim_owner,
		.has_ended = is_claim_sim_vm_gone,
		.wall_time = get_wall_time},
	    .address = vm->address,
	    .issued_lifetime = 5 * MSP_MINUTE,
	    .max_inline_body = 40,
	    .batch_window = vm->sim->scenario->seed % 2 == 0
		? BATCH_WINDOW
		: LONG_BATCH_WINDOW,
	};

	vm->incarnation = ++vm->sim->next_incarnation;
	options.incarnation = vm->incarnation;
	vm->claims = msp_new_claims(&options);
	if (vm->claims == NULL)
		abort();
	vm->alive = true;
	vm->frozen_until = 0;
}

void
kill_claim_sim_vm(claim_sim_vm_t *vm)
{
	msp_claims_t *claims = vm->claims;

	if (!vm->alive)
		return;
	vm->alive = false;
	vm->claims = NULL;
	vm->last_incarnation = vm->incarnation;
	vm->killed_at = vm->sim->venv.now;
	while (!TAILQ_EMPTY(&vm->deferred))
		run_first_event(&vm->deferred);
	msp_drop_claims(claims);
	schedule_claim_sim_event(vm->sim, RESTART_DELAY, start_vm, vm);
}

void
freeze_claim_sim_vm(claim_sim_vm_t *vm)
{
	vm->frozen_since = vm->sim->venv.now;
	vm->frozen_until = vm->sim->venv.now + FREEZE_DURATION;
}

/*
 * Kills the VM from an event, as functions of its claims may be on the stack
 * when the fault is triggered. The VM is frozen until then.
 */
static void
handle_kill(void *ctx)
{
	kill_claim_sim_vm(ctx);
}

void
trigger_owner_fault(
    claim_sim_vm_t *vm, claim_fault_t killed, claim_fault_t frozen)
{
	if (trigger_claim_fault(vm->sim, killed)) {
		freeze_claim_sim_vm(vm);
		schedule_claim_sim_event(vm->sim, 0, handle_kill, vm);
	}
	if (trigger_claim_fault(vm->sim, frozen))
		freeze_claim_sim_vm(vm);
}

static void
set_faults(void *ctx)
{
	claim_sim_t *sim = ctx;
	msp_store_faults_t *faults = msp_memory_store_faults(sim->store);
	claim_sim_vm_t *faulty_vm =
	    &sim->vms[draw_claim_sim_random(sim, CLAIM_SIM_VMS)];

	faults->down = has_claim_fault(sim, STORE_DOWN);
	if (has_claim_fault(sim, STORE_SLOW))
		faults->latency = 800 * MSP_MS;
	if (has_claim_fault(sim, STORE_LOSES_CALLS))
		faults->lose_call_pct = 60;
	if (has_claim_fault(sim, STORE_LOSES_REPLIES))
		faults->lose_reply_pct = 60;
	if (has_claim_fault(sim, STORE_APPLIES_LATE)) {
		faults->late_effect_pct = 60;
		faults->late_effect = 3 * MSP_SECOND;
	}
	faulty_vm->store_unreachable = has_claim_fault(sim, VM_WITHOUT_STORE);
	faulty_vm->peers_unreachable = has_claim_fault(sim, VM_WITHOUT_PEERS);
	faulty_vm->leaving = has_claim_fault(sim, VM_LEAVING);
}

static void
clear_faults(void *ctx)
{
	claim_sim_t *sim = ctx;
	unsigned int i;

	*msp_memory_store_faults(sim->store) =
	    (msp_store_faults_t){.latency = 4 * MSP_MS, .jitter = 4 * MSP_MS};
	for (i = 0; i < CLAIM_SIM_VMS; i++) {
		sim->vms[i].store_unreachable = false;
		sim->vms[i].peers_unreachable = false;
		sim->vms[i].leaving = false;
	}
}

static void
init_sim(claim_sim_t *sim, const claim_scenario_t *scenario)
{
	unsigned int i;

	*sim = (claim_sim_t){.scenario = scenario};
	sim->venv.now = MSP_SECOND;
	sim->venv.rng.state = scenario->seed;
	sim->env = msp_virtual_env(&sim->venv);
	TAILQ_INIT(&sim->events);
	sim->store = msp_new_memory_store(&sim->env);
	if (sim->store == NULL)
		abort();
	for (i = 0; i < CLAIM_SIM_VMS; i++) {
		claim_sim_vm_t *vm = &sim->vms[i];

		vm->sim = sim;
		vm->index = i;
		vm->clock_offset = (i + 1) * 1000 * MSP_SECOND;
		snprintf(vm->address, sizeof(vm->address), "vm%u", i);
		TAILQ_INIT(&vm->deferred);
		start_vm(vm);
	}
	for (i = 0; i < CLAIM_SIM_DISPATCHERS; i++) {
		sim->dispatchers[i] = (claim_sim_dispatcher_t){.sim = sim,
		    .index = i,
		    .alive = true,
		    .nonces = msp_new_nonce_set(&sim->env, NONCE_LIFETIME)};
	}
	clear_faults(sim);
	/*
	 * A nonce set can't tell whether nonces drawn before its creation were
	 * consumed, so the requests start later.
	 */
	sim->venv.now += 30 * MSP_SECOND;
	if (draw_claim_sim_random(sim, 2) == 0)
		set_faults(sim);
	else
		schedule_claim_sim_event(sim, FAULT_START, set_faults, sim);
	schedule_claim_sim_event(
	    sim, FAULT_START + FAULT_DURATION, clear_faults, sim);
}

/* Runs all that is due now. Returns the time when something is due next. */
static msp_time_t
step_sim(claim_sim_t *sim)
{
	msp_time_t next = MSP_NEVER;
	msp_time_t at;
	unsigned int i;

	while (!TAILQ_EMPTY(&sim->events) &&
	    TAILQ_FIRST(&sim->events)->at <= sim->venv.now)
		run_first_event(&sim->events);
	msp_step_memory_store(sim->store);
	for (i = 0; i < CLAIM_SIM_VMS; i++) {
		claim_sim_vm_t *vm = &sim->vms[i];

		if (!vm->alive)
			continue;
		while (!is_vm_frozen(vm) && !TAILQ_EMPTY(&vm->deferred))
			run_first_event(&vm->deferred);
		if (vm->alive && !is_vm_frozen(vm))
			msp_step_claims(vm->claims);
		at = is_vm_frozen(vm)
		    ? vm->frozen_until
		    : msp_claims_deadline(vm->claims) - vm->clock_offset;
		if (at < next)
			next = at;
	}
	at = msp_memory_store_deadline(sim->store);
	if (at < next)
		next = at;
	if (!TAILQ_EMPTY(&sim->events) && TAILQ_FIRST(&sim->events)->at < next)
		next = TAILQ_FIRST(&sim->events)->at;
	return next;
}

static bool
have_callers_ended(const claim_sim_t *sim)
{
	unsigned int i;

	for (i = 0; i < CLAIM_SIM_KEYS; i++) {
		if (!sim->callers[i].done)
			return false;
	}
	return true;
}

static void
ignore_event(void *ctx)
{
	(void)ctx;
}

/* Drops the VMs, and runs the events and store calls that are pending. */
static void
close_sim(claim_sim_t *sim)
{
	unsigned int i;
	msp_time_t at;

	sim->closing = true;
	for (i = 0; i < CLAIM_SIM_VMS; i++) {
		claim_sim_vm_t *vm = &sim->vms[i];

		msp_drop_claims(vm->claims);
		vm->claims = NULL;
		vm->alive = false;
		while (!TAILQ_EMPTY(&vm->deferred))
			run_first_event(&vm->deferred);
	}
	while ((at = msp_memory_store_deadline(sim->store)) != MSP_NEVER) {
		if (at > sim->venv.now)
			sim->venv.now = at;
		msp_step_memory_store(sim->store);
	}
	while (!TAILQ_EMPTY(&sim->events)) {
		claim_sim_event_t *first = TAILQ_FIRST(&sim->events);

		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		if (first->run == start_vm)
			first->run = ignore_event;
		run_first_event(&sim->events);
	}
	for (i = 0; i < CLAIM_SIM_DISPATCHERS; i++)
		msp_drop_nonce_set(sim->dispatchers[i].nonces);
	msp_drop_memory_store(sim->store);
}

claim_sim_result_t
run_claim_sim(const claim_scenario_t *scenario, reason_counts_t *reasons)
{
	claim_sim_t sim;
	msp_time_t end;
	msp_time_t next;

	init_sim(&sim, scenario);
	sim.reasons = reasons;
	end = sim.venv.now + SIM_DURATION;
	start_claim_sim_callers(&sim);
	while (!have_callers_ended(&sim) && sim.venv.now < end) {
		next = step_sim(&sim);
		if (next > end)
			next = end;
		if (next > sim.venv.now)
			sim.venv.now = next;
	}
	check_claim_sim_callers(&sim);
	close_sim(&sim);
	return sim.result;
}
