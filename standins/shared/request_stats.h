#ifndef MONSOONSPINDLE_STANDINS_REQUEST_STATS_H
#define MONSOONSPINDLE_STANDINS_REQUEST_STATS_H

#include <stdbool.h>
#include <stdio.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/net.h"

#define FAILURE_KIND_SIZE 64 /* with the final 0 */

/* Statistics of a run of load. */
typedef struct request_stats {
	msp_time_t start_time;
	uint64_t requests; /* first attempts started */
	uint64_t retries;
	uint64_t successes; /* complete responses with status 2xx */
	msp_counters_t *failures; /* other results, by kind; owned */
	msp_histogram_t latency; /* of successes, from the first attempt; us */
	msp_histogram_t failure_latency; /* of failures, likewise; us */
} request_stats_t;

void init_request_stats(request_stats_t *stats, msp_time_t now);
void drop_request_stats(request_stats_t *stats);

/*
 * Classifies the result of a call: "" for a complete response with status 2xx,
 * otherwise "STATUS-KIND" with the kind of the problem document, or
 * "client-ERROR".
 */
void get_failure_kind(
    const msp_call_result_t *result, char kind[FAILURE_KIND_SIZE]);

void record_successful_request(request_stats_t *stats, msp_time_t latency);
void record_failed_request(
    request_stats_t *stats, const char *kind, msp_time_t latency);

/* Prints the statistics as text, or as one line of JSON. */
void print_request_stats(
    const request_stats_t *stats, msp_time_t now, bool json, FILE *out);

#endif
