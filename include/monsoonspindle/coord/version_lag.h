#ifndef MONSOONSPINDLE_COORD_VERSION_LAG_H
#define MONSOONSPINDLE_COORD_VERSION_LAG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

#define MSP_VERSION_LAG_MAX 8 /* newer versions that are kept apart */

typedef struct msp_newer_version {
	uint64_t version;
	msp_time_t known_since;
} msp_newer_version_t;

/*
 * For how long a VM has known that others have a newer version of something
 * than itself. A version that was once known stays known, also if the VM that
 * had it is lost. Zero-initialise.
 */
typedef struct msp_version_lag {
	uint64_t newest; /* version of any VM, so far */
	msp_newer_version_t newer[MSP_VERSION_LAG_MAX]; /* by version */
	size_t count; /* of `newer` */
} msp_version_lag_t;

/* Records the own version and the newest one of other VMs at `now`. */
void msp_update_version_lag(
    msp_version_lag_t *lag, msp_time_t now, uint64_t own, uint64_t newest);

/*
 * Whether a version newer than the own one has been known for at least
 * `tolerance`.
 */
bool msp_version_is_outdated(
    const msp_version_lag_t *lag, msp_time_t now, msp_time_t tolerance);

#endif
