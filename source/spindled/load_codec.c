#include "load_codec.h"

#include <string.h>

#include "monsoonspindle/base/hash.h"

uint32_t
hash_target(const char *service, const char *target)
{
	return (uint32_t)msp_hash_text(target, msp_hash_text(service, 0));
}

void
write_load_record(const load_record_t *record, uint8_t *out)
{
	msp_time_t units = (record->span + LOAD_SPAN_UNIT - 1) / LOAD_SPAN_UNIT;

	out[0] = (uint8_t)(record->target >> 24);
	out[1] = (uint8_t)(record->target >> 16);
	out[2] = (uint8_t)(record->target >> 8);
	out[3] = (uint8_t)record->target;
	out[4] = record->in_flight;
	out[5] = units > UINT8_MAX ? UINT8_MAX : (uint8_t)units;
}

static void
read_load_record(const uint8_t *in, load_record_t *record)
{
	record->target = (uint32_t)in[0] << 24 | (uint32_t)in[1] << 16 |
	    (uint32_t)in[2] << 8 | in[3];
	record->in_flight = in[4];
	record->span = in[5] * LOAD_SPAN_UNIT;
}

int
find_load_record(
    const uint8_t *load, size_t len, uint32_t target, load_record_t *record)
{
	size_t at;

	for (at = 0; at + LOAD_RECORD_SIZE <= len; at += LOAD_RECORD_SIZE) {
		read_load_record(load + at, record);
		if (record->target == target)
			return 1;
	}
	return 0;
}
