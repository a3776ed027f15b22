#include <stdlib.h>

#include "world.h"

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

	attempt->live = false;
	for (i = 0; i < MSP_JOB_ATTEMPTS_MAX; i++) {
		if (attempt->request->attempts[i] == attempt)
			attempt->request->attempts[i] = NULL;
	}
}

static void report_end(fake_attempt_t *attempt);

static void
report_later(world_t *world, void *arg)
{
	(void)world;
	report_end(arg);
}

static void
report_end(fake_attempt_t *attempt)
{
	world_request_t *request = attempt->request;
	world_place_t *place = attempt->place;

	if (!attempt->live)
		return;
	if (place->frozen) {
		world_at(place->world, place->thaw_at, report_later, attempt);
		return;
	}
	detach(attempt);
	if (place->world->config.mode != WORLD_CENTRAL) {
		end_baseline_attempt(attempt);
		return;
	}
	if (msp_end_attempt(attempt->dispatcher, &request->job, attempt->token,
		attempt->outcome, 0) == MSP_JOB_DONE)
		finish_request(request);
	arm_tick(place);
}

static void
end_attempt(world_t *world, void *arg)
{
	fake_attempt_t *attempt = arg;

	(void)world;
	/* A frozen target ends nothing. */
	if (attempt->in_slot && attempt->target->frozen) {
		world_at(
		    world, world->venv.now + 20 * MSP_MS, end_attempt, attempt);
		return;
	}
	if (attempt->outcome == MSP_OUTCOME_COMPLETE && !attempt->in_slot)
		return;
	if (attempt->outcome == MSP_OUTCOME_COMPLETE)
		attempt->target->served++;
	leave_slot(attempt);
	report_end(attempt);
}

static void
revive(world_t *world, void *arg)
{
	fake_target_t *target = arg;

	(void)world;
	target->dead = false;
	target->served = 0;
}

void
kill_target(fake_target_t *target, msp_time_t span)
{
	world_t *world = target->world;
	fake_attempt_t *attempt;

	world->kills++;
	target->dead = true;
	while ((attempt = TAILQ_FIRST(&target->running)) != NULL) {
		leave_slot(attempt);
		attempt->outcome = MSP_OUTCOME_CRASHED;
		world_at(world, world->venv.now + 100, end_attempt, attempt);
	}
	world_at(world, world->venv.now + span, revive, target);
}

static void
crash_target(world_t *world, void *arg)
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
	world_t *world = target->world;
	double mean = (double)world->config.service_mean;

	attempt->in_slot = true;
	target->in_use++;
	if (target->in_use > target->peak)
		target->peak = target->in_use;
	TAILQ_INSERT_TAIL(&target->running, attempt, link);
	attempt->request->reached++;
	if (attempt->request->job.class == MSP_CLASS_COMMIT &&
	    attempt->request->reached > 1)
		world->results.doubled++;
	if (target->served < COLD_REQUESTS && world->config.cold)
		mean *= COLD_FACTOR;
	if (attempt->request->poison) {
		world_at(
		    world, world->venv.now + 5 * MSP_MS, crash_target, attempt);
		return;
	}
	attempt->outcome = MSP_OUTCOME_COMPLETE;
	world_at(world,
	    world->venv.now + delay +
		(msp_time_t)draw_lognormal(&world->rng, mean),
	    end_attempt, attempt);
}

void
reach_target(world_place_t *place, world_request_t *request,
    fake_target_t *target, bool fresh, msp_attempt_id_t token)
{
	world_t *world = place->world;
	fake_attempt_t *attempt = calloc(1, sizeof(*attempt));
	msp_time_t delay = fresh ? CONNECT_TIME : 0;
	int i = request->attempts[0] == NULL ? 0 : 1;

	*attempt = (fake_attempt_t){
	    .request = request,
	    .place = place,
	    .target = target,
	    .dispatcher = request->dispatcher,
	    .token = token,
	    .fresh = fresh,
	    .live = true,
	};
	request->attempts[i] = attempt;
	TAILQ_INSERT_TAIL(&world->attempts, attempt, all_link);
	if (request->born >= world->measure_from)
		world->results.attempts++;
	if (target->left_at != 0 &&
	    world->venv.now > target->left_at + 3 * MSP_SECOND)
		target->late_starts++;
	if (target->dead) {
		attempt->outcome = MSP_OUTCOME_REFUSED_CONNECTION;
		world_at(world, world->venv.now + 200, end_attempt, attempt);
	} else if (target->kept_silent && !fresh) {
		return;
	} else if (target->shedding || target->in_use >= target->slots) {
		attempt->outcome = MSP_OUTCOME_SHED;
		if (request->born >= world->measure_from)
			world->results.sheds++;
		world_at(world, world->venv.now + delay + SHED_TIME,
		    end_attempt, attempt);
	} else {
		serve(attempt, delay);
	}
}

static void
stop_work(world_t *world, void *arg)
{
	(void)world;
	leave_slot(arg);
}

void
withdraw_attempt(world_request_t *request, msp_attempt_id_t token)
{
	world_t *world = request->world;
	int i;

	for (i = 0; i < MSP_JOB_ATTEMPTS_MAX; i++) {
		fake_attempt_t *attempt = request->attempts[i];

		if (attempt == NULL || attempt->token != token)
			continue;
		detach(attempt);
		if (attempt->in_slot && !attempt->target->frozen)
			world_at(world, world->venv.now + CANCEL_TIME,
			    stop_work, attempt);
		return;
	}
}
