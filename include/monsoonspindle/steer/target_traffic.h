#ifndef MONSOONSPINDLE_STEER_TARGET_TRAFFIC_H
#define MONSOONSPINDLE_STEER_TARGET_TRAFFIC_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * What one VM knows of a target's load and health: its own requests, what the
 * target said with its answers, and how those turned out. Zero-initialise.
 */
typedef struct msp_target_traffic {
	uint32_t in_flight; /* of this VM */
	double other_vms_load; /* requests of other VMs there, as last told */
	msp_time_t reported_at; /* when `others` was told; 0: never */
	double latency_ratio; /* its latency over the expected; 0: not known */
	msp_time_t latency_ratio_at; /* when `slowness` last changed */
	double failure_rate; /* moving share of failed requests, 0 to 1 */
	msp_time_t failure_rate_at; /* when `failures` last changed */
	msp_time_t full_until; /* it refused for want of room */
	msp_time_t suspect_since; /* 0: not suspect */
	msp_time_t probed_at; /* last health request; 0: none */
	bool probing; /* one is under way */
	msp_time_t last_cold_send; /* see msp_admit_cold_request() */
} msp_target_traffic_t;

/*
 * The target's own report: requests that it runs and that wait there, with the
 * one that it answers among them.
 */
typedef struct msp_server_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
} msp_server_load_t;

void msp_record_server_load(
    msp_target_traffic_t *load, msp_time_t now, const msp_server_load_t *told);

/* The target refused a request because it has no room. */
void msp_record_target_full(msp_target_traffic_t *load, msp_time_t now);

/* How a request ended that the target answered or should have answered. */
void msp_record_target_outcome(
    msp_target_traffic_t *load, msp_time_t now, bool ok);

/* The latency of a whole answer, and what was expected of this target. */
void msp_record_target_latency(msp_target_traffic_t *load, msp_time_t now,
    msp_time_t took, msp_time_t expected);

/* Its latency over the expected, which fades to 1 when nothing is sent. */
double msp_target_latency_ratio(
    const msp_target_traffic_t *load, msp_time_t now);

/*
 * Requests that the target holds now. What it told loses weight with its age
 * against `usual`, the requests of other VMs on a target of its kind.
 */
double msp_estimate_target_load(
    const msp_target_traffic_t *load, msp_time_t now, double usual);

/* How much weight what the target told still has, 0 to 1. */
double msp_server_load_weight(const msp_target_traffic_t *load, msp_time_t now);

/* Moving share of failures, which fades when nothing is sent. */
double msp_target_failure_rate(
    const msp_target_traffic_t *load, msp_time_t now);

bool msp_target_is_full(const msp_target_traffic_t *load, msp_time_t now);

/*
 * Whether one more request may go to a cold target now, if each of `senders`
 * VMs keeps to its share of `per_second`. Counts it if so.
 */
bool msp_admit_cold_request(msp_target_traffic_t *load, msp_time_t now,
    double per_second, uint32_t senders);

#endif
