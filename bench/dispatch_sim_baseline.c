#include <stdlib.h>

#include "dispatch_sim.h"

#define RETRY_DELAY (10 * MSP_MS) /* doubled each time, with jitter */
#define ATTEMPTS_MAX 8

/* Gives each entry VM of a place a fixed share of each target's slots. */
static void
assign_slots(sim_place_t *place)
{
	uint32_t first, i, slot;
	uint32_t count = get_place_targets(place->sim, place->index, &first);

	for (i = 0; i < SIM_ENTRY_VMS; i++)
		TAILQ_INIT(&place->entry_vms[i].queue);
	for (i = first; i < first + count; i++) {
		for (slot = 0; slot < place->sim->config.slots; slot++)
			place->entry_vms[(slot + i) % SIM_ENTRY_VMS].slots[i]++;
	}
}

void
start_baseline(dispatch_sim_t *sim)
{
	uint32_t i;

	for (i = 0; i < sim->place_count; i++)
		assign_slots(&sim->places[i]);
}

static void
fail_request(sim_request_t *request)
{
	msp_refusal_t refusal = {
	    .status = MSP_E_OVERLOAD,
	    .run = MSP_RUN_UNKNOWN,
	    .retry_after_ms = 1000,
	};

	refuse_request(request, &refusal);
}

static void
start_queued_requests(sim_place_t *place, static_entry_vm_t *vm)
{
	sim_request_t *request;
	uint32_t first, i;
	uint32_t count = get_place_targets(place->sim, place->index, &first);

	while ((request = TAILQ_FIRST(&vm->queue)) != NULL) {
		uint32_t best = SIM_TARGETS_MAX;

		if (place->sim->venv.now >= request->job.deadline) {
			TAILQ_REMOVE(&vm->queue, request, queue_link);
			fail_request(request);
			continue;
		}
		for (i = first; i < first + count; i++) {
			if (vm->in_use[i] < vm->slots[i] &&
			    (best == SIM_TARGETS_MAX ||
				vm->slots[i] - vm->in_use[i] >
				    vm->slots[best] - vm->in_use[best]))
				best = i;
		}
		if (best == SIM_TARGETS_MAX)
			return;
		TAILQ_REMOVE(&vm->queue, request, queue_link);
		vm->in_use[best]++;
		start_fake_attempt(
		    place, request, &place->sim->targets[best], false, 1);
	}
}

static void
start_random_attempt(dispatch_sim_t *sim, void *arg)
{
	sim_request_t *request = arg;
	uint32_t first;
	uint32_t count = get_place_targets(sim, request->entry_place, &first);
	uint32_t pick = first + (uint32_t)(draw_uniform(&sim->rng) * count);

	if (sim->venv.now >= request->job.deadline) {
		fail_request(request);
		return;
	}
	request->attempt_count++;
	start_fake_attempt(&sim->places[request->entry_place], request,
	    &sim->targets[pick], false, request->attempt_count);
}

void
route_baseline_request(sim_request_t *request)
{
	dispatch_sim_t *sim = request->sim;
	sim_place_t *place = &sim->places[request->entry_place];
	static_entry_vm_t *vm = &place->entry_vms[request->entry_vm];

	if (sim->config.mode == SIM_MODE_RANDOM) {
		start_random_attempt(sim, request);
		return;
	}
	TAILQ_INSERT_TAIL(&vm->queue, request, queue_link);
	start_queued_requests(place, vm);
}

void
end_baseline_attempt(fake_attempt_t *attempt)
{
	sim_request_t *request = attempt->request;
	dispatch_sim_t *sim = request->sim;
	sim_place_t *place = attempt->place;
	static_entry_vm_t *vm = &place->entry_vms[request->entry_vm];
	double wait;

	if (attempt->outcome == MSP_OUTCOME_COMPLETE)
		finish_request(request);
	if (sim->config.mode == SIM_MODE_STATIC_SHARES) {
		vm->in_use[attempt->target->index]--;
		if (attempt->outcome != MSP_OUTCOME_COMPLETE)
			fail_request(request);
		start_queued_requests(place, vm);
		return;
	}
	if (attempt->outcome == MSP_OUTCOME_COMPLETE)
		return;
	if (request->attempt_count >= ATTEMPTS_MAX) {
		fail_request(request);
		return;
	}
	wait = (double)(RETRY_DELAY << (request->attempt_count - 1)) *
	    (0.5 + draw_uniform(&sim->rng));
	schedule_sim_event(sim, sim->venv.now + (msp_time_t)wait,
	    start_random_attempt, request);
}
