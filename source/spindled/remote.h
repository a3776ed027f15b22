#ifndef SPINDLED_REMOTE_H
#define SPINDLED_REMOTE_H

#include "proxy_request.h"

#define DISPATCH_PATH "/v1/work" /* of the peer listener */

struct daemon;

/*
 * Sends a request to the peer listener of the VM that dispatches it. It ends
 * with MSP_E_PEER_DOWN, not run and not started, if nothing was sent. If the
 * response was lost, a non-idempotent request ends with MSP_E_IN_DOUBT, and an
 * idempotent one with MSP_E_DEADLINE or MSP_E_TRUNCATED_RESPONSE.
 */
void dispatch_remotely(struct daemon *daemon, proxy_request_t *request,
    const char *address, uint16_t peer_port);

#endif
