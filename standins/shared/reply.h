#ifndef MONSOONSPINDLE_STANDINS_REPLY_H
#define MONSOONSPINDLE_STANDINS_REPLY_H

#include <json-c/json.h>

#include "monsoonspindle/net.h"

/* Sends a JSON document as the response, and frees it. */
void reply_json(msp_exchange_t *exchange, int status, json_object *document);

/* Sends the problem document of `status`. */
void reply_problem(msp_exchange_t *exchange, msp_status_t status);

/* Parses the body of the request. Returns NULL if it is not a JSON object. */
json_object *parse_json_body(const msp_exchange_t *exchange);

/*
 * Member of an object, or `default_value` if it is absent or of another type.
 * The text is valid as long as the object.
 */
long long get_member_number(
    json_object *object, const char *name, long long default_value);
const char *get_member_text(
    json_object *object, const char *name, const char *default_value);

/* Number in the query string of `path`, or `default_value` if it is absent. */
long long get_query_number(
    const char *path, const char *name, long long default_value);

/* Prints the last message to standard error, after the name of the program. */
void print_last_error(const char *program);

#endif
