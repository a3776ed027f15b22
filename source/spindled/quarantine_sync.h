#ifndef SPINDLED_QUARANTINE_SYNC_H
#define SPINDLED_QUARANTINE_SYNC_H

#include "monsoonspindle/net/http_server.h"
#include "monsoonspindle/steer/quarantine.h"

struct daemon;

#define QUARANTINE_PATH "/v1/quarantine"

/*
 * Tells other VMs of requests that were quarantined here: all of this data
 * centre, and one of each other, which tells its own.
 */
typedef struct quarantine_sync quarantine_sync_t;

/* `list` is borrowed. Returns NULL without memory. */
quarantine_sync_t *new_quarantine_sync(
    struct daemon *daemon, msp_quarantine_list_t *list);
void drop_quarantine_sync(quarantine_sync_t *quarantines);

/* Takes in what another VM tells. */
void serve_quarantine(quarantine_sync_t *quarantines, msp_exchange_t *exchange);

#endif
