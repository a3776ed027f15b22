#ifndef SPINDLED_CALLER_REQUEST_PARSE_H
#define SPINDLED_CALLER_REQUEST_PARSE_H

#include "caller_request.h"

#define SERVICES_PATH "/v1/services/"

/*
 * Parses a caller's request: service, class, deadline, idempotency key, attempt
 * number, fingerprint, and the request to be sent to the target. If this fails,
 * the last message says why, and what was parsed before is kept.
 */
msp_status_t parse_caller_request(
    struct daemon *daemon, caller_request_t *request);

#endif
