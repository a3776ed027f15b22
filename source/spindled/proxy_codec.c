#include "proxy_codec.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define RETRIES_MAX 16
#define DEADLINE_MAX_MS (60 * 60 * 1000U)

/* Headers that concern a single connection (RFC 9110) or are set anew. */
static const char *const hop_by_hop_headers[] = {"connection", "keep-alive",
    "proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
    "trailer", "transfer-encoding", "upgrade", "host", "content-length",
    "expect", "date"};

static bool
is_internal(void *ctx, const char *name)
{
	(void)ctx;
	return strncasecmp(name, INTERNAL_HEADER_PREFIX,
		   sizeof(INTERNAL_HEADER_PREFIX) - 1) == 0;
}

static bool
is_hop_by_hop_or_internal(void *ctx, const char *name)
{
	size_t i;

	if (is_internal(ctx, name))
		return true;
	for (i = 0;
	     i < sizeof(hop_by_hop_headers) / sizeof(hop_by_hop_headers[0]);
	     i++) {
		if (strcasecmp(name, hop_by_hop_headers[i]) == 0)
			return true;
	}
	return false;
}

static const char *const internal_headers[] = {"msp-id", "msp-service",
    "msp-place", "msp-client-region", "msp-key", "msp-nonce", "msp-class",
    "msp-fingerprint", "msp-idempotent", "msp-waited-us", "msp-nonce-age-us",
    "msp-retries", "msp-hops", "msp-time-left-ms", "msp-target", "msp-vm",
    "msp-refusal", "msp-run", "msp-started", "msp-retry-after-ms", "msp-ask",
    "msp-said-no", "msp-age-us", "msp-outcome-status", "msp-incarnation",
    "msp-attempt", "msp-organisation", "msp-release-seen", "msp-after-release",
    "msp-released"};

msp_status_t
register_internal_headers(void)
{
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < sizeof(internal_headers) / sizeof(internal_headers[0]);
	     i++) {
		if (status == MSP_OK)
			status = msp_register_header(internal_headers[i]);
	}
	return status;
}

msp_status_t
copy_end_to_end_headers(const msp_headers_t *from, msp_headers_t *to)
{
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < from->count && status == MSP_OK; i++) {
		if (is_hop_by_hop_or_internal(NULL, from->fields[i].name))
			continue;
		status = msp_add_header(
		    to, from->fields[i].name, from->fields[i].value);
	}
	return status;
}

msp_status_t
encode_proxy_request(const proxy_request_t *request, const char *path,
    msp_time_t now, msp_request_t *out)
{
	msp_headers_t *headers = &out->headers;
	char fingerprint[MSP_DIGEST_TEXT_SIZE];
	msp_status_t status = copy_proxy_request(request, out);

	if (status != MSP_OK)
		return status;
	if (snprintf(out->path, sizeof(out->path), "%s%s", path,
		request->request.path) >= (int)sizeof(out->path)) {
		msp_drop_request(out);
		return msp_fail(MSP_E_HEADERS_TOO_LARGE, "path is too long");
	}
	msp_print_digest(request->fingerprint, fingerprint);
	msp_add_header(headers, "msp-id", request->id);
	msp_add_header(headers, "msp-service", request->service);
	msp_add_header(headers, "msp-place", request->place);
	msp_add_header(headers, "msp-client-region", request->client_region);
	msp_add_header(headers, "msp-key", request->key);
	msp_add_header(headers, "msp-nonce", request->nonce);
	msp_add_header(
	    headers, "msp-class", msp_request_class_name(request->class));
	msp_add_header(headers, "msp-fingerprint", fingerprint);
	msp_print_header(
	    headers, "msp-idempotent", "%d", request->is_idempotent ? 1 : 0);
	msp_print_header(headers, "msp-waited-us", "%" PRIu64,
	    now > request->arrival ? now - request->arrival : 0);
	msp_print_header(headers, "msp-nonce-age-us", "%" PRIu64,
	    now > request->nonce_issued ? now - request->nonce_issued : 0);
	msp_print_header(headers, "msp-retries", "%u", request->retries_left);
	msp_print_header(headers, "msp-hops", "%u", request->hops_left);
	status = msp_print_header(
	    headers, "msp-time-left-ms", "%u", get_time_left_ms(request, now));
	if (status != MSP_OK)
		msp_drop_request(out);
	return status;
}

