#ifndef CLAIM_MODEL_H
#define CLAIM_MODEL_H

#include "../../source/platform/captured_reply.h"
#include "../../source/platform/store_call.h"
#include "../../source/platform/table.h"
#include "monsoonspindle/coord.h"

#define CALLS_MAX 24
#define TRIES_MAX 3

/* One key at two VMs with the real claims, one store and one target. */
typedef struct model model_t;

/* A store call, until it has both taken effect and been answered. */
typedef struct model_call {
	msp_store_call_t *args;
	msp_store_done_t *done;
	void *ctx;
	bool applied;
	bool answered;
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
	bool running; /* told to run; its end is open */
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
	model_request_t requests[TRIES_MAX];
	unsigned int request_count;
	unsigned int lost_count; /* of answers and calls, so far */
	unsigned int runs;
	msp_time_t ran_at;
	msp_time_t ran_arrival;
	const char *violation;
};

/* claim_walk_store.c: the store and the questions, and what befalls them. */
msp_store_t model_store(model_t *walk);
void apply_model_call(model_t *walk, unsigned int index);
void answer_model_call(model_t *walk, unsigned int index);
void lose_model_answer(model_t *walk, unsigned int index);
void query_model_owner(void *ctx, const msp_owner_query_t *ask,
    msp_owner_query_done_t *done, void *done_ctx);
void answer_model_query(model_t *walk, unsigned int index);

/*
 * claim_walk.c: runs a path of choices from the start and on to the end, and
 * fills in how many options there were at each. Returns what was broken.
 */
const char *run_model_path(
    const unsigned int *choices, unsigned int *options, unsigned int depth);

#endif
