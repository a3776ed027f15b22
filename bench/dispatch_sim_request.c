#include <stdlib.h>
#include <string.h>

#include "dispatch_sim.h"

#define HOP MSP_MS /* between an entry VM and a dispatcher, both ways */
#define REQUEST_BYTES 1000

static bool
is_shift(const sim_request_t *request)
{
	return request->sim->places[request->current_place].region !=
	    request->client_region;
}

/* Notes what passes between two regions, over each second that ends now. */
static void
note_link(sim_request_t *request, uint64_t bytes, uint32_t requests)
{
	dispatch_sim_t *world = request->sim;
	uint32_t to = world->places[request->current_place].region;
	sim_link_t *link = &world->links[request->client_region][to];
	msp_time_t now = world->venv.now;

	while (link->first < link->next &&
	    (link->log[link->first % SIM_LINK_LOG_SIZE].at + MSP_SECOND <=
		    now ||
		link->next - link->first == SIM_LINK_LOG_SIZE)) {
		link->bytes -= link->log[link->first % SIM_LINK_LOG_SIZE].bytes;
		link->requests -=
		    link->log[link->first % SIM_LINK_LOG_SIZE].requests;
		link->first++;
	}
	link->log[link->next % SIM_LINK_LOG_SIZE].at = now;
	link->log[link->next % SIM_LINK_LOG_SIZE].bytes = bytes;
	link->log[link->next % SIM_LINK_LOG_SIZE].requests = requests;
	link->next++;
	link->bytes += bytes;
	link->requests += requests;
	if (link->bytes > link->peak_bytes)
		link->peak_bytes = link->bytes;
	if (link->requests > link->peak_requests)
		link->peak_requests = link->requests;
}

static void
deliver(dispatch_sim_t *world, void *arg)
{
	sim_request_t *request = arg;
	msp_time_t age = world->venv.now - request->created_at;
	msp_request_class_t class = request->job.class;

	if (request->created_at < world->measure_from)
		return;
	request->completed = true;
	world->results.completed[class]++;
	msp_record_value(&world->results.latency[class], age);
}

static void
send_answer(dispatch_sim_t *world, void *arg)
{
	sim_request_t *request = arg;

	note_link(request, request->response_bytes, 0);
	schedule_sim_event(
	    world, world->venv.now + REGION_RTT / 2, deliver, request);
}

void
finish_request(sim_request_t *request)
{
	dispatch_sim_t *world = request->sim;
	msp_time_t hold;

	request->ended = true;
	if (is_shift(request)) {
		hold = msp_settle_credit(
		    world->places[request->current_place].granter,
		    &request->reservation, request->response_bytes);
		schedule_sim_event(
		    world, world->venv.now + hold, send_answer, request);
		return;
	}
	schedule_sim_event(world, world->venv.now + HOP / 2, deliver, request);
}

/* Whether a target of a place works for another region's client. */
static bool
holds_shifted_work(const dispatch_sim_t *world, uint32_t place)
{
	const fake_attempt_t *attempt;
	uint32_t first, i;
	uint32_t count = get_place_targets(world, place, &first);

	for (i = first; i < first + count; i++) {
		TAILQ_FOREACH(attempt, &world->targets[i].running, link) {
			if (attempt->request->client_region !=
			    world->places[place].region)
				return true;
		}
	}
	return false;
}

static void
note_refusal(sim_request_t *request, const msp_refusal_t *refusal)
{
	dispatch_sim_results_t *results = &request->sim->results;
	msp_time_t now = request->sim->venv.now;
	msp_request_class_t class = request->job.class;

	if (refusal->run == MSP_RUN_NO && request->runs > 0)
		results->false_not_run++;
	if (refusal->retry_after_ms == 0 &&
	    msp_get_status_info(refusal->status)->has_retry_after &&
	    refusal->status != MSP_E_LEAVING)
		results->missing_retry_after++;
	if (now > request->job.deadline &&
	    now - request->job.deadline > results->max_deadline_overrun)
		results->max_deadline_overrun = now - request->job.deadline;
	if (request->created_at < request->sim->measure_from)
		return;
	results->refused[class]++;
	results->refused_by_status[refusal->status]++;
	if (request->client_region != 0 && class != MSP_CLASS_BACKGROUND) {
		results->other_region_refusals++;
		results->displaced_refusals +=
		    holds_shifted_work(request->sim, request->entry_place);
	}
	if (refusal->run == MSP_RUN_NO &&
	    now - request->created_at > results->max_refusal_age[class])
		results->max_refusal_age[class] = now - request->created_at;
}

