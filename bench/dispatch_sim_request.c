#include <stdlib.h>
#include <string.h>

#include "dispatch_sim.h"

#define LOCAL_RTT MSP_MS /* between an entry VM and its dispatcher */
#define REQUEST_BYTES 1000

static bool
is_in_other_region(const sim_request_t *request)
{
	return request->sim->places[request->current_place].region !=
	    request->client_region;
}

/* Records traffic between two regions and updates the sums of one second. */
static void
record_link_traffic(sim_request_t *request, uint64_t bytes, uint32_t requests)
{
	dispatch_sim_t *sim = request->sim;
	uint32_t to = sim->places[request->current_place].region;
	sim_link_t *link = &sim->links[request->client_region][to];
	msp_time_t now = sim->venv.now;

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
handle_delivery(dispatch_sim_t *sim, void *arg)
{
	sim_request_t *request = arg;
	msp_time_t age = sim->venv.now - request->created_at;
	msp_request_class_t class = request->job.class;

	if (request->created_at < sim->measure_from)
		return;
	request->completed = true;
	sim->results.completed[class]++;
	msp_record_value(&sim->results.latency[class], age);
}

static void
handle_response_due(dispatch_sim_t *sim, void *arg)
{
	sim_request_t *request = arg;

	record_link_traffic(request, request->response_bytes, 0);
	schedule_sim_event(
	    sim, sim->venv.now + REGION_RTT / 2, handle_delivery, request);
}

void
finish_request(sim_request_t *request)
{
	dispatch_sim_t *sim = request->sim;
	msp_time_t delay;

	request->ended = true;
	if (is_in_other_region(request)) {
		delay = msp_settle_credit(
		    sim->places[request->current_place].granter,
		    &request->reservation, request->response_bytes);
		schedule_sim_event(
		    sim, sim->venv.now + delay, handle_response_due, request);
		return;
	}
	schedule_sim_event(
	    sim, sim->venv.now + LOCAL_RTT / 2, handle_delivery, request);
}

/* Returns whether a target of the place runs a request of another region. */
static bool
runs_other_region_request(const dispatch_sim_t *sim, uint32_t place)
{
	const fake_attempt_t *attempt;
	uint32_t first, i;
	uint32_t count = get_place_targets(sim, place, &first);

	for (i = first; i < first + count; i++) {
		TAILQ_FOREACH(attempt, &sim->targets[i].running, link) {
			if (attempt->request->client_region !=
			    sim->places[place].region)
				return true;
		}
	}
	return false;
}

static void
record_refusal(sim_request_t *request, const msp_refusal_t *refusal)
{
	dispatch_sim_results_t *results = &request->sim->results;
	msp_time_t now = request->sim->venv.now;
	msp_request_class_t class = request->job.class;

	if (refusal->run == MSP_RUN_NOT_EXECUTED && request->runs > 0)
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
		results->displaced_refusals += runs_other_region_request(
		    request->sim, request->entry_place);
	}
	if (refusal->run == MSP_RUN_NOT_EXECUTED &&
	    now - request->created_at > results->max_refusal_age[class])
		results->max_refusal_age[class] = now - request->created_at;
}

static void
handle_retry_due(dispatch_sim_t *sim, void *arg)
{
	sim_request_t *request = arg;

	add_request(sim, request->entry_place, request->job.class,
	    request->job.fingerprint)
	    ->poison = request->poison;
}

static bool spill_request(sim_request_t *request, msp_time_t wait);
static void handle_submit(dispatch_sim_t *sim, void *arg);

/* Sends a refused request to another place, once and only if it didn't run. */
static bool
retry_elsewhere(sim_request_t *request, const msp_refusal_t *refusal)
{
	dispatch_sim_t *sim = request->sim;

	if (!sim->config.spillover || request->retried_elsewhere ||
	    refusal->run != MSP_RUN_NOT_EXECUTED ||
	    sim->venv.now >= request->job.deadline ||
	    refusal->status == MSP_E_QUARANTINED)
		return false;
	request->retried_elsewhere = true;
	return spill_request(request, MSP_NEVER);
}

void
refuse_request(sim_request_t *request, const msp_refusal_t *refusal)
{
	dispatch_sim_t *sim = request->sim;

	if (is_in_other_region(request))
		msp_settle_credit(sim->places[request->current_place].granter,
		    &request->reservation, 0);
	if (retry_elsewhere(request, refusal))
		return;
	request->ended = true;
	record_refusal(request, refusal);
	if (sim->config.callers_retry && sim->venv.now < sim->stop_at)
		schedule_sim_event(sim,
		    sim->venv.now + refusal->retry_after_ms * MSP_MS,
		    handle_retry_due, request);
}

static void
handle_start_attempt(void *ctx, msp_job_t *job, const msp_target_ref_t *target,
    bool fresh_connection, msp_attempt_id_t attempt)
{
	sim_place_t *place = ctx;
	sim_request_t *request = job->user;
	msp_time_t wait = place->sim->venv.now - request->created_at;

	if (request->client_region != 0 && !is_in_other_region(request) &&
	    request->runs == 0 && job->class != MSP_CLASS_BACKGROUND &&
	    wait > place->sim->results.other_region_max_wait)
		place->sim->results.other_region_max_wait = wait;
	start_fake_attempt(
	    place, request, target->address, fresh_connection, attempt);
}

static void
handle_cancel_attempt(void *ctx, msp_job_t *job, msp_attempt_id_t attempt)
{
	(void)ctx;
	cancel_fake_attempt(job->user, attempt);
}

static void
handle_refuse_job(void *ctx, msp_job_t *job, const msp_refusal_t *refusal)
{
	(void)ctx;
	refuse_request(job->user, refusal);
}

