#include "monsoonspindle/steer/target_pause.h"

static const char *const change_names[] = {
    [MSP_PAUSE_UNCHANGED] = "unchanged",
    [MSP_PAUSE_BEGUN] = "begun",
    [MSP_PAUSE_EXTENDED] = "extended",
};

const char *
msp_pause_change_name(msp_pause_change_t change)
{
	return change_names[change];
}

bool
msp_target_is_paused(const msp_target_pause_t *pause, msp_time_t now)
{
	return now < pause->until;
}

/* Where VMs are more than the slots, they begin again at different times. */
static msp_time_t
draw_spread(const msp_env_t *env, const msp_pause_request_t *request)
{
	msp_time_t most = request->span / MSP_RETURN_SPREAD_PART;

	if (request->vms != 0 && request->vms <= request->slots)
		return 0;
	return msp_random_below(
	    env, most < MSP_RETURN_SPREAD_MAX ? most : MSP_RETURN_SPREAD_MAX);
}

static uint32_t
compute_first_step(const msp_pause_request_t *request)
{
	if (request->vms == 0 || request->vms >= request->slots)
		return 1;
	return request->slots / (uint32_t)request->vms;
}

msp_pause_change_t
msp_apply_target_pause(msp_target_pause_t *pause, const msp_env_t *env,
    const msp_pause_request_t *request)
{
	msp_time_t now = msp_now(env);
	bool paused = msp_target_is_paused(pause, now);
	msp_time_t until;

	if (request->span == 0 || now + request->span <= pause->asked_until)
		return MSP_PAUSE_UNCHANGED;
	if (!paused)
		pause->began = now;
	pause->asked_until = now + request->span;
	until = pause->asked_until + draw_spread(env, request);
	if (until > pause->until)
		pause->until = until;
	pause->first_step = compute_first_step(request);
	return paused ? MSP_PAUSE_EXTENDED : MSP_PAUSE_BEGUN;
}

msp_time_t
msp_target_pause_wait(
    const msp_target_pause_t *pause, msp_time_t now, uint32_t in_flight)
{
	msp_time_t step;

	if (now < pause->until)
		return pause->until - now;
	step = (now - pause->until) / MSP_RETURN_STEP;
	if (pause->until == 0 || step >= MSP_RETURN_STEPS ||
	    in_flight < (uint64_t)pause->first_step << step)
		return 0;
	return pause->until + (step + 1) * MSP_RETURN_STEP - now;
}
