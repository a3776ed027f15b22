#ifndef SUPPORT_BUSY_TARGETS_H
#define SUPPORT_BUSY_TARGETS_H

#include "edge_fixture.h"
#include "run_ledger.h"

#define BUSY_TARGET_BODY_LEN 64 /* bytes of each request's body */
#define TARGET_JOBS_MAX 128 /* of all targets */

/* A request that a target runs, or keeps in its queue. */
typedef struct target_job {
	edge_target_t *target; /* NULL if unused */
	msp_exchange_t *exchange;
	char id[64];
	msp_time_t due; /* Deadline-Ms */
	msp_time_t end; /* of the service; 0: in the queue */
} target_job_t;

/*
 * The targets of an edge fixture as services with slots and a queue. A request
 * has run once it has a slot. One that finds no room, or whose Deadline-Ms
 * passes in the queue, gets 503 and "not executed"; one whose Deadline-Ms
 * passes in its slot gets 504. The body of each request is the number that its
 * path ends with, and zeros before it.
 */
typedef struct busy_targets {
	edge_fixture_t *fixture;
	run_ledger_t *ledger;
	unsigned int slots; /* of each target */
	unsigned int queue_max;
	msp_time_t service_min; /* time in the slot */
	msp_time_t service_max;
	unsigned int changed_count; /* requests whose body is not the path's */
	target_job_t jobs[TARGET_JOBS_MAX];
} busy_targets_t;

/* The other members are set already. */
void attach_busy_targets(busy_targets_t *targets);

/* Ends the jobs whose time has come and starts others. */
void step_busy_targets(busy_targets_t *targets);

bool have_busy_targets_jobs(const busy_targets_t *targets);
void detach_busy_targets(busy_targets_t *targets);

#endif
