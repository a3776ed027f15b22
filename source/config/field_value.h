#ifndef CONFIG_FIELD_VALUE_H
#define CONFIG_FIELD_VALUE_H

#include "field.h"

/* MSP_E_RANGE for a value of another type than `wanted`. */
msp_status_t fail_field_type(field_context_t *context, const char *wanted);

/* Writes a number into a member of 2, 4 or 8 bytes. */
void store_number(const field_t *field, uint64_t value, char *member);

/* Each checks one value and writes it into the member. MSP_E_RANGE. */
msp_status_t read_number(field_context_t *context, struct json_object *value,
    const field_t *field, char *member);
msp_status_t read_choice(field_context_t *context, struct json_object *value,
    const field_t *field, char *member);
msp_status_t read_text(field_context_t *context, struct json_object *value,
    const field_t *field, char *member);
msp_status_t read_address(field_context_t *context, struct json_object *value,
    const field_t *field, char *member);
msp_status_t read_prefix(
    field_context_t *context, struct json_object *value, char *member);
msp_status_t read_real(field_context_t *context, struct json_object *value,
    const field_t *field, char *member);
msp_status_t read_endpoint_field(
    field_context_t *context, struct json_object *value, char *member);
void store_real(double value, char *member);

#endif
