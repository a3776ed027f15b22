#include <stdlib.h>
#include <string.h>

#include "world.h"

#define HOP MSP_MS /* between an entry VM and a dispatcher, both ways */
#define REQUEST_BYTES 1000

static bool
is_shift(const world_request_t *request)
{
	return request->world->places[request->at].region != request->region;
}

/* Notes what passes between two regions, over each second that ends now. */
static void
note_link(world_request_t *request, uint64_t bytes, uint32_t requests)
{
	world_t *world = request->world;
	uint32_t to = world->places[request->at].region;
	world_link_t *link = &world->links[request->region][to];
	msp_time_t now = world->venv.now;

	while (link->first < link->next &&
	    (link->log[link->first % WORLD_LINK].at + MSP_SECOND <= now ||
		link->next - link->first == WORLD_LINK)) {
		link->bytes -= link->log[link->first % WORLD_LINK].bytes;
		link->requests -= link->log[link->first % WORLD_LINK].requests;
		link->first++;
	}
	link->log[link->next % WORLD_LINK].at = now;
	link->log[link->next % WORLD_LINK].bytes = bytes;
	link->log[link->next % WORLD_LINK].requests = requests;
	link->next++;
	link->bytes += bytes;
	link->requests += requests;
	if (link->bytes > link->most_bytes)
		link->most_bytes = link->bytes;
	if (link->requests > link->most_requests)
		link->most_requests = link->requests;
}

static void
deliver(world_t *world, void *arg)
{
	world_request_t *request = arg;
	msp_time_t age = world->venv.now - request->born;
	msp_request_class_t class = request->job.class;

	if (request->born < world->measure_from)
		return;
	request->whole = true;
	world->results.whole[class]++;
	msp_record_value(&world->results.latency[class], age);
}

static void
send_answer(world_t *world, void *arg)
{
	world_request_t *request = arg;

	note_link(request, request->bytes, 0);
	world_at(world, world->venv.now + REGION_RTT / 2, deliver, request);
}

void
finish_request(world_request_t *request)
{
	world_t *world = request->world;
	msp_time_t hold;

	request->over = true;
	if (is_shift(request)) {
		hold = msp_settle_credit(world->places[request->at].granter,
		    &request->shift, request->bytes);
		world_at(world, world->venv.now + hold, send_answer, request);
		return;
	}
	world_at(world, world->venv.now + HOP / 2, deliver, request);
}

/* Whether a target of a place works for another region's client. */
static bool
holds_shifted_work(const world_t *world, uint32_t place)
{
	const fake_attempt_t *attempt;
	uint32_t first, i;
	uint32_t count = place_targets(world, place, &first);

	for (i = first; i < first + count; i++) {
		TAILQ_FOREACH(attempt, &world->targets[i].running, link) {
			if (attempt->request->region !=
			    world->places[place].region)
				return true;
		}
	}
	return false;
}

static void
note_refusal(world_request_t *request, const msp_refusal_t *refusal)
{
	world_results_t *results = &request->world->results;
	msp_time_t now = request->world->venv.now;
	msp_request_class_t class = request->job.class;

	if (refusal->run == MSP_RUN_NO && request->reached > 0)
		results->false_no++;
	if (refusal->retry_after_ms == 0 &&
	    msp_get_status_info(refusal->status)->has_retry_after &&
	    refusal->status != MSP_E_LEAVING)
		results->no_return_time++;
	if (now > request->job.deadline &&
	    now - request->job.deadline > results->silence)
		results->silence = now - request->job.deadline;
	if (request->born < request->world->measure_from)
		return;
	results->refused[class]++;
	results->refused_by[refusal->status]++;
	if (request->region != 0 && class != MSP_CLASS_BACKGROUND) {
		results->foreign_refusals++;
		results->displaced +=
		    holds_shifted_work(request->world, request->home);
	}
	if (refusal->run == MSP_RUN_NO &&
	    now - request->born > results->latest_refusal[class])
		results->latest_refusal[class] = now - request->born;
}

