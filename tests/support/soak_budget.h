#ifndef SUPPORT_SOAK_BUDGET_H
#define SUPPORT_SOAK_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * Judges whether the VMs keep to the retry budget of a service (BUDGET): in no
 * window may it get more arrivals beyond the first of each request than `ratio`
 * times the requests for it and `slack`. The requests are counted in that
 * window, in the one before it, or in the one half a window before it,
 * whichever has most.
 */

#define BUDGET_WINDOW (10 * MSP_SECOND)
#define BUDGET_STEPS_IN_WINDOW 100
#define BUDGET_STEPS (2 * BUDGET_STEPS_IN_WINDOW + 1)

typedef struct budget_options {
	double ratio;
	double slack; /* arrivals */
} budget_options_t;

/* What happened in one step of time. */
typedef struct budget_step {
	uint64_t number; /* of the step, counted from time 0 */
	unsigned int requests;
	unsigned int repeats;
} budget_step_t;

/* Of one service. Zero-initialise it and set `options`. */
typedef struct budget_judge {
	budget_options_t options;
	budget_step_t steps[BUDGET_STEPS];
	double worst; /* largest part of the allowed number that was used */
} budget_judge_t;

/* A client has sent a request for the service. */
void count_budget_request(budget_judge_t *judge, msp_time_t now);

/*
 * A request arrives once more. Returns how many arrivals of the last window are
 * beyond the allowed number; 0: the rule holds.
 */
unsigned int judge_budget_repeat(budget_judge_t *judge, msp_time_t now);

/* The time that a request has at the target that it reaches. */
typedef struct budget_time {
	msp_time_t sent; /* by the client */
	msp_time_t client; /* that it waits; 0: it does not say */
	msp_time_t first_arrival; /* 0: this is the first */
	msp_time_t first_end; /* of the time that it had there */
} budget_time_t;

/* A target may be told of so much more time than is left. */
#define BUDGET_TIME_SLACK (500 * MSP_MS)

/*
 * Whether an arrival has more time than its client: it is told `time_left`, or
 * nothing (MSP_NEVER).
 */
bool is_beyond_client_time(
    const budget_time_t *known, msp_time_t now, msp_time_t time_left);

#endif
