#ifndef MONSOONSPINDLE_STEER_JOB_H
#define MONSOONSPINDLE_STEER_JOB_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/base/refusal.h"

#define MSP_JOB_ATTEMPTS_MAX 2 /* in flight at the same time */

/* Names one attempt of one dispatcher; never 0, never used twice. */
typedef uint64_t msp_attempt_id_t;

/* How an attempt ended. */
typedef enum msp_outcome {
	MSP_OUTCOME_COMPLETE, /* a whole answer, of any HTTP status but a shed
			       */
	/* The target said that it did not take it; a mere 503 is whole. */
	MSP_OUTCOME_SHED,
	MSP_OUTCOME_REFUSED_CONNECTION, /* no byte of it was sent */
	MSP_OUTCOME_CONNECTION_LOST, /* the answer or the connection ended early
				      */
	MSP_OUTCOME_FIRST_BYTE_TIMEOUT, /* no byte within the caller's own bound
					 */
	MSP_OUTCOME_CRASHED, /* the target died with it in flight */
	MSP_OUTCOME_CANCELLED, /* ended by the caller; nothing is known */
	MSP_OUTCOME_COUNT
} msp_outcome_t;

/* One attempt in flight; private to the dispatcher. */
typedef struct msp_job_attempt {
	msp_attempt_id_t id; /* 0: none */
	struct msp_target *target;
	msp_time_t started;
	bool fresh_connection; /* a fresh connection was asked for */
	bool got_first_byte; /* the first byte came */
	bool overdue; /* the bound on the first byte passed */
} msp_job_attempt_t;

/*
 * One request in a dispatcher. Zero-initialise it and set the first part; it
 * is owned by the caller and must stay in place until the dispatcher has given
 * it back: by MSP_JOB_DONE, by the refuse callback, or by
 * msp_cancel_job().
 */
typedef struct msp_job {
	const char *request_id; /* borrowed; may be NULL */
	msp_request_class_t class;
	bool is_idempotent; /* must be false for a commit */
	bool
	    is_shifted; /* of another region: goes behind, leaves the reserve */
	msp_time_t arrival; /* when it reached the system; 0: now */
	msp_time_t deadline; /* 0: the policy's default after arrival */
	msp_digest_t fingerprint; /* all zero: never quarantined */
	uint32_t retries_left; /* travels with the request */
	void *user; /* the caller's */

	/* Private to the dispatcher. */
	TAILQ_ENTRY(msp_job) link;
	int state;
	bool sent; /* an attempt may have reached a target */
	bool needs_fresh_connection; /* the next attempt needs a fresh
					connection */
	uint32_t refused_connections; /* attempts that ended in a refused
					 connection */
	const struct msp_target *last_target; /* where it failed last */
	msp_job_attempt_t attempts[MSP_JOB_ATTEMPTS_MAX];
} msp_job_t;

#endif
