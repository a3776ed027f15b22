#ifndef MSP_PLATFORM_CAPTURED_REPLY_H
#define MSP_PLATFORM_CAPTURED_REPLY_H

#include "monsoonspindle/platform/store.h"

/* A reply that owns what it points to. Zero-initialise. */
typedef struct msp_captured_reply {
	msp_store_reply_t reply;
	msp_row_t *rows; /* reply.row_count are used */
	size_t row_capacity;
	char *object;
	msp_vm_t *vms;
} msp_captured_reply_t;

void msp_drop_captured_reply(msp_captured_reply_t *captured);

/* Each stores a copy in the reply. `value` is NULL for an absent row. */
msp_status_t msp_capture_row(msp_captured_reply_t *captured, const char *key,
    const char *value, size_t value_len, uint64_t version);
msp_status_t msp_capture_object(
    msp_captured_reply_t *captured, const void *data, size_t len);
msp_status_t msp_capture_vms(
    msp_captured_reply_t *captured, const msp_vm_t *vms, size_t count);

#endif
