#ifndef MSP_PLATFORM_FAULT_CONTROL_H
#define MSP_PLATFORM_FAULT_CONTROL_H

#include <json-c/json.h>

#include "monsoonspindle/base/buffer.h"
#include "monsoonspindle/platform/memory_store.h"

/*
 * Sets the faults that `message` contains, by their names in
 * msp_store_faults_t, and leaves the others; then prints the store's counters
 * to `out`. Returns MSP_E_SYNTAX, with no fault changed, for an unknown name or
 * an invalid value.
 */
msp_status_t msp_set_store_faults(
    msp_memory_store_t *store, struct json_object *message, msp_buffer_t *out);

#endif
