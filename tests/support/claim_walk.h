#ifndef CLAIM_WALK_H
#define CLAIM_WALK_H

#include "../../source/platform/captured_reply.h"
#include "../../source/platform/store_call.h"
#include "../../source/platform/table.h"
#include "monsoonspindle/coord.h"

#define CALLS_MAX 24
#define TRIES_MAX 3

/* One key at two VMs with the real claims, one store and one target. */
typedef struct walk walk_t;

/* A store call, until it has both taken effect and been answered. */
typedef struct walk_call {
	msp_store_call_t *args;
	msp_store_done_t *done;
	void *ctx;
	bool effected;
	bool answered;
} walk_call_t;

typedef struct walk_ask {
	msp_ask_t ask;
	msp_ask_done_t *done;
	void *ctx;
	bool used;
} walk_ask_t;

typedef struct walk_try {
	walk_t *walk;
	unsigned int vm;
	msp_time_t arrival;
	msp_nonce_t nonce;
	bool running; /* told to run; its end is open */
	bool ran;
	bool final;
	bool said_no;
	msp_time_t said_at;
} walk_try_t;

struct walk {
	msp_virtual_env_t venv;
	msp_claims_t *vms[2];
	bool gone[2];
	msp_table_t table;
	walk_call_t calls[CALLS_MAX];
	walk_ask_t asks[CALLS_MAX];
	walk_try_t tries[TRIES_MAX];
	unsigned int try_count;
	unsigned int losses; /* of answers and calls, so far */
	unsigned int runs;
	msp_time_t ran_at;
	msp_time_t ran_arrival;
	const char *broken;
};

/* claim_walk_store.c: the store and the questions, and what befalls them. */
msp_store_t walk_store(walk_t *walk);
void walk_take_effect(walk_t *walk, unsigned int index);
void walk_answer_call(walk_t *walk, unsigned int index);
void walk_lose_answer(walk_t *walk, unsigned int index);
void walk_ask_owner(
    void *ctx, const msp_ask_t *ask, msp_ask_done_t *done, void *done_ctx);
void walk_answer_ask(walk_t *walk, unsigned int index);

/*
 * claim_walk.c: runs a path of choices from the start and on to the end, and
 * fills in how many options there were at each. Returns what was broken.
 */
const char *run_walk_path(
    const unsigned int *choices, unsigned int *options, unsigned int depth);

#endif
