#ifndef MONSOONSPINDLE_COORD_CLAIMS_H
#define MONSOONSPINDLE_COORD_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/counters.h"
#include "monsoonspindle/base/decision.h"
#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/base/refusal.h"
#include "monsoonspindle/coord/nonces.h"
#include "monsoonspindle/coord/claim_outcome.h"
#include "monsoonspindle/platform/store.h"

/*
 * Decides for each commit that arrives whether it runs here and now, gets the
 * recorded outcome of an earlier run, or is refused. A key runs at most once.
 *
 * Keys of the callers' own are decided by the platform's table: the VM that
 * inserts the claim owns it, and only the owner ever releases it. Keys issued
 * by the system (coord/issued_keys.h) are decided by the memory of the
 * incarnation that they name; the table only gets their outcome.
 *
 * No I/O: the store, asking other owners and knowledge of members come as
 * callbacks. No callback of a try is called from inside a function of this
 * header but msp_step_claims(), which is to be called at msp_claims_deadline()
 * and after any other call here.
 */
typedef struct msp_claims msp_claims_t;

/* A commit that has arrived and has no final verdict yet. */
typedef struct msp_claim_request msp_claim_request_t;

/* What the owner of a claim answers when asked about its nonce. */
typedef enum msp_owner_status {
	MSP_OWNER_RUNNING, /* may run, or is running: ask again */
	MSP_OWNER_COMPLETED, /* it ran, with this outcome */
	MSP_OWNER_RELEASED, /* it never ran, and never will by this nonce */
	MSP_OWNER_IN_DOUBT, /* it may have run; the owner does not know */
	MSP_OWNER_NO_RECORD, /* the owner knows nothing of this nonce */
	MSP_OWNER_REPLACED, /* another incarnation answers at that address */
	MSP_OWNER_NO_ANSWER
} msp_owner_status_t;

typedef struct msp_owner_reply {
	msp_owner_status_t status;
	const msp_claim_outcome_t *outcome; /* MSP_OWNER_COMPLETED; borrowed */
	bool not_run_reported; /* MSP_OWNER_RELEASED: a client was told "run:
				  no" */
	msp_time_t age; /* since then */
} msp_owner_reply_t;

/* A question to the owner of a claim. Borrowed during the callback. */
typedef struct msp_owner_query {
	const char *service;
	const char *key;
	msp_nonce_t nonce;
	uint64_t incarnation; /* of the owner */
	const char *address; /* as in the owner's options */
} msp_owner_query_t;

typedef void msp_owner_query_done_t(void *ctx, const msp_owner_reply_t *reply);

/* What the claims need from their VM. `ctx` is borrowed. */
typedef struct msp_claims_hooks {
	void *ctx;
	/*
	 * Carries `ask` to the owner, which answers by
	 * msp_answer_owner_query(). Calls `done` exactly once, not from inside,
	 * within a bounded time.
	 */
	void (*query_owner)(void *ctx, const msp_owner_query_t *ask,
	    msp_owner_query_done_t *done, void *done_ctx);
	/* Whether that incarnation has left for good. */
	bool (*is_gone)(void *ctx, uint64_t incarnation);
	/* Time of day in microseconds since 1970, for retention. */
	msp_time_t (*wall_time)(void *ctx);
	msp_decision_callback_t *report_decision; /* may be NULL */
} msp_claims_hooks_t;

/* 0 takes the default given. */
typedef struct msp_claims_options {
	msp_env_t env; /* copied */
	msp_store_t store; /* copied; must outlive the claims' last call */
	msp_claims_hooks_t hooks;
	msp_counters_t *counters; /* borrowed; may be NULL */
	uint64_t incarnation; /* of this process; not 0 */
	const char *address; /* where others ask this VM; copied */
	msp_time_t batch_window; /* a write waits for others; 4 ms */
	size_t max_batch_rows; /* most rows of one transaction; 256 */
	unsigned int max_batches; /* transactions under way at once; 2 */
	uint32_t store_timeout_ms; /* of one call; 1 s */
	msp_time_t claim_timeout; /* to get a claim or refuse; 3 s */
	msp_time_t query_interval; /* between questions to an owner; 200 ms */
	msp_time_t retry_interval; /* between writes of one outcome; 500 ms */
	msp_time_t retention; /* of claims, by the wall clock; 7 days */
	msp_time_t released_retention; /* of dropped nonces; 1 day */
	msp_time_t outcome_retention; /* of recorded outcomes; 10 s */
	msp_time_t issued_lifetime; /* of keys issued here; 10 min */
	/*
	 * A client that marks its tries sends the next one only after an answer
	 * or after more than this; a "run: no" that rests on the mark alone is
	 * not said later. 5 s.
	 */
	msp_time_t first_attempt_window;
	size_t max_inline_body; /* body bytes kept in the row; 32 KiB */
} msp_claims_options_t;

/* Returns NULL with a last message. */
msp_claims_t *msp_new_claims(const msp_claims_options_t *options);

