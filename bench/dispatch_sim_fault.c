#include "dispatch_sim.h"

#define REPORT_PERIOD MSP_SECOND

static const char *const stuck_report = "stuck";

void
kill_dispatcher(sim_place_t *place)
{
	dispatch_sim_t *world = place->sim;
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
	TAILQ_FOREACH(request, &world->requests, link) {
		if (request->ended || request->dispatcher != old)
			continue;
		/* Its connection breaks: the entry VM answers by itself. */
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
report_all(dispatch_sim_t *world, int percent, msp_time_t age)
{
	uint32_t i;

	for (i = 0; i < world->config.targets; i++) {
		fake_target_t *target = &world->targets[i];
		sim_place_t *place = &world->places[target->place];

		if (place->frozen)
			continue;
		msp_apply_load_report(place->dispatcher, target->name,
		    target->slots, target->slots * (uint32_t)percent / 100,
		    MSP_TARGET_READY, age);
	}
}

static void
report_empty(dispatch_sim_t *world, void *arg)
{
	(void)arg;
	report_all(world, 0, 0);
	if (world->venv.now < world->stop_at)
		schedule_sim_event(world, world->venv.now + REPORT_PERIOD,
		    report_empty, (void *)stuck_report);
}

static void
report_full(dispatch_sim_t *world, void *arg)
{
	(void)arg;
	report_all(world, 100, 0);
	if (world->venv.now < world->stop_at)
		schedule_sim_event(world, world->venv.now + REPORT_PERIOD,
		    report_full, (void *)stuck_report);
}

static void
report_old(dispatch_sim_t *world, void *arg)
{
	(void)arg;
	report_all(world, 100, 10 * MSP_SECOND);
	if (world->venv.now < world->stop_at)
		schedule_sim_event(world, world->venv.now + REPORT_PERIOD,
		    report_old, (void *)stuck_report);
}

static void
stick_empty(dispatch_sim_t *world)
{
	report_empty(world, NULL);
}

static void
stick_full(dispatch_sim_t *world)
{
	report_full(world, NULL);
}

static void
stick_old(dispatch_sim_t *world)
{
	report_old(world, NULL);
}

static void
kill_first(dispatch_sim_t *world)
{
	kill_target(&world->targets[0], 2 * MSP_SECOND);
}

static void
cool_first(dispatch_sim_t *world)
{
	world->config.cold_targets = true;
	world->targets[0].requests_served = 0;
}

static void
start_shedding(dispatch_sim_t *world)
{
	world->targets[0].shedding = true;
}

static void
stop_shedding(dispatch_sim_t *world)
{
	world->targets[0].shedding = false;
}

static void
freeze_first(dispatch_sim_t *world)
{
	world->targets[0].frozen = true;
}

static void
thaw_first(dispatch_sim_t *world)
{
	world->targets[0].frozen = false;
}

static void
silence_first(dispatch_sim_t *world)
{
	world->targets[0].reused_connections_silent = true;
}

static void
send_poison(dispatch_sim_t *world, void *arg)
{
	msp_digest_t print = {.high = 666, .low = 666};
	uint32_t *left = arg;

	add_poison_request(world, 0, print);
	if (--*left > 0)
		schedule_sim_event(
		    world, world->venv.now + MSP_SECOND, send_poison, left);
}

static void
start_poison(dispatch_sim_t *world)
{
	world->poison_left = 4;
	send_poison(world, &world->poison_left);
}

static void
kill_first_dispatcher(dispatch_sim_t *world)
{
	if (!world->places[0].frozen)
		kill_dispatcher(&world->places[0]);
}

static void
resume(dispatch_sim_t *world, void *arg)
{
	sim_place_t *place = arg;

	(void)world;
	if (place->frozen)
		return;
	/* It hears first what happened meanwhile. */
	update_target_list(place);
	msp_resume_dispatcher(place->dispatcher);
	if (place->second_dispatcher != NULL)
		msp_resume_dispatcher(place->second_dispatcher);
	schedule_tick(place);
}

static void
thaw_place(dispatch_sim_t *world, void *arg)
{
	sim_place_t *place = arg;

	place->frozen = false;
	msp_tick_dispatcher(place->dispatcher);
	if (place->second_dispatcher != NULL)
		msp_tick_dispatcher(place->second_dispatcher);
	schedule_tick(place);
	schedule_sim_event(
	    world, world->venv.now + 300 * MSP_MS, resume, place);
}

static void
freeze_dispatcher(dispatch_sim_t *world)
{
	sim_place_t *place = &world->places[0];

	place->frozen = true;
	place->thaw_at = world->venv.now + 5 * MSP_SECOND;
	schedule_sim_event(world, place->thaw_at, thaw_place, place);
}

static void
add_twin(dispatch_sim_t *world)
{
	sim_place_t *place = &world->places[0];

	if (place->frozen)
		return;
	place->second_dispatcher = new_sim_dispatcher(place);
	update_target_list(place);
	schedule_tick(place);
}

static void
retire_twin(dispatch_sim_t *world)
{
	sim_place_t *place = &world->places[0];

	place->second_dispatcher_retired = true;
	if (place->second_dispatcher != NULL && !place->frozen)
		msp_retire_dispatcher(place->second_dispatcher);
}

static void
lose_region(dispatch_sim_t *world)
{
	uint32_t i;

	for (i = 0; i < world->config.targets; i++) {
		if (world->places[world->targets[i].place].region == 0)
			kill_target(&world->targets[i], 3 * MSP_SECOND);
	}
	for (i = 0; i < world->place_count; i++) {
		if (world->places[i].region != 0)
			continue;
		world->places[i].down = true;
		if (!world->places[i].frozen)
			kill_dispatcher(&world->places[i]);
	}
}

static void
cut_region(dispatch_sim_t *world)
{
	uint32_t i;

	for (i = 0; i < world->place_count; i++)
		world->places[i].isolated = world->places[i].region == 0;
}

static void
heal_region(dispatch_sim_t *world)
{
	uint32_t i;

	for (i = 0; i < world->place_count; i++) {
		world->places[i].down = false;
		world->places[i].isolated = false;
	}
}

static void
start_burst(dispatch_sim_t *world)
{
	world->load_factor = 5;
}

static void
stop_burst(dispatch_sim_t *world)
{
	world->load_factor = 1;
}

static void
drain_first(dispatch_sim_t *world)
{
	sim_place_t *place = &world->places[world->targets[0].place];

	world->targets[0].leaving = true;
	world->targets[0].leaving_since = world->venv.now;
	if (!place->frozen)
		update_target_list(place);
}

static void
drain_in_burst(dispatch_sim_t *world)
{
	start_burst(world);
	drain_first(world);
}

static void
halve_cap(dispatch_sim_t *world)
{
	if (world->config.regions > 1)
		world->config.skew = 0.8;
}

static void
even_out(dispatch_sim_t *world)
{
	world->config.skew = 0;
}

const sim_fault_t sim_faults[] = {
    {"report-stuck-at-0", stick_empty, NULL},
    {"report-stuck-at-full", stick_full, NULL},
    {"report-10-s-old", stick_old, NULL},
    {"target-killed", kill_first, NULL},
    {"target-cold", cool_first, NULL},
    {"target-shedding", start_shedding, stop_shedding},
    {"target-frozen", freeze_first, thaw_first},
    {"connections-silent", silence_first, NULL},
    {"request-kills-targets", start_poison, NULL},
    {"dispatcher-killed", kill_first_dispatcher, NULL},
    {"dispatcher-frozen", freeze_dispatcher, NULL},
    {"two-dispatchers", add_twin, retire_twin},
    {"region-lost", lose_region, heal_region},
    {"region-cut-off", cut_region, heal_region},
    {"burst", start_burst, stop_burst},
    {"drain-in-burst", drain_in_burst, stop_burst},
    {"cap-below-demand", halve_cap, even_out},
};

const int sim_fault_count = (int)(sizeof(sim_faults) / sizeof(sim_faults[0]));

static void
start_fault(dispatch_sim_t *world, void *arg)
{
	((const sim_fault_t *)arg)->start(world);
}

static void
stop_fault(dispatch_sim_t *world, void *arg)
{
	((const sim_fault_t *)arg)->stop(world);
}

void
schedule_fault(dispatch_sim_t *world, const sim_fault_t *fault, msp_time_t at,
    msp_time_t span)
{
	schedule_sim_event(world, at, start_fault, (void *)fault);
	if (fault->stop != NULL)
		schedule_sim_event(world, at + span, stop_fault, (void *)fault);
}
