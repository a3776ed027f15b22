#ifndef CLAIM_SIM_PRIVATE_H
#define CLAIM_SIM_PRIVATE_H

#include "../../source/platform/captured_reply.h"
#include "claim_sim.h"
#include "monsoonspindle/coord/issued_keys.h"

typedef struct claim_sim claim_sim_t;

/* Callback that runs at a simulated time. */
typedef struct claim_sim_event {
	TAILQ_ENTRY(claim_sim_event) entry;
	msp_time_t at;
	void (*run)(void *ctx);
	void *ctx;
} claim_sim_event_t;

TAILQ_HEAD(events, claim_sim_event);

typedef struct claim_sim_vm {
	claim_sim_t *sim;
	unsigned int index;
	char address[16];
	msp_time_t clock_offset; /* of its clock; differs between VMs */
	uint64_t incarnation;
	uint64_t last_incarnation; /* the one that was killed last */
	msp_time_t killed_at;
	msp_time_t frozen_since;
	msp_time_t frozen_until;
	bool alive;
	bool store_unreachable;
	bool peers_unreachable;
	bool leaving;
	msp_claims_t *claims;
	struct events deferred; /* held until the VM thaws */
} claim_sim_vm_t;

typedef struct claim_sim_dispatcher {
	claim_sim_t *sim;
	unsigned int index;
	bool alive;
	msp_time_t frozen_until;
	msp_nonce_set_t *nonces;
} claim_sim_dispatcher_t;

/* One attempt of a caller. */
typedef struct claim_sim_request {
	struct claim_sim_caller *caller;
	unsigned int attempt_number; /* from 1 */
	claim_sim_vm_t *entry_vm; /* VM that the caller sent it to */
	bool changed_body; /* differs from the body of the first attempt */
	msp_time_t arrived_at; /* in simulated time */
	msp_time_t arrival_estimate; /* what its entry VM assumes */
	msp_claim_request_t *claim_request; /* NULL after the final verdict */
	uint64_t claim_vm_incarnation; /* when the claim was begun */
	claim_sim_vm_t *claim_vm; /* VM whose claims have the request */
	bool ended; /* has its final verdict or refusal, or was cancelled */
	bool abandoned; /* the caller stopped waiting */
	bool not_run_reported;
	msp_time_t not_run_reported_at;
	msp_nonce_t released_nonce; /* of the last verdict RELEASED */
	bool arrived_after_release; /* at the entry VM, after that release */
} claim_sim_request_t;

/* Client that sends and resends one request under its own key. */
typedef struct claim_sim_caller {
	claim_sim_t *sim;
	unsigned int index;
	char key[64];
	claim_sim_request_t requests[CLAIM_SIM_REQUESTS_MAX];
	unsigned int request_count;
	bool done;
	unsigned int runs;
	msp_time_t ran_at;
	bool ran_changed_body;
	claim_sim_request_t *run_request; /* attempt that ran last */
} claim_sim_caller_t;

struct claim_sim {
	const claim_scenario_t *scenario;
	msp_virtual_env_t venv;
	msp_env_t env;
	msp_memory_store_t *store;
	struct events events;
	claim_sim_vm_t vms[CLAIM_SIM_VMS];
	claim_sim_dispatcher_t dispatchers[CLAIM_SIM_DISPATCHERS];
	claim_sim_caller_t callers[CLAIM_SIM_KEYS];
	bool fault_triggered[2];
	uint64_t next_incarnation;
	bool closing; /* callbacks start nothing new */
	claim_sim_result_t result;
	reason_counts_t *reasons; /* may be NULL */
};

/* claim_sim.c */
bool has_claim_fault(const claim_sim_t *sim, claim_fault_t fault);
/* Returns true if the scenario has the fault and it did not occur before. */
bool trigger_claim_fault(claim_sim_t *sim, claim_fault_t fault);
void schedule_claim_sim_event(
    claim_sim_t *sim, msp_time_t delay, void (*run)(void *), void *ctx);
uint64_t draw_claim_sim_random(claim_sim_t *sim, uint64_t bound);
/* Calls run() now, or when the VM thaws if it is frozen. */
void deliver_to_vm(claim_sim_vm_t *vm, void (*run)(void *), void *ctx);
bool is_vm_frozen(const claim_sim_vm_t *vm);
void kill_claim_sim_vm(claim_sim_vm_t *vm);
void freeze_claim_sim_vm(claim_sim_vm_t *vm);
/* Kills or freezes the VM if the scenario has the fault. */
void trigger_owner_fault(
    claim_sim_vm_t *vm, claim_fault_t killed, claim_fault_t frozen);

/* claim_sim_network.c */
msp_store_t make_claim_sim_store(claim_sim_vm_t *vm);
void query_claim_sim_owner(void *ctx, const msp_owner_query_t *query,
    msp_owner_query_done_t *done, void *done_ctx);
bool is_claim_sim_vm_gone(void *ctx, uint64_t incarnation);

/* claim_sim_dispatch.c */
void dispatch_claim_sim_request(
    claim_sim_request_t *request, claim_sim_vm_t *vm, msp_nonce_t nonce);

/* claim_sim_check.c */
/* Counts a violation, and keeps the description of the first. */
void record_violation(const claim_sim_request_t *request, unsigned int *count,
    const char *violation);
void check_claim_sim_callers(claim_sim_t *sim);
msp_digest_t digest_request_body(
    const claim_sim_caller_t *caller, bool changed);
void print_outcome_body(
    const claim_sim_caller_t *caller, bool changed, char *out, size_t size);

/* claim_sim_caller.c */
void start_claim_sim_callers(claim_sim_t *sim);

#endif
