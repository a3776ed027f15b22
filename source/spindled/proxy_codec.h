#ifndef SPINDLED_PROXY_CODEC_H
#define SPINDLED_PROXY_CODEC_H

#include "monsoonspindle/net/http.h"
#include "proxy_request.h"

/*
 * Work and its result as HTTP messages between VMs. What concerns the system
 * travels in headers that start with "msp-"; they are never passed on to a
 * target, and a caller's are dropped.
 */
#define INTERNAL_HEADER_PREFIX "msp-"

/*
 * Makes the names of all system headers known to the HTTP library, which finds
 * those that it has no token for by name only. Once a process.
 */
msp_status_t register_internal_headers(void);

/* Builds the request that carries `work` to another VM, below `path`. */
msp_status_t encode_proxy_request(const proxy_request_t *work, const char *path,
    msp_time_t now, msp_request_t *out);

/*
 * Reads a request below `path` into `work`, copying what it needs.
 * MSP_E_BAD_REQUEST with a last message that names the header.
 */
msp_status_t decode_proxy_request(const msp_request_t *request,
    const char *path, msp_time_t now, proxy_request_t *work);

/* Moves the result's answer, or writes its refusal, to `out`. */
msp_status_t encode_proxy_result(proxy_result_t *result, msp_response_t *out);

/*
 * Moves a response from a VM to `result`. MSP_E_CUT_ANSWER if it is not one.
 */
msp_status_t decode_proxy_result(
    msp_response_t *response, proxy_result_t *result);

/* Copies the headers of `from` that may pass a VM. */
msp_status_t copy_end_to_end_headers(
    const msp_headers_t *from, msp_headers_t *to);

#endif
