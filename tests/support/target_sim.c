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

#include "soak_pause.h"

#define STEP (5 * MSP_MS)
#define WINDOW (2 * MSP_SECOND)
#define OBJECTS_MAX 256
#define JOBS_MAX 4096
#define TOLD_MAX 8192
#define REGIONS_MAX 8
/* Smaller windows are skipped: their shares vary too much by chance. */
#define WINDOW_REQUESTS_MIN 60
/* Standard deviations of a shift that are attributed to chance. */
#define CHANCE_SIGMAS 2.0
/* Factor of the service time on a cold target. */
#define COLD_TARGET_FACTOR 2.0

typedef struct job {
	bool used;
	bool arrived;
	bool running;
	unsigned int vm;
	unsigned int target;
	unsigned int object;
	msp_time_t sent;
	msp_time_t arrives; /* at the target */
	msp_time_t ends;
	uint64_t order; /* in the target's queue */
	msp_balance_request_t request;
	msp_balance_choice_t choice;
} job_t;

/* A load that is on its way to the VMs of a region. */
typedef struct told_load {
	msp_time_t due;
	unsigned int from; /* VM */
	unsigned int target;
	msp_server_load_t load;
} told_load_t;

typedef struct sim_target {
	unsigned int region;
	unsigned int requests; /* since the last result */
	unsigned int running;
	unsigned int waiting;
	double factor; /* of the service time */
	msp_time_t cold_until;
	uint64_t last_used[OBJECTS_MAX]; /* order of the last use; 0: never */
	msp_time_t paused_until;
	pause_judge_t pause;
	msp_time_t second; /* the current one */
	unsigned int in_second; /* requests in it */
} sim_target_t;

typedef struct sim_vm {
	target_sim_t *sim;
	unsigned int region;
	char region_name[16];
	msp_target_view_t *view;
	msp_latency_model_t *model;
	msp_balancer_t *balancer;
} sim_vm_t;

struct target_sim {
	target_sim_config_t config;
	msp_virtual_env_t clock;
	msp_env_t env;
	msp_route_table_t *table;
	unsigned int target_count;
	unsigned int vm_count;
	sim_target_t targets[TARGET_SIM_TARGETS_MAX];
	sim_vm_t vms[TARGET_SIM_VMS_MAX];
	job_t jobs[JOBS_MAX];
	uint64_t order;
	bool evacuated[REGIONS_MAX];
	double pending[REGIONS_MAX]; /* requests due, with a fraction */
	/* Requests per window, by the region of the VM and of the target. */
	unsigned int window[REGIONS_MAX][REGIONS_MAX];
	unsigned int last_window[REGIONS_MAX][REGIONS_MAX];
	msp_time_t window_ends;
	told_load_t told[TOLD_MAX]; /* a ring, in the order of `due` */
	uint64_t told_first;
	uint64_t told_end;
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
	const sim_vm_t *vm = ctx;

	return vm->sim->evacuated[place[1] - '0'];
}

static void
rank_sender(void *ctx, const msp_view_target_t *target, msp_sender_rank_t *rank)
{
	const sim_vm_t *vm = ctx;
	const target_sim_t *sim = vm->sim;

	(void)target;
	*rank = (msp_sender_rank_t){
	    .place_count = sim->config.regions,
	    .place = vm->region,
	    .vm_count = sim->config.vms,
	    .vm = (size_t)(vm - sim->vms) % sim->config.vms,
	};
}

static void
make_table(target_sim_t *sim)
{
	msp_service_config_t *service;
	msp_path_route_t *route;
	msp_weighted_service_t *weighted;

	sim->table = msp_new_route_table(1);
	service = msp_add_service_config(sim->table);
	strcpy(service->name, "desk");
	service->cold_requests_per_s = 5;
	route = msp_add_path_route(sim->table);
	strcpy(route->name, "read");
	strcpy(route->prefix, "/");
	route->sticky = true;
	route->idempotent = true;
	route->goal_ms = sim->config.goal_ms;
	route->timeout_ms = sim->config.timeout_ms;
	weighted = msp_add_weighted_service(route);
	strcpy(weighted->service, "desk");
	weighted->weight = 1;
	assert_int_equal(msp_finish_route_table(sim->table), MSP_OK);
}

