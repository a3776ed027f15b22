#include "dispatch_sim.h"

#define REPORT_PERIOD MSP_SECOND

/* Argument of the report events, which ignore it. */
static const char *const stuck_report = "stuck";

void
kill_dispatcher(sim_place_t *place)
{
	dispatch_sim_t *sim = place->sim;
	msp_target_load_t loads[SIM_TARGETS_MAX];
	size_t count =
	    msp_list_target_loads(place->dispatcher, loads, SIM_TARGETS_MAX);
	msp_dispatcher_t *old = place->dispatcher;
	sim_request_t *request;
	size_t i;

	place->dispatcher = new_sim_dispatcher(place);
	update_target_list(place);
	for (i = 0; i < count; i++)
		msp_inherit_inflight(place->dispatcher, loads[i].name,
		    loads[i].in_flight, loads[i].time_left);
	TAILQ_FOREACH(request, &sim->requests, link) {
		if (request->ended || request->dispatcher != old)
			continue;
		/* Its connection is lost: the entry VM fails the request. */
		request->ended = true;
		request->reservation.account = NULL;
		for (i = 0; i < MSP_JOB_ATTEMPTS_MAX; i++) {
			if (request->attempts[i] != NULL)
				request->attempts[i]->pending = false;
		}
	}
	msp_drop_dispatcher(old);
	msp_drop_credit_granter(place->granter);
	set_up_granter(place);
	schedule_tick(place);
}

static void
report_all(dispatch_sim_t *sim, int percent, msp_time_t age)
{
	uint32_t i;

	for (i = 0; i < sim->config.targets; i++) {
		fake_target_t *target = &sim->targets[i];
		sim_place_t *place = &sim->places[target->place];

		if (place->frozen)
			continue;
		msp_apply_load_report(place->dispatcher, target->name,
		    target->slots, target->slots * (uint32_t)percent / 100,
		    MSP_TARGET_READY, age);
	}
}

static void
handle_empty_report_due(dispatch_sim_t *sim, void *arg)
{
	(void)arg;
	report_all(sim, 0, 0);
	if (sim->venv.now < sim->stop_at)
		schedule_sim_event(sim, sim->venv.now + REPORT_PERIOD,
		    handle_empty_report_due, (void *)stuck_report);
}

static void
handle_full_report_due(dispatch_sim_t *sim, void *arg)
{
	(void)arg;
	report_all(sim, 100, 0);
	if (sim->venv.now < sim->stop_at)
		schedule_sim_event(sim, sim->venv.now + REPORT_PERIOD,
		    handle_full_report_due, (void *)stuck_report);
}

static void
handle_old_report_due(dispatch_sim_t *sim, void *arg)
{
	(void)arg;
	report_all(sim, 100, 10 * MSP_SECOND);
	if (sim->venv.now < sim->stop_at)
		schedule_sim_event(sim, sim->venv.now + REPORT_PERIOD,
		    handle_old_report_due, (void *)stuck_report);
}

static void
start_empty_reports(dispatch_sim_t *sim)
{
	handle_empty_report_due(sim, NULL);
}

static void
start_full_reports(dispatch_sim_t *sim)
{
	handle_full_report_due(sim, NULL);
}

static void
start_old_reports(dispatch_sim_t *sim)
{
	handle_old_report_due(sim, NULL);
}

static void
kill_first_target(dispatch_sim_t *sim)
{
	kill_target(&sim->targets[0], 2 * MSP_SECOND);
}

static void
make_first_target_cold(dispatch_sim_t *sim)
{
	sim->config.cold_targets = true;
	sim->targets[0].requests_served = 0;
}

static void
start_shedding(dispatch_sim_t *sim)
{
	sim->targets[0].shedding = true;
}

static void
stop_shedding(dispatch_sim_t *sim)
{
	sim->targets[0].shedding = false;
}

static void
freeze_first_target(dispatch_sim_t *sim)
{
	sim->targets[0].frozen = true;
}

static void
resume_first_target(dispatch_sim_t *sim)
{
	sim->targets[0].frozen = false;
}

static void
silence_reused_connections(dispatch_sim_t *sim)
{
	sim->targets[0].reused_connections_silent = true;
}

static void
handle_poison_request_due(dispatch_sim_t *sim, void *arg)
{
	msp_digest_t fingerprint = {.high = 666, .low = 666};
	uint32_t *left = arg;

	add_poison_request(sim, 0, fingerprint);
	if (--*left > 0)
		schedule_sim_event(sim, sim->venv.now + MSP_SECOND,
		    handle_poison_request_due, left);
}

static void
start_poison_requests(dispatch_sim_t *sim)
{
	sim->poison_left = 4;
	handle_poison_request_due(sim, &sim->poison_left);
}

static void
kill_first_dispatcher(dispatch_sim_t *sim)
{
	if (!sim->places[0].frozen)
		kill_dispatcher(&sim->places[0]);
}

static void
handle_dispatcher_resume(dispatch_sim_t *sim, void *arg)
{
	sim_place_t *place = arg;

	(void)sim;
	if (place->frozen)
		return;
	/* A dispatcher needs the current list of targets to resume. */
	update_target_list(place);
	msp_resume_dispatcher(place->dispatcher);
	if (place->second_dispatcher != NULL)
		msp_resume_dispatcher(place->second_dispatcher);
	schedule_tick(place);
}

