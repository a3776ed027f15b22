#ifndef MONSOONSPINDLE_TESTS_NET_TRANSPORT_H
#define MONSOONSPINDLE_TESTS_NET_TRANSPORT_H

#include "net_event.h"

/* Calls between nodes, coded as on the wire. */

/* `send` of memberships and relays; `ctx` is the node. */
void net_send_call(void *ctx, const char *address, uint16_t peer_port,
    uint32_t procedure, const void *message, uint32_t token,
    msp_time_t timeout);

/* Answers a call without serving it. */
void net_reply(net_t *net, const net_event_t *call, msp_status_t status,
    const char *bytes, size_t len);

void net_serve_call(net_t *net, net_node_t *node, net_event_t *event);

/* Hands in an answer, or that none has come in time. */
void net_serve_reply(net_node_t *node, net_event_t *event);

#endif
