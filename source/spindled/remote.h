#ifndef SPINDLED_REMOTE_H
#define SPINDLED_REMOTE_H

#include "proxy_request.h"

#define WORK_PATH "/v1/work" /* of the peers' listener */

struct daemon;

/*
 * Sends the work to another VM's peer listener. A connection that was refused
 * ends in MSP_E_PEER_DOWN with `run` no and nothing started; an answer that
 * was lost in MSP_E_CUT_ANSWER (a read) or MSP_E_IN_DOUBT.
 */
void run_remote(struct daemon *daemon, proxy_request_t *work,
    const char *address, uint16_t peer_port);

#endif
