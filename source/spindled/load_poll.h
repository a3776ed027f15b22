#ifndef SPINDLED_LOAD_POLL_H
#define SPINDLED_LOAD_POLL_H

#include "service_dispatcher.h"

/* Requests the load of each of the service's targets periodically. */
msp_status_t start_load_polls(service_dispatcher_t *service);
void stop_load_polls(service_dispatcher_t *service);

#endif
