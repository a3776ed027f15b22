#include "target_sim.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define STEP (5 * MSP_MS)
#define WINDOW (2 * MSP_SECOND)
#define OBJECTS_MAX 256
#define JOBS_MAX 4096
#define REGIONS_MAX 8
#define WINDOW_REQUESTS_MIN 60 /* for a shift to be told from chance */
#define CHANCE_SIGMAS 2.0
#define COLD_SPAN_FACTOR 2.0

typedef struct job {
	bool used;
	bool running;
	unsigned int vm;
	unsigned int target;
	unsigned int object;
	msp_time_t asked;
	msp_time_t arrives; /* at the target */
	msp_time_t ends;
	uint64_t order; /* in the target's queue */
	msp_balance_request_t request;
	msp_balance_choice_t choice;
} job_t;

typedef struct world_target {
	unsigned int region;
	unsigned int running;
	unsigned int waiting;
	double factor;
	msp_time_t cold_until;
	uint64_t used[OBJECTS_MAX]; /* when an object was last used; 0: never */
	msp_time_t second; /* that is counted */
	unsigned int in_second;
} world_target_t;

typedef struct world_vm {
	target_sim_t *world;
	unsigned int region;
	char region_name[16];
	msp_target_view_t *view;
	msp_latency_model_t *book;
	msp_balancer_t *balancer;
} world_vm_t;

struct target_sim {
	target_sim_config_t shape;
	msp_virtual_env_t clock;
	msp_env_t env;
	msp_route_table_t *table;
	unsigned int target_count;
	unsigned int vm_count;
	world_target_t targets[TARGET_SIM_TARGETS_MAX];
	world_vm_t vms[TARGET_SIM_VMS_MAX];
	job_t jobs[JOBS_MAX];
	uint64_t order;
	bool evacuated[REGIONS_MAX];
	double owed[REGIONS_MAX];
	unsigned int window[REGIONS_MAX][REGIONS_MAX];
	unsigned int last_window[REGIONS_MAX][REGIONS_MAX];
	msp_time_t window_ends;
	target_sim_result_t result;
};

static const char *const region_names[REGIONS_MAX] = {
    "r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7"};

static const char *
find_region(void *ctx, const char *place)
{
	(void)ctx;
	return region_names[place[1] - '0'];
}

static bool
is_evacuated(void *ctx, const char *place)
{
	const world_vm_t *vm = ctx;

	return vm->world->evacuated[place[1] - '0'];
}

static uint32_t
count_cold_senders(void *ctx)
{
	const world_vm_t *vm = ctx;

	return vm->world->shape.vms;
}

static void
make_table(target_sim_t *world)
{
	msp_service_config_t *rule;
	msp_path_route_t *route;
	msp_weighted_service_t *part;

	world->table = msp_new_route_table(1);
	rule = msp_add_service_config(world->table);
	strcpy(rule->name, "desk");
	rule->cold_requests_per_s = 5;
	route = msp_add_path_route(world->table);
	strcpy(route->name, "read");
	strcpy(route->prefix, "/");
	route->sticky = true;
	route->idempotent = true;
	route->goal_ms = world->shape.goal_ms;
	route->timeout_ms = world->shape.timeout_ms;
	part = msp_add_weighted_service(route);
	strcpy(part->service, "desk");
	part->weight = 1;
	assert_int_equal(msp_finish_route_table(world->table), MSP_OK);
}

static void
register_targets(target_sim_t *world, world_vm_t *vm, uint64_t version)
{
	msp_registration_t registration;
	unsigned int i;

	for (i = 0; i < world->target_count; i++) {
		const world_target_t *target = &world->targets[i];
		msp_time_t now = world->clock.now;

		registration = (msp_registration_t){.port = 80,
		    .slots = world->shape.slots,
		    .sequence = version,
		    .cold_ms = target->cold_until > now
			? (uint32_t)((target->cold_until - now) / MSP_MS)
			: 0};
		snprintf(registration.id, sizeof(registration.id), "t%u", i);
		strcpy(registration.service, "desk");
		strcpy(registration.address, "10.0.0.1");
		strcpy(registration.place, region_names[target->region]);
		msp_apply_registration(
		    vm->view, registration.id, version, &registration);
	}
}

