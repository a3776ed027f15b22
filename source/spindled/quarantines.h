#ifndef SPINDLED_QUARANTINES_H
#define SPINDLED_QUARANTINES_H

#include "monsoonspindle/net/http_server.h"
#include "monsoonspindle/steer/quarantine.h"

struct daemon;

#define QUARANTINE_PATH "/v1/quarantine"

/*
 * Tells other VMs of requests that were quarantined here: all of this data
 * centre, and one of each other, which tells its own.
 */
typedef struct quarantines quarantines_t;

/* `list` is borrowed. Returns NULL without memory. */
quarantines_t *new_quarantines(
    struct daemon *daemon, msp_quarantine_list_t *list);
void drop_quarantines(quarantines_t *quarantines);

/* Takes in what another VM tells. */
void serve_quarantine(quarantines_t *quarantines, msp_exchange_t *exchange);

#endif
