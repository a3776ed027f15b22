#ifndef SPINDLED_TARGET_REPORT_H
#define SPINDLED_TARGET_REPORT_H

#include "service_dispatch.h"

/* Asks each target of a dispatched service for its load, once a period. */
msp_status_t start_reports(service_dispatch_t *service);
void stop_reports(service_dispatch_t *service);

#endif
