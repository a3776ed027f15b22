#include "monsoonspindle/steer/target_traffic.h"

#include <math.h>

/* Time constants of exponential decay: the value falls to 1/e. */
#define REPORT_DECAY (2 * MSP_SECOND)
#define FAILURE_DECAY (5 * MSP_SECOND)
#define RATIO_DECAY (5 * MSP_SECOND)
/* Weights of a new sample in the moving averages. */
#define REPORT_WEIGHT 0.6
#define OUTCOME_WEIGHT 0.15
#define RATIO_WEIGHT 0.2
/* Limits of one sample of the latency ratio. */
#define RATIO_MIN 0.5
#define RATIO_MAX 12.0
/* How long a target that refused a request as full is avoided. */
#define FULL_PAUSE (100 * MSP_MS)

static double
decay(double value, msp_time_t age, msp_time_t span)
{
	return value * exp(-(double)age / (double)span);
}

void
msp_record_server_load(msp_target_traffic_t *traffic, msp_time_t now,
    const msp_server_load_t *load)
{
	double total = (double)load->running + (double)load->waiting;
	/* The target still counts the request that it responds to. */
	double others = total - 1 - (double)traffic->in_flight;
	double weight =
	    msp_server_load_weight(traffic, now) * (1 - REPORT_WEIGHT);

	if (others < 0)
		others = 0;
	traffic->other_vms_load =
	    traffic->other_vms_load * weight + others * (1 - weight);
	traffic->reported_at = now;
	if (total < load->slots)
		traffic->full_until = 0;
}

void
msp_record_target_full(msp_target_traffic_t *traffic, msp_time_t now)
{
	traffic->full_until = now + FULL_PAUSE;
}

void
msp_record_target_outcome(
    msp_target_traffic_t *traffic, msp_time_t now, bool ok)
{
	double rate = msp_target_failure_rate(traffic, now);

	traffic->failure_rate =
	    rate + ((ok ? 0.0 : 1.0) - rate) * OUTCOME_WEIGHT;
	traffic->failure_rate_at = now;
}

double
msp_target_latency_ratio(const msp_target_traffic_t *traffic, msp_time_t now)
{
	if (traffic->latency_ratio == 0)
		return 1;
	return 1 +
	    decay(traffic->latency_ratio - 1, now - traffic->latency_ratio_at,
		RATIO_DECAY);
}

void
msp_record_target_latency(msp_target_traffic_t *traffic, msp_time_t now,
    msp_time_t took, msp_time_t expected)
{
	double before = msp_target_latency_ratio(traffic, now);
	double ratio;

	if (expected == 0)
		return;
	ratio = (double)took / (double)expected;
	if (ratio < RATIO_MIN)
		ratio = RATIO_MIN;
	if (ratio > RATIO_MAX)
		ratio = RATIO_MAX;
	traffic->latency_ratio = before + (ratio - before) * RATIO_WEIGHT;
	traffic->latency_ratio_at = now;
}

double
msp_server_load_weight(const msp_target_traffic_t *traffic, msp_time_t now)
{
	if (traffic->reported_at == 0)
		return 0;
	return decay(1, now - traffic->reported_at, REPORT_DECAY);
}

double
msp_estimate_target_load(
    const msp_target_traffic_t *traffic, msp_time_t now, double usual)
{
	double weight = msp_server_load_weight(traffic, now);

	return traffic->other_vms_load * weight + usual * (1 - weight) +
	    (double)traffic->in_flight;
}

double
msp_target_failure_rate(const msp_target_traffic_t *traffic, msp_time_t now)
{
	if (traffic->failure_rate == 0)
		return 0;
	return decay(traffic->failure_rate, now - traffic->failure_rate_at,
	    FAILURE_DECAY);
}

bool
msp_target_is_full(const msp_target_traffic_t *traffic, msp_time_t now)
{
	return now < traffic->full_until;
}
