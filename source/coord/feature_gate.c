#include "monsoonspindle/coord/feature_gate.h"

typedef enum readiness {
	ALL_ABLE,
	NOT_KNOWN, /* of some, and none is known to be unable */
	SOME_UNABLE,
} readiness_t;

static readiness_t
get_readiness(
    uint32_t version, const msp_protocol_range_t *ranges, size_t count)
{
	readiness_t readiness = ALL_ABLE;
	size_t i;

	for (i = 0; i < count; i++) {
		if (ranges[i].newest == 0)
			readiness = NOT_KNOWN;
		else if (version < ranges[i].oldest ||
		    version > ranges[i].newest)
			return SOME_UNABLE;
	}
	return readiness;
}

bool
msp_update_feature_gate(msp_feature_gate_t *gate, msp_time_t now,
    uint32_t version, const msp_protocol_range_t *ranges, size_t count)
{
	readiness_t readiness = get_readiness(version, ranges, count);

	if (readiness == SOME_UNABLE) {
		*gate = (msp_feature_gate_t){0};
		return false;
	}
	if (gate->is_open)
		return true;
	if (readiness == NOT_KNOWN) {
		gate->ready_since = 0;
		return false;
	}
	if (gate->ready_since == 0)
		gate->ready_since = now;
	gate->is_open = now >= gate->ready_since + MSP_FEATURE_GATE_DELAY;
	return gate->is_open;
}