static void
come_back(world_t *world, void *arg)
{
	world_request_t *request = arg;

	add_request(
	    world, request->home, request->job.class, request->job.fingerprint)
	    ->poison = request->poison;
}

static bool send_elsewhere(world_request_t *request, msp_time_t wait);
static void submit_later(world_t *world, void *arg);

/* Tries another place once when one does not take the request. */
static bool
fall_back(world_request_t *request, const msp_refusal_t *refusal)
{
	world_t *world = request->world;

	if (!world->config.shifts || request->fell_back ||
	    refusal->run != MSP_RUN_NO ||
	    world->venv.now >= request->job.deadline ||
	    refusal->status == MSP_E_QUARANTINED)
		return false;
	request->fell_back = true;
	return send_elsewhere(request, MSP_NEVER);
}

void
refuse_request(world_request_t *request, const msp_refusal_t *refusal)
{
	world_t *world = request->world;

	if (is_shift(request))
		msp_settle_credit(
		    world->places[request->at].granter, &request->shift, 0);
	if (fall_back(request, refusal))
		return;
	request->over = true;
	note_refusal(request, refusal);
	if (world->config.come_back && world->venv.now < world->stop_at)
		world_at(world,
		    world->venv.now + refusal->retry_after_ms * MSP_MS,
		    come_back, request);
}

static void
on_start(void *ctx, msp_job_t *job, const msp_target_ref_t *target, bool fresh,
    msp_attempt_id_t attempt)
{
	world_place_t *place = ctx;
	world_request_t *request = job->user;
	msp_time_t wait = place->world->venv.now - request->born;

	if (request->region != 0 && !is_shift(request) &&
	    request->reached == 0 && job->class != MSP_CLASS_BACKGROUND &&
	    wait > place->world->results.foreign_wait)
		place->world->results.foreign_wait = wait;
	reach_target(place, request, target->address, fresh, attempt);
}

static void
on_cancel(void *ctx, msp_job_t *job, msp_attempt_id_t attempt)
{
	(void)ctx;
	withdraw_attempt(job->user, attempt);
}

static void
on_refuse(void *ctx, msp_job_t *job, const msp_refusal_t *refusal)
{
	(void)ctx;
	refuse_request(job->user, refusal);
}

static void
on_forget(void *ctx, const msp_target_ref_t *target)
{
	world_place_t *place = ctx;

	/* What comes next opens new connections, which work. */
	((fake_target_t *)target->address)->kept_silent = false;
	place->world->results.forgets++;
}

msp_dispatcher_t *
new_world_dispatcher(world_place_t *place)
{
	msp_dispatcher_options_t options = {
	    .service = "service",
	    .place = place->name,
	    .policy = place->world->config.policy,
	};
	msp_dispatcher_callbacks_t callbacks = {
	    .start_attempt = on_start,
	    .cancel_attempt = on_cancel,
	    .refuse_job = on_refuse,
	    .close_idle_connections = on_forget,
	    .ctx = place,
	};

	return msp_new_dispatcher(&place->world->env, &options, &callbacks);
}

void
set_up_place(world_place_t *place)
{
	world_t *world = place->world;

	place->dispatcher = new_world_dispatcher(place);
	set_up_granter(place);
	place->wallet = msp_new_sender_credits(&world->env);
	place->tick_at = MSP_NEVER;
	list_targets(place);
	arm_tick(place);
}

static void
tick(world_t *world, void *arg)
{
	world_place_t *place = arg;

	if (place->frozen || world->venv.now != place->tick_at)
		return;
	place->tick_at = MSP_NEVER;
	msp_tick_dispatcher(place->dispatcher);
	if (place->twin != NULL)
		msp_tick_dispatcher(place->twin);
	arm_tick(place);
}

