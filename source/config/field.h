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
	FIELD_STRING, /* printable ASCII, min..max bytes */
	FIELD_ADDRESS, /* IP address */
	FIELD_PREFIX, /* CIDR block, into a msp_prefix_t */
	FIELD_UINT, /* integer min..max, of 2, 4 or 8 bytes */
	FIELD_DOUBLE, /* number min..max, into a double */
	FIELD_ENDPOINT, /* "IP:PORT", into a msp_endpoint_t */
	FIELD_BOOL,
	FIELD_ENUM, /* one of `choices`, into an enum */
	FIELD_OBJECT, /* nested struct, described by `fields` */
	FIELD_LIST /* array of min..max structs, in owned memory */
} field_type_t;

/* Maps a key of a JSON object to a struct member. */
typedef struct field {
	const char *name; /* NULL ends a table */
	field_type_t type;
	size_t offset; /* of the member in the struct */
	size_t size; /* bytes of the member; for a list, of an element */
	size_t count_offset; /* list: offset of its size_t element count */
	uint64_t min;
	uint64_t max;
	bool required;
	/* Of an enum the index in `choices`, of a double in thousandths. */
	uint64_t default_value;
	const char *const *choices; /* values of an enum, NULL-terminated */
	const struct field *fields; /* of an object, or a list's elements */
	const char *help;
} field_t;

#define FIELD(type_, struct_, member_)                         \
	.type = (type_), .offset = offsetof(struct_, member_), \
	.size = sizeof(((struct_ *)0)->member_)

/* Position in a document, for messages. */
typedef struct field_context {
	const char *origin; /* name of the document */
	char path[JSON_PATH_SIZE]; /* like "targets[3].name" */
	size_t path_len;
} field_context_t;

/*
 * Appends ".key" to the path, or "[index]" if `key` is NULL, unless it would
 * overflow. Returns the old length, for pop_field_path().
 */
size_t push_field_path(field_context_t *context, const char *key, size_t index);
void pop_field_path(field_context_t *context, size_t old_len);

/* Returns MSP_E_RANGE; the message is prefixed with origin and path. */
msp_status_t fail_field(field_context_t *context, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/*
 * Fills the zeroed struct `out` from `object`. On failure the lists of `out`
 * are freed. MSP_E_RANGE, MSP_E_NO_MEMORY.
 */
msp_status_t read_fields(field_context_t *context, struct json_object *object,
    const field_t *fields, void *out);

/* Reads one value into its member of `out`. */
msp_status_t read_field(field_context_t *context, struct json_object *value,
    const field_t *field, void *out);

/* Frees the lists of a struct and its nested structs. */
void drop_fields(const field_t *fields, void *out);

/* Appends the struct as a JSON object with all keys in the table's order. */
msp_status_t print_fields(
    const field_t *fields, const void *in, msp_buffer_t *out);

/* Appends `text` as a quoted JSON string. */
msp_status_t print_json_string(const char *text, msp_buffer_t *out);

/* Appends a line per key: path, type and range, default and meaning. */
msp_status_t print_fields_help(
    const field_t *fields, const char *prefix, msp_buffer_t *out);

/*
 * Checks and parses a JSON object, which the caller frees by json_object_put().
 * On failure returns NULL and sets *status: MSP_E_SYNTAX, MSP_E_RANGE or
 * MSP_E_NO_MEMORY.
 */
struct json_object *parse_json_document(
    const char *text, size_t len, const char *origin, msp_status_t *status);

#endif
