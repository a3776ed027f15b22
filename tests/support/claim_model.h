#ifndef CLAIM_MODEL_H
#define CLAIM_MODEL_H

#include "../../source/platform/captured_reply.h"
#include "../../source/platform/store_call.h"
#include "../../source/platform/table.h"
#include "monsoonspindle/coord.h"

#define CALLS_MAX 24 /* in flight */
#define REQUESTS_MAX 3

/*
 * A model of one key, for an exhaustive search through the interleavings of its
 * events: two VMs that run the real claims, one store and one target.
 */
typedef struct model model_t;

/* A store call. Freed once it has both taken effect and been replied to. */
typedef struct model_call {
	msp_store_call_t *args;
	msp_store_done_t *done;
	void *ctx;
	bool applied; /* took effect in the store */
	bool answered; /* the caller got the reply, or MSP_E_LOST */
} model_call_t;

typedef struct model_query {
	msp_owner_query_t query;
	msp_owner_query_done_t *done;
	void *ctx;
	bool used;
} model_query_t;

typedef struct model_request {
	model_t *model;
	unsigned int vm;
	msp_time_t arrival;
	msp_nonce_t nonce;
	bool running; /* got the verdict RUN; the end was not reported */
	bool ran;
	bool final;
	bool not_run_reported;
	msp_time_t not_run_reported_at;
} model_request_t;

struct model {
	msp_virtual_env_t venv;
	msp_claims_t *vms[2];
	bool gone[2];
	msp_table_t table;
	model_call_t calls[CALLS_MAX];
	model_query_t queries[CALLS_MAX];
	model_request_t requests[REQUESTS_MAX];
	unsigned int request_count;
	unsigned int lost_count; /* replies lost so far */
	unsigned int runs;
	msp_time_t ran_at;
	msp_time_t ran_arrival; /* arrival of the request that ran */
	const char *violation; /* the violated guarantee; NULL: none */
};

/* claim_model_store.c: store calls, owner queries and their events. */
msp_store_t model_store(model_t *model);
void apply_model_call(model_t *model, unsigned int index);
void answer_model_call(model_t *model, unsigned int index);
void lose_model_reply(model_t *model, unsigned int index);
void query_model_owner(void *ctx, const msp_owner_query_t *query,
    msp_owner_query_done_t *done, void *done_ctx);
void answer_model_query(model_t *model, unsigned int index);

/*
 * claim_model.c: runs the model from the start along a path of choices, then
 * with the first choice each time until it ends. Sets options[i] to the number
 * of possible choices at step i. Returns the violated guarantee, or NULL.
 */
const char *run_model_path(
    const unsigned int *choices, unsigned int *options, unsigned int depth);

#endif
