#ifndef MSP_COORD_CLAIMS_PRIVATE_H
#define MSP_COORD_CLAIMS_PRIVATE_H

#include <bsd/sys/queue.h>

#include "alarms.h"
#include "batcher.h"
#include "claim_row.h"
#include "monsoonspindle/base/map.h"
#include "monsoonspindle/coord/claims.h"
#include "monsoonspindle/coord/issued_keys.h"
#include "released_nonces.h"

typedef struct msp_claim msp_claim_t;

struct msp_claim_request {
	TAILQ_ENTRY(msp_claim_request) entry; /* in msp_claim.requests */
	TAILQ_ENTRY(msp_claim_request) ready_entry; /* in msp_claims.ready */
	msp_claims_t *claims;
	msp_claim_t *claim; /* NULL after the final verdict */
	unsigned int attempt_number;
	msp_time_t arrival;
	bool forwarded;
	msp_nonce_t released_nonce;
	bool arrived_after_release;
	bool started; /* got the verdict RUN */
	bool ready; /* `verdict` is to be delivered */
	bool final; /* `verdict` is the final one */
	bool cancelled; /* the client disconnected */
	msp_time_t deadline;
	msp_claim_verdict_t verdict;
	msp_claim_outcome_t *outcome; /* owned; of the verdict REPLAY */
	char reason[96]; /* of the refusal */
	msp_alarm_t deadline_alarm;
	msp_claim_verdict_done_t *done;
	void *done_ctx;
};

TAILQ_HEAD(msp_claim_requests, msp_claim_request);

/* The state of a key on this VM. */
typedef enum msp_entry_state {
	MSP_ENTRY_WRITING, /* this VM's claim is being written */
	MSP_ENTRY_QUERYING_OWNER, /* another VM's claim */
	MSP_ENTRY_READING, /* reading the row or the outcome's body */
	MSP_ENTRY_RUNNING, /* this VM's claim; a request got the verdict RUN */
	MSP_ENTRY_DONE, /* this VM's claim; the outcome is known */
	MSP_ENTRY_IN_DOUBT, /* this VM's claim; may have run */
	MSP_ENTRY_RELEASED /* issued keys: a later request may run */
} msp_entry_state_t;

/* This VM's record of one idempotency key. */
struct msp_claim {
	msp_claims_t *claims;
	char row_key[MSP_CLAIM_ROW_KEY_SIZE];
	char service[MSP_SERVICE_NAME_MAX + 1];
	char key[MSP_IDEMPOTENCY_KEY_MAX + 1];
	msp_digest_t digest;
	msp_entry_state_t state;
	bool issued_here; /* decided in the memory of this process */
	bool issued_elsewhere; /* decided by another VM; only looked up here */
	bool had_multiple_requests; /* more than one has waited here */
	msp_time_t expires; /* issued_here: when the key expires */
	bool looked_up; /* the store has answered about the key */
	bool maybe_written; /* the nonce may be in the store */
	msp_nonce_t nonce; /* of this VM's claim */
	msp_time_t nonce_generated_at;
	msp_time_t claim_deadline; /* WRITING: abandoned then */
	uint64_t version; /* of this VM's row, or of the one to replace */
	/*
	 * When "run: no" was last reported to a client; 0: never. Only requests
	 * that arrived later may run.
	 */
	msp_time_t not_run_reported_at;
	struct msp_claim_requests requests;
	msp_batch_write_t *write; /* in flight; may be NULL */
	/* Replies to calls of an older generation are ignored. */
	uint64_t generation;
	msp_alarm_t alarm; /* claim timeout, next query, retry or expiry */
	/* QUERYING_OWNER: the row as read, and the owner's last reply. */
	msp_claim_row_t row;
	msp_owner_status_t last_owner_status;
	/* DONE: the outcome is owned, and NULL once dropped from memory. */
	msp_claim_outcome_t *outcome;
	bool in_object; /* the body has been stored as an object */
	bool recorded; /* the end is stored, or can't be stored any more */
};

/* A store call or owner query in flight, which may outlive its claim. */
typedef struct msp_claim_call {
	LIST_ENTRY(msp_claim_call) entry;
	msp_claims_t *claims; /* NULL after msp_drop_claims() */
	char row_key[MSP_CLAIM_ROW_KEY_SIZE];
	uint64_t generation;
} msp_claim_call_t;

struct msp_claims {
	msp_claims_options_t options;
	char address[MSP_OWNER_ADDRESS_SIZE];
	msp_alarms_t alarms;
	msp_batcher_t *batcher;
	msp_released_nonces_t *released;
	msp_map_t *entries; /* by row key */
	msp_map_t *running; /* by nonce */
	struct msp_claim_requests ready; /* with verdicts to deliver */
	uint64_t generation; /* the last one assigned to a claim */
	size_t unrecorded; /* ends not in the store yet */
	LIST_HEAD(msp_claim_calls, msp_claim_call) calls;
};

