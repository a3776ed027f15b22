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
 * Decides for each arriving request with an idempotency key whether it runs
 * now, gets the recorded outcome of an earlier run, or is refused. The request
 * of a key runs at most once.
 *
 * Keys that clients chose themselves are decided by the platform's table: the
 * VM that inserts the claim owns it, and only the owner ever releases it. Keys
 * issued by the system (coord/issued_keys.h) are decided in the memory of the
 * incarnation that they name; the table only gets their outcome.
 *
 * Does no I/O itself: the store, queries to other owners and the state of other
 * incarnations come in as callbacks. Callbacks of requests are called from
 * msp_step_claims() only. Call that at msp_claims_deadline() and after any
 * other call of this header.
 */
typedef struct msp_claims msp_claims_t;

/* A request that has arrived and has no final verdict yet. */
typedef struct msp_claim_request msp_claim_request_t;

/* State of a claim's nonce, as its owner reports it. */
typedef enum msp_owner_status {
	MSP_OWNER_RUNNING, /* may run, or is running: query again */
	MSP_OWNER_COMPLETED, /* ran; `outcome` is set */
	MSP_OWNER_RELEASED, /* never ran, and never will under this nonce */
	MSP_OWNER_IN_DOUBT, /* may have run; the owner does not know */
	MSP_OWNER_NO_RECORD, /* the owner has no record of this nonce */
	MSP_OWNER_REPLACED, /* another incarnation answers at that address */
	MSP_OWNER_NO_ANSWER
} msp_owner_status_t;

typedef struct msp_owner_reply {
	msp_owner_status_t status;
	const msp_claim_outcome_t *outcome; /* MSP_OWNER_COMPLETED; borrowed */
	/* MSP_OWNER_RELEASED: whether "run: no" was reported to a client. */
	bool not_run_reported;
	msp_time_t age; /* time since that report */
} msp_owner_reply_t;

/* A query to the owner of a claim. Valid during the callback only. */
typedef struct msp_owner_query {
	const char *service;
	const char *key;
	msp_nonce_t nonce;
	uint64_t incarnation; /* of the owner */
	const char *address; /* msp_claims_options_t.address of the owner */
} msp_owner_query_t;

typedef void msp_owner_query_done_t(void *ctx, const msp_owner_reply_t *reply);

/* Callbacks to the daemon. `ctx` is borrowed. */
typedef struct msp_claims_hooks {
	void *ctx;
	/*
	 * Sends `query` to the owner, which answers with
	 * msp_answer_owner_query(). Calls `done` exactly once, after
	 * query_owner() has returned and within a bounded time.
	 */
	void (*query_owner)(void *ctx, const msp_owner_query_t *query,
	    msp_owner_query_done_t *done, void *done_ctx);
	/* Returns whether that incarnation has ended and can't come back. */
	bool (*has_ended)(void *ctx, uint64_t incarnation);
	/* Returns the time in microseconds since 1970, for retention. */
	msp_time_t (*wall_time)(void *ctx);
	msp_decision_callback_t *report_decision; /* may be NULL */
} msp_claims_hooks_t;

/* 0 selects the default, which is given after each option. */
typedef struct msp_claims_options {
	msp_env_t env; /* copied */
	msp_store_t store; /* copied; must outlive the last store call */
	msp_claims_hooks_t hooks;
	msp_counters_t *counters; /* borrowed; may be NULL */
	uint64_t incarnation; /* of this process; not 0 */
	const char *address; /* where other VMs send queries; copied */
	msp_time_t batch_window; /* how long a write waits for others; 4 ms */
	size_t max_batch_rows; /* rows of one transaction; 256 */
	unsigned int max_batches; /* transactions in flight; 2 */
	uint32_t store_timeout_ms; /* of one store call; 1 s */
	msp_time_t claim_timeout; /* refuse without a claim after this; 3 s */
	msp_time_t query_interval; /* between queries to an owner; 200 ms */
	msp_time_t retry_interval; /* between writes of an outcome; 500 ms */
	msp_time_t retention; /* of claims, by wall clock; 7 days */
	msp_time_t released_retention; /* of released nonces; 1 day */
	msp_time_t outcome_retention; /* in memory, once recorded; 10 s */
	msp_time_t issued_lifetime; /* of keys issued here; 10 min */
	/*
	 * A client that numbers its attempts sends the next one only after a
	 * response, or more than this after the last one. A "run: no" that
	 * rests on attempt number 1 alone is therefore not reported later than
	 * this. 5 s.
	 */
	msp_time_t first_attempt_window;
	size_t max_inline_body; /* larger bodies go into an object; 32 KiB */
} msp_claims_options_t;

/* Returns NULL, with msp_last_message() set, on failure. */
msp_claims_t *msp_new_claims(const msp_claims_options_t *options);

/*
 * Drops all requests without calling them back. Replies of store calls in
 * flight are ignored.
 */
void msp_drop_claims(msp_claims_t *claims);

/* Runs what is due, and calls back the requests that have a verdict. */
void msp_step_claims(msp_claims_t *claims);

