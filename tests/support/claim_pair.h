#ifndef CLAIM_PAIR_H
#define CLAIM_PAIR_H

#include "monsoonspindle/coord.h"
#include "monsoonspindle/platform/memory_store.h"

#define PAIR_VMS 2
#define PAIR_SENT 600
#define PAIR_ANSWERS 64

/* A try and what its VM said about it. */
typedef struct pair_request {
	msp_claim_request_t *request;
	unsigned int runs; /* RUN verdicts */
	unsigned int finals; /* final verdicts */
	msp_nonce_t nonce;
	msp_claim_verdict_kind_t kind; /* of the last verdict */
	msp_refusal_t refusal;
	msp_time_t age;
	int http_status;
	char body[128];
} pair_request_t;

/* An answer on its way back. */
typedef struct pair_answer {
	msp_owner_reply_t reply;
	msp_owner_query_done_t *done;
	void *ctx;
} pair_answer_t;

/* Two VMs on one clock and one store. Zero-initialise, then open. */
typedef struct pair {
	msp_virtual_env_t venv;
	msp_memory_store_t *store;
	msp_store_faults_t *faults;
	msp_claims_t *vms[PAIR_VMS];
	bool unresponsive[PAIR_VMS]; /* does not answer questions */
	bool gone[PAIR_VMS];
	pair_answer_t answers[PAIR_ANSWERS];
	unsigned int answer_count;
	pair_request_t sent[PAIR_SENT];
	unsigned int sent_count;
} pair_t;

/* `options` may be NULL; env, store, hooks and owner are set here. */
void init_pair(pair_t *pair, const msp_claims_options_t *options);
void close_pair(pair_t *pair);

/* Runs for `span`, or until nothing is due. */
void run_pair(pair_t *pair, msp_time_t span);

/* Kills a VM: it is gone for good. */
void kill_pair_vm(pair_t *pair, unsigned int vm);

/* Fills in service, digest of `body`, arrival now and a deadline in 10 s. */
msp_claim_request_params_t pair_params(
    const pair_t *pair, const char *key, const char *body);
pair_request_t *send_pair_request(
    pair_t *pair, unsigned int vm, const msp_claim_request_params_t *params);
/* As send_pair_request() with plain parameters. */
pair_request_t *send_pair_key(pair_t *pair, unsigned int vm, const char *key);

/* The answer of the target to `body`. */
void finish_pair_claim(
    pair_t *pair, unsigned int vm, msp_nonce_t nonce, const char *body);
void release_pair_claim(pair_t *pair, unsigned int vm, msp_nonce_t nonce);
void mark_pair_claim_in_doubt(pair_t *pair, unsigned int vm, msp_nonce_t nonce);

/* Writes a row or an object past the claims. */
void put_pair_row(pair_t *pair, const char *key, const char *value);
void put_pair_object(pair_t *pair, const char *name, const char *data);

#endif
