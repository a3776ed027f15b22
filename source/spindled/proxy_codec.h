#ifndef SPINDLED_PROXY_CODEC_H
#define SPINDLED_PROXY_CODEC_H

#include "monsoonspindle/net/http.h"
#include "monsoonspindle/net/http_client.h"
#include "proxy_request.h"

/*
 * Encodes proxy requests and their results as HTTP messages between VMs. The
 * fields of the two structs are internal headers, whose names start with
 * "msp-". These are never sent to a target, and those of a caller are dropped.
 */
#define INTERNAL_HEADER_PREFIX "msp-"

/*
 * Registers the names of all internal headers with the HTTP library, which
 * reads only headers with known names. To be called once per process.
 */
msp_status_t register_internal_headers(void);

/*
 * Decode one internal header; MSP_E_BAD_REQUEST if it is longer than `size`
 * allows, or not a number of at most `max`. A missing text is "".
 */
msp_status_t decode_internal_text(
    const msp_headers_t *headers, const char *name, char *out, size_t size);
msp_status_t decode_internal_number(const msp_headers_t *headers,
    const char *name, uint64_t max, uint64_t *out);

/* Encodes `request` as an HTTP request to another VM, with `path` prefixed. */
msp_status_t encode_proxy_request(const proxy_request_t *request,
    const char *path, msp_time_t now, msp_request_t *out);

/*
 * Decodes an HTTP request with the path prefix `path`, and copies what it
 * needs. Returns MSP_E_BAD_REQUEST with a last message that names the header.
 */
msp_status_t decode_proxy_request(const msp_request_t *http, const char *path,
    msp_time_t now, proxy_request_t *request);

/* Removes the internal headers, which only a VM may set. */
void drop_internal_headers(msp_headers_t *headers);

/*
 * Moves the result's response, or encodes its refusal, to `out`, with the id of
 * the request.
 */
msp_status_t encode_proxy_result(
    proxy_result_t *result, const char *id, msp_response_t *out);

/*
 * Whether the complete response of a VM is that to `request`: it has the
 * request's id. Older versions send none. Without an id, "not executed" counts
 * only for a request that may be repeated, or if the response is the first on
 * its connection.
 */
bool is_proxy_result_of(
    const proxy_request_t *request, const msp_call_result_t *result);

/*
 * Moves a response from a VM to `result`. Returns MSP_E_TRUNCATED_RESPONSE if
 * it is not an encoded result.
 */
msp_status_t decode_proxy_result(
    msp_response_t *response, proxy_result_t *result);

/* Copies headers except hop-by-hop and internal ones. */
msp_status_t copy_end_to_end_headers(
    const msp_headers_t *from, msp_headers_t *to);

#endif
