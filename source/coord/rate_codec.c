#include "monsoonspindle/coord/rate_codec.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define COUNT_MAX 1000000 /* requests that one line may state */
#define RATE_MAX 1e9 /* requests per second */

/* Copies the name at `at`, up to the end of its line, and returns the next. */
static const char *
read_name(const char *at, char *out)
{
	size_t len = strcspn(at, "\n");

	if (len == 0 || len >= MSP_ORGANISATION_NAME_SIZE || at[len] != '\n')
		return NULL;
	memcpy(out, at, len);
	out[len] = '\0';
	return at + len + 1;
}

static msp_status_t
fail_line(void)
{
	return msp_fail(MSP_E_SYNTAX, "malformed message about rate limits");
}

static msp_status_t
fail_count(void)
{
	return msp_fail(
	    MSP_E_TOO_LARGE, "too many organisations in one message");
}

/* Reads one line and returns the next; NULL: it is malformed. */
typedef const char *read_line_t(const char *at, void *out);

/* Reads all lines of a text into `list`, whose elements have `size` bytes. */
static msp_status_t
read_lines(
    const char *text, read_line_t *read, void *list, size_t size, size_t *count)
{
	*count = 0;
	while (*text != '\0') {
		if (*count == MSP_RATES_PER_MESSAGE_MAX)
			return fail_count();
		text = read(text, (char *)list + *count * size);
		if (text == NULL)
			return fail_line();
		(*count)++;
	}
	return MSP_OK;
}

msp_status_t
msp_encode_rate_asks(
    const msp_rate_ask_t *asks, size_t count, msp_buffer_t *out)
{
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < count && status == MSP_OK; i++)
		status = msp_append_printf(out,
		    "%u %u %u %u %" PRIu64 " %.17g %.17g %s\n", asks[i].wanted,
		    asks[i].arrived, asks[i].charged, asks[i].returned,
		    asks[i].version, asks[i].limit.per_second,
		    asks[i].limit.burst, asks[i].name);
	return status;
}

static bool
is_rate(double rate)
{
	return isfinite(rate) && rate >= 0 && rate <= RATE_MAX;
}

static const char *
read_ask(const char *at, void *ctx)
{
	msp_rate_ask_t *out = ctx;
	int len = 0;

	*out = (msp_rate_ask_t){0};
	if (sscanf(at, "%9u %9u %9u %9u %20" SCNu64 " %31lf %31lf%n",
		&out->wanted, &out->arrived, &out->charged, &out->returned,
		&out->version, &out->limit.per_second, &out->limit.burst,
		&len) != 7 ||
	    at[len] != ' ' || out->wanted > COUNT_MAX ||
	    out->arrived > COUNT_MAX || out->charged > COUNT_MAX ||
	    out->returned > COUNT_MAX || !is_rate(out->limit.per_second) ||
	    !is_rate(out->limit.burst))
		return NULL;
	return read_name(at + len + 1, out->name);
}

msp_status_t
msp_decode_rate_asks(const char *text, msp_rate_ask_t *out, size_t *count)
{
	return read_lines(text, read_ask, out, sizeof(*out), count);
}

msp_status_t
msp_encode_rate_grants(
    const msp_rate_grant_t *grants, size_t count, msp_buffer_t *out)
{
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < count && status == MSP_OK; i++)
		status = msp_append_printf(out, "%u %" PRIu64 " %s\n",
		    grants[i].granted, grants[i].wait, grants[i].name);
	return status;
}

static const char *
read_grant(const char *at, void *ctx)
{
	msp_rate_grant_t *out = ctx;
	int len = 0;

	*out = (msp_rate_grant_t){0};
	if (sscanf(at, "%9u %20" SCNu64 "%n", &out->granted, &out->wait,
		&len) != 2 ||
	    at[len] != ' ' || out->granted > COUNT_MAX ||
	    (out->wait > MSP_MINUTE && out->wait != MSP_NEVER))
		return NULL;
	return read_name(at + len + 1, out->name);
}

msp_status_t
msp_decode_rate_grants(const char *text, msp_rate_grant_t *out, size_t *count)
{
	return read_lines(text, read_grant, out, sizeof(*out), count);
}

msp_status_t
msp_encode_rate_demand(const char *place, const msp_rate_demand_t *demand,
    size_t count, msp_buffer_t *out)
{
	msp_status_t status = msp_append_printf(out, "%s\n", place);
	size_t i;

	for (i = 0; i < count && status == MSP_OK; i++)
		status = msp_append_printf(
		    out, "%.3f %s\n", demand[i].per_second, demand[i].name);
	return status;
}

static const char *
read_demand(const char *at, void *ctx)
{
	msp_rate_demand_t *out = ctx;
	int len = 0;

	*out = (msp_rate_demand_t){0};
	if (sscanf(at, "%31lf%n", &out->per_second, &len) != 1 ||
	    at[len] != ' ' || !is_rate(out->per_second))
		return NULL;
	return read_name(at + len + 1, out->name);
}

msp_status_t
msp_decode_rate_demand(const char *text, char *place, size_t place_size,
    msp_rate_demand_t *out, size_t *count)
{
	size_t len = strcspn(text, "\n");

	*count = 0;
	if (len == 0 || len >= place_size || text[len] != '\n')
		return fail_line();
	memcpy(place, text, len);
	place[len] = '\0';
	text += len + 1;
	return read_lines(text, read_demand, out, sizeof(*out), count);
}
