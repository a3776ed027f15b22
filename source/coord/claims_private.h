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
	TAILQ_ENTRY(msp_claim_request) entry; /* of its claim */
	TAILQ_ENTRY(msp_claim_request) ready_entry;
	msp_claims_t *claims;
	msp_claim_t *claim; /* NULL once it has its final verdict */
	unsigned int attempt_number;
	msp_time_t arrival;
	bool forwarded;
	msp_nonce_t release_seen;
	bool after_release;
	bool started; /* was told to run */
	bool ready; /* is on the list of those to call back */
	bool final; /* its verdict ends it */
	bool cancelled;
	msp_time_t deadline;
	msp_claim_verdict_t verdict;
	msp_claim_outcome_t *outcome; /* owned copy for the verdict */
	char reason[96]; /* of the refusal */
	msp_alarm_t deadline_alarm;
	msp_claim_verdict_done_t *done;
	void *done_ctx;
};

TAILQ_HEAD(msp_claim_requests, msp_claim_request);

/* What this VM knows of one key. */
typedef enum msp_entry_state {
	MSP_ENTRY_WRITING, /* own claim under way to the store */
	MSP_ENTRY_QUERYING_OWNER, /* another's claim: its owner is asked */
	MSP_ENTRY_READING, /* the row, or the outcome's body, is being read */
	MSP_ENTRY_RUNNING, /* own, confirmed, told to run */
	MSP_ENTRY_DONE, /* own, with its outcome */
	MSP_ENTRY_IN_DOUBT, /* own, with an unknown end */
	MSP_ENTRY_RELEASED /* own, in memory only: may run for a later try */
} msp_entry_state_t;

struct msp_claim {
	msp_claims_t *claims;
	char row_key[MSP_CLAIM_ROW_KEY_SIZE];
	char service[MSP_SERVICE_NAME_MAX + 1];
	char key[MSP_IDEMPOTENCY_KEY_MAX + 1];
	msp_digest_t digest;
	msp_entry_state_t state;
	bool issued_here; /* decided by this process's memory */
	bool issued_elsewhere; /* decided by another's memory: only looked up
				  here */
	bool had_multiple_requests; /* more than one try has waited here */
	msp_time_t expires; /* issued: when its key does */
	bool looked_up; /* the store has answered about the key */
	bool maybe_written; /* the nonce may be in the store */
	msp_nonce_t nonce; /* of the own claim */
	msp_time_t nonce_drawn_at; /* when the nonce was drawn */
	msp_time_t claim_deadline; /* WRITING: given up then */
	uint64_t version; /* of the own row, or the one to replace */
	/* Only tries that arrived after this may run: a "no" was said then. */
	msp_time_t not_run_reported_at;
	struct msp_claim_requests requests;
	msp_batch_write_t *write; /* under way */
	uint64_t generation; /* makes late answers of old calls void */
	msp_alarm_t alarm; /* claim timeout, next question, retry, expiry */
	/* FOREIGN: the row as read, and the owner's last answer. */
	msp_claim_row_t row;
	msp_owner_status_t last_owner_status;
	/* DONE: */
	msp_claim_outcome_t *outcome;
	bool in_object; /* the body has been put into its object */
	bool recorded; /* the store has the end, or refuses it for good */
};

/* A store call, or a question, that may outlive its claim. */
typedef struct msp_claim_call {
	LIST_ENTRY(msp_claim_call) entry;
	msp_claims_t *claims; /* NULL: dropped */
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
	struct msp_claim_requests ready;
	uint64_t generation;
	size_t unrecorded;
	LIST_HEAD(msp_claim_calls, msp_claim_call) calls;
};

