#ifndef SPINDLED_ROUTE_H
#define SPINDLED_ROUTE_H

#include "work.h"

struct daemon;

/*
 * Brings the work to a dispatcher: the one of this data centre first, then,
 * while nothing of it can have run (a commit) or a retry is left (a read),
 * other data centres.
 */
void run_routed(struct daemon *daemon, work_t *work);

#endif
