#include "claim_sim_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FROZEN_FOR (8 * MSP_SECOND)
#define RESTART_AFTER MSP_SECOND
#define STORE_FAULT_FROM (200 * MSP_MS)
#define STORE_FAULT_FOR (9 * MSP_SECOND)
#define WORLD_ENDS (400 * MSP_SECOND)
#define BATCH_WINDOW (4 * MSP_MS)
#define LONG_BATCH_WINDOW (60 * MSP_MS) /* a resend meets queued writes */
#define NONCE_LIFETIME (10 * MSP_SECOND)
#define WALL_START (1700000000 * MSP_SECOND)

bool
has_claim_fault(const claim_sim_t *world, claim_fault_t fault)
{
	return world->scenario->faults[0] == fault ||
	    world->scenario->faults[1] == fault;
}

bool
trigger_claim_fault(claim_sim_t *world, claim_fault_t fault)
{
	unsigned int i;

	for (i = 0; i < 2; i++) {
		if (world->scenario->faults[i] != fault ||
		    world->fault_triggered[i])
			continue;
		world->fault_triggered[i] = true;
		return true;
	}
	return false;
}

uint64_t
draw_claim_sim_random(claim_sim_t *world, uint64_t bound)
{
	return msp_random_below(&world->env, bound);
}

static void
push_event(struct events *events, msp_time_t at, void (*run)(void *), void *ctx)
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

static void
pop_event(struct events *events)
{
	claim_sim_event_t *event = TAILQ_FIRST(events);
	/* The analyser takes the head for freed in the next round. */
	claim_sim_event_t own = *event; /* NOLINT(clang-analyzer-unix.Malloc) */

	TAILQ_REMOVE(events, event, entry);
	free(event);
	own.run(own.ctx);
}

void
schedule_claim_sim_event(
    claim_sim_t *world, msp_time_t delay, void (*run)(void *), void *ctx)
{
	push_event(&world->events, world->venv.now + delay, run, ctx);
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
		push_event(&vm->deferred, vm->sim->venv.now, run, ctx);
	else
		run(ctx);
}

/* Each VM has its own clock, and they are far apart. */
static msp_time_t
vm_now(void *ctx)
{
	const claim_sim_vm_t *vm = ctx;

	return vm->sim->venv.now + vm->clock_offset;
}

static uint64_t
vm_random(void *ctx)
{
	return msp_next_random(&((claim_sim_vm_t *)ctx)->sim->venv.rng);
}

static msp_time_t
vm_wall(void *ctx)
{
	return ((claim_sim_vm_t *)ctx)->sim->venv.now + WALL_START;
}

