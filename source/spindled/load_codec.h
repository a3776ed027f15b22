#ifndef SPINDLED_LOAD_CODEC_H
#define SPINDLED_LOAD_CODEC_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

#define LOAD_SERVICES_MAX 16
#define LOAD_OFFERS_MAX 32
#define LOAD_TARGETS_MAX 32

/* One service that a VM dispatches. Names travel as 32-bit hashes. */
typedef struct load_service {
	uint32_t service;
	uint16_t slots;
	uint16_t free;
	msp_time_t wait; /* in its queue; MSP_NEVER: it takes nothing */
	msp_time_t background_wait; /* of background requests */
} load_service_t;

/* Credits that a service's dispatcher offers the clients of a region. */
typedef struct load_offer {
	uint32_t service;
	uint32_t region;
	uint16_t requests; /* a second */
	uint64_t bytes; /* a second; in units of 16 KiB */
	msp_time_t valid_for; /* in units of 100 ms, up to 25.5 s */
} load_offer_t;

/* What a dispatcher has in flight on a target. */
typedef struct load_target {
	uint32_t target; /* hash of service and target */
	uint8_t in_flight; /* 255: or more */
	msp_time_t time_left; /* until the last one's deadline; up to 25.5 s */
} load_target_t;

/*
 * The load that a VM gossips in its data centre, and, without the targets,
 * that a data centre tells others.
 */
typedef struct load {
	load_service_t services[LOAD_SERVICES_MAX];
	size_t service_count;
	load_offer_t offers[LOAD_OFFERS_MAX];
	size_t offer_count;
	load_target_t targets[LOAD_TARGETS_MAX];
	size_t target_count;
} load_t;

uint32_t hash_name(const char *name);
uint32_t hash_target(const char *service, const char *target);

/*
 * Writes as much as fits into `size` bytes, services first, then offers, then
 * targets, and returns the length.
 */
size_t encode_load(const load_t *load, uint8_t *out, size_t size);

/* Reads what is whole; a malformed load reads as empty. */
void decode_load(const uint8_t *in, size_t len, load_t *load);

/* NULL if there is none. */
const load_service_t *find_load_service(const load_t *load, uint32_t service);
const load_offer_t *find_load_offer(
    const load_t *load, uint32_t service, uint32_t region);
const load_target_t *find_load_target(const load_t *load, uint32_t target);

#endif
