#include <stdlib.h>

#include "dispatch_sim.h"

#define CONNECT_TIME MSP_MS
#define SHED_TIME (500)
#define CANCEL_TIME (2 * MSP_MS)
#define COLD_REQUESTS 50 /* served until the caches are warm */
#define COLD_FACTOR 3

static void
leave_slot(fake_attempt_t *attempt)
{
	if (!attempt->in_slot)
		return;
	attempt->in_slot = false;
	attempt->target->in_use--;
	TAILQ_REMOVE(&attempt->target->running, attempt, link);
}

static void
detach(fake_attempt_t *attempt)
{
	int i;

	attempt->pending = false;
	for (i = 0; i < MSP_JOB_ATTEMPTS_MAX; i++) {
		if (attempt->request->attempts[i] == attempt)
			attempt->request->attempts[i] = NULL;
	}
}

static void report_end(fake_attempt_t *attempt);

static void
report_later(dispatch_sim_t *world, void *arg)
{
	(void)world;
	report_end(arg);
}

static void
report_end(fake_attempt_t *attempt)
{
	sim_request_t *request = attempt->request;
	sim_place_t *place = attempt->place;

	if (!attempt->pending)
		return;
	if (place->frozen) {
		schedule_sim_event(
		    place->sim, place->thaw_at, report_later, attempt);
		return;
	}
	detach(attempt);
	if (place->sim->config.mode != SIM_MODE_DISPATCHER) {
		end_baseline_attempt(attempt);
		return;
	}
	if (msp_end_attempt(attempt->dispatcher, &request->job, attempt->id,
		attempt->outcome, 0) == MSP_JOB_DONE)
		finish_request(request);
	schedule_tick(place);
}

static void
end_attempt(dispatch_sim_t *world, void *arg)
{
	fake_attempt_t *attempt = arg;

	(void)world;
	/* A frozen target ends nothing. */
	if (attempt->in_slot && attempt->target->frozen) {
		schedule_sim_event(
		    world, world->venv.now + 20 * MSP_MS, end_attempt, attempt);
		return;
	}
	if (attempt->outcome == MSP_OUTCOME_COMPLETE && !attempt->in_slot)
		return;
	if (attempt->outcome == MSP_OUTCOME_COMPLETE)
		attempt->target->requests_served++;
	leave_slot(attempt);
	report_end(attempt);
}

static void
revive(dispatch_sim_t *world, void *arg)
{
	fake_target_t *target = arg;

	(void)world;
	target->dead = false;
	target->requests_served = 0;
}

void
kill_target(fake_target_t *target, msp_time_t span)
{
	dispatch_sim_t *world = target->sim;
	fake_attempt_t *attempt;

	world->target_kills++;
	target->dead = true;
	while ((attempt = TAILQ_FIRST(&target->running)) != NULL) {
		leave_slot(attempt);
		attempt->outcome = MSP_OUTCOME_CRASHED;
		schedule_sim_event(
		    world, world->venv.now + 100, end_attempt, attempt);
	}
	schedule_sim_event(world, world->venv.now + span, revive, target);
}

static void
crash_target(dispatch_sim_t *world, void *arg)
{
	fake_attempt_t *attempt = arg;

	(void)world;
	if (attempt->in_slot)
		kill_target(attempt->target, 3 * MSP_SECOND);
}

static void
serve(fake_attempt_t *attempt, msp_time_t delay)
{
	fake_target_t *target = attempt->target;
	dispatch_sim_t *world = target->sim;
	double mean = (double)world->config.service_mean;

	attempt->in_slot = true;
	target->in_use++;
	if (target->in_use > target->peak_in_use)
		target->peak_in_use = target->in_use;
	TAILQ_INSERT_TAIL(&target->running, attempt, link);
	attempt->request->runs++;
	if (attempt->request->job.class == MSP_CLASS_COMMIT &&
	    attempt->request->runs > 1)
		world->results.duplicate_commits++;
	if (target->requests_served < COLD_REQUESTS &&
	    world->config.cold_targets)
		mean *= COLD_FACTOR;
	if (attempt->request->poison) {
		schedule_sim_event(
		    world, world->venv.now + 5 * MSP_MS, crash_target, attempt);
		return;
	}
	attempt->outcome = MSP_OUTCOME_COMPLETE;
	schedule_sim_event(world,
	    world->venv.now + delay +
		(msp_time_t)draw_lognormal(&world->rng, mean),
	    end_attempt, attempt);
}

void
start_fake_attempt(sim_place_t *place, sim_request_t *request,
    fake_target_t *target, bool fresh, msp_attempt_id_t token)
{
	dispatch_sim_t *world = place->sim;
	fake_attempt_t *attempt = calloc(1, sizeof(*attempt));
	msp_time_t delay = fresh ? CONNECT_TIME : 0;
	int i = request->attempts[0] == NULL ? 0 : 1;

	*attempt = (fake_attempt_t){
	    .request = request,
	    .place = place,
	    .target = target,
	    .dispatcher = request->dispatcher,
	    .id = token,
	    .fresh_connection = fresh,
	    .pending = true,
	};
	request->attempts[i] = attempt;
	TAILQ_INSERT_TAIL(&world->attempts, attempt, all_link);
	if (request->created_at >= world->measure_from)
		world->results.attempts++;
	if (target->leaving_since != 0 &&
	    world->venv.now > target->leaving_since + 3 * MSP_SECOND)
		target->late_starts++;
	if (target->dead) {
		attempt->outcome = MSP_OUTCOME_REFUSED_CONNECTION;
		schedule_sim_event(
		    world, world->venv.now + 200, end_attempt, attempt);
	} else if (target->reused_connections_silent && !fresh) {
		return;
	} else if (target->shedding || target->in_use >= target->slots) {
		attempt->outcome = MSP_OUTCOME_SHED;
		if (request->created_at >= world->measure_from)
			world->results.shed_attempts++;
		schedule_sim_event(world, world->venv.now + delay + SHED_TIME,
		    end_attempt, attempt);
	} else {
		serve(attempt, delay);
	}
}

static void
stop_work(dispatch_sim_t *world, void *arg)
{
	(void)world;
	leave_slot(arg);
}

void
cancel_fake_attempt(sim_request_t *request, msp_attempt_id_t token)
{
	dispatch_sim_t *world = request->sim;
	int i;

	for (i = 0; i < MSP_JOB_ATTEMPTS_MAX; i++) {
		fake_attempt_t *attempt = request->attempts[i];

		if (attempt == NULL || attempt->id != token)
			continue;
		detach(attempt);
		if (attempt->in_slot && !attempt->target->frozen)
			schedule_sim_event(world, world->venv.now + CANCEL_TIME,
			    stop_work, attempt);
		return;
	}
}
