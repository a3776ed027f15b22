#include "vm_list.h"

#include <stdlib.h>
#include <string.h>

void
msp_init_vm_list(msp_vm_list_t *list)
{
	TAILQ_INIT(&list->snapshots);
}

static void
drop_oldest(msp_vm_list_t *list)
{
	msp_vm_snapshot_t *first = TAILQ_FIRST(&list->snapshots);

	TAILQ_REMOVE(&list->snapshots, first, entry);
	free(first->vms);
	free(first);
}

void
msp_clear_vm_list(msp_vm_list_t *list)
{
	while (!TAILQ_EMPTY(&list->snapshots))
		drop_oldest(list);
}

msp_status_t
msp_add_vm_snapshot(msp_vm_list_t *list, const msp_vm_t *vms, size_t count,
    msp_time_t visible_at)
{
	msp_vm_snapshot_t *snapshot = calloc(1, sizeof(*snapshot));

	if (snapshot == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for VMs");
	snapshot->vms = calloc(count + 1, sizeof(*vms));
	if (snapshot->vms == NULL) {
		free(snapshot);
		return msp_fail(MSP_E_NO_MEMORY, "no memory for VMs");
	}
	if (count > 0)
		memcpy(snapshot->vms, vms, count * sizeof(*vms));
	snapshot->count = count;
	snapshot->visible_at = visible_at;
	TAILQ_INSERT_TAIL(&list->snapshots, snapshot, entry);
	return MSP_OK;
}

msp_status_t
msp_capture_vm_list(
    msp_vm_list_t *list, msp_time_t now, msp_captured_reply_t *captured)
{
	const msp_vm_snapshot_t *first = TAILQ_FIRST(&list->snapshots);
	const msp_vm_snapshot_t *next;

	while (first != NULL && (next = TAILQ_NEXT(first, entry)) != NULL &&
	    next->visible_at <= now) {
		drop_oldest(list);
		first = next;
	}
	if (first == NULL || first->visible_at > now)
		return msp_capture_vms(captured, NULL, 0);
	return msp_capture_vms(captured, first->vms, first->count);
}
