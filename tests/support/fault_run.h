#ifndef SUPPORT_FAULT_RUN_H
#define SUPPORT_FAULT_RUN_H

#include "fleet.h"

/*
 * Requests that are not idempotent, sent to real processes while VMs and
 * targets are killed or frozen, or the platform fails: each fault alone, and
 * some in pairs. Callers resend to other VMs all the while.
 */

/* Group set-up and clean-up for cmocka; *state is the fleet. */
int start_fault_fleet(void **state);
int stop_fault_fleet(void **state);

/*
 * Runs all cases, with keys that the callers chose or that VMs issued, and
 * fails the test if a request ran twice or a response is wrong.
 */
void run_fault_cases(fleet_t *fleet, bool issued);

#endif
