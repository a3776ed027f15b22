#ifndef MONSOONSPINDLE_STANDINS_TALLY_H
#define MONSOONSPINDLE_STANDINS_TALLY_H

#include <stdbool.h>
#include <stdio.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/net.h"

#define KIND_MAX 64

/* What a run of requests came to. */
typedef struct tally {
	msp_time_t start;
	uint64_t requests; /* first tries started */
	uint64_t resends;
	uint64_t whole; /* answered 2xx, whole */
	msp_counters_t *kinds; /* the rest, by kind */
	msp_histogram_t latency; /* of whole answers, from the first try, us */
	msp_histogram_t refusal; /* time until a refusal, us */
} tally_t;

void start_tally(tally_t *tally, msp_time_t now);
void drop_tally(tally_t *tally);

/* Names what a call came to: "" for a whole answer. */
void name_outcome(const msp_call_result_t *result, char kind[KIND_MAX]);

void count_whole(tally_t *tally, msp_time_t latency);
void count_refusal(tally_t *tally, const char *kind, msp_time_t latency);

/* For people, or as one line of JSON. */
void print_tally(const tally_t *tally, msp_time_t now, bool json, FILE *out);

#endif
