#ifndef SPINDLED_QUARANTINE_SYNC_H
#define SPINDLED_QUARANTINE_SYNC_H

#include "monsoonspindle/net/http_server.h"
#include "monsoonspindle/steer/quarantine.h"

struct daemon;

#define QUARANTINE_PATH "/v1/quarantine"

/*
 * Sends the fingerprints of requests that were quarantined here to all other
 * VMs of this data centre, and to one VM of each other data centre, which
 * passes them on there.
 */
typedef struct quarantine_sync quarantine_sync_t;

/* `list` is borrowed. Returns NULL if out of memory. */
quarantine_sync_t *new_quarantine_sync(
    struct daemon *daemon, msp_quarantine_list_t *list);
void drop_quarantine_sync(quarantine_sync_t *sync);

/* Receives the fingerprints of requests that another VM quarantined. */
void serve_quarantine(quarantine_sync_t *sync, msp_exchange_t *exchange);

#endif
