#ifndef LEDGER_SIM_H
#define LEDGER_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/coord/ledger.h"
#include "store_link.h"

#define LEDGER_SIM_VMS_MAX 64
#define LEDGER_SIM_VERSIONS_MAX 4096

/* A ledger with its link to the store. `ledger` is NULL while it is dead. */
typedef struct ledger_vm {
	struct ledger_sim *sim;
	unsigned int index;
	unsigned int place;
	msp_ledger_t *ledger;
	store_link_t *link;
	uint64_t version; /* in force; 0 after a start */
	unsigned int version_source; /* VM that last told of a newer version */
	msp_time_t next_gossip;
} ledger_vm_t;

/* A message between VMs, or an event on one. */
typedef struct ledger_message {
	TAILQ_ENTRY(ledger_message) entry;
	msp_time_t deliver_at;
	unsigned int from;
	unsigned int to;
	bool is_fetch_response; /* of a fetch: `text`; else gossip of `version`
				 */
	uint64_t version;
	msp_buffer_t text;
} ledger_message_t;

/*
 * VMs of several places on one virtual clock, with a shared store, lossy
 * gossip of versions and fetches between them. Records which digest each
 * version had, and counts what breaks the promise.
 */
typedef struct ledger_sim {
	msp_virtual_env_t clock;
	msp_env_t env;
	msp_memory_store_t *store;
	unsigned int vm_count;
	unsigned int place_count;
	ledger_vm_t vms[LEDGER_SIM_VMS_MAX];
	bool isolated[LEDGER_SIM_VMS_MAX]; /* by place: from other places */
	unsigned int loss_pct; /* of messages between VMs */
	msp_time_t gossip_period;
	msp_time_t step; /* of the clock */
	msp_ledger_options_t options; /* of each ledger */
	msp_counters_t *counters;
	TAILQ_HEAD(ledger_messages, ledger_message) messages;
	msp_digest_t digests[LEDGER_SIM_VERSIONS_MAX];
	char note_ids[LEDGER_SIM_VERSIONS_MAX][MSP_NOTE_ID_SIZE];
	msp_time_t
	    in_force_at[LEDGER_SIM_VERSIONS_MAX]; /* at the last VM so far */
	uint64_t newest_version;
	unsigned int reverted; /* a VM's version decreased */
	unsigned int forked; /* two digests of one version in force */
	unsigned int rejected_count;
	const char *last_rejected_reason;
} ledger_sim_t;

/* Fills a zeroed fleet; `options` may set the ledgers' bounds. */
void init_ledger_sim(ledger_sim_t *fleet, uint64_t seed, unsigned int vm_count,
    unsigned int place_count);
void clear_ledger_sim(ledger_sim_t *fleet);

/* Starts a dead VM with an empty ledger; kills one, losing all it knows. */
void start_ledger_vm(ledger_sim_t *fleet, unsigned int index);
void kill_ledger_vm(ledger_sim_t *fleet, unsigned int index);

/* Cuts a place off from the others, and from the store if `store`. */
void set_place_isolated(
    ledger_sim_t *fleet, unsigned int place, bool cut, bool store);

void run_ledger_sim(ledger_sim_t *fleet, msp_time_t span);

/* Runs until each live VM is at `version`; false after `span`. */
bool run_ledger_sim_to_version(
    ledger_sim_t *fleet, uint64_t version, msp_time_t span);

/* Runs until all live VMs are ready at one version; false after `span`. */
bool run_ledger_sim_until_converged(ledger_sim_t *fleet, msp_time_t span);

/* Parses a note and sets its base to that of `vm`. */
msp_note_t *parse_note_for_vm(const ledger_vm_t *vm, const char *text);

/* A note that adds, or changes if it is there, the region `name`. */
msp_note_t *new_region_note(
    const ledger_vm_t *vm, const char *id, const char *name);

/* What a submission came to. */
typedef struct ledger_submit_result {
	bool ended;
	msp_status_t status;
	uint64_t version;
	bool rebased;
	char clashes[128];
	char other_note[MSP_NOTE_ID_SIZE];
	char message[256];
} ledger_submit_result_t;

/* A msp_submit_done_t for a ledger_submit_result_t. */
void copy_submit_result(void *ctx, const msp_submit_result_t *result);

#endif
