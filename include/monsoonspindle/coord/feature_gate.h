#ifndef MONSOONSPINDLE_COORD_FEATURE_GATE_H
#define MONSOONSPINDLE_COORD_FEATURE_GATE_H

#include <stddef.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/coord/protocol.h"

/* How long all VMs must be able to use a feature before it is used. */
#define MSP_FEATURE_GATE_DELAY (3 * MSP_SECOND)

/*
 * Decides whether a feature is used that works only if all VMs of the data
 * centre use it. It is used once all of them have spoken its version for
 * MSP_FEATURE_GATE_DELAY, and no longer once one is known not to. A VM whose
 * range is not known yet, as it has just joined, changes nothing, so that VMs
 * that come and go don't switch the feature back and forth. Zero-initialise.
 */
typedef struct msp_feature_gate {
	bool is_open;
	msp_time_t ready_since; /* 0: not all VMs are known to be able */
} msp_feature_gate_t;

/*
 * Updates the gate of the feature that needs `version` by the ranges of all
 * live VMs, this one included. Returns whether the feature is to be used.
 */
bool msp_update_feature_gate(msp_feature_gate_t *gate, msp_time_t now,
    uint32_t version, const msp_protocol_range_t *ranges, size_t count);

#endif
