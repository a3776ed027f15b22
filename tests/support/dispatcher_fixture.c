#include "dispatcher_fixture.h"

#include <stdlib.h>

static void
on_start(void *ctx, msp_job_t *job, const msp_target_ref_t *target, bool fresh,
    msp_attempt_id_t attempt)
{
	bench_t *bench = ctx;

	bench->starts++;
	bench->job = job;
	bench->fresh = fresh;
	bench->target = target->name[0];
	bench->last = attempt;
}

static void
on_cancel(void *ctx, msp_job_t *job, msp_attempt_id_t attempt)
{
	(void)job;
	(void)attempt;
	((bench_t *)ctx)->cancels++;
}

static void
on_refuse(void *ctx, msp_job_t *job, const msp_refusal_t *refusal)
{
	bench_t *bench = ctx;

	(void)job;
	bench->refusals++;
	bench->refusal = *refusal;
}

static void
on_forget(void *ctx, const msp_target_ref_t *target)
{
	(void)target;
	((bench_t *)ctx)->forgets++;
}

void
set_up_dispatcher_fixture(bench_t *bench, uint32_t targets, uint32_t slots)
{
	static const char *const names[] = {"a", "b", "c"};
	msp_target_spec_t specs[3];
	msp_dispatcher_options_t options = {
	    .service = "s",
	    .place = "p",
	    .policy = msp_default_policy(MSP_PREFER_LATENCY),
	};
	msp_dispatcher_callbacks_t callbacks = {
	    .start_attempt = on_start,
	    .cancel_attempt = on_cancel,
	    .refuse_job = on_refuse,
	    .close_idle_connections = on_forget,
	    .ctx = bench,
	};
	uint32_t i;

	*bench = (bench_t){.venv = {.now = MSP_MINUTE}};
	bench->env = msp_virtual_env(&bench->venv);
	bench->dispatcher =
	    msp_new_dispatcher(&bench->env, &options, &callbacks);
	for (i = 0; i < targets; i++)
		specs[i] =
		    (msp_target_spec_t){.name = names[i], .slots = slots};
	if (msp_set_dispatcher_targets(bench->dispatcher, specs, targets) !=
	    MSP_OK)
		abort();
}

void
advance_dispatcher_fixture(bench_t *bench, msp_time_t span)
{
	msp_time_t end = bench->venv.now + span;

	while (bench->venv.now < end) {
		bench->venv.now += 10 * MSP_MS;
		msp_tick_dispatcher(bench->dispatcher);
	}
}