void
arm_tick(world_place_t *place)
{
	world_t *world = place->world;
	msp_time_t due = msp_dispatcher_due(place->dispatcher);

	if (place->twin != NULL && msp_dispatcher_due(place->twin) < due)
		due = msp_dispatcher_due(place->twin);
	if (due <= world->venv.now)
		due = world->venv.now + 1;
	if (due >= place->tick_at && place->tick_at > world->venv.now)
		return;
	place->tick_at = due;
	world_at(world, due, tick, place);
}

static void submit_here(world_request_t *request);

static void
arrive_shifted(world_t *world, void *arg)
{
	world_request_t *request = arg;
	world_place_t *place = &world->places[request->at];
	char region[2] = {(char)('a' + request->region), '\0'};

	if (msp_reserve_credit(place->granter, region, REQUEST_BYTES,
		&request->shift) != MSP_OK) {
		/* Not run there: the own place after all. */
		request->at = request->home;
		submit_here(request);
		return;
	}
	note_link(request, REQUEST_BYTES, 1);
	if (request->born >= world->measure_from)
		world->results.shifted++;
	submit_here(request);
}

static void
submit_here(world_request_t *request)
{
	world_place_t *place = &request->world->places[request->at];

	if (place->frozen) {
		world_at(place->world, place->thaw_at, submit_later, request);
		return;
	}
	request->job.is_shifted = is_shift(request);
	request->dispatcher = place->dispatcher;
	if (place->twin != NULL && !place->twin_retired &&
	    draw_even(&place->world->rng) < 0.5)
		request->dispatcher = place->twin;
	msp_submit_job(request->dispatcher, &request->job);
	arm_tick(place);
}

static void
submit_later(world_t *world, void *arg)
{
	(void)world;
	submit_here(arg);
}

/* Fills in what the other places would take, as last heard of. */
static void
list_options(const world_request_t *request, msp_spill_option_t *options)
{
	const world_t *world = request->world;
	const world_place_t *home = &world->places[request->home];
	bool background = request->job.class == MSP_CLASS_BACKGROUND;
	uint32_t i;

	for (i = 0; i < world->place_count; i++) {
		const world_place_t *place = &world->places[i];
		msp_spill_option_t *option = &options[i];

		*option = (msp_spill_option_t){.wait = MSP_NEVER};
		if (i == request->home || place->lost ||
		    (request->fell_back && i == request->at))
			continue;
		if (place->region == home->region) {
			option->rtt = 2 * MSP_MS;
			option->wait = background ? place->told_background_wait
						  : place->told_wait;
		} else if (!home->cut && !place->cut) {
			option->rtt = REGION_RTT;
			option->wait = background
			    ? msp_get_offered_background_wait(
				  home->wallet, place->name)
			    : msp_get_offered_wait(home->wallet, place->name);
		}
	}
}

/* Sends a request to another place if that is better than `wait` here. */
static bool
send_elsewhere(world_request_t *request, msp_time_t wait)
{
	world_t *world = request->world;
	world_place_t *home = &world->places[request->home];
	msp_spill_option_t options[WORLD_PLACES];
	int choice;

	list_options(request, options);
	choice = msp_decide_spill(&home->spill[request->job.class], &world->env,
	    wait, options, world->place_count);
	if (choice == MSP_SPILL_LOCAL)
		return false;
	request->at = (uint32_t)choice;
	if (!is_shift(request)) {
		world_at(
		    world, world->venv.now + MSP_MS, submit_later, request);
		return true;
	}
	msp_spend_credit(home->wallet, world->places[choice].name);
	world_at(
	    world, world->venv.now + REGION_RTT / 2, arrive_shifted, request);
	return true;
}

void
route_request(world_request_t *request)
{
	const world_place_t *home = &request->world->places[request->home];
	msp_time_t wait;

	if (!request->world->config.shifts) {
		submit_here(request);
		return;
	}
	wait = home->lost
	    ? MSP_NEVER
	    : msp_estimate_wait(home->dispatcher, request->job.class);
	if (!send_elsewhere(request, wait))
		submit_here(request);
}
