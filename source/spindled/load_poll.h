#ifndef SPINDLED_LOAD_POLL_H
#define SPINDLED_LOAD_POLL_H

#include "service_dispatcher.h"

/* Asks each target of a dispatched service for its load, once a period. */
msp_status_t start_load_polls(service_dispatcher_t *service);
void stop_load_polls(service_dispatcher_t *service);

#endif
