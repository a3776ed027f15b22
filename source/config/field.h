#ifndef CONFIG_FIELD_H
#define CONFIG_FIELD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "monsoonspindle/base/buffer.h"
#include "json_check.h"

typedef enum field_type {
	FIELD_NAME, /* [a-z0-9][a-z0-9._-]*, min..max bytes */
	FIELD_TEXT, /* printable ASCII, min..max bytes */
	FIELD_ADDRESS, /* IP number */
	FIELD_PREFIX, /* IP number/bits, into a msp_prefix_t */
	FIELD_UINT, /* whole number min..max, of 2, 4 or 8 bytes */
	FIELD_REAL, /* 0..max, into a double; the preset is in thousandths */
	FIELD_ENDPOINT, /* "IP:PORT", into a msp_endpoint_t */
	FIELD_BOOL,
	FIELD_CHOICE, /* one of `choices`, into an enum */
	FIELD_OBJECT, /* a struct inside, described by `fields` */
	FIELD_LIST /* min..max structs, into a pointer to owned memory */
} field_type_t;

/* One key of a JSON object and the member of a struct that takes its value. */
typedef struct field {
	const char *name; /* NULL ends a table */
	field_type_t type;
	size_t offset; /* of the member */
	size_t size; /* bytes of the member; of an element for a list */
	size_t count_offset; /* list: of the size_t member with the count */
	uint64_t min;
	uint64_t max;
	bool required;
	uint64_t preset; /* default of a number, choice or bool */
	const char *const *choices; /* ends with NULL */
	const struct field *fields;
	const char *help;
} field_t;

#define FIELD(type_, struct_, member_)                         \
	.type = (type_), .offset = offsetof(struct_, member_), \
	.size = sizeof(((struct_ *)0)->member_)

/* Where a reader is, for messages. */
typedef struct field_context {
	const char *origin;
	char path[JSON_PATH_SIZE];
	size_t path_len;
} field_context_t;

/* Appends ".key", or "[index]" if `key` is NULL; returns the old length. */
size_t push_field_path(field_context_t *context, const char *key, size_t index);
void pop_field_path(field_context_t *context, size_t old);

/* MSP_E_RANGE with origin, path and the message. */
msp_status_t fail_field(field_context_t *context, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/*
 * Fills `out`, zeroed before, from `object`. On failure what `out` owns is
 * freed. MSP_E_RANGE, MSP_E_NO_MEMORY.
 */
msp_status_t read_fields(field_context_t *context, struct json_object *object,
    const field_t *fields, void *out);

/* Reads one value into the member of `out`. */
msp_status_t read_field(field_context_t *context, struct json_object *value,
    const field_t *field, void *out);

/* Frees the lists of a struct. */
void drop_fields(const field_t *fields, void *out);

/* Appends the struct as a JSON object: all keys, in the table's order. */
msp_status_t print_fields(
    const field_t *fields, const void *in, msp_buffer_t *out);

/* Appends `text` as a JSON string. */
msp_status_t print_json_string(const char *text, msp_buffer_t *out);

/* Appends a line a key: path, type, bounds, default and meaning. */
msp_status_t print_fields_help(
    const field_t *fields, const char *prefix, msp_buffer_t *out);

/*
 * Checks `text` and parses it into one object; NULL with a last message,
 * MSP_E_SYNTAX or MSP_E_RANGE in *status. Freed with json_object_put().
 */
struct json_object *parse_object(
    const char *text, size_t len, const char *origin, msp_status_t *status);

#endif
