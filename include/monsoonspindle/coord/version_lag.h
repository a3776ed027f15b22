#ifndef MONSOONSPINDLE_COORD_VERSION_LAG_H
#define MONSOONSPINDLE_COORD_VERSION_LAG_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * For how long a VM has known that others have a newer version of something
 * than itself. Zero-initialise.
 */
typedef struct msp_version_lag {
	uint64_t own; /* version, at the last update */
	uint64_t newest; /* of any VM, as the next member */
	msp_time_t since; /* since when `own` is older; 0: it is not */
} msp_version_lag_t;

/*
 * Records the versions at `now`. The time counts from the first update at which
 * `own` was older than `newest`, and anew when `own` has changed.
 */
void msp_update_version_lag(
    msp_version_lag_t *lag, msp_time_t now, uint64_t own, uint64_t newest);

/* Whether the own version has been older for at least `tolerance`. */
bool msp_version_is_outdated(
    const msp_version_lag_t *lag, msp_time_t now, msp_time_t tolerance);

#endif
