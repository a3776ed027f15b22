#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "monsoonspindle/steer.h"

typedef struct world {
	msp_virtual_env_t venv;
	msp_dispatcher_t *dispatcher;
	uint32_t starts;
	uint32_t refusals;
	msp_attempt_t last;
} world_t;

static void
on_start(void *ctx, msp_job_t *job, const msp_target_ref_t *target, bool fresh,
    msp_attempt_t attempt)
{
	world_t *world = ctx;

	(void)job;
	(void)target;
	(void)fresh;
	world->starts++;
	world->last = attempt;
}

static void
on_cancel(void *ctx, msp_job_t *job, msp_attempt_t attempt)
{
	(void)ctx;
	(void)job;
	(void)attempt;
}

static void
on_refuse(void *ctx, msp_job_t *job, const msp_refusal_t *refusal)
{
	world_t *world = ctx;

	(void)job;
	(void)refusal;
	world->refusals++;
}

static void
refused_connection_is_retried(void **state)
{
	world_t world = {.venv = {.now = MSP_SECOND}};
	msp_env_t env = msp_virtual_env(&world.venv);
	msp_dispatcher_options_t options = {
	    .service = "s",
	    .place = "p",
	    .policy = msp_default_policy(MSP_PREFER_LATENCY),
	};
	msp_dispatcher_callbacks_t callbacks = {
	    .start = on_start,
	    .cancel_attempt = on_cancel,
	    .refuse = on_refuse,
	    .ctx = &world,
	};
	msp_target_spec_t targets[] = {
	    {.name = "a", .slots = 1},
	    {.name = "b", .slots = 1},
	};
	msp_job_t job = {.class = MSP_CLASS_COMMIT};

	(void)state;
	world.dispatcher = msp_new_dispatcher(&env, &options, &callbacks);
	assert_int_equal(
	    msp_set_dispatcher_targets(world.dispatcher, targets, 2), MSP_OK);
	msp_submit_job(world.dispatcher, &job);
	assert_int_equal(world.starts, 1);
	assert_int_equal(msp_attempt_ended(world.dispatcher, &job, world.last,
			     MSP_OUTCOME_REFUSED_CONNECTION, 0),
	    MSP_VERDICT_PENDING);
	assert_int_equal(world.starts, 2);
	assert_int_equal(msp_attempt_ended(world.dispatcher, &job, world.last,
			     MSP_OUTCOME_WHOLE, 0),
	    MSP_VERDICT_DONE);
	assert_int_equal(world.refusals, 0);
	msp_drop_dispatcher(world.dispatcher);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(refused_connection_is_retried),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
