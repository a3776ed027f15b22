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
 * The dispatcher of one service in one place. It is the only sender of
 * requests to the service's targets there, accounts for their slots and queues
 * the requests that wait for one.
 *
 * It does no I/O: callbacks start and cancel attempts, and the caller reports
 * how they ended. Callbacks may call the dispatcher again, but must not drop
 * it. The caller must call msp_tick_dispatcher() by the time that
 * msp_dispatcher_due() returns; a gap longer than `pause_threshold` is treated
 * as a pause of the process.
 */
typedef struct msp_dispatcher msp_dispatcher_t;

typedef enum msp_target_state {
	MSP_TARGET_READY,
	MSP_TARGET_COLD, /* has just started; begins with a limit of one slot */
	MSP_TARGET_LEAVING /* gets no new requests */
} msp_target_state_t;

/* One target, as listed in the current release. */
typedef struct msp_target_spec {
	const char *name; /* copied; unique in the list */
	void *address; /* opaque; passed to the callbacks */
	uint32_t slots; /* concurrent requests, 1 or more */
	msp_target_state_t state;
} msp_target_spec_t;

/* A target as passed to a callback; valid only during the call. */
typedef struct msp_target_ref {
	const char *name;
	void *address;
} msp_target_ref_t;

/* What became of a job when one of its attempts ended. */
typedef enum msp_job_result {
	MSP_JOB_DONE, /* this response is final; the caller owns the job */
	MSP_JOB_PENDING, /* another attempt is in flight or will be started */
	MSP_JOB_REFUSED /* the refuse_job callback was called */
} msp_job_result_t;

typedef struct msp_dispatcher_callbacks {
	/*
	 * Sends the job to `target`, over a new connection if
	 * `fresh_connection`. The attempt ends with one call of
	 * msp_end_attempt(), which may be made from this callback, or with the
	 * cancel_attempt callback.
	 */
	void (*start_attempt)(void *ctx, msp_job_t *job,
	    const msp_target_ref_t *target, bool fresh_connection,
	    msp_attempt_id_t attempt);
	/*
	 * Cancels an attempt: its connection must be closed and its end must
	 * not be reported. The job may have another attempt in flight.
	 */
	void (*cancel_attempt)(
	    void *ctx, msp_job_t *job, msp_attempt_id_t attempt);
	/* Refuses the job for good and returns it to the caller. */
	void (*refuse_job)(
	    void *ctx, msp_job_t *job, const msp_refusal_t *refusal);
	/* Closes the idle connections to a target; may be NULL. */
	void (*close_idle_connections)(
	    void *ctx, const msp_target_ref_t *target);
	msp_decision_callback_t
	    *report_decision; /* for logs and metrics; may be NULL */
	void *ctx;
} msp_dispatcher_callbacks_t;

typedef struct msp_dispatcher_options {
	const char *service; /* copied */
	const char *place; /* copied */
	msp_dispatch_policy_t policy;
	/* Borrowed, may be shared by dispatchers; NULL: creates its own. */
	msp_quarantine_list_t *quarantine;
	/* A longer gap between two calls counts as a pause; 0: 2 s. */
	msp_time_t pause_threshold;
} msp_dispatcher_options_t;

/* Returns NULL if out of memory. The structs are copied. */
msp_dispatcher_t *msp_new_dispatcher(const msp_env_t *env,
    const msp_dispatcher_options_t *options,
    const msp_dispatcher_callbacks_t *callbacks);

/* The caller keeps its unfinished jobs; no callback is called. */
void msp_drop_dispatcher(msp_dispatcher_t *dispatcher);

/* Replaces the policy and reviews the queued jobs under it. */
void msp_set_dispatcher_policy(
    msp_dispatcher_t *dispatcher, const msp_dispatch_policy_t *policy);

/*
 * Sets the list of targets. Targets no longer listed get no new requests and
 * are dropped when their last attempt has ended; known ones keep their state.
 * Returns MSP_E_RANGE for a target without a name or slot, or MSP_E_NO_MEMORY;
 * the targets before the one that failed are set in that case.
 */
msp_status_t msp_set_dispatcher_targets(msp_dispatcher_t *dispatcher,
    const msp_target_spec_t *targets, size_t count);

/*
 * Applies a load report of the given age. Reports can only lower a target's
 * limit: `slots` counts if it is below the listed number, `in_use` only after
 * a recent shed, and a leaving target gets no new requests from now on. Ignored
 * are the load of a report older than 5 s, reports older than the last one and
 * reports of unknown targets.
 */
