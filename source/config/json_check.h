#ifndef CONFIG_JSON_CHECK_H
#define CONFIG_JSON_CHECK_H

#include <stddef.h>

#include "monsoonspindle/base/status.h"

#define JSON_DEPTH_MAX 12 /* nesting of objects and lists */
#define JSON_KEYS_MAX 64 /* keys of one object */
#define JSON_PATH_SIZE 256 /* bytes of a key path in messages */

/*
 * Checks that `text` is a single JSON value by the strict grammar, possibly
 * with comments, in valid UTF-8, without duplicate keys and within the limits
 * above. json-c is lenient in all of these. Messages contain `origin`, line and
 * key path.
 *
 * MSP_E_SYNTAX, or MSP_E_RANGE for a duplicate key.
 */
msp_status_t check_json(const char *text, size_t len, const char *origin);

#endif
