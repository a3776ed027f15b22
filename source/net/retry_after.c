#include "monsoonspindle/net/retry_after.h"

#include <math.h>
#include <strings.h>

#include "monsoonspindle/base/decimal.h"

#define FIELD_NAME "Retry-After"
#define MS_PER_S 1000.0

static const char *const form_names[] = {
    [MSP_RETRY_AFTER_MISSING] = "missing",
    [MSP_RETRY_AFTER_VALID] = "valid",
    [MSP_RETRY_AFTER_CUT] = "cut",
    [MSP_RETRY_AFTER_MALFORMED] = "malformed",
};

const char *
msp_retry_after_form_name(msp_retry_after_form_t form)
{
	return form_names[form];
}

static msp_retry_after_t
parse_value(const char *value)
{
	double seconds;
	double ms;

	if (!msp_parse_decimal(value, &seconds))
		return (msp_retry_after_t){.form = MSP_RETRY_AFTER_MALFORMED};
	ms = ceil(seconds * MS_PER_S);
	if (ms > MSP_RETRY_AFTER_MAX_MS)
		return (msp_retry_after_t){
		    .form = MSP_RETRY_AFTER_CUT, .ms = MSP_RETRY_AFTER_MAX_MS};
	return (msp_retry_after_t){
	    .form = MSP_RETRY_AFTER_VALID, .ms = (uint32_t)ms};
}

static bool
is_longer(const msp_retry_after_t *a, const msp_retry_after_t *b)
{
	if (b->form == MSP_RETRY_AFTER_MISSING)
		return true;
	if (b->form == MSP_RETRY_AFTER_MALFORMED)
		return a->form != MSP_RETRY_AFTER_MALFORMED;
	return a->ms > b->ms || a->form == MSP_RETRY_AFTER_CUT;
}

msp_retry_after_t
msp_read_retry_after(const msp_headers_t *headers)
{
	msp_retry_after_t longest = {0};
	msp_retry_after_t next;
	size_t i;

	for (i = 0; i < headers->count; i++) {
		if (strcasecmp(headers->fields[i].name, FIELD_NAME) != 0)
			continue;
		next = parse_value(headers->fields[i].value);
		if (is_longer(&next, &longest))
			longest = next;
	}
	return longest;
}