static void
register_targets(target_sim_t *sim, sim_vm_t *vm, uint64_t version)
{
	msp_registration_t registration;
	unsigned int i;

	for (i = 0; i < sim->target_count; i++) {
		const sim_target_t *target = &sim->targets[i];
		msp_time_t now = sim->clock.now;

		registration = (msp_registration_t){.port = 80,
		    .slots = sim->config.slots,
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
set_up_vm(target_sim_t *sim, sim_vm_t *vm, unsigned int region)
{
	msp_target_view_callbacks_t view_callbacks = {
	    .find_region = find_region, .ctx = vm};
	msp_balancer_options_t options = {.region = region_names[region],
	    .place = region_names[region],
	    .default_remote_delay = 100 * MSP_MS,
	    .cold_rate_factor = 0.9,
	    .cold_burst = 4};
	msp_balancer_callbacks_t callbacks = {.is_evacuated = is_evacuated,
	    .rank_sender = rank_sender,
	    .ctx = vm};

	vm->sim = sim;
	vm->region = region;
	vm->view = msp_new_target_view(&sim->env, &view_callbacks);
	vm->model = msp_new_latency_model(options.default_remote_delay);
	vm->balancer = msp_new_balancer(
	    &sim->env, &options, &callbacks, vm->view, vm->model);
	assert_non_null(vm->balancer);
	register_targets(sim, vm, 1);
}

target_sim_t *
new_target_sim(const target_sim_config_t *config, uint64_t seed)
{
	target_sim_t *sim = calloc(1, sizeof(*sim));
	unsigned int region;
	unsigned int i;

	assert_non_null(sim);
	sim->config = *config;
	sim->clock.now = 100 * MSP_SECOND;
	sim->clock.rng.state = seed;
	sim->env = msp_virtual_env(&sim->clock);
	sim->window_ends = sim->clock.now + WINDOW;
	make_table(sim);
	for (region = 0; region < config->regions; region++) {
		for (i = 0; i < config->targets[region]; i++) {
			sim->targets[sim->target_count].region = region;
			sim->targets[sim->target_count++].factor = 1;
		}
	}
	for (region = 0; region < config->regions; region++) {
		for (i = 0; i < config->vms; i++)
			set_up_vm(sim, &sim->vms[sim->vm_count++], region);
	}
	return sim;
}

void
drop_target_sim(target_sim_t *sim)
{
	unsigned int i;

	for (i = 0; i < JOBS_MAX; i++) {
		if (sim->jobs[i].used)
			msp_release_view_target(sim->jobs[i].choice.target);
	}
	for (i = 0; i < sim->vm_count; i++) {
		msp_drop_balancer(sim->vms[i].balancer);
		msp_drop_latency_model(sim->vms[i].model);
		msp_drop_target_view(sim->vms[i].view);
	}
	msp_drop_route_table(sim->table);
	free(sim);
}

static void
update_vms(target_sim_t *sim)
{
	static uint64_t version = 1;
	unsigned int i;

	version++;
	for (i = 0; i < sim->vm_count; i++)
		register_targets(sim, &sim->vms[i], version);
}

void
make_sim_target_cold(target_sim_t *sim, msp_time_t span, double per_second)
{
	sim->targets[0].cold_until = sim->clock.now + span;
	sim->table->services[0].cold_requests_per_s = per_second;
	update_vms(sim);
}

void
slow_sim_target(target_sim_t *sim, unsigned int index, double factor)
{
	sim->targets[index].factor = factor;
}

void
pause_sim_targets(target_sim_t *sim, unsigned int count, msp_time_t span)
{
	unsigned int i;

	for (i = 0; i < count; i++)
		sim->targets[i].paused_until = sim->clock.now + span;
}

void
evacuate_sim_region(target_sim_t *sim, unsigned int region)
{
	sim->evacuated[region] = true;
}

static job_t *
find_free_job(target_sim_t *sim)
{
	unsigned int i;

	for (i = 0; i < JOBS_MAX; i++) {
		if (!sim->jobs[i].used)
			return &sim->jobs[i];
	}
	print_error("too many requests in flight\n");
	abort();
}

static void
count_arrival(target_sim_t *sim, unsigned int index)
{
	sim_target_t *target = &sim->targets[index];
	msp_time_t second = sim->clock.now / MSP_SECOND;

	if (index != 0)
		return;
	if (second != target->second)
		target->in_second = 0;
	target->second = second;
	target->in_second++;
	if (target->in_second > sim->result.peak_rate)
		sim->result.peak_rate = target->in_second;
}

/* The VM of the region that chooses the target. */
static unsigned int
pick_chooser(
    const target_sim_t *sim, unsigned int entry_vm, unsigned int object)
{
	if (sim->config.choosers == TARGET_SIM_ENTRY_VM)
		return entry_vm;
	return entry_vm - entry_vm % sim->config.vms +
	    (unsigned int)(msp_hash(&object, sizeof(object), 2) %
		sim->config.vms);
}

static void
send_request(target_sim_t *sim, unsigned int region)
{
	unsigned int entry_vm = region * sim->config.vms +
	    (unsigned int)msp_random_below(&sim->env, sim->config.vms);
	unsigned int object =
	    (unsigned int)msp_random_below(&sim->env, sim->config.objects);
	unsigned int vm_index = pick_chooser(sim, entry_vm, object);
	sim_vm_t *vm = &sim->vms[vm_index];
	job_t *job = find_free_job(sim);
	unsigned int target;

	*job =
	    (job_t){.vm = vm_index, .object = object, .sent = sim->clock.now};
	job->request = (msp_balance_request_t){.route = &sim->table->routes[0],
	    .service = &sim->table->services[0],
	    .object_hash = msp_hash(&job->object, sizeof(job->object), 1),
	    .has_object = !sim->config.without_objects,
	    .time_left = sim->config.timeout_ms * MSP_MS};
	sim->result.sent++;
	if (msp_balance(vm->balancer, &job->request, &job->choice) != MSP_OK) {
		sim->result.refused++;
		return;
	}
	if (job->choice.target == NULL) {
		print_error("msp_balance() returned no target\n");
		abort();
	}
	msp_begin_balanced_request(vm->balancer, &job->choice);
	target = (unsigned int)strtoul(
	    job->choice.target->registration.id + 1, NULL, 10);
	job->used = true;
	job->target = target;
	job->order = ++sim->order;
	job->arrives = sim->clock.now + sim->config.hop;
	sim->targets[target].requests++;
	if (sim->targets[target].region != region) {
		job->arrives += sim->config.rtt / 2;
		sim->result.remote++;
	}
	sim->window[region][sim->targets[target].region]++;
	count_arrival(sim, target);
}

/* The other VMs of the region learn of a load later. */
static void
tell_load(target_sim_t *sim, const job_t *job, const msp_server_load_t *load)
{
	if (sim->config.told_after == 0 ||
	    sim->told_end - sim->told_first == TOLD_MAX)
		return;
	sim->told[sim->told_end++ % TOLD_MAX] =
	    (told_load_t){.due = sim->clock.now + sim->config.told_after,
		.from = job->vm,
		.target = job->target,
		.load = *load};
}

static void
hear_load(target_sim_t *sim, const told_load_t *told)
{
	unsigned int first = sim->vms[told->from].region * sim->config.vms;
	char id[16];
	unsigned int i;

	snprintf(id, sizeof(id), "t%u", told->target);
	for (i = first; i < first + sim->config.vms; i++) {
		msp_view_target_t *target =
		    msp_find_view_target(sim->vms[i].view, id);

		if (i != told->from && target != NULL)
			msp_record_server_load(
			    &target->traffic, sim->clock.now, &told->load);
	}
}

static void
hear_loads(target_sim_t *sim)
{
	while (sim->told_first < sim->told_end &&
	    sim->told[sim->told_first % TOLD_MAX].due <= sim->clock.now)
		hear_load(sim, &sim->told[sim->told_first++ % TOLD_MAX]);
}

static void
end_job(target_sim_t *sim, job_t *job, bool responded)
{
	sim_vm_t *vm = &sim->vms[job->vm];
	sim_target_t *target = &sim->targets[job->target];
	msp_view_target_t *view_target = job->choice.target;
	msp_server_load_t load = {
	    .running = target->running + (responded ? 1 : 0),
	    .waiting = target->waiting,
	    .slots = sim->config.slots};
	msp_time_t took = sim->clock.now - job->sent;

	if (target->region != vm->region)
		took += sim->config.rtt / 2;
	msp_record_server_load(&view_target->traffic, sim->clock.now, &load);
	tell_load(sim, job, &load);
	if (!responded)
		msp_record_target_full(&view_target->traffic, sim->clock.now);
	msp_end_balanced_request(
	    vm->balancer, &job->request, &job->choice, took, responded);
	if (!responded)
		sim->result.refused++;
	else if (took <= sim->config.goal_ms * MSP_MS)
		sim->result.in_time++;
	else
		sim->result.late++;
	job->used = false;
}

static bool
is_sim_target_paused(const target_sim_t *sim, const sim_target_t *target)
{
	return sim->clock.now < target->paused_until;
}

/* Refuses the job and asks its VM for a pause. */
static void
pause_job(target_sim_t *sim, job_t *job)
{
	sim_target_t *target = &sim->targets[job->target];
	const msp_pause_request_t request = {
	    .span = target->paused_until - sim->clock.now,
	    .slots = sim->config.slots,
	    .vms = sim->vm_count};

	sim->result.paused++;
	msp_apply_target_pause(&job->choice.target->pause, &sim->env, &request);
	tell_judged_pause(
	    &target->pause, sim->clock.now, job->vm, target->paused_until);
	end_job(sim, job, false);
}

static void
take_arrivals(target_sim_t *sim)
{
	unsigned int i;

	for (i = 0; i < JOBS_MAX; i++) {
		job_t *job = &sim->jobs[i];
		sim_target_t *target = &sim->targets[job->target];

		if (!job->used || job->arrived || job->arrives > sim->clock.now)
			continue;
		job->arrived = true;
		sim->result.in_pauses += judge_pause_arrival(&target->pause,
					     sim->clock.now, job->vm) > 0;
		if (is_sim_target_paused(sim, target))
			pause_job(sim, job);
	}
}

/* Whether the object is among those that the target used last. */
static bool
is_cached(
    const target_sim_t *sim, const sim_target_t *target, unsigned int object)
{
	unsigned int newer = 0;
	unsigned int i;

	if (target->last_used[object] == 0)
		return false;
	for (i = 0; i < sim->config.objects; i++)
		newer +=
		    target->last_used[i] > target->last_used[object] ? 1 : 0;
	return newer < sim->config.cache_size;
}

static void
start_job(target_sim_t *sim, job_t *job)
{
	sim_target_t *target = &sim->targets[job->target];
	double service_time = (double)sim->config.service_time * target->factor;

	if (!is_cached(sim, target, job->object)) {
		service_time *= TARGET_SIM_MISS_FACTOR;
		sim->result.cache_misses++;
	}
	if (sim->clock.now < target->cold_until)
		service_time *= COLD_TARGET_FACTOR;
	target->last_used[job->object] = ++sim->order;
	target->running++;
	job->running = true;
	job->ends = sim->clock.now + (msp_time_t)service_time;
}

static void
end_jobs(target_sim_t *sim)
{
	unsigned int i;

	for (i = 0; i < JOBS_MAX; i++) {
		job_t *job = &sim->jobs[i];

		if (!job->used || !job->running || job->ends > sim->clock.now)
			continue;
		sim->targets[job->target].running--;
		end_job(sim, job, true);
	}
}

static job_t *
find_first_waiting(target_sim_t *sim, unsigned int target)
{
	job_t *first = NULL;
	unsigned int i;

	for (i = 0; i < JOBS_MAX; i++) {
		job_t *job = &sim->jobs[i];

		if (job->used && !job->running && job->target == target &&
		    job->arrives <= sim->clock.now &&
		    (first == NULL || job->order < first->order))
			first = job;
	}
	return first;
}

static void
run_targets(target_sim_t *sim)
{
	unsigned int i;
	unsigned int t;
	job_t *job;

	for (t = 0; t < sim->target_count; t++) {
		while (sim->targets[t].running < sim->config.slots &&
		    (job = find_first_waiting(sim, t)) != NULL)
			start_job(sim, job);
		sim->targets[t].waiting = 0;
	}
	for (i = 0; i < JOBS_MAX; i++) {
		job = &sim->jobs[i];
		if (!job->used || job->running || job->arrives > sim->clock.now)
			continue;
		if (sim->targets[job->target].waiting < sim->config.queue_max) {
			sim->targets[job->target].waiting++;
		} else {
			sim->result.shed++;
			end_job(sim, job, false);
		}
	}
}

/*
 * Half the sum of the differences between the shares of two windows, less the
 * difference that is expected by chance for so many requests.
 */
static double
measure_shift(const target_sim_t *sim, unsigned int from)
{
	unsigned int now = 0;
	unsigned int before = 0;
	double sum = 0;
	unsigned int to;

	for (to = 0; to < sim->config.regions; to++) {
		now += sim->window[from][to];
		before += sim->last_window[from][to];
	}
	if (now < WINDOW_REQUESTS_MIN || before < WINDOW_REQUESTS_MIN)
		return 0;
	for (to = 0; to < sim->config.regions; to++) {
		double change = (double)sim->window[from][to] / now -
		    (double)sim->last_window[from][to] / before;

		sum += change < 0 ? -change : change;
	}
	sum = sum / 2 - CHANCE_SIGMAS * sqrt(0.25 / now + 0.25 / before);
	return sum < 0 ? 0 : sum;
}

static void
end_window(target_sim_t *sim)
{
	unsigned int region;
	double shift;

	for (region = 0; region < sim->config.regions; region++) {
		shift = measure_shift(sim, region);
		if (shift > sim->result.worst_shift)
			sim->result.worst_shift = shift;
	}
	memcpy(sim->last_window, sim->window, sizeof(sim->window));
	memset(sim->window, 0, sizeof(sim->window));
	sim->window_ends += WINDOW;
}

static void
send_requests(target_sim_t *sim, const target_sim_load_t *load)
{
	unsigned int region;

	if (sim->clock.now < load->begin || sim->clock.now >= load->end)
		return;
	for (region = 0; region < sim->config.regions; region++) {
		if (load->region >= 0 && (unsigned int)load->region != region)
			continue;
		sim->pending[region] +=
		    load->per_second * (double)STEP / (double)MSP_SECOND;
		while (sim->pending[region] >= 1) {
			sim->pending[region] -= 1;
			send_request(sim, region);
		}
	}
}

void
run_target_sim(target_sim_t *sim, const target_sim_load_t *loads, size_t count,
    msp_time_t until)
{
	msp_time_t start = 100 * MSP_SECOND;
	size_t i;

	while (sim->clock.now < start + until) {
		sim->clock.now += STEP;
		if (sim->clock.now >= sim->window_ends)
			end_window(sim);
		end_jobs(sim);
		hear_loads(sim);
		take_arrivals(sim);
		run_targets(sim);
		for (i = 0; i < count; i++) {
			target_sim_load_t load = loads[i];

			load.begin += start;
			load.end += start;
			send_requests(sim, &load);
		}
	}
}

target_sim_result_t
take_target_sim_result(target_sim_t *sim)
{
	target_sim_result_t result = sim->result;
	unsigned int most = 0;
	unsigned int i;

	for (i = 0; i < sim->target_count; i++) {
		sim_target_t *target = &sim->targets[i];

		if (target->requests > most)
			most = target->requests;
		result.idle += target->requests == 0;
		target->requests = 0;
	}
	if (result.sent > result.refused)
		result.busiest = (double)most * sim->target_count /
		    (result.sent - result.refused);
	sim->result = (target_sim_result_t){0};
	return result;
}
