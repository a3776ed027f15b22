#ifndef CONFIG_FIELD_VALUE_H
#define CONFIG_FIELD_VALUE_H

#include "field.h"

/* Returns MSP_E_RANGE with the message that `wanted` was expected. */
msp_status_t fail_field_type(field_context_t *context, const char *wanted);

/* Writes an integer into a member of 2, 4 or 8 bytes. */
void store_uint(const field_t *field, uint64_t value, char *member);

/* Check a value and write it into the member. MSP_E_RANGE. */
msp_status_t read_uint(field_context_t *context, struct json_object *value,
    const field_t *field, char *member);
msp_status_t read_enum(field_context_t *context, struct json_object *value,
    const field_t *field, char *member);
msp_status_t read_string(field_context_t *context, struct json_object *value,
    const field_t *field, char *member);
msp_status_t read_address(field_context_t *context, struct json_object *value,
    const field_t *field, char *member);
msp_status_t read_prefix(
    field_context_t *context, struct json_object *value, char *member);
msp_status_t read_double(field_context_t *context, struct json_object *value,
    const field_t *field, char *member);
msp_status_t read_endpoint_field(
    field_context_t *context, struct json_object *value, char *member);
void store_double(double value, char *member);

#endif
