#include <stdlib.h>

#include "world.h"

#define BACK_OFF (10 * MSP_MS) /* doubled each time, with jitter */
#define MOST_TRIES 8

/* Each entry VM of a place owns a fixed share of each target's slots there. */
static void
share_slots(world_place_t *place)
{
	uint32_t first, i, slot;
	uint32_t count = place_targets(place->world, place->index, &first);

	for (i = 0; i < WORLD_ENTRIES; i++)
		TAILQ_INIT(&place->entries[i].queue);
	for (i = first; i < first + count; i++) {
		for (slot = 0; slot < place->world->config.slots; slot++)
			place->entries[(slot + i) % WORLD_ENTRIES].share[i]++;
	}
}

void
start_baseline(world_t *world)
{
	uint32_t i;

	for (i = 0; i < world->place_count; i++)
		share_slots(&world->places[i]);
}

static void
give_up(world_request_t *request)
{
	msp_refusal_t refusal = {
	    .status = MSP_E_OVERLOAD,
	    .run = MSP_RUN_UNKNOWN,
	    .retry_after_ms = 1000,
	};

	refuse_request(request, &refusal);
}

static void
drain_entry(world_place_t *place, static_entry_t *entry)
{
	world_request_t *request;
	uint32_t first, i;
	uint32_t count = place_targets(place->world, place->index, &first);

	while ((request = TAILQ_FIRST(&entry->queue)) != NULL) {
		uint32_t best = WORLD_TARGETS;

		if (place->world->venv.now >= request->job.deadline) {
			TAILQ_REMOVE(&entry->queue, request, wait_link);
			give_up(request);
			continue;
		}
		for (i = first; i < first + count; i++) {
			if (entry->used[i] < entry->share[i] &&
			    (best == WORLD_TARGETS ||
				entry->share[i] - entry->used[i] >
				    entry->share[best] - entry->used[best]))
				best = i;
		}
		if (best == WORLD_TARGETS)
			return;
		TAILQ_REMOVE(&entry->queue, request, wait_link);
		entry->used[best]++;
		reach_target(
		    place, request, &place->world->targets[best], false, 1);
	}
}

static void
try_random(world_t *world, void *arg)
{
	world_request_t *request = arg;
	uint32_t first;
	uint32_t count = place_targets(world, request->home, &first);
	uint32_t pick = first + (uint32_t)(draw_even(&world->rng) * count);

	if (world->venv.now >= request->job.deadline) {
		give_up(request);
		return;
	}
	request->tries++;
	reach_target(&world->places[request->home], request,
	    &world->targets[pick], false, request->tries);
}

void
route_baseline(world_request_t *request)
{
	world_t *world = request->world;
	world_place_t *place = &world->places[request->home];
	static_entry_t *entry = &place->entries[request->entry];

	if (world->config.mode == WORLD_RANDOM) {
		try_random(world, request);
		return;
	}
	TAILQ_INSERT_TAIL(&entry->queue, request, wait_link);
	drain_entry(place, entry);
}

void
end_baseline_attempt(fake_attempt_t *attempt)
{
	world_request_t *request = attempt->request;
	world_t *world = request->world;
	world_place_t *place = attempt->place;
	static_entry_t *entry = &place->entries[request->entry];
	double wait;

	if (attempt->outcome == MSP_OUTCOME_COMPLETE)
		finish_request(request);
	if (world->config.mode == WORLD_STATIC) {
		entry->used[attempt->target->index]--;
		if (attempt->outcome != MSP_OUTCOME_COMPLETE)
			give_up(request);
		drain_entry(place, entry);
		return;
	}
	if (attempt->outcome == MSP_OUTCOME_COMPLETE)
		return;
	if (request->tries >= MOST_TRIES) {
		give_up(request);
		return;
	}
	wait = (double)(BACK_OFF << (request->tries - 1)) *
	    (0.5 + draw_even(&world->rng));
	world_at(
	    world, world->venv.now + (msp_time_t)wait, try_random, request);
}
