#ifndef MONSOONSPINDLE_STEER_JOB_H
#define MONSOONSPINDLE_STEER_JOB_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/base/refusal.h"

#define MSP_JOB_ATTEMPTS_MAX 2 /* concurrent attempts of one job */

/* Id of an attempt, unique within its dispatcher; never 0. */
typedef uint64_t msp_attempt_id_t;

/* How an attempt ended. */
typedef enum msp_outcome {
	/* A complete response of any HTTP status, except a shed. */
	MSP_OUTCOME_COMPLETE,
	/*
	 * The target stated that it did not execute the request; a plain 503
	 * is a complete response.
	 */
	MSP_OUTCOME_SHED,
	/* No byte of the request was sent. */
	MSP_OUTCOME_REFUSED_CONNECTION,
	/* The response or the connection ended early. */
	MSP_OUTCOME_CONNECTION_LOST,
	/* No response byte within the caller's own timeout. */
	MSP_OUTCOME_FIRST_BYTE_TIMEOUT,
	/* The target died with the request in flight. */
	MSP_OUTCOME_CRASHED,
	/* Ended by the caller; says nothing about the target. */
	MSP_OUTCOME_CANCELLED,
	MSP_OUTCOME_COUNT
} msp_outcome_t;

/* One attempt in flight; private to the dispatcher. */
typedef struct msp_job_attempt {
	msp_attempt_id_t id; /* 0: unused */
	struct msp_target *target;
	msp_time_t started;
	bool fresh_connection; /* a new connection was requested */
	bool got_first_byte; /* the response has begun */
	bool overdue; /* the first byte timeout has passed */
} msp_job_attempt_t;

/*
 * One request in a dispatcher. The caller owns it, zero-initialises it, sets
 * the first group of members, and must not move or free it until the
 * dispatcher has released it: with MSP_JOB_DONE, with the refuse_job callback
 * or in msp_cancel_job().
 */
typedef struct msp_job {
	const char *request_id; /* borrowed; may be NULL */
	msp_request_class_t class;
	bool is_idempotent; /* must be false for a commit */
	/*
	 * Shifted here from another region: queued behind local requests, and
	 * does not use the reserved slots.
	 */
	bool is_shifted;
	msp_time_t arrival; /* when the system received it; 0: now */
	msp_time_t deadline; /* 0: the policy's default after arrival */
	msp_digest_t fingerprint; /* all zero: never quarantined */
	uint32_t retries_left; /* of the request, over all VMs it passes */
	void *user; /* opaque, for the caller */

	/* Private to the dispatcher. */
	TAILQ_ENTRY(msp_job) link;
	int state; /* a JOB_* constant of the dispatcher */
	bool sent; /* an attempt may have reached a target */
	bool needs_fresh_connection; /* for the next attempt */
	uint32_t refused_connections; /* attempts that ended with one */
	/* Target of the last failed attempt; used again only as last resort. */
	const struct msp_target *last_target;
	msp_job_attempt_t attempts[MSP_JOB_ATTEMPTS_MAX];
} msp_job_t;

#endif