static void
open_vm(target_sim_t *world, world_vm_t *vm, unsigned int region)
{
	msp_target_view_callbacks_t view_callbacks = {
	    .find_region = find_region, .ctx = vm};
	msp_balancer_options_t options = {.region = region_names[region],
	    .place = region_names[region],
	    .default_remote_delay = 100 * MSP_MS,
	    .cold_rate_factor = 0.9};
	msp_balancer_callbacks_t callbacks = {.is_evacuated = is_evacuated,
	    .count_cold_senders = count_cold_senders,
	    .ctx = vm};

	vm->world = world;
	vm->region = region;
	vm->view = msp_new_target_view(&world->env, &view_callbacks);
	vm->book = msp_new_latency_model(options.default_remote_delay);
	vm->balancer = msp_new_balancer(
	    &world->env, &options, &callbacks, vm->view, vm->book);
	assert_non_null(vm->balancer);
	register_targets(world, vm, 1);
}

target_sim_t *
new_target_sim(const target_sim_config_t *shape, uint64_t seed)
{
	target_sim_t *world = calloc(1, sizeof(*world));
	unsigned int region;
	unsigned int i;

	assert_non_null(world);
	world->shape = *shape;
	world->clock.now = 100 * MSP_SECOND;
	world->clock.rng.state = seed;
	world->env = msp_virtual_env(&world->clock);
	world->window_ends = world->clock.now + WINDOW;
	make_table(world);
	for (region = 0; region < shape->regions; region++) {
		for (i = 0; i < shape->targets[region]; i++) {
			world->targets[world->target_count].region = region;
			world->targets[world->target_count++].factor = 1;
		}
	}
	for (region = 0; region < shape->regions; region++) {
		for (i = 0; i < shape->vms; i++)
			open_vm(world, &world->vms[world->vm_count++], region);
	}
	return world;
}

void
drop_target_sim(target_sim_t *world)
{
	unsigned int i;

	for (i = 0; i < JOBS_MAX; i++) {
		if (world->jobs[i].used)
			msp_release_view_target(world->jobs[i].choice.target);
	}
	for (i = 0; i < world->vm_count; i++) {
		msp_drop_balancer(world->vms[i].balancer);
		msp_drop_latency_model(world->vms[i].book);
		msp_drop_target_view(world->vms[i].view);
	}
	msp_drop_route_table(world->table);
	free(world);
}

static void
tell_vms(target_sim_t *world)
{
	static uint64_t version = 1;
	unsigned int i;

	version++;
	for (i = 0; i < world->vm_count; i++)
		register_targets(world, &world->vms[i], version);
}

void
make_sim_target_cold(target_sim_t *world, msp_time_t span, double per_second)
{
	world->targets[0].cold_until = world->clock.now + span;
	world->table->services[0].cold_requests_per_s = per_second;
	tell_vms(world);
}

void
slow_sim_target(target_sim_t *world, unsigned int index, double factor)
{
	world->targets[index].factor = factor;
}

void
evacuate_sim_region(target_sim_t *world, unsigned int region)
{
	world->evacuated[region] = true;
}

static job_t *
find_free_job(target_sim_t *world)
{
	unsigned int i;

	for (i = 0; i < JOBS_MAX; i++) {
		if (!world->jobs[i].used)
			return &world->jobs[i];
	}
	print_error("too many requests at once\n");
	abort();
}

