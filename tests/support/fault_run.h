#ifndef SUPPORT_FAULT_RUN_H
#define SUPPORT_FAULT_RUN_H

#include "fleet.h"

/*
 * Callers send requests that are not idempotent to real processes, and resend
 * them to random VMs, while VMs and targets are killed or frozen, targets close
 * connections, or the platform fails: each fault alone, and some in pairs.
 */

/* Group set-up and clean-up for cmocka; *state is the fleet. */
int start_fault_fleet(void **state);
int stop_fault_fleet(void **state);

/*
 * Runs all cases, with keys that the callers chose or that VMs issued, and
 * fails the test if a request ran more than once or a response is wrong.
 */
void run_fault_cases(fleet_t *fleet, bool issued);

#endif
