#ifndef MONSOONSPINDLE_NET_HTTP_H
#define MONSOONSPINDLE_NET_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/buffer.h"

#define MSP_HEADERS_MAX 64 /* header fields in one message */
#define MSP_PATH_MAX 4096 /* bytes, including the query string */
#define MSP_HOST_MAX 256 /* bytes of a Host field, including the final NUL */

/* One header field. The names of received fields are in lower case. */
typedef struct msp_header {
	char *name;
	char *value;
} msp_header_t;

/* List of header fields, which owns their strings. Zero-initialise. */
typedef struct msp_headers {
	msp_header_t fields[MSP_HEADERS_MAX];
	size_t count;
} msp_headers_t;

/*
 * Appends a field; copies both strings. Fails with MSP_E_HEADERS_TOO_LARGE if
 * the list already holds MSP_HEADERS_MAX fields.
 */
msp_status_t msp_add_header(
    msp_headers_t *headers, const char *name, const char *value);
/*
 * Appends a field with a formatted value. Fails with MSP_E_TOO_LARGE if the
 * value is over 1023 bytes.
 */
msp_status_t msp_print_header(msp_headers_t *headers, const char *name,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));

/*
 * Returns the value of the first field called `name`, in any case, or NULL. The
 * list keeps ownership.
 */
const char *msp_find_header(const msp_headers_t *headers, const char *name);

/* Removes the fields whose name `matches`. */
void msp_remove_headers(msp_headers_t *headers,
    bool (*matches)(void *ctx, const char *name), void *ctx);
void msp_drop_headers(msp_headers_t *headers);

/*
 * Registers a header name, for the whole process, so that the HTTP client reads
 * it from responses. libwebsockets can't enumerate the fields that it has no
 * token for, but only look them up by name, so unregistered fields are not
 * seen. The names of common extensions are registered from the start, such as
 * Idempotency-Key, X-Request-ID, Request-Timeout and traceparent. Fails with
 * MSP_E_RANGE if there are 128 names already or the name is over 126 bytes.
 */
msp_status_t msp_register_header(const char *name);

/*
 * A complete request. Zero-initialise; msp_drop_request() frees what it owns.
 */
typedef struct msp_request {
	char method[16];
	char path[MSP_PATH_MAX]; /* including "?query" if there is one */
	char host[MSP_HOST_MAX]; /* Host field; "" sends the server's address */
	/* Without Host, Content-Length and connection-specific fields. */
	msp_headers_t headers;
	msp_buffer_t body;
} msp_request_t;

/*
 * A complete response. Zero-initialise; msp_drop_response() frees what it owns.
 */
typedef struct msp_response {
	int status; /* HTTP status code */
	/* Without Content-Length and connection-specific fields. */
	msp_headers_t headers;
	msp_buffer_t body;
} msp_response_t;

/* Copies all of a request; `to` need not be initialised. */
msp_status_t msp_copy_request(const msp_request_t *from, msp_request_t *to);

void msp_drop_request(msp_request_t *request);
void msp_drop_response(msp_response_t *response);

#endif
