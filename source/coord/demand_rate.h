#ifndef COORD_DEMAND_RATE_H
#define COORD_DEMAND_RATE_H

#include "monsoonspindle/base/env.h"

/*
 * The rate of arrivals of the last seconds, as an exponentially weighted
 * average. Zero-initialise.
 */
typedef struct msp_demand_rate {
	double per_second; /* at `counted_at` */
	msp_time_t counted_at;
} msp_demand_rate_t;

void msp_count_demand(
    msp_demand_rate_t *rate, msp_time_t now, uint32_t arrived);
double msp_get_demand_rate(const msp_demand_rate_t *rate, msp_time_t now);

#endif
