#ifndef SPINDLED_LOAD_REPORT_H
#define SPINDLED_LOAD_REPORT_H

#include "monsoonspindle/steer/dispatcher.h"

/* A target's load as reported by the target. */
typedef struct load_report {
	uint32_t slots;
	uint32_t in_use;
	msp_target_state_t state;
} load_report_t;

/*
 * Parses {"slots": 9, "in_use": 2, "state": "ready"}. Returns MSP_E_SYNTAX for
 * a missing member or a wrong type, MSP_E_RANGE for an invalid value.
 */
msp_status_t parse_load_report(
    const char *text, size_t len, load_report_t *report);

#endif
