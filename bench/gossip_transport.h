#ifndef MONSOONSPINDLE_TESTS_GOSSIP_TRANSPORT_H
#define MONSOONSPINDLE_TESTS_GOSSIP_TRANSPORT_H

#include "gossip_event.h"

/* RPC calls between nodes, encoded as on the wire. */

/* The callback `send` of memberships and relays; `ctx` is the node. */
void send_node_call(void *ctx, const char *address, uint16_t peer_port,
    uint32_t procedure, const void *message, uint32_t token,
    msp_time_t timeout);

/* Sends an encoded result or a status to the caller. */
void send_node_reply(gossip_net_t *net, const gossip_event_t *call,
    msp_status_t status, const char *bytes, size_t len);

/* Passes a call to the node's membership or relay and sends the reply. */
void serve_node_call(
    gossip_net_t *net, gossip_node_t *node, gossip_event_t *event);

/* Passes a reply or a timeout to the membership or relay that made the call. */
void handle_node_reply(gossip_node_t *node, gossip_event_t *event);

#endif
