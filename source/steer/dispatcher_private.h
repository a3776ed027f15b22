#ifndef SOURCE_STEER_DISPATCHER_PRIVATE_H
#define SOURCE_STEER_DISPATCHER_PRIVATE_H

#include <bsd/sys/queue.h>

#include "monsoonspindle/base/histogram.h"
#include "monsoonspindle/coord/retry_budget.h"
#include "monsoonspindle/steer/dispatcher.h"
#include "target.h"

/* Longest time between two ticks. */
#define MSP_TICK_INTERVAL_MAX (250 * MSP_MS)
/* Interval of msp_review_queue() while jobs are waiting. */
#define MSP_QUEUE_REVIEW_INTERVAL (20 * MSP_MS)

/* States of a job; each but JOB_IDLE has its own list. */
enum {
	JOB_IDLE,
	JOB_QUEUED,
	JOB_RUNNING,
	JOB_TO_REFUSE
};

TAILQ_HEAD(msp_job_list, msp_job);

/* One queue for each class, and one for shifted reads and commits. */
#define MSP_QUEUE_SHIFTED MSP_CLASS_COUNT
#define MSP_QUEUE_COUNT (MSP_CLASS_COUNT + 1)

struct msp_dispatcher {
	msp_env_t env;
	msp_dispatcher_callbacks_t callbacks;
	char *service;
	char *place;
	msp_dispatch_policy_t policy;
	msp_time_t pause_threshold;
	msp_quarantine_list_t *quarantine;
	bool owns_quarantine;
	TAILQ_HEAD(msp_target_list, msp_target) targets;
	struct msp_job_list queues[MSP_QUEUE_COUNT];
	uint32_t queued[MSP_QUEUE_COUNT];
	struct msp_job_list running;
	struct msp_job_list to_refuse; /* selected by msp_review_queue() */
	uint32_t in_flight; /* attempts */
	msp_attempt_id_t last_attempt_id;
	msp_retry_budget_t retry_budget;
	msp_histogram_t latency; /* of recent complete responses */
	msp_time_t latency_p95; /* percentiles; 0: not known yet */
	msp_time_t latency_p99;
	msp_time_t service_time; /* moving mean */
	/* Moving mean between two starts of waiting background jobs. */
	msp_time_t background_gap;
	msp_time_t background_last_start; /* or when the first one queued */
	msp_time_t last_call; /* of a public function */
	bool paused;
	bool retired;
	bool processing; /* msp_process_queues() is running */
	bool process_again; /* it was called again meanwhile */
};

/* queue.c: waiting jobs. */
void msp_queue_job(msp_dispatcher_t *d, msp_job_t *job, bool at_head);
void msp_unqueue_job(msp_dispatcher_t *d, msp_job_t *job);
/* Starts the jobs that a slot is free for; refuses quarantined ones. */
void msp_process_queues(msp_dispatcher_t *d);
/* Refuses the waiting jobs that can no longer start in time. */
void msp_review_queue(msp_dispatcher_t *d);
/* Whether the wait behind `ahead` jobs is too long for the job's deadline. */
bool msp_exceeds_allowed_wait(
    const msp_dispatcher_t *d, const msp_job_t *job, uint32_t ahead);
/* The same for a new job, with a margin for errors of the estimate. */
bool msp_fails_admission(
    const msp_dispatcher_t *d, const msp_job_t *job, uint32_t ahead);
/* Refuses a job that is in no list, with a Retry-After time. */
void msp_refuse_with_retry_after(
    msp_dispatcher_t *d, msp_job_t *job, uint32_t ahead);

/* estimate.c: capacity and waits. */
uint32_t msp_total_limit(const msp_dispatcher_t *d);
uint32_t msp_total_free(const msp_dispatcher_t *d);
/* Number of slots that jobs of a queue leave free. */
uint32_t msp_reserved_slots(const msp_dispatcher_t *d, int queue);
msp_time_t msp_dispatcher_service_time(const msp_dispatcher_t *d);
/* Index of the queue that a job waits in. */
int msp_job_queue_index(const msp_job_t *job);
/* Estimated time until a job of a queue with `ahead` jobs before it starts. */
msp_time_t msp_estimate_wait_behind(
    const msp_dispatcher_t *d, int queue, uint32_t ahead);
/* Number of jobs that start before a new one of a queue. */
uint32_t msp_jobs_ahead(const msp_dispatcher_t *d, int queue);
/* Longest wait after which the job can still end by its deadline. */
msp_time_t msp_allowed_wait(const msp_dispatcher_t *d, const msp_job_t *job);

/* attempt.c: jobs in flight. */

/* Returns the best target other than `excluded` with a free slot, or NULL. */
msp_target_t *msp_choose_target(
    msp_dispatcher_t *d, const msp_job_t *job, const msp_target_t *excluded);
void msp_start_attempt(
    msp_dispatcher_t *d, msp_job_t *job, msp_target_t *target);
msp_job_attempt_t *msp_find_attempt(msp_job_t *job, msp_attempt_id_t id);
msp_job_attempt_t *msp_first_attempt(msp_job_t *job);
/* Cancels an attempt; its slot is held until the target has noticed. */
void msp_abandon_attempt(
    msp_dispatcher_t *d, msp_job_t *job, msp_job_attempt_t *attempt);
/* Frees the attempt's slot on its target and its entry in the job. */
void msp_detach_attempt(msp_dispatcher_t *d, msp_job_attempt_t *attempt);

/* outcome.c: ends of attempts. */
void msp_record_first_byte_timeout(
    msp_dispatcher_t *d, const msp_job_attempt_t *attempt);
/* Queues a job again after a failed attempt, or refuses it. */
msp_job_result_t msp_retry_or_refuse(
    msp_dispatcher_t *d, msp_job_t *job, msp_outcome_t outcome);

/* tick.c: time after which an attempt without a first byte is overdue. */
msp_time_t msp_first_byte_timeout(const msp_dispatcher_t *d);

/* target_list.c: drops targets that are not listed and have no attempts. */
void msp_drop_unlisted_targets(msp_dispatcher_t *d);

/* dispatcher.c */
void msp_refuse_job(msp_dispatcher_t *d, msp_job_t *job, msp_status_t status,
    msp_run_status_t run, msp_time_t retry_after, const char *reason);
/* `job` and `target` may be NULL. */
void msp_report_decision(const msp_dispatcher_t *d, const char *action,
    const msp_job_t *job, const msp_target_t *target, const char *reason);

/*
 * Returns the time and detects pauses of the process. Called first by the
 * public functions that change the dispatcher.
 */
msp_time_t msp_check_clock(msp_dispatcher_t *d);

#endif
