#ifndef SUPPORT_FLEET_GROUP_H
#define SUPPORT_FLEET_GROUP_H

#include "fleet.h"

/*
 * Set-up of a cmocka group: starts a fleet and puts its first note in force.
 * *state is the fleet. Returns 0, or -1.
 */
int start_fleet_group(void **state, const fleet_options_t *options);

/* Clean-up of the group. */
int stop_fleet_group(void **state);

#endif
