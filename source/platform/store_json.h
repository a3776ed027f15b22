#ifndef MSP_PLATFORM_STORE_JSON_H
#define MSP_PLATFORM_STORE_JSON_H

#include <json-c/json.h>

#include "monsoonspindle/base/buffer.h"

/* Messages of the stand-in's own control, in JSON. */

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

#endif
