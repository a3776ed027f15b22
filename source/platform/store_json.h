#ifndef MSP_PLATFORM_STORE_JSON_H
#define MSP_PLATFORM_STORE_JSON_H

#include <json-c/json.h>

#include "captured_reply.h"
#include "monsoonspindle/base/buffer.h"
#include "store_call.h"

/* The messages of docs/PLATFORM.md in JSON. */

/* Parses a whole text that must be one object; NULL with a last message. */
struct json_object *msp_parse_json_object(const char *text, size_t len);

/* MSP_E_SYNTAX if `name` is missing or of another type. Borrowed. */
msp_status_t msp_json_text(
    struct json_object *object, const char *name, const char **out);
msp_status_t msp_json_number(
    struct json_object *object, const char *name, uint64_t max, uint64_t *out);
msp_status_t msp_json_array(
    struct json_object *object, const char *name, struct json_object **out);

/* Prints `object` into `out` and drops it. */
msp_status_t msp_print_json(msp_buffer_t *out, struct json_object *object);

msp_status_t msp_encode_txn(msp_buffer_t *out, const msp_txn_t *txn);
msp_status_t msp_encode_keys(
    msp_buffer_t *out, const char *const *keys, size_t count);
msp_status_t msp_encode_scan(
    msp_buffer_t *out, const char *prefix, const char *after, size_t limit);
msp_status_t msp_encode_rows(
    msp_buffer_t *out, const msp_row_t *rows, size_t count);
msp_status_t msp_encode_vms(
    msp_buffer_t *out, const msp_vm_t *vms, size_t count);

/* Each returns a call with the arguments in it, or NULL with a last message. */
msp_store_call_t *msp_decode_txn(struct json_object *message);
msp_store_call_t *msp_decode_keys(struct json_object *message);
msp_store_call_t *msp_decode_scan(struct json_object *message);

msp_status_t msp_decode_rows(
    struct json_object *message, msp_captured_reply_t *captured);
msp_status_t msp_decode_vms(
    struct json_object *message, msp_captured_reply_t *captured);

#endif