static void
start_vm(void *ctx)
{
	claim_sim_vm_t *vm = ctx;
	msp_claims_options_t options = {
	    .env = {.now = vm_now, .random = vm_random, .ctx = vm},
	    .store = make_claim_sim_store(vm),
	    .hooks = {.ctx = vm,
		.query_owner = query_claim_sim_owner,
		.is_gone = is_claim_sim_vm_gone,
		.wall_time = vm_wall},
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
		pop_event(&vm->deferred);
	msp_drop_claims(claims);
	schedule_claim_sim_event(vm->sim, RESTART_AFTER, start_vm, vm);
}

void
freeze_claim_sim_vm(claim_sim_vm_t *vm)
{
	vm->frozen_since = vm->sim->venv.now;
	vm->frozen_until = vm->sim->venv.now + FROZEN_FOR;
}

/* A killed VM dies a moment later, so that its caller's stack unwinds. */
static void
die(void *ctx)
{
	kill_claim_sim_vm(ctx);
}

void
trigger_owner_fault(
    claim_sim_vm_t *vm, claim_fault_t killed, claim_fault_t frozen)
{
	if (trigger_claim_fault(vm->sim, killed)) {
		freeze_claim_sim_vm(vm);
		schedule_claim_sim_event(vm->sim, 0, die, vm);
	}
	if (trigger_claim_fault(vm->sim, frozen))
		freeze_claim_sim_vm(vm);
}

static void
set_store_faults(void *ctx)
{
	claim_sim_t *world = ctx;
	msp_store_faults_t *faults = msp_memory_store_faults(world->store);
	claim_sim_vm_t *cut =
	    &world->vms[draw_claim_sim_random(world, CLAIM_SIM_VMS)];

	faults->down = has_claim_fault(world, STORE_DOWN);
	if (has_claim_fault(world, STORE_SLOW))
		faults->latency = 800 * MSP_MS;
	if (has_claim_fault(world, STORE_LOSES_CALLS))
		faults->lose_call_pct = 60;
	if (has_claim_fault(world, STORE_LOSES_REPLIES))
		faults->lose_answer_pct = 60;
	if (has_claim_fault(world, STORE_APPLIES_LATE)) {
		faults->late_effect_pct = 60;
		faults->late_effect = 3 * MSP_SECOND;
	}
	cut->store_unreachable = has_claim_fault(world, VM_WITHOUT_STORE);
	cut->peers_unreachable = has_claim_fault(world, VM_WITHOUT_PEERS);
	cut->leaving = has_claim_fault(world, VM_LEAVING);
}

static void
heal(void *ctx)
{
	claim_sim_t *world = ctx;
	unsigned int i;

	*msp_memory_store_faults(world->store) =
	    (msp_store_faults_t){.latency = 4 * MSP_MS, .jitter = 4 * MSP_MS};
	for (i = 0; i < CLAIM_SIM_VMS; i++) {
		world->vms[i].store_unreachable = false;
		world->vms[i].peers_unreachable = false;
		world->vms[i].leaving = false;
	}
}

static void
open_world(claim_sim_t *world, const claim_scenario_t *scenario)
{
	unsigned int i;

	*world = (claim_sim_t){.scenario = scenario};
	world->venv.now = MSP_SECOND;
	world->venv.rng.state = scenario->seed;
	world->env = msp_virtual_env(&world->venv);
	TAILQ_INIT(&world->events);
	world->store = msp_new_memory_store(&world->env);
	if (world->store == NULL)
		abort();
	for (i = 0; i < CLAIM_SIM_VMS; i++) {
		claim_sim_vm_t *vm = &world->vms[i];

		vm->sim = world;
		vm->index = i;
		vm->clock_offset = (i + 1) * 1000 * MSP_SECOND;
		snprintf(vm->address, sizeof(vm->address), "vm%u", i);
		TAILQ_INIT(&vm->deferred);
		start_vm(vm);
	}
	for (i = 0; i < CLAIM_SIM_DISPATCHERS; i++) {
		world->dispatchers[i] = (claim_sim_dispatcher_t){.sim = world,
		    .index = i,
		    .alive = true,
		    .nonces = msp_new_nonce_set(&world->env, NONCE_LIFETIME)};
	}
	heal(world);
	/* The nonces of a dispatcher vouch only for what came after them. */
	world->venv.now += 30 * MSP_SECOND;
	if (draw_claim_sim_random(world, 2) == 0)
		set_store_faults(world);
	else
		schedule_claim_sim_event(
		    world, STORE_FAULT_FROM, set_store_faults, world);
	schedule_claim_sim_event(
	    world, STORE_FAULT_FROM + STORE_FAULT_FOR, heal, world);
}

/* Steps what is due now; returns when something is due next. */
static msp_time_t
step_world(claim_sim_t *world)
{
	msp_time_t next = MSP_NEVER;
	msp_time_t at;
	unsigned int i;

	while (!TAILQ_EMPTY(&world->events) &&
	    TAILQ_FIRST(&world->events)->at <= world->venv.now)
		pop_event(&world->events);
	msp_step_memory_store(world->store);
	for (i = 0; i < CLAIM_SIM_VMS; i++) {
		claim_sim_vm_t *vm = &world->vms[i];

		if (!vm->alive)
			continue;
		while (!is_vm_frozen(vm) && !TAILQ_EMPTY(&vm->deferred))
			pop_event(&vm->deferred);
		if (vm->alive && !is_vm_frozen(vm))
			msp_step_claims(vm->claims);
		at = is_vm_frozen(vm)
		    ? vm->frozen_until
		    : msp_claims_deadline(vm->claims) - vm->clock_offset;
		if (at < next)
			next = at;
	}
	at = msp_memory_store_deadline(world->store);
	if (at < next)
		next = at;
	if (!TAILQ_EMPTY(&world->events) &&
	    TAILQ_FIRST(&world->events)->at < next)
		next = TAILQ_FIRST(&world->events)->at;
	return next;
}

static bool
is_over(const claim_sim_t *world)
{
	unsigned int i;

	for (i = 0; i < CLAIM_SIM_KEYS; i++) {
		if (!world->callers[i].done)
			return false;
	}
	return true;
}

static void
ignore_event(void *ctx)
{
	(void)ctx;
}

/* Lets what is under way end, without the VMs. */
static void
close_world(claim_sim_t *world)
{
	unsigned int i;
	msp_time_t at;

	world->closing = true;
	for (i = 0; i < CLAIM_SIM_VMS; i++) {
		claim_sim_vm_t *vm = &world->vms[i];

		msp_drop_claims(vm->claims);
		vm->claims = NULL;
		vm->alive = false;
		while (!TAILQ_EMPTY(&vm->deferred))
			pop_event(&vm->deferred);
	}
	while ((at = msp_memory_store_deadline(world->store)) != MSP_NEVER) {
		if (at > world->venv.now)
			world->venv.now = at;
		msp_step_memory_store(world->store);
	}
	while (!TAILQ_EMPTY(&world->events)) {
		claim_sim_event_t *first = TAILQ_FIRST(&world->events);

		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		if (first->run == start_vm)
			first->run = ignore_event;
		pop_event(&world->events);
	}
	for (i = 0; i < CLAIM_SIM_DISPATCHERS; i++)
		msp_drop_nonce_set(world->dispatchers[i].nonces);
	msp_drop_memory_store(world->store);
}

claim_sim_result_t
run_claim_sim(const claim_scenario_t *scenario, reason_counts_t *reasons)
{
	claim_sim_t world;
	msp_time_t end;
	msp_time_t next;

	open_world(&world, scenario);
	world.reasons = reasons;
	end = world.venv.now + WORLD_ENDS;
	start_claim_sim_callers(&world);
	while (!is_over(&world) && world.venv.now < end) {
		next = step_world(&world);
		if (next > end)
			next = end;
		if (next > world.venv.now)
			world.venv.now = next;
	}
	check_claim_sim_callers(&world);
	close_world(&world);
	return world.result;
}
