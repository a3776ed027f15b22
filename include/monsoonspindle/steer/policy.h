#ifndef MONSOONSPINDLE_STEER_POLICY_H
#define MONSOONSPINDLE_STEER_POLICY_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"

/* What a service weighs most. */
typedef enum msp_preference {
	MSP_PREFER_LATENCY,
	MSP_PREFER_HEADROOM,
	MSP_PREFERENCE_COUNT
} msp_preference_t;

/* How the dispatchers of one service decide. */
typedef struct msp_dispatch_policy {
	msp_preference_t preference;
	/* Share of the slots that background requests leave free. */
	uint32_t reserve_percent;
	/* Share of the slots that work of other regions may fill up to. */
	uint32_t fill_percent;
	/* Retries and hedges for each hundred first tries. */
	uint32_t retry_budget_percent;
	bool hedge; /* a slow read may run on a second target */
	msp_time_t default_deadline; /* for requests that name none */
	/*
	 * Longest wait that a new interactive request is let in for; 0: as its
	 * deadline allows, as for the other classes.
	 */
	msp_time_t max_wait;
	msp_time_t initial_service_time; /* assumed until answers were seen */
	uint32_t queue_max; /* requests waiting */
} msp_dispatch_policy_t;

/* Returns the defaults of a preference. */
msp_dispatch_policy_t msp_default_policy(msp_preference_t preference);

/* "latency" or "headroom". */
const char *msp_preference_name(msp_preference_t preference);

/* MSP_E_RANGE if `name` is neither. */
msp_status_t msp_parse_preference(
    const char *name, msp_preference_t *preference);

#endif
