#ifndef TESTS_SUPPORT_DISPATCHER_FIXTURE_H
#define TESTS_SUPPORT_DISPATCHER_FIXTURE_H

#include "monsoonspindle/steer.h"

/* One dispatcher whose attempts the test ends by hand. */
typedef struct bench {
	msp_virtual_env_t venv;
	msp_env_t env;
	msp_dispatcher_t *dispatcher;
	uint32_t starts;
	uint32_t cancels;
	uint32_t refusals;
	uint32_t forgets;
	bool fresh; /* the last start's connection */
	char target; /* the last start's */
	msp_attempt_id_t last;
	msp_job_t *job;
	msp_refusal_t refusal;
} bench_t;

/* A dispatcher of up to three targets, "a" to "c". */
void set_up_dispatcher_fixture(
    bench_t *bench, uint32_t targets, uint32_t slots);

/* Lets time pass in steps of 10 ms, ticking the dispatcher. */
void advance_dispatcher_fixture(bench_t *bench, msp_time_t span);

#endif