/* claims.c */
msp_time_t msp_claims_now(const msp_claims_t *claims);
/* Counts and reports a decision about the key. */
void msp_report_claim(const msp_claim_t *claim, const char *end);
/* Frees the entry; its tries must all have their verdict. */
void msp_drop_entry(msp_claim_t *claim);
/* As msp_drop_entry(), but for a key that this memory decides about. */
void msp_close_entry(msp_claim_t *claim);
void msp_assign_claim_nonce(msp_claim_t *claim);
void msp_set_claim_alarm(msp_claim_t *claim, msp_time_t at);
/* Starts a call on behalf of `claim`; NULL without memory. */
msp_claim_call_t *msp_new_claim_call(msp_claim_t *claim);
/* Frees `call`; returns its claim unless that has moved on. */
msp_claim_t *msp_end_claim_call(msp_claim_call_t *call);
/* Voids the calls under way for `claim`. */
void msp_invalidate_claim_calls(msp_claim_t *claim);

/* claim_verdict.c: final verdicts take the try out of its claim. */
void msp_refuse_claim_request(
    msp_claim_request_t *tried, const msp_refusal_t *refusal);
void msp_replay_claim_request(
    msp_claim_request_t *tried, const msp_claim_outcome_t *outcome);
void msp_start_claim_request(msp_claim_request_t *tried);
void msp_answer_released(msp_claim_request_t *tried);
/* All tries of the claim; returns whether there were any. */
bool msp_refuse_all(msp_claim_t *claim, const msp_refusal_t *refusal);
/* All tries, "run: unknown". */
void msp_refuse_unknown(msp_claim_t *claim, msp_status_t status,
    uint32_t retry_after_ms, const char *reason);
void msp_replay_all(msp_claim_t *claim, const msp_claim_outcome_t *outcome);
/* For want of an answer of the store. Returns whether "run: no" was said. */
bool msp_refuse_without_lookup(
    msp_claim_t *claim, msp_status_t status, const char *reason);
void msp_deliver_verdicts(msp_claims_t *claims);

/* claim_store.c */
/* Writes the claim if the row is at claim->version. */
void msp_write_claim(msp_claim_t *claim);
/* The nonce will not be used, but its claim may still take effect. */
void msp_discard_claim_nonce(msp_claim_t *claim, msp_time_t said_no_at);
/* Decides by the present state of the row (claim_examine.c). */
void msp_examine_claim_row(msp_claim_t *claim, const msp_row_t *row);
/* Replaces the released claim that the row holds; `said_no_at` 0: never. */
void msp_take_over_claim(
    msp_claim_t *claim, uint64_t version, msp_time_t said_no_at);
/* Gives the claim up before it is confirmed. */
void msp_abandon_claim(
    msp_claim_t *claim, msp_status_t status, const char *reason);
/* The claim is this VM's: runs it for the first try that may. */
void msp_confirm_claim(msp_claim_t *claim, uint64_t version);
/* Never dispatched: says "run: no" to all tries and forgets the claim. */
void msp_release_entry(msp_claim_t *claim, const msp_refusal_t *refusal);

/* claim_foreign.c */
void msp_query_owner(msp_claim_t *claim);
void msp_refuse_in_doubt(msp_claim_t *claim, const char *reason);
void msp_read_claim_row(msp_claim_t *claim);
void msp_read_outcome_body(msp_claim_t *claim);

/* claim_record.c */
/* Sets all of a row but its state and outcome. */
void msp_fill_claim_row(const msp_claim_t *claim, msp_claim_row_t *row);
/* Queues a write of the row at claim->version; NULL without memory. */
msp_batch_write_t *msp_queue_claim_row(msp_claim_t *claim,
    const msp_claim_row_t *row, msp_batch_done_t *done, void *ctx);
/* Writes the end of the claim to the store until it is there. */
void msp_record_claim_end(msp_claim_t *claim);
/* One attempt to write that the claim at claim->version was released. */
void msp_mark_released(msp_claim_t *claim);

/* claim_issued.c */
/* Decides a try of a key that this memory decides about. */
void msp_join_issued(msp_claim_t *claim, msp_claim_request_t *tried);

#endif