static void
handle_vm_resume(dispatch_sim_t *sim, void *arg)
{
	sim_place_t *place = arg;

	place->frozen = false;
	msp_tick_dispatcher(place->dispatcher);
	if (place->second_dispatcher != NULL)
		msp_tick_dispatcher(place->second_dispatcher);
	schedule_tick(place);
	/* The VM queries its peers first, which takes 300 ms here. */
	schedule_sim_event(
	    sim, sim->venv.now + 300 * MSP_MS, handle_dispatcher_resume, place);
}

static void
freeze_first_dispatcher(dispatch_sim_t *sim)
{
	sim_place_t *place = &sim->places[0];

	place->frozen = true;
	place->resume_at = sim->venv.now + 5 * MSP_SECOND;
	schedule_sim_event(sim, place->resume_at, handle_vm_resume, place);
}

static void
add_second_dispatcher(dispatch_sim_t *sim)
{
	sim_place_t *place = &sim->places[0];

	if (place->frozen)
		return;
	place->second_dispatcher = new_sim_dispatcher(place);
	update_target_list(place);
	schedule_tick(place);
}

static void
retire_second_dispatcher(dispatch_sim_t *sim)
{
	sim_place_t *place = &sim->places[0];

	place->second_dispatcher_retired = true;
	if (place->second_dispatcher != NULL && !place->frozen)
		msp_retire_dispatcher(place->second_dispatcher);
}

static void
crash_region(dispatch_sim_t *sim)
{
	uint32_t i;

	for (i = 0; i < sim->config.targets; i++) {
		if (sim->places[sim->targets[i].place].region == 0)
			kill_target(&sim->targets[i], 3 * MSP_SECOND);
	}
	for (i = 0; i < sim->place_count; i++) {
		if (sim->places[i].region != 0)
			continue;
		sim->places[i].down = true;
		if (!sim->places[i].frozen)
			kill_dispatcher(&sim->places[i]);
	}
}

static void
isolate_region(dispatch_sim_t *sim)
{
	uint32_t i;

	for (i = 0; i < sim->place_count; i++)
		sim->places[i].isolated = sim->places[i].region == 0;
}

static void
restore_region(dispatch_sim_t *sim)
{
	uint32_t i;

	for (i = 0; i < sim->place_count; i++) {
		sim->places[i].down = false;
		sim->places[i].isolated = false;
	}
}

static void
start_burst(dispatch_sim_t *sim)
{
	sim->load_factor = 5;
}

static void
stop_burst(dispatch_sim_t *sim)
{
	sim->load_factor = 1;
}

static void
drain_first_target(dispatch_sim_t *sim)
{
	sim_place_t *place = &sim->places[sim->targets[0].place];

	sim->targets[0].leaving = true;
	sim->targets[0].leaving_since = sim->venv.now;
	if (!place->frozen)
		update_target_list(place);
}

static void
drain_in_burst(dispatch_sim_t *sim)
{
	start_burst(sim);
	drain_first_target(sim);
}

static void
concentrate_load(dispatch_sim_t *sim)
{
	if (sim->config.regions > 1)
		sim->config.skew = 0.8;
}

static void
spread_load(dispatch_sim_t *sim)
{
	sim->config.skew = 0;
}

const sim_fault_t sim_faults[] = {
    {"report-stuck-at-0", start_empty_reports, NULL},
    {"report-stuck-at-full", start_full_reports, NULL},
    {"report-10-s-old", start_old_reports, NULL},
    {"target-killed", kill_first_target, NULL},
    {"target-cold", make_first_target_cold, NULL},
    {"target-shedding", start_shedding, stop_shedding},
    {"target-frozen", freeze_first_target, resume_first_target},
    {"connections-silent", silence_reused_connections, NULL},
    {"request-kills-targets", start_poison_requests, NULL},
    {"dispatcher-killed", kill_first_dispatcher, NULL},
    {"dispatcher-frozen", freeze_first_dispatcher, NULL},
    {"two-dispatchers", add_second_dispatcher, retire_second_dispatcher},
    {"region-lost", crash_region, restore_region},
    {"region-cut-off", isolate_region, restore_region},
    {"burst", start_burst, stop_burst},
    {"drain-in-burst", drain_in_burst, stop_burst},
    {"cap-below-demand", concentrate_load, spread_load},
};

const int sim_fault_count = (int)(sizeof(sim_faults) / sizeof(sim_faults[0]));

static void
handle_fault_start(dispatch_sim_t *sim, void *arg)
{
	((const sim_fault_t *)arg)->start(sim);
}

static void
handle_fault_stop(dispatch_sim_t *sim, void *arg)
{
	((const sim_fault_t *)arg)->stop(sim);
}

void
schedule_fault(dispatch_sim_t *sim, const sim_fault_t *fault, msp_time_t at,
    msp_time_t span)
{
	schedule_sim_event(sim, at, handle_fault_start, (void *)fault);
	if (fault->stop != NULL)
		schedule_sim_event(
		    sim, at + span, handle_fault_stop, (void *)fault);
}
