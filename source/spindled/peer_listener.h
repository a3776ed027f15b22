#ifndef SPINDLED_PEER_LISTENER_H
#define SPINDLED_PEER_LISTENER_H

#include "monsoonspindle/net/http_server.h"

struct daemon;

/*
 * Opens the listener for other VMs, which send requests to be dispatched or
 * claimed, quarantined requests, and queries about release notes, claims and
 * incarnations. Returns NULL with a last message.
 */
msp_http_server_t *open_peer_listener(struct daemon *daemon);

#endif
