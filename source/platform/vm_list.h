#ifndef MSP_PLATFORM_VM_LIST_H
#define MSP_PLATFORM_VM_LIST_H

#include <bsd/sys/queue.h>

#include "captured_reply.h"
#include "monsoonspindle/base/env.h"

/* The list of VMs as it was set once. */
typedef struct msp_vm_snapshot {
	TAILQ_ENTRY(msp_vm_snapshot) entry;
	msp_time_t visible_at; /* replaces the previous snapshot then */
	msp_vm_t *vms;
	size_t count;
} msp_vm_snapshot_t;

/* A list of VMs that lags: a new snapshot is returned only after a delay. */
typedef struct msp_vm_list {
	TAILQ_HEAD(msp_vm_snapshots, msp_vm_snapshot)
	snapshots; /* oldest first */
} msp_vm_list_t;

void msp_init_vm_list(msp_vm_list_t *list);
void msp_clear_vm_list(msp_vm_list_t *list);
msp_status_t msp_add_vm_snapshot(msp_vm_list_t *list, const msp_vm_t *vms,
    size_t count, msp_time_t visible_at);

/* Copies the newest snapshot that is visible at `now` to `captured`. */
msp_status_t msp_capture_vm_list(
    msp_vm_list_t *list, msp_time_t now, msp_captured_reply_t *captured);

#endif
