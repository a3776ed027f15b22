#include "dispatcher_fixture.h"

#include <stdlib.h>

static void
handle_start(void *ctx, msp_job_t *job, const msp_target_ref_t *target,
    bool fresh, msp_attempt_id_t attempt)
{
	dispatcher_fixture_t *fixture = ctx;

	fixture->starts++;
	fixture->job = job;
	fixture->fresh_connection = fresh;
	fixture->target = target->name[0];
	fixture->attempt = attempt;
}

static void
handle_cancel(void *ctx, msp_job_t *job, msp_attempt_id_t attempt)
{
	(void)job;
	(void)attempt;
	((dispatcher_fixture_t *)ctx)->cancels++;
}

static void
handle_refusal(void *ctx, msp_job_t *job, const msp_refusal_t *refusal)
{
	dispatcher_fixture_t *fixture = ctx;

	(void)job;
	fixture->refusals++;
	fixture->refusal = *refusal;
}

static void
handle_close(void *ctx, const msp_target_ref_t *target)
{
	(void)target;
	((dispatcher_fixture_t *)ctx)->closes++;
}

void
set_up_dispatcher_fixture(
    dispatcher_fixture_t *fixture, uint32_t targets, uint32_t slots)
{
	static const char *const names[] = {"a", "b", "c"};
	msp_target_spec_t specs[3];
	msp_dispatcher_options_t options = {
	    .service = "s",
	    .place = "p",
	    .policy = msp_default_policy(MSP_PREFER_LATENCY),
	};
	msp_dispatcher_callbacks_t callbacks = {
	    .start_attempt = handle_start,
	    .cancel_attempt = handle_cancel,
	    .refuse_job = handle_refusal,
	    .close_idle_connections = handle_close,
	    .ctx = fixture,
	};
	uint32_t i;

	*fixture = (dispatcher_fixture_t){.venv = {.now = MSP_MINUTE}};
	fixture->env = msp_virtual_env(&fixture->venv);
	fixture->dispatcher =
	    msp_new_dispatcher(&fixture->env, &options, &callbacks);
	for (i = 0; i < targets; i++)
		specs[i] =
		    (msp_target_spec_t){.name = names[i], .slots = slots};
	if (msp_set_dispatcher_targets(fixture->dispatcher, specs, targets) !=
	    MSP_OK)
		abort();
}

void
advance_dispatcher_fixture(dispatcher_fixture_t *fixture, msp_time_t span)
{
	msp_time_t end = fixture->venv.now + span;

	while (fixture->venv.now < end) {
		fixture->venv.now += 10 * MSP_MS;
		msp_tick_dispatcher(fixture->dispatcher);
	}
}
