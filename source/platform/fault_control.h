#ifndef MSP_PLATFORM_FAULT_CONTROL_H
#define MSP_PLATFORM_FAULT_CONTROL_H

#include <json-c/json.h>

#include "monsoonspindle/base/buffer.h"
#include "monsoonspindle/platform/memory_store.h"

/*
 * Sets the faults that `message` names and leaves the others; prints the
 * store's statistics. MSP_E_SYNTAX, with no fault changed, for an unknown
 * name or a value out of range.
 */
msp_status_t msp_set_store_faults(
    msp_memory_store_t *store, struct json_object *message, msp_buffer_t *out);

#endif
