#ifndef MONSOONSPINDLE_STANDINS_REPLY_H
#define MONSOONSPINDLE_STANDINS_REPLY_H

#include <json-c/json.h>

#include "monsoonspindle/net.h"

/* Answers with a JSON document, which is freed. */
void reply_json(msp_exchange_t *exchange, int status, json_object *document);

/* Answers with the problem document of `status`. */
void reply_problem(msp_exchange_t *exchange, msp_status_t status);

/* Parses the request's body as a JSON object; NULL if it is none. */
json_object *parse_json_body(const msp_exchange_t *exchange);

/* Members of an object, or `otherwise` if absent or of another type. */
long long get_member_number(
    json_object *object, const char *name, long long otherwise);
const char *get_member_text(
    json_object *object, const char *name, const char *otherwise);

/* Value of a number in the query of `path`, or `otherwise`. */
long long get_query_number(
    const char *path, const char *name, long long otherwise);

/* Prints the last message to stderr after the program's name. */
void print_last_error(const char *program);

#endif
