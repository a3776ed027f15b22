#include <stdlib.h>

#include "dispatch_sim.h"

#define CONNECT_TIME MSP_MS
#define SHED_TIME (500) /* us */
#define CANCEL_TIME (2 * MSP_MS)
#define COLD_REQUESTS 50 /* served before the caches are warm */
#define COLD_FACTOR 3

static void
free_slot(fake_attempt_t *attempt)
{
	if (!attempt->in_slot)
		return;
	attempt->in_slot = false;
	attempt->target->in_use--;
	TAILQ_REMOVE(&attempt->target->running, attempt, link);
}

static void
detach_attempt(fake_attempt_t *attempt)
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
handle_delayed_end(dispatch_sim_t *sim, void *arg)
{
	(void)sim;
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
		    place->sim, place->resume_at, handle_delayed_end, attempt);
		return;
	}
	detach_attempt(attempt);
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
handle_attempt_end(dispatch_sim_t *sim, void *arg)
{
	fake_attempt_t *attempt = arg;

	(void)sim;
	/* A frozen target ends no requests: check again later. */
	if (attempt->in_slot && attempt->target->frozen) {
		schedule_sim_event(sim, sim->venv.now + 20 * MSP_MS,
		    handle_attempt_end, attempt);
		return;
	}
	if (attempt->outcome == MSP_OUTCOME_COMPLETE && !attempt->in_slot)
		return;
	if (attempt->outcome == MSP_OUTCOME_COMPLETE)
		attempt->target->requests_served++;
	free_slot(attempt);
	report_end(attempt);
}

static void
handle_restart(dispatch_sim_t *sim, void *arg)
{
	fake_target_t *target = arg;

	(void)sim;
	target->dead = false;
	target->requests_served = 0;
}

void
kill_target(fake_target_t *target, msp_time_t span)
{
	dispatch_sim_t *sim = target->sim;
	fake_attempt_t *attempt;

	sim->target_kills++;
	target->dead = true;
	while ((attempt = TAILQ_FIRST(&target->running)) != NULL) {
		free_slot(attempt);
		attempt->outcome = MSP_OUTCOME_CRASHED;
		schedule_sim_event(
		    sim, sim->venv.now + 100, handle_attempt_end, attempt);
	}
	schedule_sim_event(sim, sim->venv.now + span, handle_restart, target);
}

static void
handle_crash(dispatch_sim_t *sim, void *arg)
{
	fake_attempt_t *attempt = arg;

	(void)sim;
	if (attempt->in_slot)
		kill_target(attempt->target, 3 * MSP_SECOND);
}

static void
run_request(fake_attempt_t *attempt, msp_time_t delay)
{
	fake_target_t *target = attempt->target;
	dispatch_sim_t *sim = target->sim;
	double mean = (double)sim->config.service_mean;

	attempt->in_slot = true;
	target->in_use++;
	if (target->in_use > target->peak_in_use)
		target->peak_in_use = target->in_use;
	TAILQ_INSERT_TAIL(&target->running, attempt, link);
	attempt->request->runs++;
	if (attempt->request->job.class == MSP_CLASS_COMMIT &&
	    attempt->request->runs > 1)
		sim->results.duplicate_commits++;
	if (target->requests_served < COLD_REQUESTS && sim->config.cold_targets)
		mean *= COLD_FACTOR;
	if (attempt->request->poison) {
		schedule_sim_event(
		    sim, sim->venv.now + 5 * MSP_MS, handle_crash, attempt);
		return;
	}
	attempt->outcome = MSP_OUTCOME_COMPLETE;
	schedule_sim_event(sim,
	    sim->venv.now + delay + (msp_time_t)draw_lognormal(&sim->rng, mean),
	    handle_attempt_end, attempt);
}

void
start_fake_attempt(sim_place_t *place, sim_request_t *request,
    fake_target_t *target, bool fresh_connection, msp_attempt_id_t id)
{
	dispatch_sim_t *sim = place->sim;
	fake_attempt_t *attempt = calloc(1, sizeof(*attempt));
	msp_time_t delay = fresh_connection ? CONNECT_TIME : 0;
	int i = request->attempts[0] == NULL ? 0 : 1;

	*attempt = (fake_attempt_t){
	    .request = request,
	    .place = place,
	    .target = target,
	    .dispatcher = request->dispatcher,
	    .id = id,
	    .fresh_connection = fresh_connection,
	    .pending = true,
	};
	request->attempts[i] = attempt;
	TAILQ_INSERT_TAIL(&sim->attempts, attempt, all_link);
	if (request->created_at >= sim->measure_from)
		sim->results.attempts++;
	if (target->leaving_since != 0 &&
	    sim->venv.now > target->leaving_since + 3 * MSP_SECOND)
		target->late_starts++;
	if (target->dead) {
		attempt->outcome = MSP_OUTCOME_REFUSED_CONNECTION;
		schedule_sim_event(
		    sim, sim->venv.now + 200, handle_attempt_end, attempt);
	} else if (target->reused_connections_silent && !fresh_connection) {
		return;
	} else if (target->shedding || target->in_use >= target->slots) {
		attempt->outcome = MSP_OUTCOME_SHED;
		if (request->created_at >= sim->measure_from)
			sim->results.shed_attempts++;
		schedule_sim_event(sim, sim->venv.now + delay + SHED_TIME,
		    handle_attempt_end, attempt);
	} else {
		run_request(attempt, delay);
	}
}

static void
handle_cancel_end(dispatch_sim_t *sim, void *arg)
{
	(void)sim;
	free_slot(arg);
}

void
cancel_fake_attempt(sim_request_t *request, msp_attempt_id_t id)
{
	dispatch_sim_t *sim = request->sim;
	int i;

	for (i = 0; i < MSP_JOB_ATTEMPTS_MAX; i++) {
		fake_attempt_t *attempt = request->attempts[i];

		if (attempt == NULL || attempt->id != id)
			continue;
		detach_attempt(attempt);
		if (attempt->in_slot && !attempt->target->frozen)
			schedule_sim_event(sim, sim->venv.now + CANCEL_TIME,
			    handle_cancel_end, attempt);
		return;
	}
}
