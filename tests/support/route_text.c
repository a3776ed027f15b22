#include "route_text.h"

#include <stdlib.h>

#include "monsoonspindle/base/env.h"

#define NAME_LEN 8

static void
append_name(msp_buffer_t *out, msp_rng_t *rng)
{
	static const char letters[] = "abcdefghijklmnopqrstuvwxyz0123456789";
	char name[NAME_LEN];
	size_t i;

	for (i = 0; i < NAME_LEN; i++)
		name[i] = letters[msp_next_random(rng) % (sizeof(letters) - 1)];
	msp_append_data(out, name, NAME_LEN);
}

static void
append_route(msp_buffer_t *out, unsigned int index, msp_rng_t *rng)
{
	msp_append_printf(out, "%s{\"name\":\"route-%u\",\"host\":\"",
	    index == 0 ? "" : ",", index);
	append_name(out, rng);
	msp_append_printf(out, ".example\",\"prefix\":\"/");
	append_name(out, rng);
	msp_append_printf(out, "/");
	append_name(out, rng);
	msp_append_printf(out,
	    "/\",\"kind\":\"idempotent\",\"service\":\"desk\","
	    "\"timeoutMs\":%u,\"targetLatencyMs\":500,\"priority\":2,"
	    "\"maxAttempts\":2,\"stickySessions\":true}",
	    2000 + (unsigned int)(msp_next_random(rng) % 1000));
}

void
append_route_text(
    msp_buffer_t *out, unsigned int version, unsigned int routes, uint64_t seed)
{
	msp_rng_t rng = {.state = seed};
	unsigned int i;

	msp_append_printf(out, "{\"version\":\"r%u\",\"routes\":[", version);
	for (i = 0; i < routes; i++)
		append_route(out, i, &rng);
	msp_append_printf(out,
	    "],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\"}]}");
}
