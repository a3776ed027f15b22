#ifndef MONSOONSPINDLE_STEER_TARGET_TRAFFIC_H
#define MONSOONSPINDLE_STEER_TARGET_TRAFFIC_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/steer/rate_share.h"

/*
 * What one VM knows of a target's load and health, from its own requests there,
 * their outcomes, and the load that the target reports with its responses.
 * Zero-initialise.
 */
typedef struct msp_target_traffic {
	uint32_t in_flight; /* requests of this VM */
	double other_vms_load; /* requests of other VMs, by the reports */
	msp_time_t reported_at; /* time of the last report; 0: never */
	double latency_ratio; /* actual over expected; 0: not known */
	msp_time_t latency_ratio_at; /* when it last changed */
	double failure_rate; /* moving average of failed requests, 0 to 1 */
	msp_time_t failure_rate_at; /* when it last changed */
	msp_time_t full_until; /* after it refused a request as full */
	msp_time_t suspect_since; /* 0: not suspect */
	msp_time_t probed_at; /* last health request; 0: none */
	bool probing; /* a health request is in flight */
	msp_time_t connected_at; /* last answer to one of these; 0: none */
	uint64_t connect_failed; /* mark of msp_record_connect_failure() */
	msp_rate_share_t cold_share; /* this VM's part of a cold one's rate */
} msp_target_traffic_t;

/*
 * The load that a target reports with a response: requests that run and that
 * wait there, including the one that it responds to.
 */
typedef struct msp_server_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	/*
	 * How long work takes on its machine at this moment, in percent of the
	 * usual; 0: not told.
	 */
	uint32_t work_pct;
} msp_server_load_t;

void msp_record_server_load(msp_target_traffic_t *traffic, msp_time_t now,
    const msp_server_load_t *load);

/* Records that the target refused a request because it was full. */
void msp_record_target_full(msp_target_traffic_t *traffic, msp_time_t now);

/* Records whether the target responded to a request without an error. */
void msp_record_target_outcome(
    msp_target_traffic_t *traffic, msp_time_t now, bool ok);

/* Records the latency of a complete response, next to the expected one. */
void msp_record_target_latency(msp_target_traffic_t *traffic, msp_time_t now,
    msp_time_t took, msp_time_t expected);

/* Actual over expected latency; decays to 1 without new samples. */
double msp_target_latency_ratio(
    const msp_target_traffic_t *traffic, msp_time_t now);

/*
 * Estimates the number of requests on the target. The weight of its last report
 * decays with age in favour of `usual`, the mean number of requests that other
 * VMs have on similar targets.
 */
double msp_estimate_target_load(
    const msp_target_traffic_t *traffic, msp_time_t now, double usual);

/* Weight of the last report by its age, 0 to 1. */
double msp_server_load_weight(
    const msp_target_traffic_t *traffic, msp_time_t now);

/* Moving average of failures; decays to 0 without new samples. */
double msp_target_failure_rate(
    const msp_target_traffic_t *traffic, msp_time_t now);

bool msp_target_is_full(const msp_target_traffic_t *traffic, msp_time_t now);

#endif
