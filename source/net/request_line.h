#ifndef MONSOONSPINDLE_NET_REQUEST_LINE_H
#define MONSOONSPINDLE_NET_REQUEST_LINE_H

#include "monsoonspindle/net/http.h"

struct lws;

/*
 * Fills method and path of the request that `wsi` has just received. The
 * library decodes "%xx"; what cannot stand in a path is encoded again.
 */
msp_status_t msp_copy_request_line(struct lws *wsi, msp_request_t *request);

#endif
