#ifndef MONSOONSPINDLE_BASE_DECISION_H
#define MONSOONSPINDLE_BASE_DECISION_H

#include "monsoonspindle/base/env.h"

/*
 * One routing or placement decision, for the decision log. Text that does not
 * apply is NULL. Borrowed during the callback.
 */
typedef struct msp_decision {
	const char *action; /* "lookup", "route", "dispatch", "refuse", ... */
	const char *request_id;
	const char *service;
	const char *place;
	const char *vm; /* the VM chosen */
	const char *target; /* the target chosen */
	const char *reason; /* one or two words, joined by "-" */
	msp_time_t wait; /* time in the queue */
} msp_decision_t;

typedef void msp_decision_callback_t(void *ctx, const msp_decision_t *decision);

#endif
