#ifndef TESTS_SUPPORT_DISPATCHER_FIXTURE_H
#define TESTS_SUPPORT_DISPATCHER_FIXTURE_H

#include "monsoonspindle/steer.h"

/* A dispatcher on a virtual clock; the test reports the ends of attempts. */
typedef struct dispatcher_fixture {
	msp_virtual_env_t venv;
	msp_env_t env;
	msp_dispatcher_t *dispatcher;
	/* Number of calls of each callback. */
	uint32_t starts;
	uint32_t cancels;
	uint32_t refusals;
	uint32_t closes; /* of close_idle_connections */
	/* Arguments of the last start_attempt. */
	bool fresh_connection;
	char target; /* name */
	msp_attempt_id_t attempt;
	msp_job_t *job;
	msp_refusal_t refusal; /* the last one */
} dispatcher_fixture_t;

/* Creates the dispatcher with up to three targets, "a" to "c". */
void set_up_dispatcher_fixture(
    dispatcher_fixture_t *fixture, uint32_t targets, uint32_t slots);

/* Advances the clock in steps of 10 ms and ticks the dispatcher at each. */
void advance_dispatcher_fixture(dispatcher_fixture_t *fixture, msp_time_t span);

#endif
