#ifndef MONSOONSPINDLE_NET_FIELDS_H
#define MONSOONSPINDLE_NET_FIELDS_H

#include "monsoonspindle/net/http.h"

struct lws;

/*
 * Copies the header fields of the message that `wsi` has just received, but
 * for those that belong to the connection. MSP_E_HEADERS_TOO_LARGE,
 * MSP_E_BAD_REQUEST or MSP_E_NO_MEMORY.
 */
msp_status_t msp_copy_fields(struct lws *wsi, msp_headers_t *headers);

/*
 * Reads the content length of the message that `wsi` has just received; -1 if
 * there is none. False if it is no number.
 */
bool msp_parse_content_length(struct lws *wsi, long long *length);

/* Whether a field belongs to one connection and is not passed on. */
bool msp_is_connection_field(const char *name);

/* Whether name and value may stand in a message: no line ends or NUL. */
bool msp_is_valid_field(const char *name, const char *value);

/* Appends the fields of `headers` in wire format. */
bool msp_write_fields(struct lws *wsi, const msp_headers_t *headers,
    unsigned char **at, unsigned char *end);

#endif