static void
come_back(dispatch_sim_t *world, void *arg)
{
	sim_request_t *request = arg;

	add_request(world, request->entry_place, request->job.class,
	    request->job.fingerprint)
	    ->poison = request->poison;
}

static bool send_elsewhere(sim_request_t *request, msp_time_t wait);
static void submit_later(dispatch_sim_t *world, void *arg);

/* Tries another place once when one does not take the request. */
static bool
fall_back(sim_request_t *request, const msp_refusal_t *refusal)
{
	dispatch_sim_t *world = request->sim;

	if (!world->config.spillover || request->retried_elsewhere ||
	    refusal->run != MSP_RUN_NO ||
	    world->venv.now >= request->job.deadline ||
	    refusal->status == MSP_E_QUARANTINED)
		return false;
	request->retried_elsewhere = true;
	return send_elsewhere(request, MSP_NEVER);
}

void
refuse_request(sim_request_t *request, const msp_refusal_t *refusal)
{
	dispatch_sim_t *world = request->sim;

	if (is_shift(request))
		msp_settle_credit(world->places[request->current_place].granter,
		    &request->reservation, 0);
	if (fall_back(request, refusal))
		return;
	request->ended = true;
	note_refusal(request, refusal);
	if (world->config.callers_retry && world->venv.now < world->stop_at)
		schedule_sim_event(world,
		    world->venv.now + refusal->retry_after_ms * MSP_MS,
		    come_back, request);
}

static void
on_start(void *ctx, msp_job_t *job, const msp_target_ref_t *target, bool fresh,
    msp_attempt_id_t attempt)
{
	sim_place_t *place = ctx;
	sim_request_t *request = job->user;
	msp_time_t wait = place->sim->venv.now - request->created_at;

	if (request->client_region != 0 && !is_shift(request) &&
	    request->runs == 0 && job->class != MSP_CLASS_BACKGROUND &&
	    wait > place->sim->results.other_region_max_wait)
		place->sim->results.other_region_max_wait = wait;
	start_fake_attempt(place, request, target->address, fresh, attempt);
}

static void
on_cancel(void *ctx, msp_job_t *job, msp_attempt_id_t attempt)
{
	(void)ctx;
	cancel_fake_attempt(job->user, attempt);
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
	sim_place_t *place = ctx;

	/* What comes next opens new connections, which work. */
	((fake_target_t *)target->address)->reused_connections_silent = false;
	place->sim->results.idle_closes++;
}

msp_dispatcher_t *
new_sim_dispatcher(sim_place_t *place)
{
	msp_dispatcher_options_t options = {
	    .service = "service",
	    .place = place->name,
	    .policy = place->sim->config.policy,
	};
	msp_dispatcher_callbacks_t callbacks = {
	    .start_attempt = on_start,
	    .cancel_attempt = on_cancel,
	    .refuse_job = on_refuse,
	    .close_idle_connections = on_forget,
	    .ctx = place,
	};

	return msp_new_dispatcher(&place->sim->env, &options, &callbacks);
}

void
set_up_place(sim_place_t *place)
{
	dispatch_sim_t *world = place->sim;

	place->dispatcher = new_sim_dispatcher(place);
	set_up_granter(place);
	place->sender_credits = msp_new_sender_credits(&world->env);
	place->next_tick = MSP_NEVER;
	update_target_list(place);
	schedule_tick(place);
}

static void
tick(dispatch_sim_t *world, void *arg)
{
	sim_place_t *place = arg;

	if (place->frozen || world->venv.now != place->next_tick)
		return;
	place->next_tick = MSP_NEVER;
	msp_tick_dispatcher(place->dispatcher);
	if (place->second_dispatcher != NULL)
		msp_tick_dispatcher(place->second_dispatcher);
	schedule_tick(place);
}

