#ifndef SPINDLED_ROUTE_H
#define SPINDLED_ROUTE_H

#include "proxy_request.h"

struct daemon;

/*
 * Sends a request to a dispatcher: that of this data centre first, unless the
 * spillover sends it elsewhere. After a failure it is retried at other
 * dispatchers, also of other data centres, if it cannot have run or is a read
 * with retries left.
 */
void route_proxy_request(struct daemon *daemon, proxy_request_t *request);

#endif
