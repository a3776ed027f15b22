#ifndef SPINDLED_LOAD_CODEC_H
#define SPINDLED_LOAD_CODEC_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

#define LOAD_SERVICES_MAX 16
#define LOAD_OFFERS_MAX 32
#define LOAD_TARGETS_MAX 32

/* Load of one dispatcher. Names are encoded as 32-bit hashes. */
typedef struct load_service {
	uint32_t service; /* hash_name() */
	uint16_t slots;
	uint16_t free_slots; /* slots */
	msp_time_t wait; /* in the queue; MSP_NEVER if it accepts nothing */
	msp_time_t background_wait; /* the same for background requests */
} load_service_t;

/* Credit that a service's dispatcher offers to the clients of a region. */
typedef struct load_offer {
	uint32_t service; /* hash_name() */
	uint32_t region; /* hash_name() */
	uint16_t requests; /* per second */
	uint64_t bytes; /* per second; encoded in units of 16 KiB */
	msp_time_t valid_for; /* encoded in units of 100 ms, up to 25.5 s */
} load_offer_t;

/* Requests that a dispatcher has in flight on a target. */
typedef struct load_target {
	uint32_t target; /* hash_target() */
	uint8_t in_flight; /* 255 stands for 255 or more */
	msp_time_t time_left; /* until the last deadline; up to 25.5 s */
} load_target_t;

/*
 * The load that a VM gossips within its data centre. Summaries for other data
 * centres carry the same without the targets.
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
 * Encodes as many entries as fit into `size` bytes, services first, then
 * offers, then targets. Returns the length.
 */
size_t encode_load(const load_t *load, uint8_t *out, size_t size);

/* Decodes a load; a malformed or truncated one yields an empty load. */
void decode_load(const uint8_t *in, size_t len, load_t *load);

/* These return NULL if there is no such entry. */
const load_service_t *find_load_service(const load_t *load, uint32_t service);
const load_offer_t *find_load_offer(
    const load_t *load, uint32_t service, uint32_t region);
const load_target_t *find_load_target(const load_t *load, uint32_t target);

#endif