/* When msp_step_claims() has to be called next, or MSP_NEVER. */
msp_time_t msp_claims_deadline(const msp_claims_t *claims);

typedef enum msp_claim_verdict_kind {
	/*
	 * Dispatch the request with `nonce`, then report its end. Given at most
	 * once, before the final verdict.
	 */
	MSP_CLAIM_VERDICT_RUN,
	/* Final: respond with the recorded outcome. */
	MSP_CLAIM_VERDICT_REPLAY,
	/* Final: respond with the refusal. */
	MSP_CLAIM_VERDICT_REFUSE,
	/*
	 * Final, only for a forwarded request with an issued key: the key's
	 * claim was released `release_age` ago. Forward the request again with
	 * `released_nonce`.
	 */
	MSP_CLAIM_VERDICT_RELEASED
} msp_claim_verdict_kind_t;

/* Pointers are valid during the callback only. */
typedef struct msp_claim_verdict {
	msp_claim_verdict_kind_t kind;
	msp_nonce_t nonce; /* RUN: of the claim; RELEASED: of the release */
	const msp_claim_outcome_t *outcome; /* REPLAY */
	msp_refusal_t refusal; /* REFUSE */
	msp_time_t release_age; /* RELEASED */
} msp_claim_verdict_t;

typedef void msp_claim_verdict_done_t(
    void *ctx, const msp_claim_verdict_t *verdict);

/* A request as it arrived. Strings are copied. */
typedef struct msp_claim_request_params {
	const char *service; /* letters, digits, "-", "_" and "." */
	const char *key; /* 1 to 200 bytes of printable ASCII, no blanks */
	msp_digest_t digest; /* of method, path and body */
	unsigned int attempt_number; /* given by the client; 0: none */
	/*
	 * When the last byte arrived at this VM, or earlier, but never later:
	 * for a request that is read after a pause of the process, the start of
	 * the pause.
	 */
	msp_time_t arrival;
	msp_time_t deadline; /* when the client stops waiting */
	bool forwarded; /* by the VM that received it; issued keys only */
	/*
	 * Of a request that is forwarded again after the verdict RELEASED: the
	 * nonce of that verdict, and whether the request arrived at the
	 * forwarding VM after the release, that is, had waited there for less
	 * than the verdict's `release_age`.
	 */
	msp_nonce_t released_nonce;
	bool arrived_after_release;
} msp_claim_request_params_t;

/*
 * Starts to decide a request. `done` is called with RUN and later a final
 * verdict, or with a final verdict only; the request is freed after that.
 * Returns NULL, with msp_last_message() set, if service or key are malformed or
 * memory is short; the caller then refuses the request, see
 * msp_infer_unclaimed_run().
 */
msp_claim_request_t *msp_begin_claim_request(msp_claims_t *claims,
    const msp_claim_request_params_t *params, msp_claim_verdict_done_t *done,
    void *ctx);

/*
 * The client disconnected: `done` is not called any more. A run that has begun
 * goes on.
 */
void msp_cancel_claim_request(msp_claim_request_t *request);

/*
 * Returns what a refusal may report as `run` if the key was never looked up:
 * refusals because of load, size, an unknown service or a leaving VM.
 */
msp_run_status_t msp_infer_unclaimed_run(const msp_claims_t *claims,
    unsigned int attempt_number, msp_time_t arrival);

/*
 * Reports the end of the run that a RUN verdict started. Call exactly one of
 * the three. MSP_E_NOT_FOUND if no run has that nonce.
 *
 * msp_finish_claim(): the target's complete response, which is copied.
 * msp_release_claim(): the dispatcher confirmed that the request did not run,
 *	or no byte was sent to it. The refusal's status, retry time and reason
 *	go to the clients.
 * msp_mark_claim_in_doubt(): it may have run, the response is not known.
 */
msp_status_t msp_finish_claim(msp_claims_t *claims, msp_nonce_t nonce,
    const msp_claim_outcome_t *outcome);
msp_status_t msp_release_claim(
    msp_claims_t *claims, msp_nonce_t nonce, const msp_refusal_t *refusal);
msp_status_t msp_mark_claim_in_doubt(
    msp_claims_t *claims, msp_nonce_t nonce, const msp_refusal_t *refusal);

/* Age of the nonce of a running claim; 0 if no run has that nonce. */
msp_time_t msp_get_claim_age(const msp_claims_t *claims, msp_nonce_t nonce);

/*
 * Answers another VM's query. The outcome in `reply` is borrowed until the next
 * step.
 */
void msp_answer_owner_query(msp_claims_t *claims,
    const msp_owner_query_t *query, msp_owner_reply_t *reply);

typedef struct msp_claims_stats {
	size_t entries; /* keys held in memory */
	size_t running; /* runs whose end was not reported yet */
	size_t unrecorded; /* ends that are not in the store yet */
	size_t released; /* released nonces held in memory */
} msp_claims_stats_t;

msp_claims_stats_t msp_get_claims_stats(const msp_claims_t *claims);

#endif
