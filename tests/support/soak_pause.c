#include "soak_pause.h"

#include <string.h>

void
tell_judged_pause(
    pause_judge_t *judge, msp_time_t now, unsigned int vm, msp_time_t until)
{
	pause_told_t *told;

	if (vm >= PAUSE_VMS_MAX)
		return;
	told = &judge->told[vm];
	if (told->at != 0 && now < told->until) {
		if (until > told->until)
			told->until = until;
		return;
	}
	*told = (pause_told_t){.at = now, .until = until};
}

void
excuse_pause_vm(pause_judge_t *judge, unsigned int vm)
{
	if (vm < PAUSE_VMS_MAX)
		judge->told[vm] = (pause_told_t){0};
}

void
end_judged_pauses(pause_judge_t *judge)
{
	memset(judge->told, 0, sizeof(judge->told));
}

unsigned int
judge_pause_arrival(pause_judge_t *judge, msp_time_t now, unsigned int vm)
{
	pause_told_t *told;

	if (vm >= PAUSE_VMS_MAX)
		return 0;
	told = &judge->told[vm];
	if (told->at == 0 || now < told->at + PAUSE_TOLD_TIME ||
	    now >= told->until)
		return 0;
	told->arrivals++;
	if (told->arrivals > judge->worst)
		judge->worst = told->arrivals;
	return told->arrivals > PAUSE_ARRIVALS_MAX ? told->arrivals : 0;
}
