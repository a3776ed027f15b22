#ifndef MONSOONSPINDLE_BASE_DECISION_H
#define MONSOONSPINDLE_BASE_DECISION_H

#include "monsoonspindle/base/env.h"

/*
 * A routing or placement decision, as it goes to the decision log. Strings that
 * don't apply are NULL; all are valid only during the callback.
 */
typedef struct msp_decision {
	const char *action; /* "lookup", "route", "dispatch", "refuse", ... */
	const char *request_id;
	const char *service;
	const char *place;
	const char *vm; /* chosen VM */
	const char *target; /* chosen target */
	const char *reason; /* one or two words joined by "-" */
	msp_time_t wait; /* time spent in the queue */
} msp_decision_t;

typedef void msp_decision_callback_t(void *ctx, const msp_decision_t *decision);

#endif
