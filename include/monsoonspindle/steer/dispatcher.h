#ifndef MONSOONSPINDLE_STEER_DISPATCHER_H
#define MONSOONSPINDLE_STEER_DISPATCHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/decision.h"
#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/refusal.h"
#include "monsoonspindle/base/status.h"
#include "monsoonspindle/steer/job.h"
#include "monsoonspindle/steer/policy.h"
#include "monsoonspindle/steer/quarantine.h"

/*
 * The dispatcher of one service in one place: it alone sends to the service's
 * targets there, counts their slots and keeps one queue for all of them.
 *
 * It does no I/O. It calls back to start and cancel attempts, and is told how
 * they ended. All callbacks may call the dispatcher again, but must not drop
 * it. Whoever drives it calls msp_tick_dispatcher() at msp_dispatcher_due() at
 * the latest: a later call is taken for a pause of the process.
 */
typedef struct msp_dispatcher msp_dispatcher_t;

typedef enum msp_target_state {
	MSP_TARGET_READY,
	MSP_TARGET_COLD, /* starts with one slot */
	MSP_TARGET_LEAVING /* gets no new work */
} msp_target_state_t;

/* One target, as listed by the release in force. */
typedef struct msp_target_spec {
	const char *name; /* copied; unique in the list */
	void *address; /* the caller's; handed to the callbacks */
	uint32_t slots; /* 1 or more */
	msp_target_state_t state;
} msp_target_spec_t;

/* A target in a callback. Borrowed during the callback. */
typedef struct msp_target_ref {
	const char *name;
	void *address;
} msp_target_ref_t;

/* What became of a job when one of its attempts ended. */
typedef enum msp_job_result {
	MSP_JOB_DONE, /* pass this answer on; the job is the caller's */
	MSP_JOB_PENDING, /* another attempt runs or will be started */
	MSP_JOB_REFUSED /* the refuse callback was called */
} msp_job_result_t;

typedef struct msp_dispatcher_callbacks {
	/*
	 * Sends the job to `target`, over a connection opened for it if
	 * `fresh_connection`. Ends by one call of msp_end_attempt(), which
	 * may come from within, or by the cancel_attempt callback.
	 */
	void (*start_attempt)(void *ctx, msp_job_t *job,
	    const msp_target_ref_t *target, bool fresh_connection,
	    msp_attempt_id_t attempt);
	/*
	 * Ends an attempt without an answer: close its connection. The
	 * attempt's end must not be reported any more. A job may still have
	 * another attempt.
	 */
	void (*cancel_attempt)(
	    void *ctx, msp_job_t *job, msp_attempt_id_t attempt);
	/* The job's final answer; the job is the caller's again. */
	void (*refuse_job)(
	    void *ctx, msp_job_t *job, const msp_refusal_t *refusal);
	/* Closes the idle connections to a target; may be NULL. */
	void (*close_idle_connections)(
	    void *ctx, const msp_target_ref_t *target);
	msp_decision_callback_t *report_decision; /* may be NULL */
	void *ctx;
} msp_dispatcher_callbacks_t;

typedef struct msp_dispatcher_options {
	const char *service; /* copied */
	const char *place; /* copied */
	msp_dispatch_policy_t policy;
	/* Shared with other dispatchers and borrowed; NULL: one of its own. */
	msp_quarantine_list_t *quarantine;
	/* A longer time between two calls is a pause; 0: 2 s. */
	msp_time_t pause_threshold;
} msp_dispatcher_options_t;

/* Returns NULL without memory. The structs are copied. */
msp_dispatcher_t *msp_new_dispatcher(const msp_env_t *env,
    const msp_dispatcher_options_t *options,
    const msp_dispatcher_callbacks_t *callbacks);

/* Jobs still inside stay the caller's; no callback is called. */
void msp_drop_dispatcher(msp_dispatcher_t *dispatcher);

/* Takes a changed policy; jobs in the queue are weighed anew. */
void msp_set_dispatcher_policy(
    msp_dispatcher_t *dispatcher, const msp_dispatch_policy_t *policy);

/*
 * Sets the list of targets. Those no longer listed get no new work and are
 * forgotten when their last attempt has ended. Known ones keep their counts.
 * MSP_E_RANGE for a target without a name or slot, or MSP_E_NO_MEMORY; the
 * targets before the faulty one are then set.
 */
msp_status_t msp_set_dispatcher_targets(msp_dispatcher_t *dispatcher,
    const msp_target_spec_t *targets, size_t count);