static void
count_arrival(target_sim_t *world, unsigned int index)
{
	world_target_t *target = &world->targets[index];
	msp_time_t second = world->clock.now / MSP_SECOND;

	if (index != 0)
		return;
	if (second != target->second)
		target->in_second = 0;
	target->second = second;
	target->in_second++;
	if (target->in_second > world->result.most_a_second)
		world->result.most_a_second = target->in_second;
}

static void
ask(target_sim_t *world, unsigned int region)
{
	unsigned int vm_index = region * world->shape.vms +
	    (unsigned int)msp_random_below(&world->env, world->shape.vms);
	world_vm_t *vm = &world->vms[vm_index];
	job_t *job = find_free_job(world);
	unsigned int target;

	*job = (job_t){.vm = vm_index,
	    .object = (unsigned int)msp_random_below(
		&world->env, world->shape.objects),
	    .asked = world->clock.now};
	job->request =
	    (msp_balance_request_t){.route = &world->table->routes[0],
		.service = &world->table->services[0],
		.object_hash = msp_hash(&job->object, sizeof(job->object), 1),
		.has_object = !world->shape.without_objects,
		.time_left = world->shape.timeout_ms * MSP_MS};
	world->result.asked++;
	if (msp_balance(vm->balancer, &job->request, &job->choice) != MSP_OK) {
		world->result.refused++;
		return;
	}
	if (job->choice.target == NULL) {
		print_error("a balanced request came without a target\n");
		abort();
	}
	msp_begin_balanced_request(vm->balancer, &job->choice);
	target = (unsigned int)strtoul(
	    job->choice.target->registration.id + 1, NULL, 10);
	job->used = true;
	job->target = target;
	job->order = ++world->order;
	job->arrives = world->clock.now;
	if (world->targets[target].region != region) {
		job->arrives += world->shape.trip / 2;
		world->result.far++;
	}
	world->window[region][world->targets[target].region]++;
	count_arrival(world, target);
}

static void
give_back(target_sim_t *world, job_t *job, bool answered)
{
	world_vm_t *vm = &world->vms[job->vm];
	world_target_t *target = &world->targets[job->target];
	msp_view_target_t *seen = job->choice.target;
	msp_server_load_t told = {
	    .running = target->running + (answered ? 1 : 0),
	    .waiting = target->waiting,
	    .slots = world->shape.slots};
	msp_time_t took = world->clock.now - job->asked;

	if (target->region != vm->region)
		took += world->shape.trip / 2;
	msp_record_server_load(&seen->traffic, world->clock.now, &told);
	if (!answered)
		msp_record_target_full(&seen->traffic, world->clock.now);
	msp_end_balanced_request(
	    vm->balancer, &job->request, &job->choice, took, answered);
	if (!answered)
		world->result.refused++;
	else if (took <= world->shape.goal_ms * MSP_MS)
		world->result.in_time++;
	else
		world->result.late++;
	job->used = false;
}

/* Whether the object is among those that the target used last. */
static bool
is_in_memory(const target_sim_t *world, const world_target_t *target,
    unsigned int object)
{
	unsigned int newer = 0;
	unsigned int i;

	if (target->used[object] == 0)
		return false;
	for (i = 0; i < world->shape.objects; i++)
		newer += target->used[i] > target->used[object] ? 1 : 0;
	return newer < world->shape.memory;
}

static void
start_job(target_sim_t *world, job_t *job)
{
	world_target_t *target = &world->targets[job->target];
	double work = (double)world->shape.work * target->factor;

	if (!is_in_memory(world, target, job->object)) {
		work *= TARGET_SIM_COLD_FACTOR;
		world->result.cold_work++;
	}
	if (world->clock.now < target->cold_until)
		work *= COLD_SPAN_FACTOR;
	target->used[job->object] = ++world->order;
	target->running++;
	job->running = true;
	job->ends = world->clock.now + (msp_time_t)work;
}

static void
end_jobs(target_sim_t *world)
{
	unsigned int i;

	for (i = 0; i < JOBS_MAX; i++) {
		job_t *job = &world->jobs[i];

		if (!job->used || !job->running || job->ends > world->clock.now)
			continue;
		world->targets[job->target].running--;
		give_back(world, job, true);
	}
}

