#ifndef MONSOONSPINDLE_STEER_POLICY_H
#define MONSOONSPINDLE_STEER_POLICY_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"

/* What a service favours. */
typedef enum msp_preference {
	MSP_PREFER_LATENCY,
	MSP_PREFER_HEADROOM,
	MSP_PREFERENCE_COUNT
} msp_preference_t;

/* Parameters of the dispatchers of one service. */
typedef struct msp_dispatch_policy {
	msp_preference_t preference;
	/* Percentage of the slots that background requests leave free. */
	uint32_t reserve_percent;
	/* Utilisation up to which requests of other regions are accepted. */
	uint32_t fill_percent;
	/* Retries and hedges per hundred first attempts. */
	uint32_t retry_budget_percent;
	bool hedge; /* send a slow read to a second target */
	msp_time_t default_deadline; /* for requests without a deadline */
	/*
	 * Longest estimated wait at which a new interactive request is
	 * admitted. 0: only its deadline counts, as for the other classes.
	 */
	msp_time_t max_wait;
	msp_time_t initial_service_time; /* assumed until it is measured */
	uint32_t queue_max; /* requests that may wait */
} msp_dispatch_policy_t;

/* Returns the default policy for a preference. */
msp_dispatch_policy_t msp_default_policy(msp_preference_t preference);

/* "latency" or "headroom". */
const char *msp_preference_name(msp_preference_t preference);

/* Returns MSP_E_RANGE if `name` is unknown. */
msp_status_t msp_parse_preference(
    const char *name, msp_preference_t *preference);

#endif
