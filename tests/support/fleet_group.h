#ifndef SUPPORT_FLEET_GROUP_H
#define SUPPORT_FLEET_GROUP_H

#include "fleet.h"

/*
 * Group set-up for cmocka: starts a fleet and submits its initial note. *state
 * is set to the fleet. Returns 0, or -1 on failure.
 */
int start_fleet_group(void **state, const fleet_options_t *options);

/* Group clean-up for cmocka. */
int stop_fleet_group(void **state);

#endif
