#include "monsoonspindle/steer/target_traffic.h"

#include <math.h>

#define TOLD_FADE                                                  \
	(2 * MSP_SECOND) /* a report loses two thirds in this time \
			  */
#define TOLD_WEIGHT 0.6 /* of a new report against those before */
#define OUTCOME_WEIGHT 0.15 /* of one request in the share of failures */
#define FAILURES_FADE (5 * MSP_SECOND)
#define SLOWNESS_WEIGHT 0.2
#define SLOWNESS_FADE (5 * MSP_SECOND)
#define SLOWNESS_MIN 0.5
#define SLOWNESS_MAX 12.0
#define FULL_PAUSE (100 * MSP_MS) /* before a full target is asked again */

static double
fade(double value, msp_time_t age, msp_time_t span)
{
	return value * exp(-(double)age / (double)span);
}

void
msp_record_server_load(
    msp_target_traffic_t *load, msp_time_t now, const msp_server_load_t *told)
{
	double total = (double)told->running + (double)told->waiting;
	/* The target still counts the request that it answers. */
	double others = total - 1 - (double)load->in_flight;
	double weight = msp_server_load_weight(load, now) * (1 - TOLD_WEIGHT);

	if (others < 0)
		others = 0;
	load->other_vms_load =
	    load->other_vms_load * weight + others * (1 - weight);
	load->reported_at = now;
	if (total < told->slots)
		load->full_until = 0;
}

void
msp_record_target_full(msp_target_traffic_t *load, msp_time_t now)
{
	load->full_until = now + FULL_PAUSE;
}

void
msp_record_target_outcome(msp_target_traffic_t *load, msp_time_t now, bool ok)
{
	double share = msp_target_failure_rate(load, now);

	load->failure_rate =
	    share + ((ok ? 0.0 : 1.0) - share) * OUTCOME_WEIGHT;
	load->failure_rate_at = now;
}

double
msp_target_latency_ratio(const msp_target_traffic_t *load, msp_time_t now)
{
	if (load->latency_ratio == 0)
		return 1;
	return 1 +
	    fade(load->latency_ratio - 1, now - load->latency_ratio_at,
		SLOWNESS_FADE);
}

void
msp_record_target_latency(msp_target_traffic_t *load, msp_time_t now,
    msp_time_t took, msp_time_t expected)
{
	double before = msp_target_latency_ratio(load, now);
	double ratio;

	if (expected == 0)
		return;
	ratio = (double)took / (double)expected;
	if (ratio < SLOWNESS_MIN)
		ratio = SLOWNESS_MIN;
	if (ratio > SLOWNESS_MAX)
		ratio = SLOWNESS_MAX;
	load->latency_ratio = before + (ratio - before) * SLOWNESS_WEIGHT;
	load->latency_ratio_at = now;
}

double
msp_server_load_weight(const msp_target_traffic_t *load, msp_time_t now)
{
	if (load->reported_at == 0)
		return 0;
	return fade(1, now - load->reported_at, TOLD_FADE);
}

double
msp_estimate_target_load(
    const msp_target_traffic_t *load, msp_time_t now, double usual)
{
	double weight = msp_server_load_weight(load, now);

	return load->other_vms_load * weight + usual * (1 - weight) +
	    (double)load->in_flight;
}

double
msp_target_failure_rate(const msp_target_traffic_t *load, msp_time_t now)
{
	if (load->failure_rate == 0)
		return 0;
	return fade(
	    load->failure_rate, now - load->failure_rate_at, FAILURES_FADE);
}

bool
msp_target_is_full(const msp_target_traffic_t *load, msp_time_t now)
{
	return now < load->full_until;
}

bool
msp_admit_cold_request(msp_target_traffic_t *load, msp_time_t now,
    double per_second, uint32_t senders)
{
	double gap;

	if (per_second <= 0 || senders == 0)
		return false;
	gap = (double)senders / per_second * (double)MSP_SECOND;
	if (load->last_cold_send != 0 &&
	    (double)(now - load->last_cold_send) < gap)
		return false;
	load->last_cold_send = now;
	return true;
}
