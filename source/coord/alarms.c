#include "alarms.h"

#include <stddef.h>

#ifndef __unused
#define __unused __attribute__((unused)) /* needed by RB_GENERATE_STATIC */
#endif

static int
compare_alarms(const msp_alarm_t *a, const msp_alarm_t *b)
{
	if (a->at != b->at)
		return a->at < b->at ? -1 : 1;
	if (a->order != b->order)
		return a->order < b->order ? -1 : 1;
	return 0;
}

/* cppcheck-suppress unknownMacro */
RB_GENERATE_STATIC(msp_alarm_tree, msp_alarm, entry, compare_alarms)

void
msp_clear_alarm(msp_alarms_t *alarms, msp_alarm_t *alarm)
{
	if (!alarm->set)
		return;
	RB_REMOVE(msp_alarm_tree, &alarms->tree, alarm);
	alarm->set = false;
}

void
msp_set_alarm(msp_alarms_t *alarms, msp_alarm_t *alarm, msp_time_t at)
{
	msp_clear_alarm(alarms, alarm);
	if (at == MSP_NEVER)
		return;
	alarm->at = at;
	alarm->order = ++alarms->last_order;
	alarm->set = true;
	RB_INSERT(msp_alarm_tree, &alarms->tree, alarm);
}

static msp_alarm_t *
first_alarm(const msp_alarms_t *alarms)
{
	return RB_MIN(msp_alarm_tree, (struct msp_alarm_tree *)&alarms->tree);
}

msp_time_t
msp_next_alarm(const msp_alarms_t *alarms)
{
	const msp_alarm_t *first = first_alarm(alarms);

	return first == NULL ? MSP_NEVER : first->at;
}

void
msp_fire_alarms(msp_alarms_t *alarms, msp_time_t now)
{
	msp_alarm_t *first;

	while ((first = first_alarm(alarms)) != NULL && first->at <= now) {
		msp_clear_alarm(alarms, first);
		first->fire(first->ctx);
	}
}
