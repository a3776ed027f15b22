#include <stdlib.h>

#include "dispatch_sim.h"

#define BACK_OFF (10 * MSP_MS) /* doubled each time, with jitter */
#define MOST_TRIES 8

/* Each entry VM of a place owns a fixed share of each target's slots there. */
static void
share_slots(sim_place_t *place)
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
start_baseline(dispatch_sim_t *world)
{
	uint32_t i;

	for (i = 0; i < world->place_count; i++)
		share_slots(&world->places[i]);
}

static void
give_up(sim_request_t *request)
{
	msp_refusal_t refusal = {
	    .status = MSP_E_OVERLOAD,
	    .run = MSP_RUN_UNKNOWN,
	    .retry_after_ms = 1000,
	};

	refuse_request(request, &refusal);
}

static void
drain_entry(sim_place_t *place, static_entry_vm_t *entry)
{
	sim_request_t *request;
	uint32_t first, i;
	uint32_t count = get_place_targets(place->sim, place->index, &first);

	while ((request = TAILQ_FIRST(&entry->queue)) != NULL) {
		uint32_t best = SIM_TARGETS_MAX;

		if (place->sim->venv.now >= request->job.deadline) {
			TAILQ_REMOVE(&entry->queue, request, queue_link);
			give_up(request);
			continue;
		}
		for (i = first; i < first + count; i++) {
			if (entry->in_use[i] < entry->slots[i] &&
			    (best == SIM_TARGETS_MAX ||
				entry->slots[i] - entry->in_use[i] >
				    entry->slots[best] - entry->in_use[best]))
				best = i;
		}
		if (best == SIM_TARGETS_MAX)
			return;
		TAILQ_REMOVE(&entry->queue, request, queue_link);
		entry->in_use[best]++;
		start_fake_attempt(
		    place, request, &place->sim->targets[best], false, 1);
	}
}

static void
try_random(dispatch_sim_t *world, void *arg)
{
	sim_request_t *request = arg;
	uint32_t first;
	uint32_t count = get_place_targets(world, request->entry_place, &first);
	uint32_t pick = first + (uint32_t)(draw_uniform(&world->rng) * count);

	if (world->venv.now >= request->job.deadline) {
		give_up(request);
		return;
	}
	request->attempt_count++;
	start_fake_attempt(&world->places[request->entry_place], request,
	    &world->targets[pick], false, request->attempt_count);
}

void
route_baseline_request(sim_request_t *request)
{
	dispatch_sim_t *world = request->sim;
	sim_place_t *place = &world->places[request->entry_place];
	static_entry_vm_t *entry = &place->entry_vms[request->entry_vm];

	if (world->config.mode == SIM_MODE_RANDOM) {
		try_random(world, request);
		return;
	}
	TAILQ_INSERT_TAIL(&entry->queue, request, queue_link);
	drain_entry(place, entry);
}

void
end_baseline_attempt(fake_attempt_t *attempt)
{
	sim_request_t *request = attempt->request;
	dispatch_sim_t *world = request->sim;
	sim_place_t *place = attempt->place;
	static_entry_vm_t *entry = &place->entry_vms[request->entry_vm];
	double wait;

	if (attempt->outcome == MSP_OUTCOME_COMPLETE)
		finish_request(request);
	if (world->config.mode == SIM_MODE_STATIC_SHARES) {
		entry->in_use[attempt->target->index]--;
		if (attempt->outcome != MSP_OUTCOME_COMPLETE)
			give_up(request);
		drain_entry(place, entry);
		return;
	}
	if (attempt->outcome == MSP_OUTCOME_COMPLETE)
		return;
	if (request->attempt_count >= MOST_TRIES) {
		give_up(request);
		return;
	}
	wait = (double)(BACK_OFF << (request->attempt_count - 1)) *
	    (0.5 + draw_uniform(&world->rng));
	schedule_sim_event(
	    world, world->venv.now + (msp_time_t)wait, try_random, request);
}