/* claims.c */
msp_time_t msp_claims_now(const msp_claims_t *claims);
/* Counts a decision about the key and reports it to the decision log. */
void msp_report_claim(const msp_claim_t *claim, const char *end);
/* Frees the entry. All its requests must have their final verdict. */
void msp_drop_entry(msp_claim_t *claim);
/* Drops the entry; one of a key issued here is dropped when the key expires. */
void msp_close_entry(msp_claim_t *claim);
/* Gives the claim a new nonce. */
void msp_assign_claim_nonce(msp_claim_t *claim);
void msp_set_claim_alarm(msp_claim_t *claim, msp_time_t at);
/* Returns a new call on behalf of `claim`, NULL when out of memory. */
msp_claim_call_t *msp_new_claim_call(msp_claim_t *claim);
/* Frees `call`. Returns its claim, or NULL if the reply is out of date. */
msp_claim_t *msp_end_claim_call(msp_claim_call_t *call);
/* Makes the claim ignore replies to its calls in flight. */
void msp_invalidate_claim_calls(msp_claim_t *claim);

/* claim_verdict.c: a final verdict removes the request from its claim. */
void msp_refuse_claim_request(
    msp_claim_request_t *request, const msp_refusal_t *refusal);
void msp_replay_claim_request(
    msp_claim_request_t *request, const msp_claim_outcome_t *outcome);
void msp_start_claim_request(msp_claim_request_t *request);
/* Gives a forwarded request the verdict RELEASED. */
void msp_return_released(msp_claim_request_t *request);
/* Refuses all requests; returns whether any client was still waiting. */
bool msp_refuse_all(msp_claim_t *claim, const msp_refusal_t *refusal);
/* Refuses all requests with "run: unknown". */
void msp_refuse_unknown(msp_claim_t *claim, msp_status_t status,
    uint32_t retry_after_ms, const char *reason);
void msp_replay_all(msp_claim_t *claim, const msp_claim_outcome_t *outcome);
/*
 * Refuses all requests because the store gave no answer about the key. Returns
 * whether "run: no" was reported to a client.
 */
bool msp_refuse_without_lookup(
    msp_claim_t *claim, msp_status_t status, const char *reason);
void msp_deliver_verdicts(msp_claims_t *claims);

/* claim_store.c */
/* Writes the claim on condition that the row is at claim->version. */
void msp_write_claim(msp_claim_t *claim);
/*
 * Discards the claim's nonce. If its write may still take effect, the nonce is
 * added to the released ones.
 */
void msp_discard_claim_nonce(
    msp_claim_t *claim, msp_time_t not_run_reported_at);
/* Decides by the row that the store returned (claim_examine.c). */
void msp_examine_claim_row(msp_claim_t *claim, const msp_row_t *row);
/* Writes a new claim in place of a released one. */
void msp_take_over_claim(
    msp_claim_t *claim, uint64_t version, msp_time_t not_run_reported_at);
/* Refuses all requests of a claim that is not confirmed, and closes it. */
void msp_abandon_claim(
    msp_claim_t *claim, msp_status_t status, const char *reason);
/* The claim is in the store: starts the first request that may run. */
void msp_confirm_claim(msp_claim_t *claim, uint64_t version);
/* Nothing ran: refuses all requests with "run: no", releases the claim. */
void msp_release_entry(msp_claim_t *claim, const msp_refusal_t *refusal);

/* claim_lookup.c */
void msp_query_owner(msp_claim_t *claim);
void msp_refuse_in_doubt(msp_claim_t *claim, const char *reason);
void msp_read_claim_row(msp_claim_t *claim);
void msp_read_outcome_body(msp_claim_t *claim);

/* claim_record.c */
/* Sets all members of a row except its state and outcome. */
void msp_fill_claim_row(const msp_claim_t *claim, msp_claim_row_t *row);
/* Queues a write of the row at claim->version; NULL when out of memory. */
msp_batch_write_t *msp_queue_claim_row(msp_claim_t *claim,
    const msp_claim_row_t *row, msp_batch_done_t *done, void *ctx);
/* Writes the end of the claim to the store, and retries until it is there. */
void msp_record_claim_end(msp_claim_t *claim);
/* Tries once to mark the row at claim->version as released. */
void msp_mark_released(msp_claim_t *claim);

/* claim_issued.c */
/* Decides a request that joins the entry of a key issued here. */
void msp_join_issued(msp_claim_t *claim, msp_claim_request_t *request);

#endif