void
schedule_tick(sim_place_t *place)
{
	dispatch_sim_t *world = place->sim;
	msp_time_t due = msp_dispatcher_due(place->dispatcher);

	if (place->second_dispatcher != NULL &&
	    msp_dispatcher_due(place->second_dispatcher) < due)
		due = msp_dispatcher_due(place->second_dispatcher);
	if (due <= world->venv.now)
		due = world->venv.now + 1;
	if (due >= place->next_tick && place->next_tick > world->venv.now)
		return;
	place->next_tick = due;
	schedule_sim_event(world, due, tick, place);
}

static void submit_here(sim_request_t *request);

static void
arrive_shifted(dispatch_sim_t *world, void *arg)
{
	sim_request_t *request = arg;
	sim_place_t *place = &world->places[request->current_place];
	char region[2] = {(char)('a' + request->client_region), '\0'};

	if (msp_reserve_credit(place->granter, region, REQUEST_BYTES,
		&request->reservation) != MSP_OK) {
		/* Not run there: the own place after all. */
		request->current_place = request->entry_place;
		submit_here(request);
		return;
	}
	note_link(request, REQUEST_BYTES, 1);
	if (request->created_at >= world->measure_from)
		world->results.shifted++;
	submit_here(request);
}

static void
submit_here(sim_request_t *request)
{
	sim_place_t *place = &request->sim->places[request->current_place];

	if (place->frozen) {
		schedule_sim_event(
		    place->sim, place->thaw_at, submit_later, request);
		return;
	}
	request->job.is_shifted = is_shift(request);
	request->dispatcher = place->dispatcher;
	if (place->second_dispatcher != NULL &&
	    !place->second_dispatcher_retired &&
	    draw_uniform(&place->sim->rng) < 0.5)
		request->dispatcher = place->second_dispatcher;
	msp_submit_job(request->dispatcher, &request->job);
	schedule_tick(place);
}

static void
submit_later(dispatch_sim_t *world, void *arg)
{
	(void)world;
	submit_here(arg);
}

/* Fills in what the other places would take, as last heard of. */
static void
list_options(const sim_request_t *request, msp_spill_option_t *options)
{
	const dispatch_sim_t *world = request->sim;
	const sim_place_t *home = &world->places[request->entry_place];
	bool background = request->job.class == MSP_CLASS_BACKGROUND;
	uint32_t i;

	for (i = 0; i < world->place_count; i++) {
		const sim_place_t *place = &world->places[i];
		msp_spill_option_t *option = &options[i];

		*option = (msp_spill_option_t){.wait = MSP_NEVER};
		if (i == request->entry_place || place->down ||
		    (request->retried_elsewhere && i == request->current_place))
			continue;
		if (place->region == home->region) {
			option->rtt = 2 * MSP_MS;
			option->wait = background
			    ? place->advertised_background_wait
			    : place->advertised_wait;
		} else if (!home->isolated && !place->isolated) {
			option->rtt = REGION_RTT;
			option->wait = background
			    ? msp_get_offered_background_wait(
				  home->sender_credits, place->name)
			    : msp_get_offered_wait(
				  home->sender_credits, place->name);
		}
	}
}

/* Sends a request to another place if that is better than `wait` here. */
static bool
send_elsewhere(sim_request_t *request, msp_time_t wait)
{
	dispatch_sim_t *world = request->sim;
	sim_place_t *home = &world->places[request->entry_place];
	msp_spill_option_t options[SIM_PLACES_MAX];
	int choice;

	list_options(request, options);
	choice = msp_decide_spill(&home->spill[request->job.class], &world->env,
	    wait, options, world->place_count);
	if (choice == MSP_SPILL_LOCAL)
		return false;
	request->current_place = (uint32_t)choice;
	if (!is_shift(request)) {
		schedule_sim_event(
		    world, world->venv.now + MSP_MS, submit_later, request);
		return true;
	}
	msp_spend_credit(home->sender_credits, world->places[choice].name);
	schedule_sim_event(
	    world, world->venv.now + REGION_RTT / 2, arrive_shifted, request);
	return true;
}

void
route_request(sim_request_t *request)
{
	const sim_place_t *home = &request->sim->places[request->entry_place];
	msp_time_t wait;

	if (!request->sim->config.spillover) {
		submit_here(request);
		return;
	}
	wait = home->down
	    ? MSP_NEVER
	    : msp_estimate_wait(home->dispatcher, request->job.class);
	if (!send_elsewhere(request, wait))
		submit_here(request);
}
