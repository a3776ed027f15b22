#ifndef SPINDLED_GOSSIP_H
#define SPINDLED_GOSSIP_H

#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"

struct daemon;

/* The endpoint of the gossip protocol: ONC RPC over UDP, see gossip.x. */
typedef struct gossip gossip_t;

/* Returns NULL with a last message. */
gossip_t *new_gossip(struct daemon *daemon);
void drop_gossip(gossip_t *gossip);

/* Called with the result of a call that was sent with a token other than 0. */
typedef void gossip_done_t(
    void *ctx, uint32_t token, msp_status_t status, const void *result);

/*
 * Sends a call. `done` is called with the reply or a timeout, unless `token` is
 * 0 or the call could not be sent.
 */
void send_gossip_call(gossip_t *gossip, const char *address, uint16_t port,
    uint32_t procedure, const void *message, uint32_t token, msp_time_t timeout,
    gossip_done_t *done, void *ctx);

/* Messages that were not understood; 0 if `gossip` is NULL. */
uint64_t count_refused_gossip(const gossip_t *gossip);

/* Copies the statistics of the endpoint to the metrics. */
void update_gossip_metrics(const gossip_t *gossip);

#endif
