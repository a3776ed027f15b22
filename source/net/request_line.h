#ifndef MONSOONSPINDLE_NET_REQUEST_LINE_H
#define MONSOONSPINDLE_NET_REQUEST_LINE_H

#include "monsoonspindle/net/http.h"

struct lws;

/*
 * Fills in method, path and host of the request that `wsi` has just received.
 * libwebsockets decodes "%xx"; bytes that are not allowed in a path are encoded
 * again.
 */
msp_status_t msp_copy_request_line(struct lws *wsi, msp_request_t *request);

#endif