/* Forgets all tries without a verdict; store calls under way are orphaned. */
void msp_drop_claims(msp_claims_t *claims);

/* Does what is due, and calls back the tries that have a verdict. */
void msp_step_claims(msp_claims_t *claims);

/* When msp_step_claims() has something to do; MSP_NEVER if nothing. */
msp_time_t msp_claims_deadline(const msp_claims_t *claims);

typedef enum msp_claim_verdict_kind {
	/* Dispatch it with `nonce`, then report its end. Comes first, once. */
	MSP_CLAIM_VERDICT_RUN,
	/* Final: answer with the recorded outcome. */
	MSP_CLAIM_VERDICT_REPLAY,
	/* Final: answer with the refusal. */
	MSP_CLAIM_VERDICT_REFUSE,
	/*
	 * Final, only to a forwarded try with an issued key: the key was
	 * released `age` ago. Forward it again with `release_seen`.
	 */
	MSP_CLAIM_VERDICT_RELEASED
} msp_claim_verdict_kind_t;

/* Pointers are borrowed during the callback. */
typedef struct msp_claim_verdict {
	msp_claim_verdict_kind_t kind;
	msp_nonce_t nonce; /* RUN: of the claim; RELEASED: of the release */
	const msp_claim_outcome_t *outcome; /* REPLAY */
	msp_refusal_t refusal; /* REFUSE */
	msp_time_t age; /* RELEASED */
} msp_claim_verdict_t;

typedef void msp_claim_verdict_done_t(
    void *ctx, const msp_claim_verdict_t *verdict);

/* A commit as it arrived. Text is copied. */
typedef struct msp_claim_request_params {
	const char *service; /* letters, digits, "-", "_" and "." */
	const char *key; /* 1 to 200 bytes of printable ASCII, no blanks */
	msp_digest_t digest; /* of method, path and body */
	unsigned int
	    attempt_number; /* the client's number of this try; 0: none */
	/*
	 * When its last byte arrived at this VM, or earlier, never later: for
	 * what is read after a pause of the process, when the pause began.
	 */
	msp_time_t arrival;
	msp_time_t deadline; /* when its client stops waiting */
	bool forwarded; /* from another entry VM, for an issued key */
	/*
	 * A forwarded try that was answered RELEASED: that nonce, and whether
	 * the try arrived at the first VM after the release, that is, had
	 * waited there for less than the release's age.
	 */
	msp_nonce_t release_seen;
	bool after_release;
} msp_claim_request_params_t;

/*
 * Takes in a commit. `done` is called with RUN and later a final verdict, or
 * with a final verdict only; the try is gone after that. Returns NULL with a
 * last message if service or key are malformed or memory is short; the refusal
 * then is up to the caller, see msp_infer_unclaimed_run().
 */
msp_claim_request_t *msp_begin_claim_request(msp_claims_t *claims,
    const msp_claim_request_params_t *params, msp_claim_verdict_done_t *done,
    void *ctx);

/* The client went away: `done` is not called any more. What runs, runs on. */
void msp_cancel_claim_request(msp_claim_request_t *tried);

/*
 * What a refusal may say about `run` if the key was never looked up: for load,
 * size, service, or a leaving VM.
 */
msp_run_status_t msp_infer_unclaimed_run(
    const msp_claims_t *claims, unsigned int attempt, msp_time_t arrival);

/*
 * The end of what a RUN verdict started, by its nonce, exactly one of the
 * three. MSP_E_NOT_FOUND if nothing runs under that nonce.
 *
 * finish: the target's whole answer. Copied.
 * release: the dispatcher confirmed that it did not run, or never got a byte.
 *	The refusal's status, time to come back and reason go to the clients.
 * doubt: it may have run, the answer is not known.
 */
msp_status_t msp_finish_claim(msp_claims_t *claims, msp_nonce_t nonce,
    const msp_claim_outcome_t *outcome);
msp_status_t msp_release_claim(
    msp_claims_t *claims, msp_nonce_t nonce, const msp_refusal_t *refusal);
msp_status_t msp_mark_claim_in_doubt(
    msp_claims_t *claims, msp_nonce_t nonce, const msp_refusal_t *refusal);

/* How long ago the nonce's claim began; 0 if it is not known. */
msp_time_t msp_claim_age(const msp_claims_t *claims, msp_nonce_t nonce);

/* Answers another VM's question. `reply` is borrowed until the next step. */
void msp_answer_owner_query(msp_claims_t *claims, const msp_owner_query_t *ask,
    msp_owner_reply_t *reply);

/* Tries, claims held and outcomes that are not recorded yet. */
typedef struct msp_claims_stats {
	size_t entries; /* keys in memory */
	size_t running; /* RUN verdicts without an end */
	size_t unrecorded; /* ends that the store does not have yet */
	size_t released; /* nonces remembered as released */
} msp_claims_stats_t;

msp_claims_stats_t msp_get_claims_stats(const msp_claims_t *claims);

#endif
