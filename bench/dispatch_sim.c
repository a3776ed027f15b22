#include "dispatch_sim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SIGMA 0.6 /* standard deviation of the log of the service time */
#define SAMPLE_PERIOD (5 * MSP_MS)
#define START (100 * MSP_SECOND) /* of the virtual clock */

static void schedule_arrival(dispatch_sim_t *sim);

static int
is_before(const sim_event_t *a, const sim_event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->number < b->number;
}

void
schedule_sim_event(
    dispatch_sim_t *sim, msp_time_t at, sim_callback_t *run, void *arg)
{
	size_t i = sim->heap_len++;
	sim_event_t event = {.at = at,
	    .number = sim->next_event_number++,
	    .run = run,
	    .arg = arg};

	if (sim->heap_len > sim->heap_size) {
		sim->heap_size =
		    sim->heap_size == 0 ? 1024 : sim->heap_size * 2;
		sim->heap =
		    realloc(sim->heap, sim->heap_size * sizeof(*sim->heap));
	}
	while (i > 0 && is_before(&event, &sim->heap[(i - 1) / 2])) {
		sim->heap[i] = sim->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	sim->heap[i] = event;
}

static sim_event_t
pop_event(dispatch_sim_t *sim)
{
	sim_event_t first = sim->heap[0];
	sim_event_t last = sim->heap[--sim->heap_len];
	size_t i = 0;
	size_t child;

	while ((child = 2 * i + 1) < sim->heap_len) {
		if (child + 1 < sim->heap_len &&
		    is_before(&sim->heap[child + 1], &sim->heap[child]))
			child++;
		if (!is_before(&sim->heap[child], &last))
			break;
		sim->heap[i] = sim->heap[child];
		i = child;
	}
	sim->heap[i] = last;
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
get_place_targets(const dispatch_sim_t *sim, uint32_t place, uint32_t *first)
{
	uint32_t all = sim->config.targets;
	uint32_t count = sim->place_count;

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
set_up_places(dispatch_sim_t *sim)
{
	uint32_t i;

	for (i = 0; i < sim->place_count; i++) {
		sim_place_t *place = &sim->places[i];

		place->sim = sim;
		place->index = i;
		place->region = i / sim->config.data_centres;
		snprintf(place->name, sizeof(place->name), "place-%u", i);
	}
	for (i = 0; i < sim->config.targets; i++) {
		fake_target_t *target = &sim->targets[i];

		target->sim = sim;
		target->index = i;
		target->slots = sim->config.slots;
		snprintf(target->name, sizeof(target->name), "target-%u", i);
		TAILQ_INIT(&target->running);
	}
	for (i = 0; i < sim->place_count; i++) {
		uint32_t first, j;
		uint32_t count = get_place_targets(sim, i, &first);

		for (j = 0; j < count; j++)
			sim->targets[first + j].place = i;
	}
}

static void
handle_sample_due(dispatch_sim_t *sim, void *arg)
{
	uint32_t used[SIM_PLACES_MAX] = {0};
	uint32_t slots[SIM_PLACES_MAX] = {0};
	uint32_t i;

	(void)arg;
	for (i = 0; i < sim->config.targets; i++) {
		const fake_target_t *target = &sim->targets[i];
		uint32_t region = sim->places[target->place].region;

		used[region] += target->in_use;
		slots[region] += target->slots;
		msp_record_value(&sim->results.target_use,
		    100ULL * target->in_use / target->slots);
	}
	for (i = 0; i < sim->config.regions; i++) {
		if (slots[i] == 0)
			continue;
		msp_record_value(
		    &sim->results.region_use, 100ULL * used[i] / slots[i]);
		sim->results.full_samples += used[i] * 20 >= slots[i] * 19;
	}
	if (sim->venv.now < sim->stop_at)
		schedule_sim_event(sim, sim->venv.now + SAMPLE_PERIOD,
		    handle_sample_due, NULL);
}

dispatch_sim_t *
new_dispatch_sim(const dispatch_sim_config_t *config)
{
	dispatch_sim_t *sim = calloc(1, sizeof(*sim));
	uint32_t i;

	sim->config = *config;
	if (sim->config.service_mean == 0)
		sim->config.service_mean = 50 * MSP_MS;
	if (sim->config.response_bytes == 0)
		sim->config.response_bytes = 10000;
	sim->venv =
	    (msp_virtual_env_t){.now = START, .rng = {.state = config->seed}};
	sim->rng.state = config->seed ^ 0x5bd1e995;
	sim->request_rng.state = config->seed ^ 0x1b873593;
	sim->env = msp_virtual_env(&sim->venv);
	sim->load_factor = 1;
	sim->measure_from = START + config->warm_up;
	sim->stop_at = START + config->duration;
	sim->place_count = config->regions * config->data_centres;
	TAILQ_INIT(&sim->requests);
	TAILQ_INIT(&sim->attempts);
	set_up_places(sim);
	if (config->mode == SIM_MODE_DISPATCHER) {
		for (i = 0; i < sim->place_count; i++)
			set_up_place(&sim->places[i]);
		start_gossip(sim);
	} else {
		start_baseline(sim);
	}
	schedule_sim_event(sim, sim->measure_from, handle_sample_due, NULL);
	schedule_arrival(sim);
	return sim;
}

void
drop_dispatch_sim(dispatch_sim_t *sim)
{
	sim_request_t *request;
	fake_attempt_t *attempt;
	uint32_t i;

	for (i = 0; i < sim->place_count; i++) {
		msp_drop_dispatcher(sim->places[i].dispatcher);
		msp_drop_dispatcher(sim->places[i].second_dispatcher);
		msp_drop_credit_granter(sim->places[i].granter);
		msp_drop_sender_credits(sim->places[i].sender_credits);
	}
	while ((request = TAILQ_FIRST(&sim->requests)) != NULL) {
		TAILQ_REMOVE(&sim->requests, request, link);
		free(request);
	}
	while ((attempt = TAILQ_FIRST(&sim->attempts)) != NULL) {
		TAILQ_REMOVE(&sim->attempts, attempt, all_link);
		free(attempt);
	}
	free(sim->heap);
	free(sim);
}

static sim_request_t *
new_request(dispatch_sim_t *sim, uint32_t place, msp_request_class_t class,
    msp_digest_t fingerprint)
{
	static const msp_time_t deadlines[MSP_CLASS_COUNT] = {
	    [MSP_CLASS_INTERACTIVE] = 2 * MSP_SECOND,
	    [MSP_CLASS_COMMIT] = 5 * MSP_SECOND,
	    [MSP_CLASS_BACKGROUND] = 30 * MSP_SECOND,
	};
	sim_request_t *request = calloc(1, sizeof(*request));

	request->sim = sim;
	request->entry_place = place;
	request->current_place = place;
	request->client_region = sim->places[place].region;
	request->entry_vm =
	    (uint32_t)(draw_uniform(&sim->request_rng) * SIM_ENTRY_VMS);
	request->created_at = sim->venv.now;
	request->response_bytes = (uint32_t)draw_lognormal(
	    &sim->request_rng, (double)sim->config.response_bytes);
	request->job = (msp_job_t){
	    .class = class,
	    .is_idempotent = class != MSP_CLASS_COMMIT,
	    .arrival = request->created_at,
	    .deadline = request->created_at + deadlines[class],
	    .fingerprint = fingerprint,
	    .retries_left = 1,
	    .user = request,
	};
	TAILQ_INSERT_TAIL(&sim->requests, request, link);
	if (request->created_at >= sim->measure_from)
		sim->results.requests[class]++;
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
add_request(dispatch_sim_t *sim, uint32_t place, msp_request_class_t class,
    msp_digest_t fingerprint)
{
	sim_request_t *request = new_request(sim, place, class, fingerprint);

	send_request(request);
	return request;
}

sim_request_t *
add_poison_request(
    dispatch_sim_t *sim, uint32_t place, msp_digest_t fingerprint)
{
	sim_request_t *request =
	    new_request(sim, place, MSP_CLASS_INTERACTIVE, fingerprint);

	request->poison = true;
	send_request(request);
	return request;
}

static void
handle_arrival(dispatch_sim_t *sim, void *arg)
{
	double skew = sim->config.skew;
	double pick = draw_uniform(&sim->request_rng);
	double kind = draw_uniform(&sim->request_rng);
	uint32_t centres = sim->config.data_centres;
	uint32_t region;
	msp_request_class_t class = kind < 0.7 ? MSP_CLASS_INTERACTIVE
	    : kind < 0.85		       ? MSP_CLASS_COMMIT
					       : MSP_CLASS_BACKGROUND;
	msp_digest_t fingerprint = {
	    .high = msp_next_random(&sim->request_rng), .low = 1};

	(void)arg;
	if (sim->venv.now >= sim->stop_at)
		return;
	if (skew == 0)
		region = (uint32_t)(pick * sim->config.regions);
	else if (pick < skew)
		region = 0;
	else
		region = 1 +
		    (uint32_t)((pick - skew) / (1 - skew) *
			(sim->config.regions - 1));
	schedule_arrival(sim);
	add_request(sim,
	    region * centres +
		(uint32_t)(draw_uniform(&sim->request_rng) * centres),
	    class, fingerprint);
}

static void
schedule_arrival(dispatch_sim_t *sim)
{
	double slots = sim->config.targets * sim->config.slots;
	double rate = sim->config.load * sim->load_factor * slots /
	    (double)sim->config.service_mean;
	double gap;

	if (rate <= 0)
		return;
	gap = -log(1.0 - draw_uniform(&sim->request_rng)) / rate;
	schedule_sim_event(
	    sim, sim->venv.now + (msp_time_t)gap, handle_arrival, NULL);
}

void
run_dispatch_sim_until(dispatch_sim_t *sim, msp_time_t end)
{
	while (sim->heap_len > 0 && sim->heap[0].at <= end) {
		sim_event_t event = pop_event(sim);

		sim->venv.now = event.at;
		event.run(sim, event.arg);
	}
	sim->venv.now = end;
}

void
run_dispatch_sim(dispatch_sim_t *sim)
{
	/* Longer than the longest deadline, 30 s. */
	run_dispatch_sim_until(sim, sim->stop_at + 35 * MSP_SECOND);
}
