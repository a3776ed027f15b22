#include "dispatch_sim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SIGMA 0.6 /* of the lognormal service time */
#define SAMPLE_PERIOD (5 * MSP_MS)
#define START (100 * MSP_SECOND)

static void push_arrival(dispatch_sim_t *world);

static int
is_before(const sim_event_t *a, const sim_event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->number < b->number;
}

void
schedule_sim_event(
    dispatch_sim_t *world, msp_time_t at, sim_callback_t *run, void *arg)
{
	size_t i = world->heap_len++;
	sim_event_t event = {.at = at,
	    .number = world->next_event_number++,
	    .run = run,
	    .arg = arg};

	if (world->heap_len > world->heap_size) {
		world->heap_size =
		    world->heap_size == 0 ? 1024 : world->heap_size * 2;
		world->heap = realloc(
		    world->heap, world->heap_size * sizeof(*world->heap));
	}
	while (i > 0 && is_before(&event, &world->heap[(i - 1) / 2])) {
		world->heap[i] = world->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	world->heap[i] = event;
}

static sim_event_t
pop_event(dispatch_sim_t *world)
{
	sim_event_t first = world->heap[0];
	sim_event_t last = world->heap[--world->heap_len];
	size_t i = 0;
	size_t child;

	while ((child = 2 * i + 1) < world->heap_len) {
		if (child + 1 < world->heap_len &&
		    is_before(&world->heap[child + 1], &world->heap[child]))
			child++;
		if (!is_before(&world->heap[child], &last))
			break;
		world->heap[i] = world->heap[child];
		i = child;
	}
	world->heap[i] = last;
	return first;
}

double
draw_uniform(msp_rng_t *rng)
{
	return (double)(msp_next_random(rng) >> 11) * 0x1.0p-53;
}

double
draw_lognormal(msp_rng_t *rng, double mean)
{
	double u = 1.0 - draw_uniform(rng);
	double normal = sqrt(-2 * log(u)) * cos(2 * M_PI * draw_uniform(rng));

	return mean * exp(SIGMA * normal - SIGMA * SIGMA / 2);
}

uint32_t
get_place_targets(const dispatch_sim_t *world, uint32_t place, uint32_t *first)
{
	uint32_t all = world->config.targets;
	uint32_t count = world->place_count;

	*first = place * all / count;
	return (place + 1) * all / count - *first;
}

void
update_target_list(sim_place_t *place)
{
	msp_target_spec_t specs[SIM_TARGETS_MAX];
	uint32_t first;
	uint32_t count = get_place_targets(place->sim, place->index, &first);
	uint32_t i;

	for (i = 0; i < count; i++) {
		fake_target_t *target = &place->sim->targets[first + i];

		specs[i] = (msp_target_spec_t){
		    .name = target->name,
		    .address = target,
		    .slots = target->slots,
		    .state = target->leaving		  ? MSP_TARGET_LEAVING
			: place->sim->config.cold_targets ? MSP_TARGET_COLD
							  : MSP_TARGET_READY,
		};
	}
	msp_set_dispatcher_targets(place->dispatcher, specs, count);
	if (place->second_dispatcher != NULL)
		msp_set_dispatcher_targets(
		    place->second_dispatcher, specs, count);
}

static void
set_up_places(dispatch_sim_t *world)
{
	uint32_t i;

	for (i = 0; i < world->place_count; i++) {
		sim_place_t *place = &world->places[i];

		place->sim = world;
		place->index = i;
		place->region = i / world->config.data_centres;
		snprintf(place->name, sizeof(place->name), "place-%u", i);
	}
	for (i = 0; i < world->config.targets; i++) {
		fake_target_t *target = &world->targets[i];

		target->sim = world;
		target->index = i;
		target->slots = world->config.slots;
		snprintf(target->name, sizeof(target->name), "target-%u", i);
		TAILQ_INIT(&target->running);
	}
	for (i = 0; i < world->place_count; i++) {
		uint32_t first, j;
		uint32_t count = get_place_targets(world, i, &first);

		for (j = 0; j < count; j++)
			world->targets[first + j].place = i;
	}
}

static void
sample_use(dispatch_sim_t *world, void *arg)
{
	uint32_t used[SIM_PLACES_MAX] = {0};
	uint32_t slots[SIM_PLACES_MAX] = {0};
	uint32_t i;

	(void)arg;
	for (i = 0; i < world->config.targets; i++) {
		const fake_target_t *target = &world->targets[i];
		uint32_t region = world->places[target->place].region;

		used[region] += target->in_use;
		slots[region] += target->slots;
		msp_record_value(&world->results.target_use,
		    100ULL * target->in_use / target->slots);
	}
	for (i = 0; i < world->config.regions; i++) {
		if (slots[i] == 0)
			continue;
		msp_record_value(
		    &world->results.region_use, 100ULL * used[i] / slots[i]);
		world->results.full_samples += used[i] * 20 >= slots[i] * 19;
	}
	if (world->venv.now < world->stop_at)
		schedule_sim_event(
		    world, world->venv.now + SAMPLE_PERIOD, sample_use, NULL);
}

dispatch_sim_t *
new_dispatch_sim(const dispatch_sim_config_t *config)
{
	dispatch_sim_t *world = calloc(1, sizeof(*world));
	uint32_t i;

	world->config = *config;
	if (world->config.service_mean == 0)
		world->config.service_mean = 50 * MSP_MS;
	if (world->config.response_bytes == 0)
		world->config.response_bytes = 10000;
	world->venv =
	    (msp_virtual_env_t){.now = START, .rng = {.state = config->seed}};
	world->rng.state = config->seed ^ 0x5bd1e995;
	world->request_rng.state = config->seed ^ 0x1b873593;
	world->env = msp_virtual_env(&world->venv);
	world->load_factor = 1;
	world->measure_from = START + config->warm_up;
	world->stop_at = START + config->duration;
	world->place_count = config->regions * config->data_centres;
	TAILQ_INIT(&world->requests);
	TAILQ_INIT(&world->attempts);
	set_up_places(world);
	if (config->mode == SIM_MODE_DISPATCHER) {
		for (i = 0; i < world->place_count; i++)
			set_up_place(&world->places[i]);
		start_gossip(world);
	} else {
		start_baseline(world);
	}
	schedule_sim_event(world, world->measure_from, sample_use, NULL);
	push_arrival(world);
	return world;
}

void
drop_dispatch_sim(dispatch_sim_t *world)
{
	sim_request_t *request;
	fake_attempt_t *attempt;
	uint32_t i;

	for (i = 0; i < world->place_count; i++) {
		msp_drop_dispatcher(world->places[i].dispatcher);
		msp_drop_dispatcher(world->places[i].second_dispatcher);
		msp_drop_credit_granter(world->places[i].granter);
		msp_drop_sender_credits(world->places[i].sender_credits);
	}
	while ((request = TAILQ_FIRST(&world->requests)) != NULL) {
		TAILQ_REMOVE(&world->requests, request, link);
		free(request);
	}
	while ((attempt = TAILQ_FIRST(&world->attempts)) != NULL) {
		TAILQ_REMOVE(&world->attempts, attempt, all_link);
		free(attempt);
	}
	free(world->heap);
	free(world);
}

static sim_request_t *
new_request(dispatch_sim_t *world, uint32_t place, msp_request_class_t class,
    msp_digest_t print)
{
	static const msp_time_t deadlines[MSP_CLASS_COUNT] = {
	    [MSP_CLASS_INTERACTIVE] = 2 * MSP_SECOND,
	    [MSP_CLASS_COMMIT] = 5 * MSP_SECOND,
	    [MSP_CLASS_BACKGROUND] = 30 * MSP_SECOND,
	};
	sim_request_t *request = calloc(1, sizeof(*request));

	request->sim = world;
	request->entry_place = place;
	request->current_place = place;
	request->client_region = world->places[place].region;
	request->entry_vm =
	    (uint32_t)(draw_uniform(&world->request_rng) * SIM_ENTRY_VMS);
	request->created_at = world->venv.now;
	request->response_bytes = (uint32_t)draw_lognormal(
	    &world->request_rng, (double)world->config.response_bytes);
	request->job = (msp_job_t){
	    .class = class,
	    .is_idempotent = class != MSP_CLASS_COMMIT,
	    .arrival = request->created_at,
	    .deadline = request->created_at + deadlines[class],
	    .fingerprint = print,
	    .retries_left = 1,
	    .user = request,
	};
	TAILQ_INSERT_TAIL(&world->requests, request, link);
	if (request->created_at >= world->measure_from)
		world->results.requests[class]++;
	return request;
}

static void
send_request(sim_request_t *request)
{
	if (request->sim->config.mode == SIM_MODE_DISPATCHER)
		route_request(request);
	else
		route_baseline_request(request);
}

sim_request_t *
add_request(dispatch_sim_t *world, uint32_t place, msp_request_class_t class,
    msp_digest_t print)
{
	sim_request_t *request = new_request(world, place, class, print);

	send_request(request);
	return request;
}

sim_request_t *
add_poison_request(dispatch_sim_t *world, uint32_t place, msp_digest_t print)
{
	sim_request_t *request =
	    new_request(world, place, MSP_CLASS_INTERACTIVE, print);

	request->poison = true;
	send_request(request);
	return request;
}

static void
arrive(dispatch_sim_t *world, void *arg)
{
	double skew = world->config.skew;
	double pick = draw_uniform(&world->request_rng);
	double kind = draw_uniform(&world->request_rng);
	uint32_t centres = world->config.data_centres;
	uint32_t region;
	msp_request_class_t class = kind < 0.7 ? MSP_CLASS_INTERACTIVE
	    : kind < 0.85		       ? MSP_CLASS_COMMIT
					       : MSP_CLASS_BACKGROUND;
	msp_digest_t print = {
	    .high = msp_next_random(&world->request_rng), .low = 1};

	(void)arg;
	if (world->venv.now >= world->stop_at)
		return;
	if (skew == 0)
		region = (uint32_t)(pick * world->config.regions);
	else if (pick < skew)
		region = 0;
	else
		region = 1 +
		    (uint32_t)((pick - skew) / (1 - skew) *
			(world->config.regions - 1));
	push_arrival(world);
	add_request(world,
	    region * centres +
		(uint32_t)(draw_uniform(&world->request_rng) * centres),
	    class, print);
}

static void
push_arrival(dispatch_sim_t *world)
{
	double slots = world->config.targets * world->config.slots;
	double rate = world->config.load * world->load_factor * slots /
	    (double)world->config.service_mean;
	double gap;

	if (rate <= 0)
		return;
	gap = -log(1.0 - draw_uniform(&world->request_rng)) / rate;
	schedule_sim_event(
	    world, world->venv.now + (msp_time_t)gap, arrive, NULL);
}

void
run_dispatch_sim_until(dispatch_sim_t *world, msp_time_t end)
{
	while (world->heap_len > 0 && world->heap[0].at <= end) {
		sim_event_t event = pop_event(world);

		world->venv.now = event.at;
		event.run(world, event.arg);
	}
	world->venv.now = end;
}

void
run_dispatch_sim(dispatch_sim_t *world)
{
	/* The longest deadline and a little more. */
	run_dispatch_sim_until(world, world->stop_at + 35 * MSP_SECOND);
}
