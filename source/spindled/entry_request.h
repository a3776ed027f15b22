#ifndef SPINDLED_ENTRY_REQUEST_H
#define SPINDLED_ENTRY_REQUEST_H

#include "entry.h"

#define SERVICES_PATH "/v1/services/"

/*
 * Reads a caller's request into `entry`: service, class, deadline, key, try,
 * fingerprint, and the request as the target is to see it. On failure the
 * last message says what is wrong; what has been read so far stays.
 */
msp_status_t read_entry_request(struct daemon *daemon, entry_t *entry);

#endif
