#include "demand_rate.h"

#include <math.h>

/* Arrivals count for less by a factor of e after this time. */
#define AVERAGE_S 2.0

double
msp_get_demand_rate(const msp_demand_rate_t *rate, msp_time_t now)
{
	double seconds = (double)(now - rate->counted_at) / (double)MSP_SECOND;

	return rate->per_second * exp(-seconds / AVERAGE_S);
}

void
msp_count_demand(msp_demand_rate_t *rate, msp_time_t now, uint32_t arrived)
{
	rate->per_second = msp_get_demand_rate(rate, now) + arrived / AVERAGE_S;
	rate->counted_at = now;
}
