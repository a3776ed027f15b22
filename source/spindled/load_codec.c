#include "load_codec.h"

#include <string.h>

#include "monsoonspindle/base/hash.h"

#define HEADER_SIZE 3
#define SERVICE_SIZE 12
#define OFFER_SIZE 14
#define TARGET_SIZE 6

#define WAIT_UNIT (4 * MSP_MS)
#define TIME_UNIT (100 * MSP_MS)
#define BYTES_UNIT (16 * 1024)
#define BYTES_UNITS_MAX 0xffffffU

uint32_t
hash_name(const char *name)
{
	return (uint32_t)msp_hash_text(name, 0);
}

uint32_t
hash_target(const char *service, const char *target)
{
	return (uint32_t)msp_hash_text(target, msp_hash_text(service, 0));
}

/* Writes the low `size` bytes of a number in network order. */
static uint8_t *
put_number(uint8_t *out, uint64_t value, size_t size)
{
	size_t i;

	for (i = 0; i < size; i++)
		out[i] = (uint8_t)(value >> (8 * (size - 1 - i)));
	return out + size;
}

static const uint8_t *
get_number(const uint8_t *in, uint64_t *value, size_t size)
{
	size_t i;

	*value = 0;
	for (i = 0; i < size; i++)
		*value = *value << 8 | in[i];
	return in + size;
}

static uint64_t
round_up_to_units(uint64_t value, uint64_t unit, uint64_t max)
{
	uint64_t units = value / unit + (value % unit != 0);

	return units > max ? max : units;
}

static uint8_t *
put_wait(uint8_t *out, msp_time_t wait)
{
	return put_number(out,
	    wait == MSP_NEVER
		? UINT16_MAX
		: round_up_to_units(wait, WAIT_UNIT, UINT16_MAX - 1),
	    2);
}

static uint8_t *
put_service(uint8_t *out, const load_service_t *service)
{
	out = put_number(out, service->service, 4);
	out = put_number(out, service->slots, 2);
	out = put_number(out, service->free_slots, 2);
	out = put_wait(out, service->wait);
	return put_wait(out, service->background_wait);
}

static uint8_t *
put_offer(uint8_t *out, const load_offer_t *offer)
{
	uint64_t bytes = offer->bytes / BYTES_UNIT;

	out = put_number(out, offer->service, 4);
	out = put_number(out, offer->region, 4);
	out = put_number(out, offer->requests, 2);
	out = put_number(
	    out, bytes > BYTES_UNITS_MAX ? BYTES_UNITS_MAX : bytes, 3);
	return put_number(out,
	    offer->valid_for / TIME_UNIT > UINT8_MAX
		? UINT8_MAX
		: offer->valid_for / TIME_UNIT,
	    1);
}

static uint8_t *
put_target(uint8_t *out, const load_target_t *target)
{
	out = put_number(out, target->target, 4);
	out = put_number(out, target->in_flight, 1);
	return put_number(
	    out, round_up_to_units(target->time_left, TIME_UNIT, UINT8_MAX), 1);
}

size_t
encode_load(const load_t *load, uint8_t *out, size_t size)
{
	uint8_t *at = out + HEADER_SIZE;
	const uint8_t *end = out + size;
	uint8_t counts[HEADER_SIZE] = {0};
	size_t i;

	if (size < HEADER_SIZE)
		return 0;
	for (i = 0; i < load->service_count && at + SERVICE_SIZE <= end; i++)
		at = put_service(at, &load->services[i]);
	counts[0] = (uint8_t)i;
	for (i = 0; i < load->offer_count && at + OFFER_SIZE <= end; i++)
		at = put_offer(at, &load->offers[i]);
	counts[1] = (uint8_t)i;
	for (i = 0; i < load->target_count && at + TARGET_SIZE <= end; i++)
		at = put_target(at, &load->targets[i]);
	counts[2] = (uint8_t)i;
	memcpy(out, counts, sizeof(counts));
	return (size_t)(at - out);
}

static const uint8_t *
get_wait(const uint8_t *in, msp_time_t *wait)
{
	uint64_t value;

	in = get_number(in, &value, 2);
	*wait = value == UINT16_MAX ? MSP_NEVER : value * WAIT_UNIT;
	return in;
}

static const uint8_t *
get_service(const uint8_t *in, load_service_t *service)
{
	uint64_t value;

	in = get_number(in, &value, 4);
	service->service = (uint32_t)value;
	in = get_number(in, &value, 2);
	service->slots = (uint16_t)value;
	in = get_number(in, &value, 2);
	service->free_slots = (uint16_t)value;
	in = get_wait(in, &service->wait);
	return get_wait(in, &service->background_wait);
}

static const uint8_t *
get_offer(const uint8_t *in, load_offer_t *offer)
{
	uint64_t value;

	in = get_number(in, &value, 4);
	offer->service = (uint32_t)value;
	in = get_number(in, &value, 4);
	offer->region = (uint32_t)value;
	in = get_number(in, &value, 2);
	offer->requests = (uint16_t)value;
	in = get_number(in, &value, 3);
	offer->bytes = value * BYTES_UNIT;
	in = get_number(in, &value, 1);
	offer->valid_for = value * TIME_UNIT;
	return in;
}

static const uint8_t *
get_target(const uint8_t *in, load_target_t *target)
{
	uint64_t value;

	in = get_number(in, &value, 4);
	target->target = (uint32_t)value;
	in = get_number(in, &value, 1);
	target->in_flight = (uint8_t)value;
	in = get_number(in, &value, 1);
	target->time_left = value * TIME_UNIT;
	return in;
}

void
decode_load(const uint8_t *in, size_t len, load_t *load)
{
	size_t i;

	memset(load, 0, sizeof(*load));
	if (len < HEADER_SIZE || in[0] > LOAD_SERVICES_MAX ||
	    in[1] > LOAD_OFFERS_MAX || in[2] > LOAD_TARGETS_MAX ||
	    len !=
		HEADER_SIZE + in[0] * (size_t)SERVICE_SIZE +
		    in[1] * (size_t)OFFER_SIZE + in[2] * (size_t)TARGET_SIZE)
		return;
	load->service_count = in[0];
	load->offer_count = in[1];
	load->target_count = in[2];
	in += HEADER_SIZE;
	for (i = 0; i < load->service_count; i++)
		in = get_service(in, &load->services[i]);
	for (i = 0; i < load->offer_count; i++)
		in = get_offer(in, &load->offers[i]);
	for (i = 0; i < load->target_count; i++)
		in = get_target(in, &load->targets[i]);
}

const load_service_t *
find_load_service(const load_t *load, uint32_t service)
{
	size_t i;

	for (i = 0; i < load->service_count; i++) {
		if (load->services[i].service == service)
			return &load->services[i];
	}
	return NULL;
}

const load_offer_t *
find_load_offer(const load_t *load, uint32_t service, uint32_t region)
{
	size_t i;

	for (i = 0; i < load->offer_count; i++) {
		if (load->offers[i].service == service &&
		    load->offers[i].region == region)
			return &load->offers[i];
	}
	return NULL;
}

const load_target_t *
find_load_target(const load_t *load, uint32_t target)
{
	size_t i;

	for (i = 0; i < load->target_count; i++) {
		if (load->targets[i].target == target)
			return &load->targets[i];
	}
	return NULL;
}
