#ifndef SPINDLED_CALLER_REQUEST_PARSE_H
#define SPINDLED_CALLER_REQUEST_PARSE_H

#include "caller_request.h"

#define SERVICES_PATH "/v1/services/"

/*
 * Reads a caller's request into `entry`: service, class, deadline, key, try,
 * fingerprint, and the request as the target is to see it. On failure the
 * last message says what is wrong; what has been read so far stays.
 */
msp_status_t parse_caller_request(
    struct daemon *daemon, caller_request_t *entry);

#endif
