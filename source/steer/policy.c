#include "monsoonspindle/steer/policy.h"

#include <string.h>

static const char *const preference_names[MSP_PREFERENCE_COUNT] = {
    [MSP_PREFER_LATENCY] = "latency",
    [MSP_PREFER_HEADROOM] = "headroom",
};

msp_dispatch_policy_t
msp_default_policy(msp_preference_t preference)
{
	msp_dispatch_policy_t policy = {
	    .preference = preference,
	    .reserve_percent = 10,
	    .fill_percent = 95,
	    .retry_budget_percent = 10,
	    .hedge = true,
	    .default_deadline = 10 * MSP_SECOND,
	    .max_wait = 100 * MSP_MS,
	    .initial_service_time = 50 * MSP_MS,
	    .queue_max = 1000,
	};

	if (preference == MSP_PREFER_HEADROOM) {
		policy.reserve_percent = 25;
		policy.fill_percent = 85;
		policy.hedge = false;
		policy.max_wait = 200 * MSP_MS;
	}
	return policy;
}

const char *
msp_preference_name(msp_preference_t preference)
{
	return (unsigned int)preference < MSP_PREFERENCE_COUNT
	    ? preference_names[preference]
	    : "unknown";
}

msp_status_t
msp_parse_preference(const char *name, msp_preference_t *preference)
{
	unsigned int i;

	for (i = 0; i < MSP_PREFERENCE_COUNT; i++) {
		if (strcmp(preference_names[i], name) == 0) {
			*preference = (msp_preference_t)i;
			return MSP_OK;
		}
	}
	return msp_fail(MSP_E_RANGE, "unknown preference \"%s\"", name);
}
