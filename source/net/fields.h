#ifndef MONSOONSPINDLE_NET_FIELDS_H
#define MONSOONSPINDLE_NET_FIELDS_H

#include "monsoonspindle/net/http.h"

struct lws;

/*
 * Copies the header fields of the message that `wsi` has just received, except
 * for the connection-specific ones. Fails with MSP_E_HEADERS_TOO_LARGE,
 * MSP_E_BAD_REQUEST or MSP_E_NO_MEMORY.
 */
msp_status_t msp_copy_fields(struct lws *wsi, msp_headers_t *headers);

/*
 * Parses the Content-Length of the message that `wsi` has just received; -1 if
 * it has none. Returns false if the value is invalid.
 */
bool msp_parse_content_length(struct lws *wsi, long long *length);

/*
 * Whether a field applies to a single connection or is written by the client
 * and the server themselves (Host, Content-Length), so that it isn't forwarded.
 */
bool msp_is_connection_field(const char *name);

/*
 * Whether name and value are allowed in a message: they have no line ends or
 * other control characters.
 */
bool msp_is_valid_field(const char *name, const char *value);

/* Appends the valid end-to-end fields of `headers`; false if out of space. */
bool msp_write_fields(struct lws *wsi, const msp_headers_t *headers,
    unsigned char **at, unsigned char *end);

#endif
