#include "monsoonspindle/coord/issued_keys.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define KEY_TAG "msp1."
#define KEY_TAG_LEN 5
#define NUMBER_LEN 16 /* hexadecimal digits */

void
msp_issue_key_prefix(
    uint64_t incarnation, msp_time_t now, char out[MSP_ISSUED_PREFIX_SIZE])
{
	snprintf(out, MSP_ISSUED_PREFIX_SIZE,
	    KEY_TAG "%016" PRIx64 ".%016" PRIx64 ".", incarnation,
	    now / MSP_MS);
}

/* Parses 16 digits, which a dot has to follow. */
static bool
parse_number(const char *text, uint64_t *number)
{
	if (strspn(text, "0123456789abcdef") != NUMBER_LEN ||
	    text[NUMBER_LEN] != '.')
		return false;
	return sscanf(text, "%16" SCNx64, number) == 1;
}

bool
msp_parse_issued_key(const char *key, msp_issued_key_t *parsed)
{
	const char *issued = key + KEY_TAG_LEN + NUMBER_LEN + 1;
	uint64_t issued_ms;

	if (strncmp(key, KEY_TAG, KEY_TAG_LEN) != 0 ||
	    !parse_number(key + KEY_TAG_LEN, &parsed->incarnation) ||
	    !parse_number(issued, &issued_ms) ||
	    issued[NUMBER_LEN + 1] == '\0' || issued_ms > UINT64_MAX / MSP_MS)
		return false;
	parsed->issued_at = issued_ms * MSP_MS;
	return true;
}

msp_key_route_t
msp_route_key(const char *key, uint64_t own_incarnation,
    bool (*has_ended)(void *ctx, uint64_t incarnation), void *ctx,
    msp_issued_key_t *parsed)
{
	if (!msp_parse_issued_key(key, parsed))
		return MSP_KEY_STORE;
	if (parsed->incarnation == own_incarnation)
		return MSP_KEY_HERE;
	return has_ended(ctx, parsed->incarnation) ? MSP_KEY_LOST
						   : MSP_KEY_FORWARD;
}

msp_status_t
msp_check_issued_key(
    const msp_issued_key_t *parsed, msp_time_t now, msp_time_t lifetime)
{
	if (parsed->issued_at > now)
		return msp_fail(
		    MSP_E_BAD_REQUEST, "the key was issued in the future");
	if (now - parsed->issued_at > lifetime)
		return msp_fail(MSP_E_KEY_EXPIRED, "the key has expired");
	return MSP_OK;
}
