#ifndef COMMIT_PARTS_H
#define COMMIT_PARTS_H

#include "../../source/platform/captured_reply.h"
#include "commit_world.h"
#include "monsoonspindle/coord/issued_keys.h"

typedef struct world world_t;

/* Something that happens later. */
typedef struct event {
	TAILQ_ENTRY(event) entry;
	msp_time_t at;
	void (*run)(void *ctx);
	void *ctx;
} event_t;

TAILQ_HEAD(events, event);

typedef struct vm {
	world_t *world;
	unsigned int index;
	char address[16];
	msp_time_t clock_offset; /* no two VMs have the same clock */
	uint64_t incarnation;
	uint64_t last_incarnation; /* that died */
	msp_time_t died_at;
	msp_time_t frozen_since;
	msp_time_t frozen_until;
	bool alive;
	bool cut_from_store;
	bool cut_from_vms;
	bool leaving;
	msp_claims_t *claims;
	struct events inbox; /* what waits for a frozen VM */
} vm_t;

typedef struct dispatcher {
	world_t *world;
	unsigned int index;
	bool alive;
	msp_time_t frozen_until;
	msp_nonce_set_t *nonces;
} dispatcher_t;

/* One try of a caller. */
typedef struct sent {
	struct caller *caller;
	unsigned int number; /* from 1 */
	vm_t *vm; /* the one that the caller sent it to */
	bool changed; /* with another body */
	msp_time_t arrived; /* by the world's clock */
	msp_time_t arrival; /* as its VM can tell */
	msp_claim_request_t *tried; /* NULL once it has its final verdict */
	uint64_t incarnation; /* of the VM that holds it */
	vm_t *holder;
	bool final;
	bool gone; /* the caller does not wait any more */
	bool said_no;
	msp_time_t said_at;
	msp_nonce_t release_seen;
	bool after_release;
} sent_t;

/* One key and who sends it. */
typedef struct caller {
	world_t *world;
	unsigned int index;
	char key[64];
	sent_t sent[WORLD_TRIES];
	unsigned int count;
	bool done;
	unsigned int runs;
	msp_time_t ran_at;
	bool ran_changed;
	sent_t *ran_for;
} caller_t;

struct world {
	const scenario_t *scenario;
	msp_virtual_env_t venv;
	msp_env_t env;
	msp_memory_store_t *store;
	struct events events;
	vm_t vms[WORLD_VMS];
	dispatcher_t dispatchers[WORLD_DISPATCHERS];
	caller_t callers[WORLD_KEYS];
	bool fault_used[2];
	uint64_t next_incarnation;
	bool closing;
	result_t result;
	reasons_t *reasons;
};

/* commit_world.c */
bool cw_has_fault(const world_t *world, fault_t fault);
/* Whether the fault strikes now; it does so once a world. */
bool cw_fault_strikes(world_t *world, fault_t fault);
void cw_later(world_t *world, msp_time_t delay, void (*run)(void *), void *ctx);
uint64_t cw_below(world_t *world, uint64_t bound);
/* Runs now, or when the VM wakes. */
void cw_deliver(vm_t *vm, void (*run)(void *), void *ctx);
bool cw_is_frozen(const vm_t *vm);
void cw_kill_vm(vm_t *vm);
void cw_freeze_vm(vm_t *vm);
/* Applies the owner's faults at one point of a commit. */
void cw_strike_owner(vm_t *vm, fault_t killed, fault_t frozen);

/* commit_link.c */
msp_store_t cw_link_store(vm_t *vm);
void cw_ask_vm(void *ctx, const msp_owner_query_t *ask,
    msp_owner_query_done_t *done, void *done_ctx);
bool cw_is_gone(void *ctx, uint64_t incarnation);

/* commit_dispatch.c */
void cw_dispatch(sent_t *sent, vm_t *vm, msp_nonce_t nonce);

/* commit_check.c */
/* Counts a broken promise, and keeps the words of the first. */
void cw_broke(const sent_t *sent, unsigned int *count, const char *what);
void cw_check_callers(world_t *world);
msp_digest_t cw_body_digest(const caller_t *caller, bool changed);
void cw_print_outcome(
    const caller_t *caller, bool changed, char *out, size_t size);

/* commit_caller.c */
void cw_start_callers(world_t *world);

#endif
