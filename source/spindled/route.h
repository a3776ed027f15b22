#ifndef SPINDLED_ROUTE_H
#define SPINDLED_ROUTE_H

#include "proxy_request.h"

struct daemon;

/*
 * Brings the work to a dispatcher: the one of this data centre first, then,
 * while nothing of it can have run (a commit) or a retry is left (a read),
 * other data centres.
 */
void route_proxy_request(struct daemon *daemon, proxy_request_t *work);

#endif