void msp_apply_load_report(msp_dispatcher_t *dispatcher, const char *name,
    uint32_t slots, uint32_t in_use, msp_target_state_t state, msp_time_t age);

/*
 * Tells a new dispatcher how many attempts its predecessor had in flight on a
 * target. That many slots stay empty for `time_left`, as in msp_target_load_t,
 * or until the target is found to have died. The limit ramps up from half of
 * the slots.
 */
void msp_inherit_inflight(msp_dispatcher_t *dispatcher, const char *name,
    uint32_t in_flight, msp_time_t time_left);

/*
 * Queues a job; it may be started or refused before the call returns. A job
 * that this dispatcher never started is refused with MSP_RUN_NOT_EXECUTED; the
 * caller has to account for attempts through other dispatchers.
 */
void msp_submit_job(msp_dispatcher_t *dispatcher, msp_job_t *job);

/*
 * Removes a job whose caller went away and cancels its attempts, without the
 * refuse_job callback. Must not be called for a job from within
 * msp_end_attempt() for one of its attempts. Returns true if an attempt was in
 * flight or an earlier one may have reached a target.
 */
bool msp_cancel_job(msp_dispatcher_t *dispatcher, msp_job_t *job);

/* Reports the first byte of an attempt's response. Optional. */
void msp_record_first_byte(
    msp_dispatcher_t *dispatcher, msp_job_t *job, msp_attempt_id_t attempt);

/*
 * Reports the end of an attempt. `retry_after` is the delay that a shedding
 * target asked for, or 0. Unless the result is MSP_JOB_PENDING, the dispatcher
 * has released the job and it must not be passed in again.
 */
msp_job_result_t msp_end_attempt(msp_dispatcher_t *dispatcher, msp_job_t *job,
    msp_attempt_id_t attempt, msp_outcome_t outcome, msp_time_t retry_after);

/* Handles deadlines, hedges, first byte timeouts and the end of backoffs. */
void msp_tick_dispatcher(msp_dispatcher_t *dispatcher);

/* Returns the time by which the next tick is due. */
msp_time_t msp_dispatcher_due(const msp_dispatcher_t *dispatcher);

/*
 * After a pause nothing is started until msp_resume_dispatcher(). Meanwhile
 * another VM may have become the dispatcher: the caller first learns its
 * peers' state, sets the targets again and resumes only if it still has the
 * role.
 */
bool msp_dispatcher_is_paused(const msp_dispatcher_t *dispatcher);
void msp_resume_dispatcher(msp_dispatcher_t *dispatcher);

/*
 * Ends the dispatcher's role: refuses all queued and later jobs with
 * MSP_E_LEAVING. Attempts in flight continue.
 */
void msp_retire_dispatcher(msp_dispatcher_t *dispatcher);

/* Load of one target, as reported to peers. */
typedef struct msp_target_load {
	const char *name; /* borrowed until the list of targets changes */
	uint32_t in_flight; /* attempts of this dispatcher */
	uint32_t limit; /* of slots in use; 0: accepts no requests */
	uint32_t slots; /* as listed */
	msp_time_t time_left; /* until all attempts should have ended */
} msp_target_load_t;

/* Copies up to `max` loads and returns the number of targets. */
size_t msp_list_target_loads(
    const msp_dispatcher_t *dispatcher, msp_target_load_t *out, size_t max);

/* Load of the dispatcher over all targets. */
typedef struct msp_dispatcher_load {
	uint32_t in_flight; /* attempts */
	uint32_t capacity; /* sum of the targets' limits */
	uint32_t slots; /* sum of the listed slots, without leaving targets */
	/* Shifted reads and commits count as interactive. */
	uint32_t queued[MSP_CLASS_COUNT];
	msp_time_t service_time; /* moving mean */
	/* Estimated wait of a new request, by class. */
	msp_time_t interactive_wait;
	msp_time_t background_wait;
	bool draining; /* no listed target accepts new requests */
} msp_dispatcher_load_t;

void msp_get_dispatcher_load(
    const msp_dispatcher_t *dispatcher, msp_dispatcher_load_t *load);

/*
 * Returns the estimated queueing time of a new request of `class`, or
 * MSP_NEVER while no target is expected to accept requests.
 */
msp_time_t msp_estimate_wait(
    const msp_dispatcher_t *dispatcher, msp_request_class_t class);

/* Returns the list given in the options, or the dispatcher's own (borrowed). */
msp_quarantine_list_t *msp_dispatcher_quarantine(msp_dispatcher_t *dispatcher);

#endif
