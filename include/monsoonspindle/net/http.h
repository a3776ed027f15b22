#ifndef MONSOONSPINDLE_NET_HTTP_H
#define MONSOONSPINDLE_NET_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/buffer.h"

#define MSP_HEADERS_MAX 64 /* header fields of one message */
#define MSP_PATH_MAX 4096 /* bytes, with the query */
#define MSP_HOST_MAX 256 /* bytes of a Host field, with the final 0 */

/* One header field. In a list that is received, names are in lower case. */
typedef struct msp_header {
	char *name;
	char *value;
} msp_header_t;

/* Header fields; strings owned by the list. Zero-initialise. */
typedef struct msp_headers {
	msp_header_t fields[MSP_HEADERS_MAX];
	size_t count;
} msp_headers_t;

/* MSP_E_HEADERS_TOO_LARGE past MSP_HEADERS_MAX. Copies both strings. */
msp_status_t msp_add_header(
    msp_headers_t *headers, const char *name, const char *value);
msp_status_t msp_print_header(msp_headers_t *headers, const char *name,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));

/* Returns the first value of `name` (any case), or NULL. Borrowed. */
const char *msp_find_header(const msp_headers_t *headers, const char *name);
void msp_drop_headers(msp_headers_t *headers);

/*
 * Makes a header name known to the process. libwebsockets hands over fields
 * that it has a token for, and others by name only, so that any further field
 * of a message is not seen. Names of common extensions are known from the
 * start, such as Idempotency-Key, X-Request-ID, Request-Timeout, traceparent.
 * Fails with MSP_E_RANGE past 128 names.
 */
msp_status_t msp_register_header(const char *name);

/* A whole request. Zero-initialise; msp_drop_request() frees what it owns. */
typedef struct msp_request {
	char method[16];
	char path[MSP_PATH_MAX]; /* with "?query" if there is one */
	char host[MSP_HOST_MAX]; /* Host field; "": the server's address */
	msp_headers_t headers; /* without host, connection and length */
	msp_buffer_t body;
} msp_request_t;

/* A whole answer. Zero-initialise; msp_drop_response() frees what it owns. */
typedef struct msp_response {
	int status; /* HTTP status code */
	msp_headers_t headers; /* without connection and length */
	msp_buffer_t body;
} msp_response_t;

void msp_drop_request(msp_request_t *request);
void msp_drop_response(msp_response_t *response);

#endif
