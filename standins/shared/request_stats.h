#ifndef MONSOONSPINDLE_STANDINS_REQUEST_STATS_H
#define MONSOONSPINDLE_STANDINS_REQUEST_STATS_H

#include <stdbool.h>
#include <stdio.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/net.h"

#define FAILURE_KIND_SIZE 64

/* What a run of requests came to. */
typedef struct request_stats {
	msp_time_t start_time;
	uint64_t requests; /* first tries started */
	uint64_t retries;
	uint64_t whole; /* answered 2xx, whole */
	msp_counters_t *failures; /* the rest, by kind */
	msp_histogram_t latency; /* of whole answers, from the first try, us */
	msp_histogram_t failure_latency; /* time until a refusal, us */
} request_stats_t;

void init_request_stats(request_stats_t *tally, msp_time_t now);
void drop_request_stats(request_stats_t *tally);

/* Names what a call came to: "" for a whole answer. */
void name_outcome(
    const msp_call_result_t *result, char kind[FAILURE_KIND_SIZE]);

void count_whole(request_stats_t *tally, msp_time_t latency);
void record_failed_request(
    request_stats_t *tally, const char *kind, msp_time_t latency);

/* For people, or as one line of JSON. */
void print_request_stats(
    const request_stats_t *tally, msp_time_t now, bool json, FILE *out);

#endif
