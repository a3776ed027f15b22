#ifndef MSP_COORD_ALARMS_H
#define MSP_COORD_ALARMS_H

#include <stdbool.h>

#include <bsd/sys/tree.h>

#include "monsoonspindle/base/env.h"

/* A callback to run at a given time, embedded in its owner. Zero-initialise. */
typedef struct msp_alarm {
	RB_ENTRY(msp_alarm) entry;
	msp_time_t at;
	uint64_t order; /* equal times fire in the order they were set */
	bool set;
	void (*fire)(void *ctx);
	void *ctx;
} msp_alarm_t;

RB_HEAD(msp_alarm_tree, msp_alarm);

/* Alarms ordered by time. Zero-initialise. */
typedef struct msp_alarms {
	struct msp_alarm_tree tree;
	uint64_t last_order;
} msp_alarms_t;

/* Sets or moves `alarm`; MSP_NEVER clears it. */
void msp_set_alarm(msp_alarms_t *alarms, msp_alarm_t *alarm, msp_time_t at);
void msp_clear_alarm(msp_alarms_t *alarms, msp_alarm_t *alarm);

/* Returns the time of the earliest alarm, or MSP_NEVER. */
msp_time_t msp_next_alarm(const msp_alarms_t *alarms);

/* Fires all alarms that are due; each is cleared before it fires. */
void msp_fire_alarms(msp_alarms_t *alarms, msp_time_t now);

#endif
