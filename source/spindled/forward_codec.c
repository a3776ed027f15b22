#include "forward_codec.h"

#include <inttypes.h>
#include <string.h>

#include "proxy_codec.h"

#define HEADER_HOPS "msp-hops" /* hops left; marks forwarded requests */
#define HEADER_ID "msp-id"
#define HEADER_VM "msp-vm"
#define HEADER_IDEMPOTENT "msp-idempotent"
#define HEADER_ROUTES_VERSION "msp-release-seen"
#define HEADER_ATTEMPTS_LEFT "msp-retries"
#define HEADER_ATTEMPTS_USED "msp-attempt"
#define HEADER_TIME_LEFT "msp-time-left-ms"
#define HEADER_ORGANISATION "msp-organisation"
#define ATTEMPTS_MAX 1000
#define TIME_LEFT_MAX_MS 3600000

bool
is_forwarded_request(const msp_request_t *request)
{
	return msp_find_header(&request->headers, HEADER_HOPS) != NULL;
}

msp_status_t
encode_forwarded_request(const msp_request_t *request,
    const forward_terms_t *terms, msp_request_t *out)
{
	msp_status_t status = msp_copy_request(request, out);

	if (status != MSP_OK)
		return status;
	drop_internal_headers(&out->headers);
	status = msp_add_header(&out->headers, HEADER_HOPS, "0");
	if (status == MSP_OK)
		status = msp_add_header(&out->headers, HEADER_ID, terms->id);
	if (status == MSP_OK)
		status = msp_add_header(&out->headers, HEADER_VM, terms->vm);
	if (status == MSP_OK)
		status = msp_print_header(&out->headers, HEADER_IDEMPOTENT,
		    "%d", terms->is_idempotent);
	if (status == MSP_OK)
		status = msp_print_header(&out->headers, HEADER_ROUTES_VERSION,
		    "%" PRIu64, terms->routes_version);
	if (status == MSP_OK)
		status = msp_print_header(&out->headers, HEADER_ATTEMPTS_LEFT,
		    "%u", terms->attempts_left);
	if (status == MSP_OK)
		status = msp_print_header(
		    &out->headers, HEADER_TIME_LEFT, "%u", terms->time_left_ms);
	if (status == MSP_OK && terms->organisation[0] != '\0')
		status = msp_add_header(
		    &out->headers, HEADER_ORGANISATION, terms->organisation);
	if (status != MSP_OK)
		msp_drop_request(out);
	return status;
}

msp_status_t
decode_forward_terms(const msp_request_t *request, forward_terms_t *out)
{
	const msp_headers_t *headers = &request->headers;
	uint64_t is_idempotent = 0;
	uint64_t attempts = 0;
	uint64_t time_left_ms = 0;

	*out = (forward_terms_t){0};
	if (decode_internal_text(
		headers, HEADER_ID, out->id, sizeof(out->id)) != MSP_OK ||
	    decode_internal_text(
		headers, HEADER_VM, out->vm, sizeof(out->vm)) != MSP_OK ||
	    decode_internal_number(
		headers, HEADER_IDEMPOTENT, 1, &is_idempotent) != MSP_OK ||
	    decode_internal_number(headers, HEADER_ROUTES_VERSION, UINT64_MAX,
		&out->routes_version) != MSP_OK ||
	    decode_internal_number(headers, HEADER_ATTEMPTS_LEFT, ATTEMPTS_MAX,
		&attempts) != MSP_OK ||
	    decode_internal_number(headers, HEADER_TIME_LEFT, TIME_LEFT_MAX_MS,
		&time_left_ms) != MSP_OK ||
	    decode_internal_text(headers, HEADER_ORGANISATION,
		out->organisation, sizeof(out->organisation)) != MSP_OK)
		return MSP_E_BAD_REQUEST;
	if (out->id[0] == '\0')
		return msp_fail(MSP_E_BAD_REQUEST, HEADER_ID ": missing");
	out->is_idempotent = is_idempotent != 0;
	out->attempts_left = (uint32_t)attempts;
	out->time_left_ms = (uint32_t)time_left_ms;
	return MSP_OK;
}

msp_status_t
add_forward_attempts(msp_response_t *response, uint32_t attempts)
{
	return msp_print_header(
	    &response->headers, HEADER_ATTEMPTS_USED, "%u", attempts);
}

uint32_t
get_forward_attempts(const msp_response_t *response, uint32_t fallback)
{
	uint64_t attempts;

	return decode_internal_number(&response->headers, HEADER_ATTEMPTS_USED,
		   ATTEMPTS_MAX, &attempts) == MSP_OK
	    ? (uint32_t)attempts
	    : fallback;
}

bool
is_forward_answer(const msp_response_t *response, const char *id)
{
	const char *found = msp_find_header(&response->headers, HEADER_ID);

	return found != NULL && strcmp(found, id) == 0;
}
