#ifndef CLAIM_PAIR_H
#define CLAIM_PAIR_H

#include "monsoonspindle/coord.h"
#include "monsoonspindle/platform/memory_store.h"

#define PAIR_VMS 2
#define PAIR_REQUESTS_MAX 600
#define PAIR_REPLIES_MAX 64

/* A request and the verdicts on it. */
typedef struct pair_request {
	msp_claim_request_t *claim_request; /* NULL after the final verdict */
	unsigned int runs; /* RUN verdicts */
	unsigned int finals; /* final verdicts */
	msp_nonce_t nonce; /* of the verdict RUN or RELEASED */
	msp_claim_verdict_kind_t kind; /* of the last verdict */
	msp_refusal_t refusal;
	msp_time_t age;
	int http_status;
	char body[128];
} pair_request_t;

/* A reply to an owner query, not delivered yet. */
typedef struct pair_reply {
	msp_owner_reply_t reply;
	msp_owner_query_done_t *done;
	void *ctx;
} pair_reply_t;

/* Two VMs that share a clock and a store. Zero-initialise before use. */
typedef struct pair {
	msp_virtual_env_t venv;
	msp_memory_store_t *store;
	msp_store_faults_t *faults;
	msp_claims_t *vms[PAIR_VMS];
	bool unresponsive[PAIR_VMS]; /* doesn't answer owner queries */
	bool gone[PAIR_VMS];
	pair_reply_t replies[PAIR_REPLIES_MAX];
	unsigned int reply_count;
	pair_request_t sent[PAIR_REQUESTS_MAX];
	unsigned int sent_count;
} pair_t;

/*
 * `options` may be NULL. Its env, store, hooks, incarnation and address are
 * ignored.
 */
void init_pair(pair_t *pair, const msp_claims_options_t *options);
/* Also frees `pair`. */
void close_pair(pair_t *pair);

/* Runs all events of the next `span`. */
void run_pair(pair_t *pair, msp_time_t span);

/* Drops a VM's claims; its incarnation then counts as gone. */
void kill_pair_vm(pair_t *pair, unsigned int vm);

/* Returns parameters with arrival now and a deadline in 10 s. */
msp_claim_request_params_t pair_params(
    const pair_t *pair, const char *key, const char *body);
pair_request_t *send_pair_request(
    pair_t *pair, unsigned int vm, const msp_claim_request_params_t *params);
/* Same, with parameters from pair_params(). */
pair_request_t *send_pair_key(pair_t *pair, unsigned int vm, const char *key);

/* Reports the response 201 with `body` for a running claim. */
void finish_pair_claim(
    pair_t *pair, unsigned int vm, msp_nonce_t nonce, const char *body);
void release_pair_claim(pair_t *pair, unsigned int vm, msp_nonce_t nonce);
void mark_pair_claim_in_doubt(pair_t *pair, unsigned int vm, msp_nonce_t nonce);

/* Write a row or an object directly into the store. */
void put_pair_row(pair_t *pair, const char *key, const char *value);
void put_pair_object(pair_t *pair, const char *name, const char *data);

#endif