msp_status_t
decode_internal_text(
    const msp_headers_t *headers, const char *name, char *out, size_t size)
{
	const char *value = msp_find_header(headers, name);

	if (value == NULL)
		value = "";
	if (strlen(value) >= size)
		return msp_fail(MSP_E_BAD_REQUEST, "%s: longer than %zu bytes",
		    name, size - 1);
	memcpy(out, value, strlen(value) + 1);
	return MSP_OK;
}

msp_status_t
decode_internal_number(
    const msp_headers_t *headers, const char *name, uint64_t max, uint64_t *out)
{
	const char *value = msp_find_header(headers, name);
	char *end;

	if (value == NULL || !isdigit((unsigned char)value[0]))
		return msp_fail(
		    MSP_E_BAD_REQUEST, "%s: must be a number", name);
	errno = 0;
	*out = strtoull(value, &end, 10);
	if (*end != '\0' || errno != 0 || *out > max)
		return msp_fail(
		    MSP_E_BAD_REQUEST, "%s: must be 0 to %" PRIu64, name, max);
	return MSP_OK;
}

static msp_status_t
decode_numbers(
    const msp_headers_t *headers, msp_time_t now, proxy_request_t *request)
{
	uint64_t idempotent = 0;
	uint64_t waited_us = 0;
	uint64_t nonce_age_us = 0;
	uint64_t retries = 0;
	uint64_t hops = 0;
	uint64_t time_left_ms = 0;

	if (decode_internal_number(headers, "msp-idempotent", 1, &idempotent) !=
		MSP_OK ||
	    decode_internal_number(headers, "msp-waited-us",
		UINT32_MAX * 1000ULL, &waited_us) != MSP_OK ||
	    decode_internal_number(headers, "msp-nonce-age-us",
		UINT32_MAX * 1000ULL, &nonce_age_us) != MSP_OK ||
	    decode_internal_number(
		headers, "msp-retries", RETRIES_MAX, &retries) != MSP_OK ||
	    decode_internal_number(
		headers, "msp-hops", PROXY_HOPS_MAX, &hops) != MSP_OK ||
	    decode_internal_number(headers, "msp-time-left-ms", DEADLINE_MAX_MS,
		&time_left_ms) != MSP_OK)
		return MSP_E_BAD_REQUEST;
	request->is_idempotent = idempotent == 1;
	request->arrival = now > waited_us ? now - waited_us : 1;
	request->nonce_issued = now > nonce_age_us ? now - nonce_age_us : 1;
	request->retries_left = (uint32_t)retries;
	request->hops_left = (uint32_t)hops;
	request->deadline = now + time_left_ms * MSP_MS;
	return MSP_OK;
}

msp_status_t
decode_proxy_request(const msp_request_t *http, const char *path,
    msp_time_t now, proxy_request_t *request)
{
	const msp_headers_t *headers = &http->headers;
	size_t prefix_len = strlen(path);
	char class[16];
	char fingerprint[MSP_DIGEST_TEXT_SIZE];
	msp_status_t status;

	if (decode_internal_text(headers, "msp-id", request->id,
		sizeof(request->id)) != MSP_OK ||
	    decode_internal_text(headers, "msp-service", request->service,
		sizeof(request->service)) != MSP_OK ||
	    decode_internal_text(headers, "msp-place", request->place,
		sizeof(request->place)) != MSP_OK ||
	    decode_internal_text(headers, "msp-client-region",
		request->client_region,
		sizeof(request->client_region)) != MSP_OK ||
	    decode_internal_text(headers, "msp-key", request->key,
		sizeof(request->key)) != MSP_OK ||
	    decode_internal_text(headers, "msp-nonce", request->nonce,
		sizeof(request->nonce)) != MSP_OK ||
	    decode_internal_text(headers, "msp-class", class, sizeof(class)) !=
		MSP_OK ||
	    decode_internal_text(headers, "msp-fingerprint", fingerprint,
		sizeof(fingerprint)) != MSP_OK)
		return MSP_E_BAD_REQUEST;
	if (msp_parse_request_class(class, &request->class) != MSP_OK)
		return msp_fail(MSP_E_BAD_REQUEST, "msp-class: unknown class");
	if (msp_parse_digest(fingerprint, &request->fingerprint) != 0)
		return msp_fail(
		    MSP_E_BAD_REQUEST, "msp-fingerprint: not a digest");
	if (request->service[0] == '\0')
		return msp_fail(MSP_E_BAD_REQUEST, "msp-service: missing");
	status = decode_numbers(headers, now, request);
	if (status != MSP_OK)
		return status;
	memcpy(request->request.method, http->method,
	    sizeof(request->request.method));
	snprintf(request->request.path, sizeof(request->request.path), "%s",
	    http->path + prefix_len);
	status = copy_end_to_end_headers(headers, &request->request.headers);
	if (status == MSP_OK && http->body.len > 0)
		status = msp_append_data(
		    &request->request.body, http->body.data, http->body.len);
	return status;
}

