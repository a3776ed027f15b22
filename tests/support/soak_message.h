#ifndef SUPPORT_SOAK_MESSAGE_H
#define SUPPORT_SOAK_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>

#include "monsoonspindle/base/buffer.h"

/* A request or a response as it was read from a socket. */
typedef struct soak_message {
	char method[16]; /* of a request */
	char path[128];
	int status; /* of a response */
	char *head; /* owned */
	msp_buffer_t body; /* without its chunks */
} soak_message_t;

typedef enum soak_parse {
	SOAK_INCOMPLETE,
	SOAK_COMPLETE,
	SOAK_MALFORMED
} soak_parse_t;

/*
 * Takes one message from the start of `in`. If it is complete, it is removed
 * from `in` and must be dropped.
 */
soak_parse_t take_soak_message(
    msp_buffer_t *in, bool is_response, soak_message_t *message);

/* Reads only the head, and removes nothing; returns whether it is complete. */
bool peek_soak_request(const msp_buffer_t *in, soak_message_t *message);
void drop_soak_message(soak_message_t *message);

/* Copies a field's value; returns whether the message has the field. */
bool get_soak_field(
    const soak_message_t *message, const char *name, char *out, size_t size);

#endif
