#ifndef LEDGER_FLEET_H
#define LEDGER_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/coord/ledger.h"
#include "store_link.h"

#define FLEET_VMS_MAX 64
#define FLEET_VERSIONS_MAX 4096

/* A ledger with its link to the store. `ledger` is NULL while it is dead. */
typedef struct fleet_vm {
	struct ledger_fleet *fleet;
	unsigned int index;
	unsigned int place;
	msp_ledger_t *ledger;
	store_link_t *link;
	uint64_t version; /* in force; 0 after a start */
	unsigned int told_by; /* VM that last told of a newer version */
	msp_time_t next_gossip;
} fleet_vm_t;

/* A message between VMs, or an event on one. */
typedef struct fleet_message {
	TAILQ_ENTRY(fleet_message) entry;
	msp_time_t at;
	unsigned int from;
	unsigned int to;
	bool is_answer; /* of a fetch: `text`; else gossip of `version` */
	uint64_t version;
	msp_buffer_t text;
} fleet_message_t;

/*
 * VMs of several places on one virtual clock, with a shared store, lossy
 * gossip of versions and fetches between them. Records which digest each
 * version had, and counts what breaks the promise.
 */
typedef struct ledger_fleet {
	msp_virtual_env_t clock;
	msp_env_t env;
	msp_memory_store_t *store;
	unsigned int vm_count;
	unsigned int place_count;
	fleet_vm_t vms[FLEET_VMS_MAX];
	bool cut[FLEET_VMS_MAX]; /* by place: from other places */
	unsigned int loss_pct; /* of messages between VMs */
	msp_time_t gossip_period;
	msp_time_t step; /* of the clock */
	msp_ledger_options_t options; /* of each ledger */
	msp_counters_t *counters;
	TAILQ_HEAD(fleet_messages, fleet_message) messages;
	msp_digest_t digests[FLEET_VERSIONS_MAX];
	char notes[FLEET_VERSIONS_MAX][MSP_NOTE_ID_SIZE];
	msp_time_t in_force[FLEET_VERSIONS_MAX]; /* at the last VM so far */
	uint64_t newest;
	unsigned int reverted; /* a VM's version decreased */
	unsigned int forked; /* two digests of one version in force */
	unsigned int rejected_count;
	const char *last_rejected_reason;
} ledger_fleet_t;

/* Fills a zeroed fleet; `options` may set the ledgers' bounds. */
void init_ledger_fleet(ledger_fleet_t *fleet, uint64_t seed,
    unsigned int vm_count, unsigned int place_count);
void clear_ledger_fleet(ledger_fleet_t *fleet);

/* Starts a dead VM with an empty ledger; kills one, losing all it knows. */
void start_fleet_vm(ledger_fleet_t *fleet, unsigned int index);
void kill_fleet_vm(ledger_fleet_t *fleet, unsigned int index);

/* Cuts a place off from the others, and from the store if `store`. */
void cut_fleet_place(
    ledger_fleet_t *fleet, unsigned int place, bool cut, bool store);

void run_ledger_fleet(ledger_fleet_t *fleet, msp_time_t span);

/* Runs until each live VM is at `version`; false after `span`. */
bool run_fleet_to_version(
    ledger_fleet_t *fleet, uint64_t version, msp_time_t span);

/* Runs until all live VMs are ready at one version; false after `span`. */
bool run_fleet_together(ledger_fleet_t *fleet, msp_time_t span);

/* Parses a note and sets its base to that of `vm`. */
msp_note_t *new_fleet_note(const fleet_vm_t *vm, const char *text);

/* A note that adds, or changes if it is there, the region `name`. */
msp_note_t *new_region_note(
    const fleet_vm_t *vm, const char *id, const char *name);

/* What a submission came to. */
typedef struct fleet_result {
	bool ended;
	msp_status_t status;
	uint64_t version;
	bool rebased;
	char clashes[128];
	char other_note[MSP_NOTE_ID_SIZE];
	char message[256];
} fleet_result_t;

/* A msp_submit_done_t for a fleet_result_t. */
void note_fleet_result(void *ctx, const msp_submit_result_t *result);

#endif
