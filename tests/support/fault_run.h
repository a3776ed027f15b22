#ifndef SUPPORT_FAULT_RUN_H
#define SUPPORT_FAULT_RUN_H

#include "fleet.h"

/*
 * Commits under faults of real processes: kills, freezes, an outage of the
 * platform, alone and in pairs. Callers try again at other VMs all the while.
 */

/* Group set-up and clean-up for cmocka; *state is the fleet. */
int start_fault_fleet(void **state);
int stop_fault_fleet(void **state);

/*
 * Runs all cases, with the callers' own keys or with issued ones, and fails the
 * test for a broken promise.
 */
void run_fault_cases(fleet_t *fleet, bool issued);

#endif