/*
 * Takes in a load report that is `age` old. Reports only lower: `slots` below
 * the listed number lowers the limit, `in_use` counts only after a shed, a
 * leaving target gets no new work at once. An old report's load is ignored.
 * Unknown names are ignored.
 */
void msp_apply_load_report(msp_dispatcher_t *dispatcher, const char *name,
    uint32_t slots, uint32_t in_use, msp_target_state_t state, msp_time_t age);

/*
 * Tells a new dispatcher what another one last had in flight on a target: that
 * many slots stay empty for `span`, as in msp_target_load_t, or until the
 * target is seen to have died. The target's limit ramps up.
 */
void msp_inherit_inflight(msp_dispatcher_t *dispatcher, const char *name,
    uint32_t in_flight, msp_time_t span);

/*
 * Queues a job; it may be started or refused from within. A refused job that
 * was never started is refused with `run` no: for this dispatcher only, the
 * caller knows about earlier tries.
 */
void msp_submit_job(msp_dispatcher_t *dispatcher, msp_job_t *job);

/*
 * The caller went away: takes the job out, cancelling its attempts. The refuse
 * callback is not called. Not to be called for a job while the end of one of
 * its attempts is being reported. Returns true if an attempt was in flight or
 * may have reached a target before.
 */
bool msp_cancel_job(msp_dispatcher_t *dispatcher, msp_job_t *job);

/* The first byte of an attempt's answer came. Optional. */
void msp_record_first_byte(
    msp_dispatcher_t *dispatcher, msp_job_t *job, msp_attempt_id_t attempt);

/*
 * Reports an attempt's end. `retry_after` is a shedding target's own word, or
 * 0. Unless the verdict is PENDING, the job must not be given to the
 * dispatcher any more.
 */
msp_job_result_t msp_end_attempt(msp_dispatcher_t *dispatcher, msp_job_t *job,
    msp_attempt_id_t attempt, msp_outcome_t outcome, msp_time_t retry_after);

/* Runs what is due: deadlines, hedges, silent attempts, recovered targets. */
void msp_tick_dispatcher(msp_dispatcher_t *dispatcher);

/* Returns the point when the next tick is due. */
msp_time_t msp_dispatcher_due(const msp_dispatcher_t *dispatcher);

/*
 * After a pause nothing is started until msp_resume_dispatcher(): the caller
 * hears its peers first, sets the targets anew and resumes only if it is still
 * the dispatcher.
 */
bool msp_dispatcher_is_paused(const msp_dispatcher_t *dispatcher);
void msp_resume_dispatcher(msp_dispatcher_t *dispatcher);

/*
 * Hands the work over: refuses all waiting jobs and each later one with
 * MSP_E_LEAVING. What is in flight goes on.
 */
void msp_retire_dispatcher(msp_dispatcher_t *dispatcher);

/* Load of one target, for peers. */
typedef struct msp_target_load {
	const char *name; /* borrowed until the list of targets changes */
	uint32_t in_flight; /* own attempts */
	uint32_t limit; /* slots in use at most; 0: no new work */
	uint32_t slots; /* as listed */
	msp_time_t time_left; /* time in which these attempts should end */
} msp_target_load_t;

/* Copies up to `max` loads and returns the number of targets. */
size_t msp_list_target_loads(
    const msp_dispatcher_t *dispatcher, msp_target_load_t *out, size_t max);

/* The dispatcher's whole load. */
typedef struct msp_dispatcher_load {
	uint32_t in_flight;
	uint32_t capacity; /* sum of the limits */
	uint32_t slots; /* sum of the listed slots, leaving ones left out */
	/* Shifted reads and commits are all counted as interactive. */
	uint32_t queued[MSP_CLASS_COUNT];
	msp_time_t service_time; /* mean of recent answers */
	msp_time_t
	    interactive_wait; /* estimated for a new interactive request */
	msp_time_t background_wait; /* for a new background request */
	bool draining; /* no listed target takes new work */
} msp_dispatcher_load_t;

void msp_get_dispatcher_load(
    const msp_dispatcher_t *dispatcher, msp_dispatcher_load_t *load);

/*
 * Returns the estimated time in the queue of a new request of `class`, or
 * MSP_NEVER while nothing is known to become free.
 */
msp_time_t msp_estimate_wait(
    const msp_dispatcher_t *dispatcher, msp_request_class_t class);

/* Borrowed from the dispatcher, or the list given in the options. */
msp_quarantine_list_t *msp_dispatcher_quarantine(msp_dispatcher_t *dispatcher);

#endif
