#include "world.h"

#define REPORT_PERIOD MSP_SECOND

static const char *const stuck_report = "stuck";

void
kill_dispatcher(world_place_t *place)
{
	world_t *world = place->world;
	msp_target_load_t loads[WORLD_TARGETS];
	size_t count =
	    msp_list_target_loads(place->dispatcher, loads, WORLD_TARGETS);
	msp_dispatcher_t *old = place->dispatcher;
	world_request_t *request;
	size_t i;

	place->dispatcher = new_world_dispatcher(place);
	list_targets(place);
	for (i = 0; i < count; i++)
		msp_inherit_inflight(place->dispatcher, loads[i].name,
		    loads[i].in_flight, loads[i].time_left);
	TAILQ_FOREACH(request, &world->requests, link) {
		if (request->over || request->dispatcher != old)
			continue;
		/* Its connection breaks: the entry VM answers by itself. */
		request->over = true;
		request->shift.account = NULL;
		for (i = 0; i < MSP_JOB_ATTEMPTS_MAX; i++) {
			if (request->attempts[i] != NULL)
				request->attempts[i]->live = false;
		}
	}
	msp_drop_dispatcher(old);
	msp_drop_credit_granter(place->granter);
	set_up_granter(place);
	arm_tick(place);
}

static void
report_all(world_t *world, int percent, msp_time_t age)
{
	uint32_t i;

	for (i = 0; i < world->config.targets; i++) {
		fake_target_t *target = &world->targets[i];
		world_place_t *place = &world->places[target->place];

		if (place->frozen)
			continue;
		msp_apply_load_report(place->dispatcher, target->name,
		    target->slots, target->slots * (uint32_t)percent / 100,
		    MSP_TARGET_READY, age);
	}
}

static void
report_empty(world_t *world, void *arg)
{
	(void)arg;
	report_all(world, 0, 0);
	if (world->venv.now < world->stop_at)
		world_at(world, world->venv.now + REPORT_PERIOD, report_empty,
		    (void *)stuck_report);
}

static void
report_full(world_t *world, void *arg)
{
	(void)arg;
	report_all(world, 100, 0);
	if (world->venv.now < world->stop_at)
		world_at(world, world->venv.now + REPORT_PERIOD, report_full,
		    (void *)stuck_report);
}

static void
report_old(world_t *world, void *arg)
{
	(void)arg;
	report_all(world, 100, 10 * MSP_SECOND);
	if (world->venv.now < world->stop_at)
		world_at(world, world->venv.now + REPORT_PERIOD, report_old,
		    (void *)stuck_report);
}

static void
stick_empty(world_t *world)
{
	report_empty(world, NULL);
}

static void
stick_full(world_t *world)
{
	report_full(world, NULL);
}

static void
stick_old(world_t *world)
{
	report_old(world, NULL);
}

static void
kill_first(world_t *world)
{
	kill_target(&world->targets[0], 2 * MSP_SECOND);
}

static void
cool_first(world_t *world)
{
	world->config.cold = true;
	world->targets[0].served = 0;
}

static void
start_shedding(world_t *world)
{
	world->targets[0].shedding = true;
}

static void
stop_shedding(world_t *world)
{
	world->targets[0].shedding = false;
}

static void
freeze_first(world_t *world)
{
	world->targets[0].frozen = true;
}

static void
thaw_first(world_t *world)
{
	world->targets[0].frozen = false;
}

static void
silence_first(world_t *world)
{
	world->targets[0].kept_silent = true;
}

static void
send_poison(world_t *world, void *arg)
{
	msp_digest_t print = {.high = 666, .low = 666};
	uint32_t *left = arg;

	add_poison(world, 0, print);
	if (--*left > 0)
		world_at(
		    world, world->venv.now + MSP_SECOND, send_poison, left);
}

static void
start_poison(world_t *world)
{
	world->poison_left = 4;
	send_poison(world, &world->poison_left);
}

static void
kill_first_dispatcher(world_t *world)
{
	if (!world->places[0].frozen)
		kill_dispatcher(&world->places[0]);
}

static void
resume(world_t *world, void *arg)
{
	world_place_t *place = arg;

	(void)world;
	if (place->frozen)
		return;
	/* It hears first what happened meanwhile. */
	list_targets(place);
	msp_resume_dispatcher(place->dispatcher);
	if (place->twin != NULL)
		msp_resume_dispatcher(place->twin);
	arm_tick(place);
}

static void
thaw_place(world_t *world, void *arg)
{
	world_place_t *place = arg;

	place->frozen = false;
	msp_tick_dispatcher(place->dispatcher);
	if (place->twin != NULL)
		msp_tick_dispatcher(place->twin);
	arm_tick(place);
	world_at(world, world->venv.now + 300 * MSP_MS, resume, place);
}

static void
freeze_dispatcher(world_t *world)
{
	world_place_t *place = &world->places[0];

	place->frozen = true;
	place->thaw_at = world->venv.now + 5 * MSP_SECOND;
	world_at(world, place->thaw_at, thaw_place, place);
}

static void
add_twin(world_t *world)
{
	world_place_t *place = &world->places[0];

	if (place->frozen)
		return;
	place->twin = new_world_dispatcher(place);
	list_targets(place);
	arm_tick(place);
}

static void
retire_twin(world_t *world)
{
	world_place_t *place = &world->places[0];

	place->twin_retired = true;
	if (place->twin != NULL && !place->frozen)
		msp_retire_dispatcher(place->twin);
}

static void
lose_region(world_t *world)
{
	uint32_t i;

	for (i = 0; i < world->config.targets; i++) {
		if (world->places[world->targets[i].place].region == 0)
			kill_target(&world->targets[i], 3 * MSP_SECOND);
	}
	for (i = 0; i < world->place_count; i++) {
		if (world->places[i].region != 0)
			continue;
		world->places[i].lost = true;
		if (!world->places[i].frozen)
			kill_dispatcher(&world->places[i]);
	}
}

static void
cut_region(world_t *world)
{
	uint32_t i;

	for (i = 0; i < world->place_count; i++)
		world->places[i].cut = world->places[i].region == 0;
}

static void
heal_region(world_t *world)
{
	uint32_t i;

	for (i = 0; i < world->place_count; i++) {
		world->places[i].lost = false;
		world->places[i].cut = false;
	}
}

static void
start_burst(world_t *world)
{
	world->burst = 5;
}

static void
stop_burst(world_t *world)
{
	world->burst = 1;
}

static void
drain_first(world_t *world)
{
	world_place_t *place = &world->places[world->targets[0].place];

	world->targets[0].leaving = true;
	world->targets[0].left_at = world->venv.now;
	if (!place->frozen)
		list_targets(place);
}

static void
drain_in_burst(world_t *world)
{
	start_burst(world);
	drain_first(world);
}

static void
halve_cap(world_t *world)
{
	if (world->config.regions > 1)
		world->config.skew = 0.8;
}

static void
even_out(world_t *world)
{
	world->config.skew = 0;
}

const world_fault_t world_faults[] = {
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

const int world_fault_count =
    (int)(sizeof(world_faults) / sizeof(world_faults[0]));

static void
start_fault(world_t *world, void *arg)
{
	((const world_fault_t *)arg)->start(world);
}

static void
stop_fault(world_t *world, void *arg)
{
	((const world_fault_t *)arg)->stop(world);
}

void
put_fault(
    world_t *world, const world_fault_t *fault, msp_time_t at, msp_time_t span)
{
	world_at(world, at, start_fault, (void *)fault);
	if (fault->stop != NULL)
		world_at(world, at + span, stop_fault, (void *)fault);
}