static job_t *
first_waiting(target_sim_t *world, unsigned int target)
{
	job_t *first = NULL;
	unsigned int i;

	for (i = 0; i < JOBS_MAX; i++) {
		job_t *job = &world->jobs[i];

		if (job->used && !job->running && job->target == target &&
		    job->arrives <= world->clock.now &&
		    (first == NULL || job->order < first->order))
			first = job;
	}
	return first;
}

static void
run_targets(target_sim_t *world)
{
	unsigned int i;
	unsigned int t;
	job_t *job;

	for (t = 0; t < world->target_count; t++) {
		while (world->targets[t].running < world->shape.slots &&
		    (job = first_waiting(world, t)) != NULL)
			start_job(world, job);
		world->targets[t].waiting = 0;
	}
	for (i = 0; i < JOBS_MAX; i++) {
		job = &world->jobs[i];
		if (!job->used || job->running ||
		    job->arrives > world->clock.now)
			continue;
		if (world->targets[job->target].waiting < world->shape.queue)
			world->targets[job->target].waiting++;
		else
			give_back(world, job, false);
	}
}

/*
 * Half of what the shares of the regions differ by, between two windows, less
 * what two draws of so many requests differ by through chance alone.
 */
static double
shift_of(const target_sim_t *world, unsigned int from)
{
	unsigned int now = 0;
	unsigned int before = 0;
	double sum = 0;
	unsigned int to;

	for (to = 0; to < world->shape.regions; to++) {
		now += world->window[from][to];
		before += world->last_window[from][to];
	}
	if (now < WINDOW_REQUESTS_MIN || before < WINDOW_REQUESTS_MIN)
		return 0;
	for (to = 0; to < world->shape.regions; to++) {
		double part = (double)world->window[from][to] / now -
		    (double)world->last_window[from][to] / before;

		sum += part < 0 ? -part : part;
	}
	sum = sum / 2 - CHANCE_SIGMAS * sqrt(0.25 / now + 0.25 / before);
	return sum < 0 ? 0 : sum;
}

static void
end_window(target_sim_t *world)
{
	unsigned int region;
	double shift;

	for (region = 0; region < world->shape.regions; region++) {
		shift = shift_of(world, region);
		if (shift > world->result.worst_shift)
			world->result.worst_shift = shift;
	}
	memcpy(world->last_window, world->window, sizeof(world->window));
	memset(world->window, 0, sizeof(world->window));
	world->window_ends += WINDOW;
}

static void
ask_all(target_sim_t *world, const target_sim_load_t *load)
{
	unsigned int region;

	if (world->clock.now < load->begin || world->clock.now >= load->end)
		return;
	for (region = 0; region < world->shape.regions; region++) {
		if (load->region >= 0 && (unsigned int)load->region != region)
			continue;
		world->owed[region] +=
		    load->per_second * (double)STEP / (double)MSP_SECOND;
		while (world->owed[region] >= 1) {
			world->owed[region] -= 1;
			ask(world, region);
		}
	}
}

void
run_target_sim(target_sim_t *world, const target_sim_load_t *loads,
    size_t count, msp_time_t until)
{
	msp_time_t start = 100 * MSP_SECOND;
	size_t i;

	while (world->clock.now < start + until) {
		world->clock.now += STEP;
		if (world->clock.now >= world->window_ends)
			end_window(world);
		end_jobs(world);
		run_targets(world);
		for (i = 0; i < count; i++) {
			target_sim_load_t load = loads[i];

			load.begin += start;
			load.end += start;
			ask_all(world, &load);
		}
	}
}

target_sim_result_t
take_target_sim_result(target_sim_t *world)
{
	target_sim_result_t result = world->result;

	world->result = (target_sim_result_t){0};
	return result;
}
