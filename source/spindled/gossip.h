#ifndef SPINDLED_GOSSIP_H
#define SPINDLED_GOSSIP_H

#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"

struct daemon;

/* ONC RPC on UDP, as membership and relays use it. */
typedef struct gossip gossip_t;

/* Returns NULL with a last message. */
gossip_t *new_gossip(struct daemon *daemon);
void drop_gossip(gossip_t *gossip);

/* Gets the result of a call that was sent with a token. */
typedef void gossip_done_t(
    void *ctx, uint32_t token, msp_status_t status, const void *result);

/* Sends one call of gossip.x. With token 0 no answer is awaited. */
void send_gossip_call(gossip_t *gossip, const char *address, uint16_t port,
    uint32_t procedure, const void *message, uint32_t token, msp_time_t timeout,
    gossip_done_t *answered, void *ctx);

/* Sets the gauges of what was sent and received. */
void update_gossip_metrics(const gossip_t *gossip);

#endif