static void
handle_close_idle_connections(void *ctx, const msp_target_ref_t *target)
{
	sim_place_t *place = ctx;

	/* The next requests use new connections, which work. */
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
	    .start_attempt = handle_start_attempt,
	    .cancel_attempt = handle_cancel_attempt,
	    .refuse_job = handle_refuse_job,
	    .close_idle_connections = handle_close_idle_connections,
	    .ctx = place,
	};

	return msp_new_dispatcher(&place->sim->env, &options, &callbacks);
}

void
set_up_place(sim_place_t *place)
{
	dispatch_sim_t *sim = place->sim;

	place->dispatcher = new_sim_dispatcher(place);
	set_up_granter(place);
	place->sender_credits = msp_new_sender_credits(&sim->env);
	place->next_tick = MSP_NEVER;
	update_target_list(place);
	schedule_tick(place);
}

static void
handle_tick(dispatch_sim_t *sim, void *arg)
{
	sim_place_t *place = arg;

	if (place->frozen || sim->venv.now != place->next_tick)
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
	dispatch_sim_t *sim = place->sim;
	msp_time_t due = msp_dispatcher_due(place->dispatcher);

	if (place->second_dispatcher != NULL &&
	    msp_dispatcher_due(place->second_dispatcher) < due)
		due = msp_dispatcher_due(place->second_dispatcher);
	if (due <= sim->venv.now)
		due = sim->venv.now + 1;
	if (due >= place->next_tick && place->next_tick > sim->venv.now)
		return;
	place->next_tick = due;
	schedule_sim_event(sim, due, handle_tick, place);
}

static void submit_request(sim_request_t *request);

static void
handle_shifted_arrival(dispatch_sim_t *sim, void *arg)
{
	sim_request_t *request = arg;
	sim_place_t *place = &sim->places[request->current_place];
	char region[2] = {(char)('a' + request->client_region), '\0'};

	if (msp_reserve_credit(place->granter, region, REQUEST_BYTES,
		&request->reservation) != MSP_OK) {
		/* It was refused without running: use the entry VM's place. */
		request->current_place = request->entry_place;
		submit_request(request);
		return;
	}
	record_link_traffic(request, REQUEST_BYTES, 1);
	if (request->created_at >= sim->measure_from)
		sim->results.shifted++;
	submit_request(request);
}

static void
submit_request(sim_request_t *request)
{
	sim_place_t *place = &request->sim->places[request->current_place];

	if (place->frozen) {
		schedule_sim_event(
		    place->sim, place->resume_at, handle_submit, request);
		return;
	}
	request->job.is_shifted = is_in_other_region(request);
	request->dispatcher = place->dispatcher;
	if (place->second_dispatcher != NULL &&
	    !place->second_dispatcher_retired &&
	    draw_uniform(&place->sim->rng) < 0.5)
		request->dispatcher = place->second_dispatcher;
	msp_submit_job(request->dispatcher, &request->job);
	schedule_tick(place);
}

static void
handle_submit(dispatch_sim_t *sim, void *arg)
{
	(void)sim;
	submit_request(arg);
}

/* Lists the waits that the other places last advertised. */
static void
list_spill_options(const sim_request_t *request, msp_spill_option_t *options)
{
	const dispatch_sim_t *sim = request->sim;
	const sim_place_t *entry = &sim->places[request->entry_place];
	bool background = request->job.class == MSP_CLASS_BACKGROUND;
	uint32_t i;

	for (i = 0; i < sim->place_count; i++) {
		const sim_place_t *place = &sim->places[i];
		msp_spill_option_t *option = &options[i];

		*option = (msp_spill_option_t){.wait = MSP_NEVER};
		if (i == request->entry_place || place->down ||
		    (request->retried_elsewhere && i == request->current_place))
			continue;
		if (place->region == entry->region) {
			option->rtt = 2 * MSP_MS;
			option->wait = background
			    ? place->advertised_background_wait
			    : place->advertised_wait;
		} else if (!entry->isolated && !place->isolated) {
			option->rtt = REGION_RTT;
			option->wait = background
			    ? msp_get_offered_background_wait(
				  entry->sender_credits, place->name)
			    : msp_get_offered_wait(
				  entry->sender_credits, place->name);
		}
	}
}

/* Sends a request to another place if that is better than a local `wait`. */
static bool
spill_request(sim_request_t *request, msp_time_t wait)
{
	dispatch_sim_t *sim = request->sim;
	sim_place_t *entry = &sim->places[request->entry_place];
	msp_spill_option_t options[SIM_PLACES_MAX];
	int choice;

	list_spill_options(request, options);
	choice = msp_decide_spill(&entry->spill[request->job.class], &sim->env,
	    wait, options, sim->place_count);
	if (choice == MSP_SPILL_LOCAL)
		return false;
	request->current_place = (uint32_t)choice;
	if (!is_in_other_region(request)) {
		schedule_sim_event(
		    sim, sim->venv.now + MSP_MS, handle_submit, request);
		return true;
	}
	msp_spend_credit(entry->sender_credits, sim->places[choice].name);
	schedule_sim_event(sim, sim->venv.now + REGION_RTT / 2,
	    handle_shifted_arrival, request);
	return true;
}

void
route_request(sim_request_t *request)
{
	const sim_place_t *entry = &request->sim->places[request->entry_place];
	msp_time_t wait;

	if (!request->sim->config.spillover) {
		submit_request(request);
		return;
	}
	wait = entry->down
	    ? MSP_NEVER
	    : msp_estimate_wait(entry->dispatcher, request->job.class);
	if (!spill_request(request, wait))
		submit_request(request);
}
