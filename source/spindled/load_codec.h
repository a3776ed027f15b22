#ifndef SPINDLED_LOAD_CODEC_H
#define SPINDLED_LOAD_CODEC_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * What a dispatcher has in flight, as the load that membership carries: six
 * bytes a target, in network order.
 */
#define LOAD_RECORD_SIZE 6
#define LOAD_SPAN_UNIT (100 * MSP_MS)

typedef struct load_record {
	uint32_t target; /* hash of service and target */
	uint8_t in_flight; /* 255: or more */
	msp_time_t span; /* until the last one's deadline; up to 25.5 s */
} load_record_t;

uint32_t hash_target(const char *service, const char *target);

/* Writes one record of LOAD_RECORD_SIZE bytes. */
void write_load_record(const load_record_t *record, uint8_t *out);

/* Finds a target's record in a load; returns 0 if there is none. */
int find_load_record(
    const uint8_t *load, size_t len, uint32_t target, load_record_t *record);

#endif
