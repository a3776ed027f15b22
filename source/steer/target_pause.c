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

msp_time_t
msp_target_pause_left(const msp_target_pause_t *pause, msp_time_t now)
{
	return now < pause->until ? pause->until - now : 0;
}

msp_pause_change_t
msp_apply_target_pause(
    msp_target_pause_t *pause, msp_time_t now, msp_time_t span)
{
	bool paused = msp_target_is_paused(pause, now);

	if (span == 0 || now + span <= pause->until)
		return MSP_PAUSE_UNCHANGED;
	if (!paused)
		pause->began = now;
	pause->until = now + span;
	return paused ? MSP_PAUSE_EXTENDED : MSP_PAUSE_BEGUN;
}
