#ifndef MSP_COORD_ALARMS_H
#define MSP_COORD_ALARMS_H

#include <stdbool.h>

#include <bsd/sys/tree.h>

#include "monsoonspindle/base/env.h"

/* One thing to do at a time, embedded in its owner. Zero-initialise. */
typedef struct msp_alarm {
	RB_ENTRY(msp_alarm) entry;
	msp_time_t at;
	uint64_t order; /* of setting, among equal times */
	bool set;
	void (*fire)(void *ctx);
	void *ctx;
} msp_alarm_t;

RB_HEAD(msp_alarm_tree, msp_alarm);

/* Alarms by time. Zero-initialise. */
typedef struct msp_alarms {
	struct msp_alarm_tree tree;
	uint64_t last_order;
} msp_alarms_t;

/* Sets `alarm`, or moves it; MSP_NEVER clears it. */
void msp_set_alarm(msp_alarms_t *alarms, msp_alarm_t *alarm, msp_time_t at);
void msp_clear_alarm(msp_alarms_t *alarms, msp_alarm_t *alarm);
msp_time_t msp_next_alarm(const msp_alarms_t *alarms);

/* Fires what is due; an alarm is cleared before it fires. */
void msp_fire_alarms(msp_alarms_t *alarms, msp_time_t now);

#endif