msp_status_t
encode_proxy_result(proxy_result_t *result, const char *id, msp_response_t *out)
{
	const msp_refusal_t *refusal = &result->refusal;
	msp_headers_t *headers = &out->headers;

	if (result->answered) {
		*out = result->response;
		memset(&result->response, 0, sizeof(result->response));
		msp_add_header(headers, "msp-id", id);
		msp_add_header(headers, "msp-target", result->target);
		return msp_add_header(headers, "msp-vm", result->vm);
	}
	memset(out, 0, sizeof(*out));
	msp_add_header(headers, "msp-id", id);
	out->status = msp_get_status_info(refusal->status)->http_status;
	msp_add_header(headers, "msp-vm", result->vm);
	msp_add_header(
	    headers, "msp-refusal", msp_status_name(refusal->status));
	msp_add_header(headers, "msp-run", msp_run_status_name(refusal->run));
	msp_add_header(
	    headers, "msp-started", refusal->attempt_started ? "1" : "0");
	msp_print_header(
	    headers, "msp-retry-after-ms", "%u", refusal->retry_after_ms);
	if (refusal->reason == NULL)
		return MSP_OK;
	return msp_append_data(
	    &out->body, refusal->reason, strlen(refusal->reason));
}

/* Whether a VM's response says that its request has not run. */
static bool
says_not_run(const msp_headers_t *headers)
{
	const char *run = msp_find_header(headers, "msp-run");

	return msp_find_header(headers, "msp-released") != NULL ||
	    (run != NULL && strcmp(run, "no") == 0);
}

bool
is_proxy_result_of(
    const proxy_request_t *request, const msp_call_result_t *result)
{
	const msp_headers_t *headers = &result->response->headers;
	const char *id = msp_find_header(headers, "msp-id");

	if (id != NULL)
		return strcmp(id, request->id) == 0;
	return request->is_idempotent || result->first_on_connection ||
	    !says_not_run(headers);
}

void
drop_internal_headers(msp_headers_t *headers)
{
	msp_remove_headers(headers, is_internal, NULL);
}

msp_status_t
decode_proxy_result(msp_response_t *response, proxy_result_t *result)
{
	const msp_headers_t *headers = &response->headers;
	const char *status_name = msp_find_header(headers, "msp-refusal");
	const char *run = msp_find_header(headers, "msp-run");
	const char *started = msp_find_header(headers, "msp-started");
	uint64_t retry_after = 0;

	memset(result, 0, sizeof(*result));
	if (decode_internal_text(
		headers, "msp-vm", result->vm, sizeof(result->vm)) != MSP_OK ||
	    result->vm[0] == '\0')
		return msp_fail(MSP_E_TRUNCATED_RESPONSE, "msp-vm: missing");
	if (status_name == NULL) {
		if (decode_internal_text(headers, "msp-target", result->target,
			sizeof(result->target)) != MSP_OK)
			return MSP_E_TRUNCATED_RESPONSE;
		result->answered = true;
		result->response = *response;
		memset(response, 0, sizeof(*response));
		/* A caller must not get these. */
		msp_remove_headers(
		    &result->response.headers, is_hop_by_hop_or_internal, NULL);
		return MSP_OK;
	}
	if (run == NULL || started == NULL)
		return msp_fail(MSP_E_TRUNCATED_RESPONSE, "msp-run: missing");
	if (decode_internal_number(headers, "msp-retry-after-ms", UINT32_MAX,
		&retry_after) != MSP_OK)
		return MSP_E_TRUNCATED_RESPONSE;
	result->refusal.status = msp_find_status(status_name);
	result->refusal.run =
	    strcmp(run, "no") == 0 ? MSP_RUN_NOT_EXECUTED : MSP_RUN_UNKNOWN;
	result->refusal.attempt_started = strcmp(started, "0") != 0;
	result->refusal.retry_after_ms = (uint32_t)retry_after;
	result->refusal.reason = "refused by the dispatcher";
	return MSP_OK;
}
