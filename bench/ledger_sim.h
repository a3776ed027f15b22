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

/* A VM. Its ledger and its link to the store are NULL while it is down. */
typedef struct ledger_vm {
	struct ledger_sim *sim;
	unsigned int index;
	unsigned int place;
	msp_ledger_t *ledger;
	store_link_t *link;
	uint64_t version; /* in force; 0 after a start */
	unsigned int version_source; /* VM that last announced a newer one */
	msp_time_t next_gossip;
} ledger_vm_t;

/* A message between two VMs: gossip with `version`, or a fetch response. */
typedef struct ledger_message {
	TAILQ_ENTRY(ledger_message) entry;
	msp_time_t deliver_at;
	unsigned int from;
	unsigned int to;
	bool is_fetch_response;
	uint64_t version;
	msp_buffer_t text; /* of a fetch response; empty: the fetch failed */
} ledger_message_t;

/*
 * VMs of several places on one virtual clock that share a store, gossip their
 * versions over lossy links and fetch releases from each other. The simulation
 * records the digest of each version and counts violations: versions that
 * decrease and versions with two digests.
 */
typedef struct ledger_sim {
	msp_virtual_env_t clock;
	msp_env_t env;
	msp_memory_store_t *store;
	unsigned int vm_count;
	unsigned int place_count;
	ledger_vm_t vms[LEDGER_SIM_VMS_MAX];
	bool isolated[LEDGER_SIM_VMS_MAX]; /* by place: cut off from others */
	unsigned int loss_pct; /* of messages between VMs */
	msp_time_t gossip_period;
	msp_time_t step; /* of the clock */
	msp_ledger_options_t options; /* of each ledger */
	msp_counters_t *counters;
	TAILQ_HEAD(ledger_messages, ledger_message) messages;
	msp_digest_t digests[LEDGER_SIM_VERSIONS_MAX];
	char note_ids[LEDGER_SIM_VERSIONS_MAX][MSP_NOTE_ID_SIZE];
	/* By version: when the last VM so far applied it. */
	msp_time_t in_force_at[LEDGER_SIM_VERSIONS_MAX];
	uint64_t newest_version;
	unsigned int reverted; /* times that a VM's version decreased */
	unsigned int forked; /* times that a version had a second digest */
	unsigned int rejected_count;
	const char *last_rejected_reason;
} ledger_sim_t;

/*
 * Starts `vm_count` VMs, distributed round-robin over `place_count` places. The
 * caller zero-initialises `sim` and may set loss_pct, gossip_period, step and
 * options.
 */
void init_ledger_sim(ledger_sim_t *sim, uint64_t seed, unsigned int vm_count,
    unsigned int place_count);
void clear_ledger_sim(ledger_sim_t *sim);

/* Starts a VM with an empty ledger. */
void start_ledger_vm(ledger_sim_t *sim, unsigned int index);

/* Kills a VM: drops its ledger and its link to the store. */
void kill_ledger_vm(ledger_sim_t *sim, unsigned int index);

/* Cuts a place off from the others, and from the store if `store` is set. */
void set_place_isolated(
    ledger_sim_t *sim, unsigned int place, bool isolated, bool store);

void run_ledger_sim(ledger_sim_t *sim, msp_time_t span);

/* Runs until each running VM is at `version`; returns false after `span`. */
bool run_ledger_sim_to_version(
    ledger_sim_t *sim, uint64_t version, msp_time_t span);

/* The same for the newest version of all. */
bool run_ledger_sim_until_converged(ledger_sim_t *sim, msp_time_t span);

/* Parses a note and sets its base to that of `vm`. */
msp_note_t *parse_note_for_vm(const ledger_vm_t *vm, const char *text);

/* Creates a note that adds the region `name`, or changes it if it exists. */
msp_note_t *new_region_note(
    const ledger_vm_t *vm, const char *id, const char *name);

/* The result of a submission. */
typedef struct ledger_submit_result {
	bool ended; /* the other members are set */
	msp_status_t status;
	uint64_t version;
	bool rebased;
	char clashes[128];
	char other_note[MSP_NOTE_ID_SIZE];
	char message[256];
} ledger_submit_result_t;

/* The msp_submit_done_t whose `ctx` is a ledger_submit_result_t to fill. */
void copy_submit_result(void *ctx, const msp_submit_result_t *result);

#endif
