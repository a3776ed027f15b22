#ifndef MSP_PLATFORM_VM_CONTROL_H
#define MSP_PLATFORM_VM_CONTROL_H

#include <json-c/json.h>

#include "monsoonspindle/platform/memory_store.h"

/*
 * Sets the store's list of VMs from {"vms": [...], "lag_ms": N}; lag_ms is
 * optional. Returns MSP_E_SYNTAX, with msp_last_message() set, if the message
 * is malformed.
 */
msp_status_t msp_apply_vm_list(
    msp_memory_store_t *store, struct json_object *message);

#endif
